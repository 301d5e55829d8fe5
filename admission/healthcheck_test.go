package admission

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Engines are asked one after another until one has room: the others' probes would tell nothing of use.
func TestPollsUntilOneHasRoom(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 30})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3, 4)
	x.arrive(1, 0, 0, 1, 1000)
	for _, told := range [][2]float64{{0.4, 0.9}, {0.9, 0.1}, {0.3, 0.5}} { // memory taken, cores busy, good enough
		id := x.requests[1].polled.id
		x.say("engine %d has %.1f of its cores in use and %.1f of its memory granted", id, told[0], told[1])
		x.LoadReported(x.at, id, LoadReport{CPU: Measured(told[0]), MemoryGranted: Measured(told[1])})
		x.PollEnded(x.at)
	}
	x.check()
}

// An engine that does not answer in 15 ms is not waited for.
func TestUnansweredPolls(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 30})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3, 4)
	x.arrive(1, 0, 0, 1, 1000)
	x.pass(5.2)
	x.check()
}

// Found at full size: own work says nothing of an engine that many share. A long job has its engines read first.
func TestLongRequestGoesByReports(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true}, Class{})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2)
	x.arrive(1, 0, 0, 1, 1000)
	x.arrive(2, 0, 0, 0.1, 1000) // a short one does not wait
	x.LoadReported(x.at, 1, LoadReport{MemoryGranted: Measured(0.9)})
	x.LoadReported(x.at, 2, LoadReport{MemoryGranted: Measured(0.1)})
	x.pass(5.03)
	x.arrive(3, 0, 0, 1, 1000) // read a moment ago
	x.check()
}

// An engine's share opens slowly while reports say that nobody waits, is halved by one that waits, shut by full and
// by a time-out, and by and by while jobs run for longer than alone. A report that does not tell changes nothing.
func TestShareFactor(t *testing.T) {
	x := start(t, Settings{GatewayCount: 4}, Class{})
	x.list(Snapshot, true, 0, 1)
	e := x.endpoints.engines[1]
	report := func(n int, waiting float64) {
		for range n {
			x.at += 0.01
			x.LoadReported(x.at, 1, LoadReport{Waiting: Measured(waiting)})
		}
		x.say("%d reports, waiting %g: share %.0f MB", n, waiting, x.memoryShare(e))
	}
	report(1, -1)
	report(1, 0)
	report(100, 0)
	report(100, 0) // no further than so
	report(1, 1)   // one waits
	report(60, 0)
	x.arrive(1, 0, 0, 1, 1000)
	x.outcome(1, 0, Overloaded)
	x.say("share %.0f MB", x.memoryShare(e))
	report(60, 0)
	x.outcome(1, 1, Succeeded)
	for id := uint32(2); id < 40; id++ { // longer than alone
		x.at += 0.3
		x.RequestArrived(x.at, Request{ID: id, Deadline: x.at + 10, Work: 0.4, Memory: 100})
		x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: 0.4, Final: true, Work: 0.4, Memory: 100})
	}
	x.lines = slices.DeleteFunc(x.lines, func(line string) bool { return strings.Contains(line, "->") })
	report(5, 0)
	report(20, 0)
	x.check()
}

// Two hundred gateways read the same reports, half a second old, and act alike. Half of them want far more than their
// part: their shares together rise slowly to what is there, hardly beyond, and never fall back to where they began.
func TestManyGatewaysOnOneReport(t *testing.T) {
	const gateways, memory = 200, 8000.0
	var all []*Controller
	for i := range gateways {
		x := start(t, Settings{GatewayCount: gateways, GatewayIndex: i}, Class{})
		x.list(Snapshot, true, 0, 1)
		all = append(all, x.Controller)
	}
	var lines []string
	var history []float64 // granted by all together, over the memory
	least, most := 1.0, 0.0
	for step := range 2000 {
		granted := 0.0
		for i, b := range all {
			if i%2 == 0 {
				granted += b.memoryShare(b.endpoints.engines[1])
			}
		}
		history = append(history, granted/memory)
		if step%100 == 0 {
			lines = append(lines, fmt.Sprintf("step %d: granted %.2f of the memory", step, granted/memory))
		}
		if step > 500 {
			least, most = min(least, granted/memory), max(most, granted/memory)
		}
		waiting := max(history[max(step-10, 0)]-1, 0)
		for i, b := range all {
			if mix(uint64(step*gateways+i))%3 == 0 { // not all hear of it at once
				b.LoadReported(float64(step)*0.05, 1, LoadReport{Waiting: Measured(waiting)})
			}
		}
	}
	lines = append(lines, fmt.Sprintf("from %.2f to %.2f", least, most))
	if least < 0.52 || most > 1.1 {
		t.Errorf("shares swing from %.2f to %.2f of the memory", least, most)
	}
	testutil.Check(t, lines)
}

// A job of 0.1 s goes without a question while jobs run as if alone, and asks once they take longer.
func TestShortRequestsPollUnderLoad(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 100, MinPolledWork: 0.05}, Class{LatencyObjective: 30})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3)
	x.classes[0].slowdown = 1
	x.arrive(1, 0, 0, 0.1, 100)
	x.outcome(1, 0, Succeeded)
	x.at = 10
	x.classes[0].slowdown = 1.5
	x.arrive(2, 0, 0, 0.1, 100)
	x.check()
}

// Reports that are no numbers, or beyond all bounds, keep no job back.
func TestInvalidReports(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 30})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3)
	for i := range uint32(300) {
		x.LoadReported(x.at, 1+i%3, LoadReport{Waiting: Measured(math.Inf(1)), CPU: Measured(math.Inf(1)), MemoryGranted: Measured(math.Inf(1))})
		x.LoadReported(x.at, 1+i%3, LoadReport{Waiting: Measured(math.NaN()), CPU: Measured(math.NaN()), MemoryGranted: Measured(math.NaN())})
	}
	x.arrive(1, 0, 0, 1, 100)
	x.pass(7.5)
	if j := x.requests[1]; j.inFlight != 1 {
		t.Errorf("the job waits: usual reading %g, pool %g", x.usualGrantedShare, x.poolCapacity(j.class))
	}
}

// Reports that come late show engines idle that are not. A gateway whose jobs run far longer than alone on engines read
// with room goes by its own work alone, tries each eighth job still, and believes again once that comes true.
func TestMisleadingReports(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 60})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3, 4)
	id := uint32(0)
	play := func(n int, took float64) {
		for range n {
			id++
			x.at += 0.3
			for e := range uint32(4) {
				x.LoadReported(x.at, 1+e, LoadReport{Waiting: Measured(0), CPU: Measured(0.05), MemoryGranted: Measured(0.05)})
			}
			x.RequestArrived(x.at, Request{ID: id, Deadline: x.at + 30, Work: 1, Memory: 100})
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: took, Final: true, Work: 1, Memory: 100})
		}
	}
	tell := func(what string) {
		believed := 0
		for i := range uint32(80) {
			if x.trustsReports(&request{id: i}) {
				believed++
			}
		}
		x.say("%s: %d of 80 requests go by reports", what, believed)
	}
	x.lines = nil
	play(40, 0.5)
	tell("run as if alone")
	play(8, 3)
	tell("run six times as long")
	play(100, 0.5)
	tell("run as if alone again")
	x.lines = slices.DeleteFunc(x.lines, func(line string) bool { return !strings.Contains(line, "go by") })
	x.check()
}

// Another's reading counts with its age: it is passed over where an own one is newer, and stands for less of a second.
func TestPeerReports(t *testing.T) {
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
