package admission

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// farm plays engines of unequal weight and counts the work that each gets.
type farm struct {
	*trace
	ends ends
	work map[uint32]float64
	sent map[uint32]uint32 // the engine of each job
}

type end struct {
	at  float64
	job uint32
}

type ends []end

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, k int) bool { return h[i].at < h[k].at }
func (h ends) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *ends) Push(x any)        { *h = append(*h, x.(end)) }
func (h *ends) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (f *farm) StartAttempt(job, engine uint32) { f.sent[job] = engine }

// parts sends so many jobs, so many of them open at a time on average, and gives each engine's part of the work.
// Engines are as fast as each other, so that only the weights can part the work.
func parts(t *testing.T, weights []float64, open float64, jobs int, sets uint64) []float64 {
	f := &farm{trace: start(t, Settings{}, Class{Threads: 1}), work: map[uint32]float64{}, sent: map[uint32]uint32{}}
	f.actions = f
	f.settings.MachineTypes[0] = MachineType{Cores: 1000, Memory: 1e6} // so that none is held
	var endpoints []Endpoint
	for i, w := range weights {
		endpoints = append(endpoints, Endpoint{ID: uint32(i + 1), Ready: true, Weight: w})
	}
	f.UpdateEndpoints(0, Snapshot, endpoints)
	chance := randomSource{seed: 3}
	const work = 0.2
	for id := uint32(1); int(id) <= jobs; id++ {
		f.at += -math.Log(1-chance.next()) * work / 2 / open
		for len(f.ends) > 0 && f.ends[0].at <= f.at {
			e := heap.Pop(&f.ends).(end)
			f.AttemptEnded(e.at, e.job, 0, AttemptResult{Status: Succeeded, Duration: work / 2, Final: true, Work: work, Memory: 100})
		}
		cost, set := work*(0.5+chance.next()), uint32(0)
		if sets > 0 {
			set = 1 + uint32(mix(uint64(id))%sets)
		}
		f.RequestArrived(f.at, Request{ID: id, Deadline: f.at + 100, Work: cost, Memory: 100, Tables: set})
		e, sent := f.sent[id]
		if !sent {
			t.Fatalf("job %d was not sent", id)
		}
		f.work[e] += cost
		heap.Push(&f.ends, end{f.at + cost/2, id})
	}
	all, due := make([]float64, len(weights)), 0.0
	for i := range weights {
		due += f.work[uint32(i+1)]
	}
	for i := range weights {
		all[i] = f.work[uint32(i+1)] / due
	}
	return all
}

// A weight of 10 against 1 parts the work in that way within a tenth of each part, whether little or much is open.
// Jobs that name no data set all have the same homes, which draw some more: within a tenth of all work.
func TestWeightsDivideWork(t *testing.T) {
	var lines []string
	for _, weights := range [][]float64{{10, 1}, {10, 1, 1, 1}, {4, 2, 2, 1, 1}, {10, 1, 1, 1, 1, 1, 1, 1, 1, 1}} {
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		for _, open := range []float64{0.1, 1, 16} {
			for _, sets := range []uint64{100000, 0} {
				if sets == 0 && len(weights) > 2 {
					continue
				}
				line := fmt.Sprintf("weights %v, %g open, %d sets of tables:", weights, open, sets)
				for i, part := range parts(t, weights, open, 25000, sets) {
					due := weights[i] / sum
					line += fmt.Sprintf(" %.3f", part)
					most := 0.1 * due
					if sets == 0 {
						most = 0.1
					}
					if math.Abs(part-due) > most {
						t.Errorf("weights %v, %g open, %d sets: engine %d has %.3f of the work, due are %.3f", weights, open, sets, i, part, due)
					}
				}
				lines = append(lines, line)
			}
		}
	}
	testutil.Check(t, lines)
}

// Weights that are all alike change nothing, whatever they are: a day's decisions are the same to the letter.
func TestEqualWeightsChangeNothing(t *testing.T) {
	day := func(weight float64) []string {
		x := start(t, Settings{MayCancel: true, MayHedge: true, GatewayCount: 3, SlowStartWindow: 10, SlowStartInitialPace: 0.2, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1},
			Class{}, Class{Idempotency: NonIdempotent, WritesTables: true})
		x.firstListAt = -100 // as one that has run for long
		var endpoints []Endpoint
		for id := range uint32(9) {
			endpoints = append(endpoints, Endpoint{ID: id + 1, Ready: true, Weight: weight, StartedAt: float64(id % 4)})
		}
		x.UpdateEndpoints(0, Snapshot, endpoints)
		chance := randomSource{seed: 11}
		for id := uint32(1); id < 600; id++ {
			x.pass(x.at + 0.02*chance.next())
			x.arrive(id, int(id%5/4), uint64(id%17), 0.1+2*chance.next(), 100+900*chance.next())
			if id > 20 {
				x.outcome(id-20, 0, []Status{Succeeded, Succeeded, Succeeded, Failed, Overloaded, ConnectionReset}[int(6*chance.next())])
			}
		}
		return x.lines
	}
	plain := day(1)
	for _, weight := range []float64{0.001, 3, 1000} {
		for i, line := range day(weight) {
			if line != plain[i] {
				t.Fatalf("weight %g: %q instead of %q", weight, line, plain[i])
			}
		}
	}
	testutil.Check(t, plain)
}

// A cold engine's budget does not grow by its weight, and its share of memory shrinks by a smaller one.
func TestWeightsAndLimits(t *testing.T) {
	x := start(t, Settings{SlowStartWindow: 10, SlowStartInitialPace: 0.2, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1, GatewayCount: 2}, Class{})
	x.at, x.firstListAt = 1, -100
	for _, weights := range [][2]float64{{1, 1}, {10, 1}, {1, 10}} {
		x.UpdateEndpoints(x.at, Snapshot, []Endpoint{
			{ID: 1, Ready: true, Weight: weights[0], StartedAt: 1},
			{ID: 2, Ready: true, Weight: weights[1]},
		})
		for _, e := range x.endpoints.ready {
			most := 0.0
			for work := 0.01; work < 100 && x.withinSlowStartBudget(&request{work: work}, e); work += 0.01 {
				most = work
			}
			x.say("weights %v: engine %d has a share of %.0f MB, slow start work up to %.2f s", weights, e.id, x.memoryShare(e), min(most, 99))
		}
	}
	x.check()
}
