// Package idlepool decides which connections without a job stay open. Engines bear few connections, and of hundreds of
// controllers each would keep one at every engine that it ever asked. Closing goes by use: a controller keeps its part of
// what all may keep at an engine, over all engines together, and what has rested longest gives way, wherever it is. So one
// with many jobs at few engines keeps those, and no list of who may use which engine has to be agreed on. The package does
// no I/O and reads no clock; it is used from one goroutine at a time.
package idlepool

import "math"

// Pool is a controller's connections without a job, C, at engines, E. Each is in here from Rests to Leaves.
type Pool[C, E comparable] struct {
	limit     int // -1 for no bound
	idle      []idleConn[C, E]
	perEngine map[E]int // resting at an engine; none that is 0 is kept
}

type idleConn[C, E comparable] struct {
	conn   C
	engine E
}

// New makes a keeper without a bound.
func New[C, E comparable]() *Pool[C, E] { return &Pool[C, E]{limit: -1, perEngine: map[E]int{}} }

// Quota is how many connections without a job a controller may keep, so that all together keep so many at each engine at
// most. What does not come out even goes to some of the controllers by their number: of three hundred with 200 in all two
// thirds keep one. A controller that has no number, below 0, keeps none more than all may.
func Quota(atEngine, engines, index, gateways int) int {
	part := float64(atEngine*engines) / float64(max(gateways, 1))
	whole, rest := math.Modf(part)
	const golden = 0.6180339887498949 // multiples of it lie evenly between 0 and 1, however many there are
	if _, place := math.Modf(float64(index) * golden); index >= 0 && place < rest {
		whole++
	}
	return int(whole)
}

// SetLimit sets how many may rest, and gives those that are to close.
func (k *Pool[C, E]) SetLimit(most int) (close []C) {
	k.limit = most
	return k.evict()
}

// Add tells that a connection has nothing to do, and gives those that are to close for it; it may be among them.
func (k *Pool[C, E]) Add(c C, at E) (close []C) {
	k.Remove(c)
	k.idle = append(k.idle, idleConn[C, E]{c, at})
	k.perEngine[at]++
	return k.evict()
}

// Remove tells that a connection has something to do again, or has ended.
func (k *Pool[C, E]) Remove(c C) {
	for i, r := range k.idle {
		if r.conn == c {
			k.removeAt(i)
			return
		}
	}
}

// Len is how many are kept.
func (k *Pool[C, E]) Len() int { return len(k.idle) }

func (k *Pool[C, E]) removeAt(i int) {
	e := k.idle[i].engine
	if k.perEngine[e]--; k.perEngine[e] == 0 {
		delete(k.perEngine, e)
	}
	k.idle = append(k.idle[:i], k.idle[i+1:]...)
}

// evict takes out what is beyond the bound: the longest rested of those that are not the only one at their engine, else
// the longest rested of all.
func (k *Pool[C, E]) evict() (close []C) {
	for k.limit >= 0 && len(k.idle) > k.limit {
		victim := 0
		for i, r := range k.idle {
			if k.perEngine[r.engine] > 1 {
				victim = i
				break
			}
		}
		close = append(close, k.idle[victim].conn)
		k.removeAt(victim)
	}
	return close
}
