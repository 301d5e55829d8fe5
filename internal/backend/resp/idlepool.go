package resp

import (
	"sync"
	"time"

	"copperrock.example/copperrock/internal/backend/idlepool"
)

// evictionGrace is how long an evicted connection stays open in case it is used. A load poll is answered a few milliseconds
// before the attempt starts for which the engine was polled.
const evictionGrace = 50 * time.Millisecond

// IdlePool limits the idle connections of one controller to all its engines together. A nil IdlePool imposes no limit.
type IdlePool struct {
	mu   sync.Mutex
	pool *idlepool.Pool[*conn, *Engine]
}

// NewIdlePool returns a pool without a limit.
func NewIdlePool() *IdlePool { return &IdlePool{pool: idlepool.New[*conn, *Engine]()} }

// SetLimit sets how many connections to all engines together may be idle, and evicts those beyond the limit.
func (p *IdlePool) SetLimit(limit int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	evicted := p.pool.SetLimit(limit)
	p.mu.Unlock()
	evictAll(evicted)
}

// Len returns the number of idle connections.
func (p *IdlePool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Len()
}

// add adds a connection that has become idle. The connection's lock must be held.
func (p *IdlePool) add(c *conn) {
	if p == nil {
		return
	}
	p.mu.Lock()
	evicted := p.pool.Add(c, c.Engine)
	p.mu.Unlock()
	evictAll(evicted)
}

// remove removes a connection that is in use again or has ended.
func (p *IdlePool) remove(c *conn) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Remove(c)
}

// evictAll evicts connections in goroutines of their own. Their locks cannot be taken here, because the caller may hold the
// lock of a connection: two connections that become idle at the same time may evict each other.
func evictAll(evicted []*conn) {
	for _, c := range evicted {
		c.Group.Go(func() error { c.evict(); return nil })
	}
}

// evict closes the connection after evictionGrace if it is idle and is not used before.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.isIdle() {
		c.closeSoon()
	}
}
