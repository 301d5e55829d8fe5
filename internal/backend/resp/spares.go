package resp

import (
	"sync"
	"time"

	"copperrock.example/copperrock/internal/backend/idlepool"
)

// Spares bounds the connections without a job of one controller, over all its engines. A nil one bounds nothing and costs
// nothing.
type Spares struct {
	mu     sync.Mutex
	keeper *idlepool.Keeper[*conn, *Engine]
}

// NewSpares makes one that bounds nothing yet.
func NewSpares() *Spares { return &Spares{keeper: idlepool.New[*conn, *Engine]()} }

// Bound sets how many connections without a job may stay, over all engines.
func (s *Spares) Bound(most int) {
	if s != nil {
		s.mu.Lock()
		close := s.keeper.Bound(most)
		s.mu.Unlock()
		s.close(close)
	}
}

// Resting is how many there are.
func (s *Spares) Resting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Resting()
}

// rests tells that a connection, whose lock is held, has nothing to do.
func (s *Spares) rests(c *conn) {
	if s != nil {
		s.mu.Lock()
		close := s.keeper.Rests(c, c.Engine)
		s.mu.Unlock()
		s.close(close)
	}
}

// leaves tells that a connection has something to do, or has ended.
func (s *Spares) leaves(c *conn) {
	if s != nil {
		s.mu.Lock()
		s.keeper.Leaves(c)
		s.mu.Unlock()
	}
}

// close has connections close that are still idle. Their locks are not to be had from here: two that rest in the same
// moment may each be the other's to close.
func (s *Spares) close(all []*conn) {
	for _, c := range all {
		c.Group.Go(func() error { c.giveWay(); return nil })
	}
}

// brief is how long a connection that gives way still rests: an answer to a question for a load comes before the dispatch
// that it was asked for, and a few milliseconds pass between them.
const brief = 50 * time.Millisecond

// giveWay has the connection close unless it is used at once.
func (c *conn) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && len(c.calls) == 0 && len(c.probes) == 0 {
		c.yields = true
		c.timer.Reset(brief)
	}
}
