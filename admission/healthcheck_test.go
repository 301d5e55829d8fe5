package admission

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Engines are polled one after another until one has room: polling the others would tell nothing of use.
func TestPollsUntilOneHasRoom(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 30})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3, 4)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1000})
	for _, load := range []struct{ cpu, memory float64 }{{0.4, 0.9}, {0.9, 0.1}, {0.3, 0.5}} { // only the last shows room
		id := x.requests[1].polled.id
		x.say("engine %d has %.1f of its cores in use and %.1f of its memory granted", id, load.cpu, load.memory)
		x.LoadReported(x.at, id, LoadReport{CPU: Measured(load.cpu), MemoryGranted: Measured(load.memory)})
		x.PollEnded(x.at)
	}
	x.check()
}

// A request does not wait long for an engine that does not answer its poll.
func TestUnansweredPolls(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 30})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3, 4)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1000})
	x.pass(5.2)
	x.check()
}

// A gateway's own work says little of an engine that many share: a long request has its engines polled first.
func TestLongRequestGoesByReports(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true}, Class{})
	x.at = 5
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1000})
	x.arrive(Request{ID: 2, Work: 0.1, Memory: 1000}) // a short one does not wait
	x.LoadReported(x.at, 1, LoadReport{MemoryGranted: Measured(0.9)})
	x.LoadReported(x.at, 2, LoadReport{MemoryGranted: Measured(0.1)})
	x.pass(5.03)
	x.arrive(Request{ID: 3, Work: 1, Memory: 1000}) // both have a fresh report
	x.check()
}

// The share of an engine opens slowly while reports tell of no queue, is halved by one that does, reset by an overload and a
// timeout, and shrinks while requests run slowly. A report that does not tell changes nothing.
func TestShareFactor(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 4}, Class{})
	x.listReady(Snapshot, 1)
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
	report(100, 0) // the most
	report(1, 1)   // a queue
	report(60, 0)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1000})
	x.endAttempt(1, 0, Overloaded)
	x.say("share %.0f MB", x.memoryShare(e))
	report(60, 0)
	x.endAttempt(1, 1, Succeeded)
	for id := uint32(2); id < 40; id++ { // that run slowly
		x.at += 0.3
		x.RequestArrived(x.at, Request{ID: id, Deadline: x.at + 10, Work: 0.4, Memory: 100})
		x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: 0.4, Final: true, Work: 0.4, Memory: 100})
	}
	x.lines = slices.DeleteFunc(x.lines, func(line string) bool { return strings.Contains(line, "->") })
	report(5, 0)
	report(20, 0)
	x.check()
}

// Two hundred gateways read the same reports, half a second old, and act alike. Half of them want far more than their share:
// their shares together rise slowly to what is there, hardly beyond, and never fall back to where they began.
func TestManyGatewaysOnOneReport(t *testing.T) {
	const gateways, memory = 200, 8000.0
	var all []*Controller
	for i := range gateways {
		x := newTrace(t, Settings{GatewayCount: gateways, GatewayIndex: i}, Class{})
		x.listReady(Snapshot, 1)
		all = append(all, x.Controller)
	}
	var lines []string
	var history []float64 // granted by all together, over the memory
	least, most := 1.0, 0.0
	for step := range 2000 {
		granted := 0.0
		for i, c := range all {
			if i%2 == 0 {
				granted += c.memoryShare(c.endpoints.engines[1])
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
		for i, c := range all {
			if mix(uint64(step*gateways+i))%3 == 0 { // not all hear of it at once
				c.LoadReported(float64(step)*0.05, 1, LoadReport{Waiting: Measured(waiting)})
			}
		}
	}
	lines = append(lines, fmt.Sprintf("from %.2f to %.2f", least, most))
	if least < 0.52 || most > 1.1 {
		t.Errorf("shares swing from %.2f to %.2f of the memory", least, most)
	}
	testutil.CheckTrace(t, lines)
}

// A short request starts without a poll while requests run as if alone, and has engines polled once they run slowly.
func TestShortRequestsPollUnderLoad(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 100, MinPolledWork: 0.05}, Class{LatencyObjective: 30})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3)
	x.classes[0].slowdown = 1
	x.arrive(Request{ID: 1, Work: 0.1, Memory: 100})
	x.endAttempt(1, 0, Succeeded)
	x.at = 10
	x.classes[0].slowdown = 1.5
	x.arrive(Request{ID: 2, Work: 0.1, Memory: 100})
	x.check()
}

// Reports that are no numbers, or beyond all bounds, keep no request back.
func TestInvalidReports(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 30})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3)
	for i := range uint32(300) {
		x.LoadReported(x.at, 1+i%3, LoadReport{Waiting: Measured(math.Inf(1)), CPU: Measured(math.Inf(1)), MemoryGranted: Measured(math.Inf(1))})
		x.LoadReported(x.at, 1+i%3, LoadReport{Waiting: Measured(math.NaN()), CPU: Measured(math.NaN()), MemoryGranted: Measured(math.NaN())})
	}
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.pass(7.5)
	if r := x.requests[1]; r.inFlight != 1 {
		t.Errorf("the request waits: usual share granted %g, pool %g", x.usualGrantedShare, x.poolCapacity(r.class))
	}
}

// Late reports show engines idle that are not. A gateway whose requests run slowly on engines that had reported room goes by
// its own work, but for each eighth request, and trusts reports again once those run as if alone.
func TestMisleadingReports(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 60})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3, 4)
	id := uint32(0)
	answer := func(n int, duration float64) {
		for range n {
			id++
			x.at += 0.3
			for e := range uint32(4) {
				x.LoadReported(x.at, 1+e, LoadReport{Waiting: Measured(0), CPU: Measured(0.05), MemoryGranted: Measured(0.05)})
			}
			x.RequestArrived(x.at, Request{ID: id, Deadline: x.at + 30, Work: 1, Memory: 100})
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: duration, Final: true, Work: 1, Memory: 100})
		}
	}
	describe := func(what string) {
		trusting := 0
		for i := range uint32(80) {
			if x.trustsReports(&request{id: i}) {
				trusting++
			}
		}
		x.say("%s: %d of 80 requests go by reports", what, trusting)
	}
	x.lines = nil
	answer(40, 0.5)
	describe("run as if alone")
	answer(8, 3)
	describe("run six times as long")
	answer(100, 0.5)
	describe("run as if alone again")
	x.lines = slices.DeleteFunc(x.lines, func(line string) bool { return !strings.Contains(line, "go by") })
	x.check()
}

// A report that a peer asked for counts with its age: it is dropped where a newer one is known, and expires sooner.
func TestPeerReports(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 30})
	x.at = 10
	x.listReady(Snapshot, 1, 2)
	x.LoadReported(x.at, 1, LoadReport{Waiting: Measured(0), CPU: Measured(0.1), MemoryGranted: Measured(0.1)})
	x.PeerLoadReported(x.at, 0.5, 1, LoadReport{Waiting: Measured(9), CPU: Measured(1), MemoryGranted: Measured(1)})
	if e := x.endpoints.engines[1]; e.reportedMemory != 0.1 || e.reportedAt != 10 {
		t.Errorf("an older report was taken: %g at %g", e.reportedMemory, e.reportedAt)
	}
	x.at = 10.4
	x.PeerLoadReported(x.at, 0.1, 1, LoadReport{Waiting: Measured(0), CPU: Measured(0.4), MemoryGranted: Measured(0.4)})
	if e := x.endpoints.engines[1]; e.reportedMemory != 0.4 || e.reportedAt != 10.4-0.1 || x.isPollDue(e) {
		t.Errorf("a newer report was not taken: %g at %g", e.reportedMemory, e.reportedAt)
	}
	x.PeerLoadReported(x.at, 0, 77, LoadReport{Waiting: Measured(0), CPU: Measured(0), MemoryGranted: Measured(0)}) // of an engine that is not known
}
