package admission

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// weightedEngines simulates engines of unequal weight and adds up the work that each is sent.
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

// completions is a heap of completions by time.
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

// workShares sends requests, with the given number open at a time on average, and returns each engine's share of the work. All
// engines are equally fast, so that only the weights can divide the work. tableSets is the number of table sets that requests
// access, 0 for none.
func workShares(t *testing.T, weights []float64, open float64, requests int, tableSets uint64) []float64 {
	f := &weightedEngines{trace: newTrace(t, Settings{}, Class{Threads: 1}), workOn: map[uint32]float64{}, startedOn: map[uint32]uint32{}}
	f.actions = f
	f.settings.MachineTypes[0] = MachineType{Cores: 1000, Memory: 1e6} // so that no request waits
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
	shares, total := make([]float64, len(weights)), 0.0
	for i := range weights {
		total += f.workOn[uint32(i+1)]
	}
	for i := range weights {
		shares[i] = f.workOn[uint32(i+1)] / total
	}
	return shares
}

// Work is divided by weight, whether few or many requests are open: within a tenth of each share, or, for requests without
// tables, within a tenth of all work.
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
				for i, share := range workShares(t, weights, open, 25000, sets) {
					want := weights[i] / sum
					line += fmt.Sprintf(" %.3f", share)
					tolerance := 0.1 * want
					if sets == 0 {
						tolerance = 0.1
					}
					if math.Abs(share-want) > tolerance {
						t.Errorf("weights %v, %g open, %d sets: engine %d got %.3f of the work, want %.3f", weights, open, sets, i, share, want)
					}
				}
				lines = append(lines, line)
			}
		}
	}
	testutil.CheckTrace(t, lines)
}

// Equal weights change nothing, whatever their value: the decisions are exactly the same.
func TestEqualWeightsChangeNothing(t *testing.T) {
	run := func(weight float64) []string {
		x := newTrace(t, Settings{MayCancel: true, MayHedge: true, GatewayCount: 3, SlowStartWindow: 10, SlowStartInitialFactor: 0.2, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1},
			Class{}, Class{Idempotency: NonIdempotent, WritesTables: true})
		x.firstListAt = -100 // like a gateway that has been running for long
		var endpoints []Endpoint
		for id := range uint32(9) {
			endpoints = append(endpoints, Endpoint{ID: id + 1, Ready: true, Weight: weight, StartedAt: float64(id % 4)})
		}
		x.UpdateEndpoints(0, Snapshot, endpoints)
		chance := randomSource{seed: 11}
		for id := uint32(1); id < 600; id++ {
			x.advanceTo(x.at + 0.02*chance.next())
			x.arrive(Request{ID: id, Class: int(id % 5 / 4), OrderKey: uint64(id % 17), Work: 0.1 + 2*chance.next(), Memory: 100 + 900*chance.next()})
			if id > 20 {
				x.endAttempt(id-20, 0, []Status{Succeeded, Succeeded, Succeeded, Failed, Overloaded, ConnectionReset}[int(6*chance.next())])
			}
		}
		return x.lines
	}
	plain := run(1)
	for _, weight := range []float64{0.001, 3, 1000} {
		for i, line := range run(weight) {
			if line != plain[i] {
				t.Fatalf("weight %g: got %q, want %q as with weight 1", weight, line, plain[i])
			}
		}
	}
	testutil.CheckTrace(t, plain)
}

// The slow start budget of an engine does not grow with its weight, and this gateway's share of its memory shrinks with a
// smaller one.
func TestWeightsAndLimits(t *testing.T) {
	x := newTrace(t, Settings{SlowStartWindow: 10, SlowStartInitialFactor: 0.2, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1, GatewayCount: 2}, Class{})
	x.at, x.firstListAt = 1, -100
	for _, weights := range [][2]float64{{1, 1}, {10, 1}, {1, 10}} {
		x.UpdateEndpoints(x.at, Snapshot, []Endpoint{
			{ID: 1, Ready: true, Weight: weights[0], StartedAt: 1},
			{ID: 2, Ready: true, Weight: weights[1]},
		})
		for _, e := range x.endpoints.ready {
			maxWork := 0.0
			for work := 0.01; work < 100 && x.withinSlowStartBudget(&request{work: work}, e); work += 0.01 {
				maxWork = work
			}
			x.logEvent("weights %v: engine %d has a share of %.0f MB, slow start work up to %.2f s", weights, e.id, x.memoryShare(e), min(maxWork, 99))
		}
	}
	x.checkGolden()
}
