// Package balance measures how evenly a fleet's load falls on its engines. The very same arrivals are played in virtual
// time through a random choice of the engine and through one central choice that sees all; evenness is 0 where waits
// are those of chance and 1 where they are those of the central choice.
package balance

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Arrival is a job as its client sent it. Times are seconds.
type Arrival struct {
	At, Work float64
}

// Engines serve in arrival order, each on so many cores; they are alike where no speeds are given.
type Engines struct {
	Count, Cores int
	Speed        float64
	Speeds       []float64 // of each
}

// speed is that of an engine.
func (e Engines) speed(i int) float64 {
	if e.Speeds == nil {
		return e.Speed
	}
	return e.Speeds[i]
}

// draw is chance from a seed and a counter.
func draw(seed, counter uint64) float64 {
	h := fnv.New64a()
	binary.Write(h, binary.BigEndian, [2]uint64{seed, counter})
	x := h.Sum64() // FNV alone leaves the high bits alike for near counters
	for range 3 {
		x ^= x >> 32
		x *= 0xd6e8feb86659fd93
	}
	return float64((x^x>>32)>>11) / (1 << 53)
}

// Random gives each arrival's wait where each engine is drawn by its speed.
func Random(e Engines, arrivals []Arrival, seed uint64) []float64 {
	counter, all := uint64(0), 0.0
	for i := range e.Count {
		all += e.speed(i)
	}
	return play(e, arrivals, func([][]float64, Arrival) int {
		counter++
		left := draw(seed, counter) * all
		for i := range e.Count - 1 {
			if left -= e.speed(i); left < 0 {
				return i
			}
		}
		return e.Count - 1
	})
}

// Central gives each arrival's wait where it goes to the engine at which it is done first.
func Central(e Engines, arrivals []Arrival) []float64 {
	return play(e, arrivals, func(free [][]float64, a Arrival) int {
		best, least := 0, math.Inf(1)
		for i := range free {
			start := slices.Min(free[i])
			if e.Speeds != nil { // else what is free longest stays so, as long as it is not asked for
				start = max(start, a.At) + a.Work/e.speed(i)
			}
			if start < least {
				best, least = i, start
			}
		}
		return best
	})
}

// play keeps when each core is free again. A wait is what a job takes beyond its work on an engine of usual speed.
func play(e Engines, arrivals []Arrival, choose func(free [][]float64, a Arrival) int) (waits []float64) {
	free := make([][]float64, e.Count)
	for i := range free {
		free[i] = make([]float64, e.Cores)
	}
	sorted := slices.SortedStableFunc(slices.Values(arrivals), func(x, y Arrival) int { return cmp.Compare(x.At, y.At) })
	for _, a := range sorted {
		at := choose(free, a)
		cores := free[at]
		first := slices.Index(cores, slices.Min(cores))
		start := max(cores[first], a.At)
		cores[first] = start + a.Work/e.speed(at)
		waits = append(waits, start-a.At+a.Work/e.speed(at)-a.Work/e.Speed)
	}
	return waits
}

// Mean is that of the waits, 0 of none.
func Mean(waits []float64) (sum float64) {
	for _, w := range waits {
		sum += w
	}
	return sum / max(float64(len(waits)), 1)
}

// Quantile is the wait that a part of them does not pass.
func Quantile(waits []float64, part float64) float64 {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// Evenness is where a figure lies between chance, 0, and the central choice, 1; it may lie beyond either.
func Evenness(measured, random, central float64) float64 {
	if random == central {
		return math.NaN()
	}
	return (random - measured) / (random - central)
}

// Spread is the least and the most of some loads over their mean.
func Spread(loads []float64) (least, most float64) {
	mean := Mean(loads)
	if mean == 0 {
		return 0, 0
	}
	return slices.Min(loads) / mean, slices.Max(loads) / mean
}
