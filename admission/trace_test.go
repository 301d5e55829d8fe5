package admission

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// trace drives a controller and records its events and decisions.
type trace struct {
	*Controller
	t      *testing.T
	at     float64 // time of the next event
	wakeAt float64 // time for which a wake-up was requested, -1 for none
	lines  []string
}

// newTrace returns a trace of a controller. Engines have 8 cores and 8000 MB, and each request runs on two threads.
func newTrace(t *testing.T, settings Settings, classes ...Class) *trace {
	settings.GatewayCount = max(settings.GatewayCount, 1)
	settings.MaxAttempts = 4
	settings.EnginesTakeGrants = true
	settings.MachineTypes = []MachineType{{Cores: 8, Memory: 8000}, {Cores: 8, Memory: 8000}}
	for i := range classes {
		class := &classes[i]
		class.Threads, class.PriorityWeight = 2, 1
		if class.LatencyObjective == 0 {
			class.LatencyObjective = 5
		}
	}
	settings.Classes = classes
	x := &trace{t: t, wakeAt: -1}
	x.Controller = New(7, settings, x)
	return x
}

// listReady lists engines that accept requests and started long ago.
func (x *trace) listReady(mode ListMode, ids ...uint32) { x.list(mode, true, 0, ids) }

// listUnready lists engines that accept no requests.
func (x *trace) listUnready(mode ListMode, ids ...uint32) { x.list(mode, false, 0, ids) }

// listStarted sends a list of engines that accept requests and started at the given time.
func (x *trace) listStarted(startedAt float64, ids ...uint32) {
	x.list(Snapshot, true, startedAt, ids)
}

// list sends an endpoint list message. The zone, the cell and the machine type of an engine are the hundreds of its ID: zone 0
// for IDs below 100, zone 1 for those from 100, and so on.
func (x *trace) list(mode ListMode, ready bool, startedAt float64, ids []uint32) {
	x.logEvent("endpoints, mode %v: %v ready %v, started at %v", mode, ids, ready, startedAt)
	var endpoints []Endpoint
	for _, id := range ids {
		group := int(id) / 100
		endpoints = append(endpoints, Endpoint{
			ID:          id,
			Zone:        group,
			MachineType: group,
			Cell:        group,
			Ready:       ready,
			Weight:      1,
			StartedAt:   startedAt,
		})
	}
	x.UpdateEndpoints(x.at, mode, endpoints)
}

// advanceTo advances the time and delivers the requested wake-ups, each slightly early, as may happen with rounding.
func (x *trace) advanceTo(to float64) {
	const early = 4e-7
	for x.wakeAt >= 0 && x.wakeAt <= to {
		x.at, x.wakeAt = x.wakeAt-early, -1
		x.WakeUp(x.at)
	}
	x.at = to
}

// arrive sends a request with a deadline of 10 s. Its ordered key also serves as the hash of its tables.
func (x *trace) arrive(r Request) {
	x.logEvent("request %d class %d key %d", r.ID, r.Class, r.OrderKey)
	r.Deadline = x.at + 10
	r.Tables = uint32(r.OrderKey)
	x.RequestArrived(x.at, r)
}

// endAttempt ends an attempt after half a second. A successful one needed 1 s of work and 1000 MB.
func (x *trace) endAttempt(request uint32, number int, status Status) {
	x.logEvent("attempt %d.%d ended: %s", request, number, statusNames[status])
	result := AttemptResult{Status: status, Duration: 0.5}
	if status == Succeeded {
		result.Final, result.Work, result.Memory = true, 1, 1000
	}
	x.AttemptEnded(x.at, request, number, result)
}

var statusNames = map[Status]string{
	Succeeded:       "succeeded",
	Failed:          "failed",
	Overloaded:      "overloaded",
	TimedOut:        "timed out",
	ConnectFailed:   "connect failed",
	ConnectionReset: "connection reset",
	Cancelled:       "cancelled",
	NotStarted:      "not started",
}

// logEvent records an event.
func (x *trace) logEvent(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf("%.2f ", x.at)+fmt.Sprintf(format, args...))
}

// logDecision records a decision.
func (x *trace) logDecision(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf("%.2f     -> ", x.at)+fmt.Sprintf(format, args...))
}

func (x *trace) StartAttempt(request, engine uint32) {
	x.logDecision("start request %d on engine %d", request, engine)
}

func (x *trace) SetAttemptTerms(request uint32, priority uint8, grant float64) {
	x.logDecision("terms request %d priority %d grant %.0f", request, priority, grant)
}

func (x *trace) Reject(request uint32, retryAfter float64) {
	x.logDecision("reject request %d, retry after %g s", request, retryAfter)
}

func (x *trace) Fail(request uint32) { x.logDecision("fail request %d", request) }

func (x *trace) CancelAttempt(request uint32, attempt int) {
	x.logDecision("cancel attempt %d.%d", request, attempt)
}

func (x *trace) PollLoad(engine uint32) { x.logDecision("poll engine %d", engine) }

func (x *trace) WatchEndpoints() { x.logDecision("watch the endpoint list") }

func (x *trace) WakeAfter(seconds float64) { x.wakeAt = x.at + seconds }

// tallies records the accounting of classes and engines and the number of open requests.
func (x *trace) tallies() {
	for i, class := range x.classes {
		x.logEvent("class %d: granted %.0f MB, queued %d", i, class.grantedMemory, len(class.queue))
	}
	for _, e := range x.endpoints.ready {
		x.logEvent("engine %d: granted %.0f MB, pending work %.1f s", e.id, e.grantedMemory, e.pendingWork)
	}
	x.logEvent("requests open: %d", len(x.requests))
}

// checkGolden compares the trace with its golden file in testdata.
func (x *trace) checkGolden() {
	x.t.Helper()
	testutil.CheckTrace(x.t, x.lines)
}
