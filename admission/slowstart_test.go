package admission

import (
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A gateway sends an engine that warms up no more than its part of the budget in a window.
func TestSlowStartBudget(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 2, SlowStartWindow: 10, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{})
	x.firstListAt = -100
	x.pass(1)
	x.listStarted(1, 1)
	for id := range uint32(4) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 100}) // 2 s of work is half of this gateway's half of 8 s
	}
	x.pass(2.2)
	x.check()
}

// Of many gateways, others may send to an engine that warms up in each slot of the clock; in no window do all together send
// over half of what the engine bears.
func TestSlowStartBudgetRotates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := Settings{GatewayCount: rapid.IntRange(5, 300).Draw(r, "gateways"), SlowStartWindow: 100, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, EnginesQueue: true, EnginesTakePriorities: true,
			SlowStartBudgetWindow: rapid.Float64Range(1, 4).Draw(r, "window"), MaxAttempts: 4, MachineTypes: []MachineType{{Cores: 8, Memory: 8000}},
			Classes: []Class{{Threads: 0.25, PriorityWeight: 1, LatencyObjective: 1000}}} // grants so small that only work counts
		began := rapid.Float64Range(1, 2e9).Draw(r, "clock")
		first := rapid.IntRange(0, 12).Draw(r, "step of the first request") // so that a slot's part may go late in it
		type sent struct{ at, work float64 }
		var all []sent
		served := map[int]bool{}
		gateways := make([]*Controller, set.GatewayCount)
		for i := range gateways {
			set.GatewayIndex = i
			gateways[i] = New(7, set, &trace{t: t})
			gateways[i].UpdateEndpoints(began, Snapshot, []Endpoint{{ID: 1, Ready: true, Weight: 1, StartedAt: began}})
		}
		id := uint32(0)
		for step := first; step < first+50; step++ {
			now := began + float64(step)*set.SlowStartBudgetWindow/7
			for i, g := range gateways {
				e := g.endpoints.ready[0]
				before := e.pendingWork
				g.WakeUp(now)
				for n := 0; n < 25 && len(g.classes[0].queue) < 5; n++ { // more than any part
					id++
					g.RequestArrived(now, Request{ID: id, Deadline: now + 1000, Work: 0.1 * set.SlowStartBudgetWindow, Memory: 100})
				}
				if work := e.pendingWork - before; work > 0 {
					all, served[i] = append(all, sent{now, work}), true
				}
			}
		}
		for from, one := range all {
			sum := 0.0
			for _, s := range all[from:] {
				if s.at < one.at+set.SlowStartBudgetWindow {
					sum += s.work
				}
			}
			if budget := set.SlowStartBudgetMultiple * set.SlowStartInitialFactor * 8 * set.SlowStartBudgetWindow; sum > budget/2+1e-6 {
				r.Fatalf("%g of %g in a window from %g on", sum, budget, one.at-began)
			}
		}
		if set.GatewayCount >= 20 && len(served) <= 5 { // as many as one order serves
			r.Fatalf("only %d of %d gateways had a turn", len(served), set.GatewayCount)
		}
	})
}

// Where all engines of many gateways warm up at once, each engine is sent something and no more than it bears.
func TestSlowStartOfAllEngines(t *testing.T) {
	x := newTrace(t, Settings{}, Class{})
	work, senders := map[uint32]float64{}, map[uint32]int{}
	for i := range 300 {
		g := newTrace(t, Settings{GatewayCount: 300, GatewayIndex: i, SlowStartWindow: 10, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1},
			Class{LatencyObjective: 30})
		g.at = 1
		g.listStarted(1, 1, 2, 3, 4)
		for id := range uint32(60) {
			g.arrive(Request{ID: id, Work: []float64{1, 0.1, 0.01}[id/20]})
		}
		for _, e := range g.endpoints.ready {
			if work[e.id] += e.pendingWork; e.pendingWork > 0 {
				senders[e.id]++
			}
		}
	}
	for id := range uint32(4) {
		x.say("engine that warms up %d: %.2f of 8 s from %d gateways", id+1, work[id+1], senders[id+1])
	}
	x.check()
}

// One of few gateways that has just started does not know what an earlier process sent to an engine that warms up: nothing
// goes there for the window, and its part after that. Other engines serve from the start. One of many gateways has a small
// part in any case.
func TestSlowStartAfterRestart(t *testing.T) {
	var lines []string
	for _, gateways := range []int{2, 20} {
		x := newTrace(t, Settings{GatewayCount: gateways, SlowStartWindow: 10, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{})
		x.pass(1)
		x.say("one of %d gateways", gateways)
		x.listStarted(0.9, 1)
		x.arrive(Request{ID: 1, Work: 0.05, Memory: 100})
		x.pass(1.5)
		x.listReady(Delta, 2)
		x.arrive(Request{ID: 2, Work: 0.05, Memory: 100})
		x.pass(4)
		lines = append(lines, x.lines...)
	}
	testutil.CheckTrace(t, lines)
}

// startingEngines returns the trace of one of so many gateways with engines that have just started.
func startingEngines(t *testing.T, index, gateways int) *trace {
	x := newTrace(t, Settings{GatewayCount: gateways, GatewayIndex: index, SlowStartWindow: 10, SlowStartInitialFactor: 0.25, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{LatencyObjective: 60})
	x.at = 100
	x.listStarted(100, 1, 2, 3)
	return x
}

// However indexes come and go, gateways that have different ones and know of no fewer than there are send an engine that
// warms up no more than its budget; one without an index sends nothing.
func TestSlowStartBudgetByGatewayIndex(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		numbers := rapid.IntRange(1, 40).Draw(r, "numbers")
		work := map[uint32]float64{}
		for i := range numbers {
			x := startingEngines(t, 0, 7)
			index := i
			if rapid.IntRange(0, 5).Draw(r, "none") == 0 {
				index = -1
			}
			x.SetGatewayIndex(x.at, index, numbers+rapid.IntRange(0, 3).Draw(r, "more"))
			for id := range uint32(12) {
				x.arrive(Request{ID: id + 1, Work: 0.05, Memory: 10})
			}
			for _, open := range x.requests {
				for _, a := range open.attempts {
					if index < 0 {
						r.Fatalf("a gateway without an index sent a request to an engine that warms up")
					}
					work[a.engine.id] += a.work
				}
			}
		}
		for id, sum := range work {
			if budget := 2 * 0.25 * 8.0; sum > budget {
				r.Fatalf("engine %d was sent %g of %g", id, sum, budget)
			}
		}
	})
}
