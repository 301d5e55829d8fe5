package admission

import (
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A gateway sends an engine that is warming up no more than its part of the budget in a window.
func TestSlowStartBudget(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 2, SlowStartWindow: 10, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{})
	x.firstListAt = -100
	x.advanceTo(1)
	x.listStarted(1, 1)
	for id := range uint32(4) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 100}) // 2 s of work is half of this gateway's half of 8 s
	}
	x.advanceTo(2.2)
	x.checkGolden()
}

// With many gateways, different ones may send to an engine that is warming up in each time slot. In no window may all of them
// together send more than half of what the engine can take.
func TestSlowStartBudgetRotates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		settings := Settings{GatewayCount: rapid.IntRange(5, 300).Draw(r, "gateways"), SlowStartWindow: 100, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, EnginesQueue: true, EnginesTakePriorities: true,
			SlowStartBudgetWindow: rapid.Float64Range(1, 4).Draw(r, "window"), MaxAttempts: 4, MachineTypes: []MachineType{{Cores: 8, Memory: 8000}},
			Classes: []Class{{Threads: 0.25, PriorityWeight: 1, LatencyObjective: 1000}}} // grants so small that only work counts
		start := rapid.Float64Range(1, 2e9).Draw(r, "clock")
		firstStep := rapid.IntRange(0, 12).Draw(r, "step of the first request") // so that a slot's part may be used late in the slot
		type sent struct{ at, work float64 }
		var sends []sent
		served := map[int]bool{}
		gateways := make([]*Controller, settings.GatewayCount)
		for i := range gateways {
			settings.GatewayIndex = i
			gateways[i] = New(7, settings, &trace{t: t})
			gateways[i].UpdateEndpoints(start, Snapshot, []Endpoint{{ID: 1, Ready: true, Weight: 1, StartedAt: start}})
		}
		id := uint32(0)
		for step := firstStep; step < firstStep+50; step++ {
			now := start + float64(step)*settings.SlowStartBudgetWindow/7
			for i, g := range gateways {
				e := g.endpoints.ready[0]
				before := e.pendingWork
				g.WakeUp(now)
				for n := 0; n < 25 && len(g.classes[0].queue) < 5; n++ { // more than any gateway's part
					id++
					g.RequestArrived(now, Request{ID: id, Deadline: now + 1000, Work: 0.1 * settings.SlowStartBudgetWindow, Memory: 100})
				}
				if work := e.pendingWork - before; work > 0 {
					sends, served[i] = append(sends, sent{now, work}), true
				}
			}
		}
		for i, first := range sends {
			sum := 0.0
			for _, s := range sends[i:] {
				if s.at < first.at+settings.SlowStartBudgetWindow {
					sum += s.work
				}
			}
			if budget := settings.SlowStartBudgetMultiple * settings.SlowStartInitialFactor * 8 * settings.SlowStartBudgetWindow; sum > budget/2+1e-6 {
				r.Fatalf("sent %g in the window that starts at %g, want at most half of the budget of %g", sum, first.at-start, budget)
			}
		}
		if settings.GatewayCount >= 20 && len(served) <= 5 { // the number that a single order serves
			r.Fatalf("only %d of %d gateways sent work, want more than 5", len(served), settings.GatewayCount)
		}
	})
}

// If all engines of many gateways warm up at the same time, each engine gets some work, and no more than it can take.
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
		x.logEvent("engine that warms up %d: %.2f of 8 s from %d gateways", id+1, work[id+1], senders[id+1])
	}
	x.checkGolden()
}

// One of few gateways that has just started does not know what an earlier process sent to an engine that is warming up: it
// sends nothing there for the budget window, and then its part. Other engines are used from the start. One of many gateways
// does not wait, since its part is small in any case.
func TestSlowStartAfterRestart(t *testing.T) {
	var lines []string
	for _, gateways := range []int{2, 20} {
		x := newTrace(t, Settings{GatewayCount: gateways, SlowStartWindow: 10, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{})
		x.advanceTo(1)
		x.logEvent("one of %d gateways", gateways)
		x.listStarted(0.9, 1)
		x.arrive(Request{ID: 1, Work: 0.05, Memory: 100})
		x.advanceTo(1.5)
		x.listReady(Delta, 2)
		x.arrive(Request{ID: 2, Work: 0.05, Memory: 100})
		x.advanceTo(4)
		lines = append(lines, x.lines...)
	}
	testutil.CheckTrace(t, lines)
}

// startingEngines returns the trace of one of the given number of gateways, with engines that have just started.
func startingEngines(t *testing.T, index, gateways int) *trace {
	x := newTrace(t, Settings{GatewayCount: gateways, GatewayIndex: index, SlowStartWindow: 10, SlowStartInitialFactor: 0.25, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{LatencyObjective: 60})
	x.at = 100
	x.listStarted(100, 1, 2, 3)
	return x
}

// However indexes change, gateways that have distinct indexes and assume no fewer gateways than there are send an engine that
// is warming up no more than its budget. A gateway without an index sends nothing.
func TestSlowStartBudgetByGatewayIndex(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		gateways := rapid.IntRange(1, 40).Draw(r, "gateways")
		work := map[uint32]float64{}
		for i := range gateways {
			x := startingEngines(t, 0, 7)
			index := i
			if rapid.IntRange(0, 5).Draw(r, "no index if 0") == 0 {
				index = -1
			}
			x.SetGatewayIndex(x.at, index, gateways+rapid.IntRange(0, 3).Draw(r, "extra gateways"))
			for id := range uint32(12) {
				x.arrive(Request{ID: id + 1, Work: 0.05, Memory: 10})
			}
			for _, open := range x.requests {
				for _, a := range open.attempts {
					if index < 0 {
						r.Fatalf("a gateway without an index sent a request to an engine that is warming up")
					}
					work[a.engine.id] += a.work
				}
			}
		}
		for id, sum := range work {
			if budget := 2 * 0.25 * 8.0; sum > budget {
				r.Fatalf("engine %d was sent work %g, want at most the budget of %g", id, sum, budget)
			}
		}
	})
}
