package resp

import (
	"sync"
	"time"

	"copperrock.example/copperrock/internal/backend/idlepool"
)

// evictionGrace is how long an evicted connection stays: an answer to a load poll comes before the attempt that it was
// asked for, and a few milliseconds pass between them.
const evictionGrace = 50 * time.Millisecond

// IdlePool bounds the idle connections of one controller, over all its engines. A nil one bounds nothing and costs nothing.
type IdlePool struct {
	mu   sync.Mutex
	pool *idlepool.Pool[*conn, *Engine]
}

// NewIdlePool makes a pool without a limit.
func NewIdlePool() *IdlePool { return &IdlePool{pool: idlepool.New[*conn, *Engine]()} }

// SetLimit sets how many connections may be idle, over all engines.
func (p *IdlePool) SetLimit(limit int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	evicted := p.pool.SetLimit(limit)
	p.mu.Unlock()
	evictAll(evicted)
}

// Len is how many connections are idle.
func (p *IdlePool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Len()
}

// add takes in a connection, whose lock is held, that has become idle.
func (p *IdlePool) add(c *conn) {
	if p == nil {
		return
	}
	p.mu.Lock()
	evicted := p.pool.Add(c, c.Engine)
	p.mu.Unlock()
	evictAll(evicted)
}

// remove takes out a connection that is in use or has ended.
func (p *IdlePool) remove(c *conn) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Remove(c)
}

// evictAll has connections close that are still idle. Their locks can't be taken here: two connections that become idle at
// the same time may evict each other.
func evictAll(evicted []*conn) {
	for _, c := range evicted {
		c.Group.Go(func() error { c.evict(); return nil })
	}
}

// evict has the connection close unless it is used at once.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.isIdle() {
		c.closeSoon()
	}
}
