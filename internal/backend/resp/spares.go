package resp

import (
	"sync"
	"time"

	"copperrock.example/copperrock/internal/backend/idlepool"
)

// IdlePool bounds the connections without a job of one controller, over all its engines. A nil one bounds nothing and costs
// nothing.
type IdlePool struct {
	mu   sync.Mutex
	pool *idlepool.Pool[*conn, *Engine]
}

// NewIdlePool makes one that bounds nothing yet.
func NewIdlePool() *IdlePool { return &IdlePool{pool: idlepool.New[*conn, *Engine]()} }

// SetLimit sets how many connections without a job may stay, over all engines.
func (s *IdlePool) SetLimit(most int) {
	if s != nil {
		s.mu.Lock()
		close := s.pool.SetLimit(most)
		s.mu.Unlock()
		s.closeIdle(close)
	}
}

// Len is how many there are.
func (s *IdlePool) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Len()
}

// add tells that a connection, whose lock is held, has nothing to do.
func (s *IdlePool) add(c *conn) {
	if s != nil {
		s.mu.Lock()
		close := s.pool.Add(c, c.Engine)
		s.mu.Unlock()
		s.closeIdle(close)
	}
}

// remove tells that a connection has something to do, or has ended.
func (s *IdlePool) remove(c *conn) {
	if s != nil {
		s.mu.Lock()
		s.pool.Remove(c)
		s.mu.Unlock()
	}
}

// closeIdle has connections close that are still idle. Their locks are not to be had from here: two that rest in the same
// moment may each be the other's to close.
func (s *IdlePool) closeIdle(all []*conn) {
	for _, c := range all {
		c.Group.Go(func() error { c.evict(); return nil })
	}
}

// idleGrace is how long a connection that gives way still rests: an answer to a question for a load comes before the dispatch
// that it was asked for, and a few milliseconds pass between them.
const idleGrace = 50 * time.Millisecond

// evict has the connection close unless it is used at once.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && len(c.attempts) == 0 && len(c.loadPolls) == 0 {
		c.evicted = true
		c.timer.Reset(idleGrace)
	}
}
