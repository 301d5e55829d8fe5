package admission

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// trace drives one module and writes down what it is told and what it decides.
type trace struct {
	*Controller
	t     *testing.T
	at    float64
	bell  float64
	lines []string
}

// The traces' engines have 8 cores and 8000 MB; a job of a class runs on two threads.
func start(t *testing.T, set Settings, classes ...Class) *trace {
	set.GatewayCount = max(set.GatewayCount, 1)
	set.MaxAttempts = 4
	set.EnginesTakeGrants = true
	set.MachineTypes = []MachineType{{Cores: 8, Memory: 8000}, {Cores: 8, Memory: 8000}}
	for i := range classes {
		c := &classes[i]
		c.Threads, c.PriorityWeight = 2, 1
		if c.LatencyObjective == 0 {
			c.LatencyObjective = 5
		}
	}
	set.Classes = classes
	x := &trace{t: t, bell: -1}
	x.Controller = New(7, set, x)
	return x
}

// list tells the roster: engines by id; one over 100 is in zone 1, cell 1 and of kind 1.
func (x *trace) list(mode ListMode, ready bool, up float64, ids ...uint32) {
	x.say("endpoints, mode %v: %v ready %v, started at %v", mode, ids, ready, up)
	var endpoints []Endpoint
	for _, id := range ids {
		far := int(id) / 100
		endpoints = append(endpoints, Endpoint{ID: id, Zone: far, MachineType: far, Cell: far, Ready: ready, Weight: 1, StartedAt: up})
	}
	x.UpdateEndpoints(x.at, mode, endpoints)
}

// pass lets time go by, with the wake-ups asked for: each a hair early, as rounding may have it.
func (x *trace) pass(to float64) {
	for x.bell >= 0 && x.bell <= to {
		x.at, x.bell = x.bell-4e-7, -1
		x.WakeUp(x.at)
	}
	x.at = to
}

// arrive takes a job of a class: work in seconds and memory as estimates, given up after 10 s.
func (x *trace) arrive(id uint32, class int, key uint64, work, memory float64) {
	x.say("request %d class %d key %d", id, class, key)
	x.RequestArrived(x.at, Request{ID: id, Class: class, OrderKey: key, Deadline: x.at + 10, Work: work, Memory: memory, Tables: uint32(key)})
}

func (x *trace) outcome(id uint32, number int, s Status) {
	x.say("attempt %d.%d ended: %s", id, number,
		[]string{"succeeded", "failed", "overloaded", "timed out", "connect failed", "connection reset", "cancelled", "not started"}[s])
	work, memory := 0.0, 0.0
	if s == Succeeded {
		work, memory = 1, 1000
	}
	x.AttemptEnded(x.at, id, number, AttemptResult{Status: s, Duration: 0.5, Final: s == Succeeded, Work: work, Memory: memory})
}

func (x *trace) say(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf("%.2f ", x.at)+fmt.Sprintf(format, args...))
}

func (x *trace) act(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf("%.2f     -> ", x.at)+fmt.Sprintf(format, args...))
}

func (x *trace) StartAttempt(job, engine uint32) {
	x.act("start request %d on engine %d", job, engine)
}
func (x *trace) SetAttemptTerms(job uint32, priority uint8, grant float64) {
	x.act("terms request %d priority %d grant %.0f", job, priority, grant)
}
func (x *trace) Reject(job uint32, comeBack float64) {
	x.act("reject request %d, retry after %g s", job, comeBack)
}
func (x *trace) Fail(job uint32)                        { x.act("fail request %d", job) }
func (x *trace) CancelAttempt(job uint32, dispatch int) { x.act("cancel attempt %d.%d", job, dispatch) }
func (x *trace) PollLoad(engine uint32)                 { x.act("poll engine %d", engine) }
func (x *trace) WatchEndpoints()                        { x.act("watch the endpoint list") }
func (x *trace) WakeAfter(after float64)                { x.bell = x.at + after }

// tallies writes down what is booked.
func (x *trace) tallies() {
	for i, c := range x.classes {
		x.say("class %d: granted %.0f MB, queued %d", i, c.grantedMemory, len(c.queue))
	}
	for _, e := range x.endpoints.ready {
		x.say("engine %d: granted %.0f MB, pending work %.1f s", e.id, e.grantedMemory, e.pendingWork)
	}
	x.say("requests open: %d", len(x.requests))
}

// check compares the trace with the one kept under testdata.
func (x *trace) check() {
	x.t.Helper()
	testutil.Check(x.t, x.lines)
}
