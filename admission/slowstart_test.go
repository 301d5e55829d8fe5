package admission

import (
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

func TestSlowStartBudget(t *testing.T) {
	x := start(t, Settings{GatewayCount: 2, SlowStartWindow: 10, SlowStartInitialPace: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{})
	x.firstListAt = -100
	x.pass(1)
	x.list(Snapshot, true, 1, 1)
	for id := range uint32(4) {
		x.arrive(id+1, 0, 0, 1, 100) // 2 s of work is half of this gateway's half of 8 s
	}
	x.pass(2.2)
	x.check()
}

// Of many gateways most had a part of a cold engine's budget that was under any job, so that it idled while it
// warmed up. In each slot others may send; in no window do all together send over half of what the engine bears.
func TestSlowStartBudgetRotates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := Settings{GatewayCount: rapid.IntRange(5, 300).Draw(r, "gateways"), SlowStartWindow: 100, SlowStartInitialPace: 0.5, SlowStartBudgetMultiple: 2, EnginesQueue: true, EnginesTakePriorities: true,
			SlowStartBudgetWindow: rapid.Float64Range(1, 4).Draw(r, "window"), MaxAttempts: 4, MachineTypes: []MachineType{{Cores: 8, Memory: 8000}},
			Classes: []Class{{Threads: 0.25, PriorityWeight: 1, LatencyObjective: 1000}}} // grants so small that only work counts
		began := rapid.Float64Range(1, 2e9).Draw(r, "clock")
		first := rapid.IntRange(0, 12).Draw(r, "step of the first job") // so that a slot's part may go late in it
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
			if budget := set.SlowStartBudgetMultiple * set.SlowStartInitialPace * 8 * set.SlowStartBudgetWindow; sum > budget/2+1e-6 {
				r.Fatalf("%g of %g in a window from %g on", sum, budget, one.at-began)
			}
		}
		if set.GatewayCount >= 20 && len(served) <= 5 { // as many as one order serves
			r.Fatalf("only %d of %d gateways had a turn", len(served), set.GatewayCount)
		}
	})
}

// Found at full size: with an even part each of 300 gateways' was under any job, and none went to a cold engine.
func TestSlowStartOfAllEngines(t *testing.T) {
	x := start(t, Settings{}, Class{})
	work, senders := map[uint32]float64{}, map[uint32]int{}
	for i := range 300 {
		g := start(t, Settings{GatewayCount: 300, GatewayIndex: i, SlowStartWindow: 10, SlowStartInitialPace: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1},
			Class{LatencyObjective: 30})
		g.at = 1
		g.list(Snapshot, true, 1, 1, 2, 3, 4)
		for id := range uint32(60) {
			g.arrive(id, 0, 0, []float64{1, 0.1, 0.01}[id/20], 0)
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

// One of few gateways that has just come back does not know what the life before it sent to a cold engine: nothing goes there
// for the window, and its part after that. Warm engines serve from the start. One of many has a small part in any case.
func TestSlowStartAfterRestart(t *testing.T) {
	var lines []string
	for _, gateways := range []int{2, 20} {
		x := start(t, Settings{GatewayCount: gateways, SlowStartWindow: 10, SlowStartInitialPace: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{})
		x.pass(1)
		x.say("one of %d gateways", gateways)
		x.list(Snapshot, true, 0.9, 1)
		x.arrive(1, 0, 0, 0.05, 100)
		x.pass(1.5)
		x.list(Delta, true, 0, 2)
		x.arrive(2, 0, 0, 0.05, 100)
		x.pass(4)
		lines = append(lines, x.lines...)
	}
	testutil.Check(t, lines)
}

// cold is a module of one of so many gateways with engines that have just started.
func coldOne(t *testing.T, index, gateways int) *trace {
	x := start(t, Settings{GatewayCount: gateways, GatewayIndex: index, SlowStartWindow: 10, SlowStartInitialPace: 0.25, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{LatencyObjective: 60})
	x.at = 100
	x.list(Snapshot, true, 100, 1, 2, 3)
	return x
}

// However numbers come and go, gateways that have different ones and know of no fewer than there are send a cold engine no
// more than its budget; one without a number sends nothing.
func TestSlowStartBudgetByGatewayIndex(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		numbers := rapid.IntRange(1, 40).Draw(r, "numbers")
		work := map[uint32]float64{}
		for i := range numbers {
			x := coldOne(t, 0, 7)
			index := i
			if rapid.IntRange(0, 5).Draw(r, "none") == 0 {
				index = -1
			}
			x.SetGatewayIndex(x.at, index, numbers+rapid.IntRange(0, 3).Draw(r, "more"))
			for id := range uint32(12) {
				x.arrive(id+1, 0, 0, 0.05, 10)
			}
			for _, j := range x.requests {
				for _, d := range j.attempts {
					if index < 0 {
						r.Fatalf("a gateway without a number sent a job to a cold engine")
					}
					work[d.engine.id] += d.work
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
