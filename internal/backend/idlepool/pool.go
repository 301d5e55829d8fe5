// Package idlepool decides which idle connections stay open. Engines bear few connections, and of hundreds of controllers
// each would hold one at every engine that it ever used. A controller has a quota of idle connections over all engines
// together; beyond it the one that has been idle longest is evicted. So a controller with much traffic to few engines keeps
// those connections, without any agreement on who may use which engine.
//
// The package does no I/O and reads no clock; a Pool is used from one goroutine at a time.
package idlepool

import "math"

// unlimited is the limit of a pool without one.
const unlimited = -1

// goldenRatio is the fractional part of the golden ratio; its multiples are spread evenly between 0 and 1, however many
// there are.
const goldenRatio = 0.6180339887498949

// Pool holds a controller's idle connections, C, to engines, E, in the order in which they became idle.
type Pool[C, E comparable] struct {
	limit     int // or unlimited
	idle      []idleConn[C, E]
	perEngine map[E]int // idle connections; engines without one are not in it
}

type idleConn[C, E comparable] struct {
	conn   C
	engine E
}

// New makes a pool without a limit.
func New[C, E comparable]() *Pool[C, E] {
	return &Pool[C, E]{limit: unlimited, perEngine: map[E]int{}}
}

// Quota is how many idle connections a controller may have, so that all controllers together have so many at each engine on
// average. The remainder goes to some of the controllers by their index: of 300 with 200 in all two thirds get one. A
// controller without an index (below 0) gets none of the remainder.
func Quota(atEngine, engines, index, controllers int) int {
	share := float64(atEngine*engines) / float64(max(controllers, 1))
	quota, remainder := math.Modf(share)
	_, place := math.Modf(float64(index) * goldenRatio)
	if index >= 0 && place < remainder {
		quota++
	}
	return int(quota)
}

// SetLimit sets how many connections may be idle, and returns those that are evicted.
func (p *Pool[C, E]) SetLimit(limit int) (evicted []C) {
	p.limit = limit
	return p.evict()
}

// Add takes in a connection that has become idle, and returns those that are evicted for it; it may be among them.
func (p *Pool[C, E]) Add(conn C, engine E) (evicted []C) {
	p.Remove(conn)
	p.idle = append(p.idle, idleConn[C, E]{conn, engine})
	p.perEngine[engine]++
	return p.evict()
}

// Remove takes out a connection that is in use again, or has ended.
func (p *Pool[C, E]) Remove(conn C) {
	for i, c := range p.idle {
		if c.conn == conn {
			p.removeAt(i)
			return
		}
	}
}

// Len is how many connections are idle.
func (p *Pool[C, E]) Len() int { return len(p.idle) }

func (p *Pool[C, E]) removeAt(i int) {
	engine := p.idle[i].engine
	p.perEngine[engine]--
	if p.perEngine[engine] == 0 {
		delete(p.perEngine, engine)
	}
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
}

// evict takes out what is beyond the limit.
func (p *Pool[C, E]) evict() (evicted []C) {
	for p.limit >= 0 && len(p.idle) > p.limit {
		victim := p.victim()
		evicted = append(evicted, p.idle[victim].conn)
		p.removeAt(victim)
	}
	return evicted
}

// victim is the index of the connection that has been idle longest of those that are not the only one to their engine, else
// of all.
func (p *Pool[C, E]) victim() int {
	for i, c := range p.idle {
		if p.perEngine[c.engine] > 1 {
			return i
		}
	}
	return 0
}
