package admission

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// weightedEngines plays engines of unequal weight and counts the work that each is sent.
type weightedEngines struct {
	*trace
	completions completions
	workOn      map[uint32]float64
	startedOn   map[uint32]uint32 // the engine of each request
}

// completion is the end of a request.
type completion struct {
	at      float64
	request uint32
}

// completions orders them by time.
type completions []completion

func (h completions) Len() int           { return len(h) }
func (h completions) Less(i, k int) bool { return h[i].at < h[k].at }
func (h completions) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *completions) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completions) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (f *weightedEngines) StartAttempt(request, engine uint32) { f.startedOn[request] = engine }

// workShares sends requests, so many of them open at a time on average, and returns each engine's share of the work. Engines
// are as fast as each other, so that only the weights can divide the work. tableSets is how many sets of tables requests
// touch, 0 for none.
func workShares(t *testing.T, weights []float64, open float64, requests int, tableSets uint64) []float64 {
	f := &weightedEngines{trace: newTrace(t, Settings{}, Class{Threads: 1}), workOn: map[uint32]float64{}, startedOn: map[uint32]uint32{}}
	f.actions = f
	f.settings.MachineTypes[0] = MachineType{Cores: 1000, Memory: 1e6} // so that none waits
	var endpoints []Endpoint
	for i, w := range weights {
		endpoints = append(endpoints, Endpoint{ID: uint32(i + 1), Ready: true, Weight: w})
	}
	f.UpdateEndpoints(0, Snapshot, endpoints)
	chance := randomSource{seed: 3}
	const work = 0.2
	for id := uint32(1); int(id) <= requests; id++ {
		f.at += -math.Log(1-chance.next()) * work / 2 / open
		for len(f.completions) > 0 && f.completions[0].at <= f.at {
			e := heap.Pop(&f.completions).(completion)
			f.AttemptEnded(e.at, e.request, 0, AttemptResult{Status: Succeeded, Duration: work / 2, Final: true, Work: work, Memory: 100})
		}
		cost, tables := work*(0.5+chance.next()), uint32(0)
		if tableSets > 0 {
			tables = 1 + uint32(mix(uint64(id))%tableSets)
		}
		f.RequestArrived(f.at, Request{ID: id, Deadline: f.at + 100, Work: cost, Memory: 100, Tables: tables})
		e, sent := f.startedOn[id]
		if !sent {
			t.Fatalf("request %d was not started", id)
		}
		f.workOn[e] += cost
		heap.Push(&f.completions, completion{f.at + cost/2, id})
	}
	all, due := make([]float64, len(weights)), 0.0
	for i := range weights {
		due += f.workOn[uint32(i+1)]
	}
	for i := range weights {
		all[i] = f.workOn[uint32(i+1)] / due
	}
	return all
}

// Work is divided by weight, within a tenth of each share, whether few or many requests are open; without tables within a
// tenth of all work.
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
				for i, part := range workShares(t, weights, open, 25000, sets) {
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
	testutil.CheckTrace(t, lines)
}

// Weights that are all alike change nothing, whatever they are: the decisions are the same to the letter.
func TestEqualWeightsChangeNothing(t *testing.T) {
	day := func(weight float64) []string {
		x := newTrace(t, Settings{MayCancel: true, MayHedge: true, GatewayCount: 3, SlowStartWindow: 10, SlowStartInitialFactor: 0.2, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1},
			Class{}, Class{Idempotency: NonIdempotent, WritesTables: true})
		x.firstListAt = -100 // as of a gateway that has run for long
		var endpoints []Endpoint
		for id := range uint32(9) {
			endpoints = append(endpoints, Endpoint{ID: id + 1, Ready: true, Weight: weight, StartedAt: float64(id % 4)})
		}
		x.UpdateEndpoints(0, Snapshot, endpoints)
		chance := randomSource{seed: 11}
		for id := uint32(1); id < 600; id++ {
			x.pass(x.at + 0.02*chance.next())
			x.arrive(Request{ID: id, Class: int(id % 5 / 4), OrderKey: uint64(id % 17), Work: 0.1 + 2*chance.next(), Memory: 100 + 900*chance.next()})
			if id > 20 {
				x.endAttempt(id-20, 0, []Status{Succeeded, Succeeded, Succeeded, Failed, Overloaded, ConnectionReset}[int(6*chance.next())])
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
	testutil.CheckTrace(t, plain)
}

// The slow start budget of an engine does not grow with its weight, and its share of memory shrinks with a smaller one.
func TestWeightsAndLimits(t *testing.T) {
	x := newTrace(t, Settings{SlowStartWindow: 10, SlowStartInitialFactor: 0.2, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1, GatewayCount: 2}, Class{})
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
