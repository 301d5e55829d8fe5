// Package balance measures how evenly a fleet's load falls on its engines. The very same arrivals are played through a
// random choice of the engine and through one central choice that sees all; evenness is 0 where waits are those of the
// random choice and 1 where they are those of the central one.
//
// A Scenario plays the decision module itself in virtual time, hundreds of times, each with clients of its own, before
// engines that serve in arrival order. The same scenario and seed give the same figures each time.
//
// Times are seconds, memory is MB, work is CPU seconds.
package balance

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Arrival is a request as its client sent it.
type Arrival struct {
	At, Work float64
}

// Fleet serve in arrival order, each on so many cores; they are alike where no speeds are given.
type Fleet struct {
	Count, Cores int
	Speed        float64
	Speeds       []float64 // of each
}

// speed is that of an engine.
func (e Fleet) speed(i int) float64 {
	if e.Speeds == nil {
		return e.Speed
	}
	return e.Speeds[i]
}

// random draws a number from 0 up to 1 from a seed and a counter.
func random(seed, counter uint64) float64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:], seed)
	binary.BigEndian.PutUint64(buf[8:], counter)
	h := fnv.New64a()
	h.Write(buf[:])
	x := h.Sum64() // FNV alone leaves the high bits alike for near counters
	for range 3 {
		x ^= x >> 32
		x *= 0xd6e8feb86659fd93
	}
	return float64((x^x>>32)>>11) / (1 << 53)
}

// RandomWaits gives each arrival's wait where each engine is drawn by its speed.
func RandomWaits(e Fleet, arrivals []Arrival, seed uint64) []float64 {
	counter, totalSpeed := uint64(0), 0.0
	for i := range e.Count {
		totalSpeed += e.speed(i)
	}
	return serve(e, arrivals, func([][]float64, Arrival) int {
		counter++
		left := random(seed, counter) * totalSpeed
		for i := range e.Count - 1 {
			if left -= e.speed(i); left < 0 {
				return i
			}
		}
		return e.Count - 1
	})
}

// CentralWaits gives each arrival's wait where it goes to the engine at which it ends first.
func CentralWaits(e Fleet, arrivals []Arrival) []float64 {
	return serve(e, arrivals, func(freeAt [][]float64, a Arrival) int {
		best, earliest := 0, math.Inf(1)
		for i := range freeAt {
			end := slices.Min(freeAt[i])
			if e.Speeds != nil { // else the engine that is free first ends it first too
				end = max(end, a.At) + a.Work/e.speed(i)
			}
			if end < earliest {
				best, earliest = i, end
			}
		}
		return best
	})
}

// serve plays the arrivals in order of time. choose is told when each core of each engine is free again. A wait is what a
// request takes beyond its work on an engine of usual speed.
func serve(e Fleet, arrivals []Arrival, choose func(freeAt [][]float64, a Arrival) int) (waits []float64) {
	freeAt := make([][]float64, e.Count)
	for i := range freeAt {
		freeAt[i] = make([]float64, e.Cores)
	}
	sorted := slices.SortedStableFunc(slices.Values(arrivals), func(x, y Arrival) int { return cmp.Compare(x.At, y.At) })
	for _, a := range sorted {
		i := choose(freeAt, a)
		cores := freeAt[i]
		first := slices.Index(cores, slices.Min(cores))
		start := max(cores[first], a.At)
		cores[first] = start + a.Work/e.speed(i)
		waits = append(waits, start-a.At+a.Work/e.speed(i)-a.Work/e.Speed)
	}
	return waits
}
