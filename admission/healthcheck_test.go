package admission

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Engines are polled one after another until one has capacity. Polling the remaining ones would yield nothing useful.
func TestPollsUntilOneHasRoom(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 30})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3, 4)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1000})
	for _, load := range []struct{ cpu, memory float64 }{{0.4, 0.9}, {0.9, 0.1}, {0.3, 0.5}} { // only the last shows capacity
		id := x.requests[1].polledEngine.id
		x.logEvent("engine %d has %.1f of its cores in use and %.1f of its memory granted", id, load.cpu, load.memory)
		x.LoadReported(x.at, id, LoadReport{CPU: Measured(load.cpu), MemoryGranted: Measured(load.memory)})
		x.PollEnded(x.at)
	}
	x.checkGolden()
}

// A request does not wait long for an engine that does not answer its poll.
func TestUnansweredPolls(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 30})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3, 4)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1000})
	x.advanceTo(5.2)
	x.checkGolden()
}

// A gateway's own work says little about an engine that many gateways share, so a long request has its engines polled first.
func TestLongRequestGoesByReports(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true}, Class{})
	x.at = 5
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1000})
	x.arrive(Request{ID: 2, Work: 0.1, Memory: 1000}) // a short one does not wait
	x.LoadReported(x.at, 1, LoadReport{MemoryGranted: Measured(0.9)})
	x.LoadReported(x.at, 2, LoadReport{MemoryGranted: Measured(0.1)})
	x.advanceTo(5.03)
	x.arrive(Request{ID: 3, Work: 1, Memory: 1000}) // both have a fresh report
	x.checkGolden()
}

// The share of an engine grows slowly while reports show no queue, is halved by a report that does, is reset by an overload and
// by a timeout, and shrinks while requests run slowly. A report without the number of waiting requests changes nothing.
func TestShareFactor(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 4}, Class{})
	x.listReady(Snapshot, 1)
	e := x.endpoints.engines[1]
	report := func(n int, waiting float64) {
		for range n {
			x.at += 0.01
			x.LoadReported(x.at, 1, LoadReport{Waiting: Measured(waiting)})
		}
		x.logEvent("%d reports, waiting %g: share %.0f MB", n, waiting, x.memoryShare(e))
	}
	report(1, -1)
	report(1, 0)
	report(100, 0)
	report(100, 0) // the maximum
	report(1, 1)   // a queue
	report(60, 0)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1000})
	x.endAttempt(1, 0, Overloaded)
	x.logEvent("share %.0f MB", x.memoryShare(e))
	report(60, 0)
	x.endAttempt(1, 1, Succeeded)
	for id := uint32(2); id < 40; id++ { // these run slowly
		x.at += 0.3
		x.RequestArrived(x.at, Request{ID: id, Deadline: x.at + 10, Work: 0.4, Memory: 100})
		x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: 0.4, Final: true, Work: 0.4, Memory: 100})
	}
	x.lines = slices.DeleteFunc(x.lines, func(line string) bool { return strings.Contains(line, "->") })
	report(5, 0)
	report(20, 0)
	x.checkGolden()
}

// Two hundred gateways read the same reports, half a second old, and react alike. Half of them want far more than their share.
// The sum of their shares must rise slowly to the available memory, hardly exceed it, and never fall back to where it began.
func TestManyGatewaysOnOneReport(t *testing.T) {
	const gateways, memory = 200, 8000.0
	var controllers []*Controller
	for i := range gateways {
		x := newTrace(t, Settings{GatewayCount: gateways, GatewayIndex: i}, Class{})
		x.listReady(Snapshot, 1)
		controllers = append(controllers, x.Controller)
	}
	var lines []string
	var history []float64 // granted by all gateways, as a share of the memory
	minShare, maxShare := 1.0, 0.0
	for step := range 2000 {
		granted := 0.0
		for i, c := range controllers {
			if i%2 == 0 {
				granted += c.memoryShare(c.endpoints.engines[1])
			}
		}
		history = append(history, granted/memory)
		if step%100 == 0 {
			lines = append(lines, fmt.Sprintf("step %d: granted %.2f of the memory", step, granted/memory))
		}
		if step > 500 {
			minShare, maxShare = min(minShare, granted/memory), max(maxShare, granted/memory)
		}
		waiting := max(history[max(step-10, 0)]-1, 0)
		for i, c := range controllers {
			if mix(uint64(step*gateways+i))%3 == 0 { // not all receive the report at the same time
				c.LoadReported(float64(step)*0.05, 1, LoadReport{Waiting: Measured(waiting)})
			}
		}
	}
	lines = append(lines, fmt.Sprintf("from %.2f to %.2f", minShare, maxShare))
	if minShare < 0.52 || maxShare > 1.1 {
		t.Errorf("shares range from %.2f to %.2f of the memory, want 0.52 to 1.1", minShare, maxShare)
	}
	testutil.CheckTrace(t, lines)
}

// A short request starts without a poll while requests run as if alone, and has engines polled once requests run slowly.
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
	x.checkGolden()
}

// Reported values that are not numbers or are out of bounds do not delay any request.
func TestInvalidReports(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 30})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3)
	for i := range uint32(300) {
		x.LoadReported(x.at, 1+i%3, LoadReport{Waiting: Measured(math.Inf(1)), CPU: Measured(math.Inf(1)), MemoryGranted: Measured(math.Inf(1))})
		x.LoadReported(x.at, 1+i%3, LoadReport{Waiting: Measured(math.NaN()), CPU: Measured(math.NaN()), MemoryGranted: Measured(math.NaN())})
	}
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.advanceTo(7.5)
	if r := x.requests[1]; r.inFlight != 1 {
		t.Errorf("the request waits: average share granted %g, pool %g", x.averageGrantedShare, x.poolCapacity(r.class))
	}
}

// Late reports may show busy engines as idle. A gateway whose requests run slowly on engines that reported capacity stops using
// reports, except for every eighth request, and trusts reports again once those requests run as if alone.
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
	describe := func(name string) {
		trusting := 0
		for i := range uint32(80) {
			if x.trustsReports(&request{id: i}) {
				trusting++
			}
		}
		x.logEvent("%s: %d of 80 requests go by reports", name, trusting)
	}
	x.lines = nil
	answer(40, 0.5)
	describe("run as if alone")
	answer(8, 3)
	describe("run six times as long")
	answer(100, 0.5)
	describe("run as if alone again")
	x.lines = slices.DeleteFunc(x.lines, func(line string) bool { return !strings.Contains(line, "go by") })
	x.checkGolden()
}

// A report that a peer requested is used with its age: it is dropped if a newer one is known, and expires earlier.
func TestPeerReports(t *testing.T) {
	x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 30})
	x.at = 10
	x.listReady(Snapshot, 1, 2)
	x.LoadReported(x.at, 1, LoadReport{Waiting: Measured(0), CPU: Measured(0.1), MemoryGranted: Measured(0.1)})
	x.PeerLoadReported(x.at, 0.5, 1, LoadReport{Waiting: Measured(9), CPU: Measured(1), MemoryGranted: Measured(1)})
	if e := x.endpoints.engines[1]; e.reportedMemory != 0.1 || e.reportedAt != 10 {
		t.Errorf("an older report was used: got %g at %g, want 0.1 at 10", e.reportedMemory, e.reportedAt)
	}
	x.at = 10.4
	x.PeerLoadReported(x.at, 0.1, 1, LoadReport{Waiting: Measured(0), CPU: Measured(0.4), MemoryGranted: Measured(0.4)})
	if e := x.endpoints.engines[1]; e.reportedMemory != 0.4 || e.reportedAt != 10.4-0.1 || x.isPollDue(e) {
		t.Errorf("a newer report was not used: got %g at %g, want 0.4 at 10.3 and no poll due", e.reportedMemory, e.reportedAt)
	}
	x.PeerLoadReported(x.at, 0, 77, LoadReport{Waiting: Measured(0), CPU: Measured(0), MemoryGranted: Measured(0)}) // an unknown engine
}
