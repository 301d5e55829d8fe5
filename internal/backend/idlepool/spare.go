// Package idlepool decides which connections without a job stay open. Engines bear few connections, and of hundreds of
// controllers each would keep one at every engine that it ever asked. Closing goes by use: a controller keeps its part of
// what all may keep at an engine, over all engines together, and what has rested longest gives way, wherever it is. So one
// with many jobs at few engines keeps those, and no list of who may use which engine has to be agreed on. The package does
// no I/O and reads no clock; it is used from one goroutine at a time.
package idlepool

import "math"

// Keeper is a controller's connections without a job, C, at engines, E. Each is in here from Rests to Leaves.
type Keeper[C, E comparable] struct {
	most    int // -1 for no bound
	resting []rest[C, E]
	at      map[E]int // resting at an engine; none that is 0 is kept
}

type rest[C, E comparable] struct {
	conn   C
	engine E
}

// New makes a keeper without a bound.
func New[C, E comparable]() *Keeper[C, E] { return &Keeper[C, E]{most: -1, at: map[E]int{}} }

// Part is how many connections without a job a controller may keep, so that all together keep so many at each engine at
// most. What does not come out even goes to some of the controllers by their number: of three hundred with 200 in all two
// thirds keep one. A controller that has no number, below 0, keeps none more than all may.
func Part(atEngine, engines, index, gateways int) int {
	part := float64(atEngine*engines) / float64(max(gateways, 1))
	whole, rest := math.Modf(part)
	const golden = 0.6180339887498949 // multiples of it lie evenly between 0 and 1, however many there are
	if _, place := math.Modf(float64(index) * golden); index >= 0 && place < rest {
		whole++
	}
	return int(whole)
}

// Bound sets how many may rest, and gives those that are to close.
func (k *Keeper[C, E]) Bound(most int) (close []C) {
	k.most = most
	return k.over()
}

// Rests tells that a connection has nothing to do, and gives those that are to close for it; it may be among them.
func (k *Keeper[C, E]) Rests(c C, at E) (close []C) {
	k.Leaves(c)
	k.resting = append(k.resting, rest[C, E]{c, at})
	k.at[at]++
	return k.over()
}

// Leaves tells that a connection has something to do again, or has ended.
func (k *Keeper[C, E]) Leaves(c C) {
	for i, r := range k.resting {
		if r.conn == c {
			k.drop(i)
			return
		}
	}
}

// Resting is how many are kept.
func (k *Keeper[C, E]) Resting() int { return len(k.resting) }

func (k *Keeper[C, E]) drop(i int) {
	e := k.resting[i].engine
	if k.at[e]--; k.at[e] == 0 {
		delete(k.at, e)
	}
	k.resting = append(k.resting[:i], k.resting[i+1:]...)
}

// over takes out what is beyond the bound: the longest rested of those that are not the only one at their engine, else
// the longest rested of all.
func (k *Keeper[C, E]) over() (close []C) {
	for k.most >= 0 && len(k.resting) > k.most {
		victim := 0
		for i, r := range k.resting {
			if k.at[r.engine] > 1 {
				victim = i
				break
			}
		}
		close = append(close, k.resting[victim].conn)
		k.drop(victim)
	}
	return close
}
