// Package balance measures how evenly the requests of a fleet are balanced over its engines. It compares the waits with those
// that the same arrivals would have under two reference policies: a random choice of the engine, and a central choice that knows
// the state of all engines. Evenness is 0 if waits equal those of the random choice and 1 if they equal those of the central one.
//
// A Scenario simulates up to hundreds of controllers in virtual time. Each controller is an instance of the admission module with
// its own clients; engines run attempts in arrival order. The same scenario and seed always give the same figures.
//
// Times are in seconds, memory is in MB and work is in CPU seconds.
package balance

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Arrival is the time at which a request arrives, and its work.
type Arrival struct {
	At, Work float64
}

// Fleet describes engines that run requests in arrival order.
type Fleet struct {
	Count, Cores int       // number of engines, and of cores per engine
	Speed        float64   // usual speed of an engine
	Speeds       []float64 // speed of each engine; nil if all have the usual speed
}

// speed returns the speed of the i-th engine.
func (e Fleet) speed(i int) float64 {
	if e.Speeds == nil {
		return e.Speed
	}
	return e.Speeds[i]
}

// random returns a random number in [0, 1) that depends only on a seed and a counter.
func random(seed, counter uint64) float64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:], seed)
	binary.BigEndian.PutUint64(buf[8:], counter)
	h := fnv.New64a()
	h.Write(buf[:])
	x := h.Sum64() // FNV alone gives similar high bits for consecutive counters
	for range 3 {
		x ^= x >> 32
		x *= 0xd6e8feb86659fd93
	}
	return float64((x^x>>32)>>11) / (1 << 53)
}

// RandomWaits returns the waits of the arrivals if each one goes to a random engine, chosen with a probability proportional to
// its speed.
func RandomWaits(e Fleet, arrivals []Arrival, seed uint64) []float64 {
	counter, totalSpeed := uint64(0), 0.0
	for i := range e.Count {
		totalSpeed += e.speed(i)
	}
	return serve(e, arrivals, func([][]float64, Arrival) int {
		counter++
		rest := random(seed, counter) * totalSpeed
		for i := range e.Count - 1 {
			if rest -= e.speed(i); rest < 0 {
				return i
			}
		}
		return e.Count - 1
	})
}

// CentralWaits returns the waits of the arrivals if each one goes to the engine at which it ends first.
func CentralWaits(e Fleet, arrivals []Arrival) []float64 {
	return serve(e, arrivals, func(freeAt [][]float64, a Arrival) int {
		best, earliest := 0, math.Inf(1)
		for i := range freeAt {
			end := slices.Min(freeAt[i])
			if e.Speeds != nil { // with equal speeds, the request ends first at the engine that is free first
				end = max(end, a.At) + a.Work/e.speed(i)
			}
			if end < earliest {
				best, earliest = i, end
			}
		}
		return best
	})
}

// serve assigns the arrivals to engines in order of time and returns their waits. choose returns the engine for an arrival, given
// the times at which each core of each engine becomes free. A wait is the time that a request takes beyond its work at the usual
// speed.
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
