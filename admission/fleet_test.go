package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// cold is a module of one of so many gateways with engines that have just started.
func coldOne(t *testing.T, index, gateways int) *trace {
	x := start(t, Settings{GatewayCount: gateways, GatewayIndex: index, SlowStartWindow: 10, SlowStartInitialPace: 0.25, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1}, Class{LatencyObjective: 60})
	x.at = 100
	x.list(Snapshot, true, 100, 1, 2, 3)
	return x
}

// However numbers come and go, gateways that have different ones and know of no fewer than there are send a cold engine no
// more than its budget; one without a number sends nothing.
func TestNumbersFromAFleet(t *testing.T) {
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

// The even part of the engines follows the number of gateways until the fleet tells one.
func TestPartFollowsNumbers(t *testing.T) {
	x := start(t, Settings{GatewayCount: 4}, Class{})
	x.SetGatewayIndex(x.at, 1, 10)
	if x.capacityShare != 0.1 {
		t.Errorf("part %g of 10", x.capacityShare)
	}
	x.SetCapacityShare(x.at, 0.3)
	x.SetGatewayIndex(x.at, 1, 20)
	if x.capacityShare != 0.3 {
		t.Errorf("part %g, 0.3 was told", x.capacityShare)
	}
}

// A fleet's part of further dispatches bounds them in place of the settings' figure, and what is used of it is told.
func TestFurtherFromAFleet(t *testing.T) {
	x := start(t, Settings{RetryBudgetFree: 100, RetryBudgetRatio: 0, RetryBudgetWindow: 10, MayCancel: true}, Class{LatencyObjective: 60})
	x.list(Snapshot, true, 0, 1, 2, 3)
	x.SetRetryBudget(x.at, 2)
	for id := range uint32(5) {
		x.arrive(id+1, 0, uint64(id+1), 0.5, 100)
		x.outcome(id+1, 0, Failed)
	}
	used, wanted := x.RetryUse(x.at)
	again := 0
	for _, j := range x.requests {
		again += max(len(j.attempts)-1, 0)
	}
	if again > 2 || used != float64(again) || wanted <= used {
		t.Errorf("%d further dispatches, %g of 2 used, %g wanted", again, used, wanted)
	}
	x.SetRetryBudget(x.at, 4)
	x.pass(x.at + 1)
	if used, _ := x.RetryUse(x.at); used <= 2 || used > 4 {
		t.Errorf("%g of 4 used", used)
	}
}

// Another's reading counts with its age: it is passed over where an own one is newer, and stands for less of a second.
func TestHeardReadings(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 30})
	x.at = 10
	x.list(Snapshot, true, 0, 1, 2)
	x.LoadReported(x.at, 1, LoadReport{Waiting: Measured(0), CPU: Measured(0.1), MemoryGranted: Measured(0.1)})
	x.PeerLoadReported(x.at, 0.5, 1, LoadReport{Waiting: Measured(9), CPU: Measured(1), MemoryGranted: Measured(1)})
	if e := x.endpoints.engines[1]; e.reportedMemory != 0.1 || e.reportedAt != 10 {
		t.Errorf("an older reading was taken: %g at %g", e.reportedMemory, e.reportedAt)
	}
	x.at = 10.4
	x.PeerLoadReported(x.at, 0.1, 1, LoadReport{Waiting: Measured(0), CPU: Measured(0.4), MemoryGranted: Measured(0.4)})
	if e := x.endpoints.engines[1]; e.reportedMemory != 0.4 || e.reportedAt != 10.4-0.1 || x.isPollDue(e) {
		t.Errorf("a newer reading was not taken: %g at %g", e.reportedMemory, e.reportedAt)
	}
	x.PeerLoadReported(x.at, 0, 77, LoadReport{Waiting: Measured(0), CPU: Measured(0), MemoryGranted: Measured(0)}) // of an engine that is not listed
}
