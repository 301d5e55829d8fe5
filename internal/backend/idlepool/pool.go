// Package idlepool decides which idle connections stay open. An engine can handle only a limited number of connections, but
// without a limit each of hundreds of controllers would keep one open to every engine that it has ever used. Each controller
// therefore has a quota of idle connections to all engines together. Beyond the quota, the connection that has been idle longest
// is evicted. A controller with much traffic to few engines thus keeps its connections to them, and the controllers need not
// coordinate which of them uses which engine.
//
// The package does no I/O and reads no clock. A Pool is not safe for concurrent use.
package idlepool

import "math"

// unlimited is the limit of a pool that has none.
const unlimited = -1

// goldenRatio is the fractional part of the golden ratio. The fractional parts of its multiples are spread evenly between 0 and
// 1, whatever their number.
const goldenRatio = 0.6180339887498949

// Pool contains a controller's idle connections, of type C, to engines, of type E.
type Pool[C, E comparable] struct {
	limit     int              // maximum number of idle connections, or unlimited
	idle      []idleConn[C, E] // in the order in which they became idle
	perEngine map[E]int        // number of idle connections by engine; no entry for an engine without any
}

type idleConn[C, E comparable] struct {
	conn   C
	engine E
}

// New returns an empty pool without a limit.
func New[C, E comparable]() *Pool[C, E] {
	return &Pool[C, E]{limit: unlimited, perEngine: map[E]int{}}
}

// Quota returns the number of idle connections that one controller may have, such that all controllers together have
// connsPerEngine at each engine on average. The remainder of the division goes to some of the controllers, selected by index:
// if 300 controllers may have 200 connections, two thirds of them get one. A controller without an index (below 0) gets no part
// of the remainder.
func Quota(connsPerEngine, engines, index, controllers int) int {
	share := float64(connsPerEngine*engines) / float64(max(controllers, 1))
	quota, remainder := math.Modf(share)
	_, position := math.Modf(float64(index) * goldenRatio)
	if index >= 0 && position < remainder {
		quota++
	}
	return int(quota)
}

// SetLimit sets the maximum number of idle connections, and returns those that are evicted. A negative limit means no limit.
func (p *Pool[C, E]) SetLimit(limit int) (evicted []C) {
	p.limit = limit
	return p.evict()
}

// Add adds a connection that has become idle, and returns the connections that are evicted for it. It may be one of them
// itself.
func (p *Pool[C, E]) Add(conn C, engine E) (evicted []C) {
	p.Remove(conn)
	p.idle = append(p.idle, idleConn[C, E]{conn, engine})
	p.perEngine[engine]++
	return p.evict()
}

// Remove removes a connection that is in use again or has ended. It does nothing if the pool does not contain the connection.
func (p *Pool[C, E]) Remove(conn C) {
	for i, c := range p.idle {
		if c.conn == conn {
			p.removeAt(i)
			return
		}
	}
}

// Len returns the number of idle connections.
func (p *Pool[C, E]) Len() int { return len(p.idle) }

func (p *Pool[C, E]) removeAt(i int) {
	engine := p.idle[i].engine
	p.perEngine[engine]--
	if p.perEngine[engine] == 0 {
		delete(p.perEngine, engine)
	}
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
}

// evict removes and returns the connections beyond the limit.
func (p *Pool[C, E]) evict() (evicted []C) {
	for p.limit >= 0 && len(p.idle) > p.limit {
		victim := p.victim()
		evicted = append(evicted, p.idle[victim].conn)
		p.removeAt(victim)
	}
	return evicted
}

// victim returns the index of the connection to evict: the one that has been idle longest among those whose engine has several
// idle connections or, if there are none, among all.
func (p *Pool[C, E]) victim() int {
	for i, c := range p.idle {
		if p.perEngine[c.engine] > 1 {
			return i
		}
	}
	return 0
}
