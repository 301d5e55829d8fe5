package admission

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

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
	x.say("roster %v: %v ready %v, up %v", mode, ids, ready, up)
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
	x.say("job %d class %d key %d", id, class, key)
	x.RequestArrived(x.at, Request{ID: id, Class: class, OrderKey: key, Deadline: x.at + 10, Work: work, Memory: memory, Tables: uint32(key)})
}

func (x *trace) outcome(id uint32, number int, s Status) {
	x.say("outcome job %d.%d %s", id, number,
		[]string{"done", "failed", "full", "timed out", "no connection", "reset", "called off", "moot"}[s])
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
	x.act("dispatch job %d to engine %d", job, engine)
}
func (x *trace) SetAttemptTerms(job uint32, priority uint8, grant float64) {
	x.act("terms job %d priority %d grant %.0f", job, priority, grant)
}
func (x *trace) Reject(job uint32, comeBack float64) {
	x.act("throttle job %d for %g s", job, comeBack)
}
func (x *trace) Fail(job uint32)                        { x.act("cancel job %d for good", job) }
func (x *trace) CancelAttempt(job uint32, dispatch int) { x.act("call off job %d.%d", job, dispatch) }
func (x *trace) PollLoad(engine uint32)                 { x.act("probe engine %d", engine) }
func (x *trace) WatchEndpoints()                        { x.act("watch the roster") }
func (x *trace) WakeAfter(after float64)                { x.bell = x.at + after }

// tallies writes down what is booked.
func (x *trace) tallies() {
	for i, c := range x.classes {
		x.say("class %d: tally %.0f, held %d", i, c.grantedMemory, len(c.queue))
	}
	for _, e := range x.endpoints.ready {
		x.say("engine %d: tally %.0f, work %.1f", e.id, e.grantedMemory, e.pendingWork)
	}
	x.say("jobs open: %d", len(x.requests))
}

// check compares the trace with the one kept under testdata.
func (x *trace) check() {
	x.t.Helper()
	testutil.Check(x.t, x.lines)
}

func TestGrants(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Snapshot, true, 0, 1, 2)
	x.arrive(1, 0, 0, 1, 0)    // nothing told or learned: no grant named
	x.arrive(2, 0, 0, 1, 1000) // a margin over
	x.arrive(3, 0, 0, 1, 10)   // the least
	x.arrive(4, 0, 0, 1, 5000) // the most
	x.tallies()
	x.outcome(1, 0, Succeeded)
	x.arrive(5, 0, 0, 1, 0) // four fifths over what answers told
	for id := range uint32(4) {
		x.arrive(id+6, 0, 0, 1, 500) // told half of the need: the margin grows
		x.outcome(id+6, 0, Succeeded)
	}
	x.check()
}

func TestQueueReleasesInArrivalOrder(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Snapshot, true, 0, 1)
	for id := range uint32(7) {
		x.arrive(id+1, 0, 0, 1, 5000)
	}
	x.outcome(2, 0, Succeeded)
	x.outcome(1, 0, Succeeded)
	x.tallies()
	x.check()
}

func TestShareBindsUnderPressure(t *testing.T) {
	x := start(t, Settings{GatewayCount: 4, EnginesQueue: true, EnginesTakePriorities: true}, Class{})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 0, 0, 1, 1600)
	x.arrive(2, 0, 0, 1, 1600) // past the share, but the engine shows no pressure and the pool has room
	x.outcome(1, 0, Overloaded)
	x.pass(0.5)
	x.tallies()
	x.check()
}

func TestFullQueueThrottles(t *testing.T) {
	x := start(t, Settings{MaxRetryAfter: 2}, Class{LatencyObjective: 1000})
	x.list(Snapshot, false, 0, 1)
	for id := range uint32(201) {
		x.RequestArrived(0, Request{ID: id + 1, Deadline: 2000, Work: 1, Memory: 100})
	}
	x.tallies()
	x.check()
}

func TestHopelessIsThrottled(t *testing.T) {
	x := start(t, Settings{MaxRetryAfter: 2}, Class{LatencyObjective: 2})
	x.list(Snapshot, false, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	x.pass(3)
	x.tallies()
	x.check()
}

// Of the held jobs up to one that would end late by its turn, the one of least billed value for its work
// goes.
func TestLongestGivesWay(t *testing.T) {
	x := start(t, Settings{}, Class{LatencyObjective: 4})
	x.list(Snapshot, true, 0, 1)
	for id := range uint32(4) {
		x.arrive(id+1, 0, 0, 1, 5000)
	}
	x.pass(0.5)
	x.outcome(1, 0, Succeeded) // one second of work a second is what gets done
	x.arrive(5, 0, 0, 1, 5000)
	x.arrive(6, 0, 0, 4, 5000)
	x.arrive(7, 0, 0, 1, 5000)
	x.arrive(8, 0, 0, 1, 5000)
	x.pass(0.6)
	x.check()
}

func TestOverShareGivesWay(t *testing.T) {
	x := start(t, Settings{OverQuotaWeight: 0.1, TenantQuotas: []float64{1}}, Class{LatencyObjective: 3})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 0, 0, 1, 5000)
	x.pass(0.5)
	x.outcome(1, 0, Succeeded)
	for id := range uint32(8) {
		x.arrive(id+2, 0, 0, 1, 5000)
	}
	x.pass(0.6)
	x.check()
}

func TestOneFinalAnswer(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{Idempotency: NonIdempotent})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	x.pass(10.01)
	x.outcome(1, 0, Cancelled)
	x.arrive(2, 0, 0, 1, 100)
	x.RequestCancelled(x.at, 2)
	x.outcome(2, 0, Succeeded)
	x.tallies()
	x.check()
}

func TestRunOnce(t *testing.T) {
	x := start(t, Settings{MaxRetryAfter: 2}, Class{Idempotency: NonIdempotent})
	x.list(Snapshot, true, 0, 1, 2)
	x.arrive(1, 0, 0, 1, 100)
	x.outcome(1, 0, Overloaded) // never ran: again
	x.outcome(1, 1, Failed)
	x.arrive(2, 0, 0, 1, 100)
	x.outcome(2, 0, ConnectFailed)
	x.list(Delta, false, 0, 1, 2)
	x.outcome(2, 1, ConnectFailed)
	x.pass(6) // never ran: throttled
	x.check()
}

func TestKeyedStaysInGroupAndWindow(t *testing.T) {
	x := start(t, Settings{}, Class{Idempotency: IdempotentWithKey, DedupScope: DedupInZone, IdempotencyWindow: 2, LatencyObjective: 9},
		Class{Idempotency: IdempotentWithKey, DedupScope: DedupEverywhere, IdempotencyWindow: 2, LatencyObjective: 9})
	x.list(Snapshot, true, 0, 1, 2, 101)
	x.arrive(1, 0, 0, 1, 100)
	x.outcome(1, 0, Failed)
	x.outcome(1, 1, Failed)
	x.pass(1.95)
	x.outcome(1, 2, Failed) // the window is over, and a throttle would not be harmless
	x.arrive(2, 1, 0, 1, 100)
	x.pass(4)
	x.outcome(2, 0, Failed) // here it is
	x.check()
}

func TestKeyOrderAndRest(t *testing.T) {
	x := start(t, Settings{OrderedKeyBackoff: 1}, Class{Ordered: true, Idempotency: IdempotentWithKey, LatencyObjective: 9, IdempotencyWindow: 5})
	x.list(Snapshot, true, 0, 1, 2, 3)
	x.arrive(1, 0, 5, 1, 100)
	x.arrive(2, 0, 5, 1, 100)
	x.arrive(3, 0, 6, 1, 100)
	x.arrive(4, 0, 0, 1, 100)
	x.outcome(1, 0, ConnectionReset) // its own further dispatch does not rest
	x.outcome(1, 1, Succeeded)
	x.pass(1.1)
	x.outcome(2, 0, Succeeded)
	x.check()
}

func TestPlacementHolds(t *testing.T) {
	x := start(t, Settings{}, Class{AllowedZones: []int{1}}, Class{AllowedMachineTypes: []int{0}})
	x.list(Snapshot, true, 0, 1, 101)
	x.arrive(1, 0, 0, 1, 100)
	x.arrive(2, 1, 0, 1, 100)
	x.outcome(1, 0, ConnectFailed)
	x.pass(0.5) // rather held than sent elsewhere
	x.outcome(2, 0, Failed)
	x.tallies()
	x.check()
}

func TestFurtherDispatchesStayInBudget(t *testing.T) {
	x := start(t, Settings{RetryBudgetWindow: 1, RetryBudgetFree: 1, RetryBudgetRatio: 0.5}, Class{})
	x.list(Snapshot, true, 0, 1, 2, 3)
	for id := range uint32(4) {
		x.arrive(id+1, 0, 0, 1, 100)
	}
	for id := range uint32(4) {
		x.outcome(id+1, 0, Overloaded)
	}
	x.pass(0.5)
	x.pass(1.5) // the window has passed
	x.check()
}

func TestDrainAndStaleList(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(CachedSnapshot, true, 0, 1, 2)
	x.list(Delta, false, 0, 1)
	for id := range uint32(3) {
		x.arrive(id+1, 0, 0, 1, 100)
	}
	x.list(Snapshot, true, 0, 3)
	x.arrive(4, 0, 0, 1, 100)
	x.check()
}

func TestColdBudgetIsParted(t *testing.T) {
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
func TestColdBudgetTurns(t *testing.T) {
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

// Engines are asked one after another until one has room: the others' probes would tell nothing of use.
func TestAsksUntilOneHasRoom(t *testing.T) {
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
func TestUnansweredProbes(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 30})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3, 4)
	x.arrive(1, 0, 0, 1, 1000)
	x.pass(5.2)
	x.check()
}

func TestRosterThatHasToBeAsked(t *testing.T) {
	x := start(t, Settings{EndpointsOnRequest: true}, Class{})
	x.list(CachedSnapshot, true, 0, 1)
	x.list(ListUnavailable, true, 0)
	x.pass(2.5)
	x.list(Delta, true, 0, 2)
	x.pass(6)
	x.check()
}

func TestStreamHasNoDeadline(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	x.StreamStarted(x.at, 1)
	x.pass(20)
	x.outcome(1, 0, Succeeded)
	x.tallies()
	x.check()
}

// A hung engine takes jobs and answers none: it is doubted, its jobs move, one light job tries it later.
func TestSilentEngine(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{LatencyObjective: 30}, Class{LatencyObjective: 60, Idempotency: NonIdempotent})
	x.list(Snapshot, true, 0, 1, 2)
	for id := range uint32(12) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
	}
	x.arrive(13, 1, 0, 0.1, 100)
	for id := range uint32(13) {
		if d := x.requests[id+1].attempts[0]; d.engine.id == 2 {
			x.outcome(id+1, 0, Succeeded)
		}
	}
	x.pass(1.2)
	for id := range uint32(12) {
		if j := x.requests[id+1]; j != nil {
			x.outcome(id+1, 0, Cancelled)
		}
	}
	x.pass(2.5)
	for id := range uint32(4) {
		x.arrive(20+id, 0, uint64(id), 0.1, 100) // one of them tries the engine
	}
	x.pass(5)
	x.check()
}

// Everything slow at once: none is doubted, nothing moves.
func TestAllSilentNoneDoubted(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{LatencyObjective: 30})
	x.list(Snapshot, true, 0, 1, 2, 3)
	for id := range uint32(12) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
	}
	x.pass(6)
	x.check()
}

// Found on a recorded day: a gateway that stood still itself took its engines' answers, late in the same
// batch, for silence.
func TestOwnStallIsNoSilence(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{LatencyObjective: 30})
	x.list(Snapshot, true, 0, 1, 2)
	for id := range uint32(8) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
	}
	for id := range uint32(8) {
		if d := x.requests[id+1].attempts[0]; d.engine.id == 2 {
			x.outcome(id+1, 0, Succeeded) // engine 2 has nothing open, so engine 1 alone could be silent
		}
	}
	x.at = 3
	x.say("nothing came for three seconds")
	x.WakeUp(x.at)
	x.check()
}

// An engine that fails quickly looks idle; it rests, longer at each relapse.
func TestFailingEngine(t *testing.T) {
	x := start(t, Settings{}, Class{LatencyObjective: 30})
	x.list(Snapshot, true, 0, 1, 2)
	for id := range uint32(10) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
		if d := x.requests[id+1].attempts[0]; d.engine.id == 2 {
			x.outcome(id+1, 0, Failed)
		} else {
			x.outcome(id+1, 0, Succeeded)
		}
	}
	x.pass(1.5)
	x.arrive(11, 0, 0, 0.1, 100)
	x.check()
}

// A dispatch at a fifth of its pace has a bad plan: it is called off and sent again.
func TestRunaway(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{LatencyObjective: 30})
	x.list(Snapshot, true, 0, 1, 2)
	x.arrive(1, 0, 0, 2, 100)
	x.pass(1)
	x.AttemptProgressed(x.at, 1, 0, 1, 0.01)
	x.outcome(1, 0, Cancelled)
	x.pass(1.5)
	x.AttemptProgressed(x.at, 1, 1, 1, 0.4)
	x.check()
}

// Whatever the order of outcomes, clients leaving and engines leaving, nothing stays booked.
func TestTalliesReturnToZero(t *testing.T) {
	x := start(t, Settings{MayCancel: true, MayHedge: true},
		Class{}, Class{Idempotency: NonIdempotent}, Class{Idempotency: IdempotentWithKey})
	x.list(Snapshot, true, 0, 1, 2, 3)
	for id := range uint32(30) {
		x.RequestArrived(x.at, Request{ID: id, Class: int(id) % 3, Deadline: 10, Work: 0.7, Memory: 700, Tables: id % 5})
	}
	x.list(Delta, false, 0, 2)
	for id := range uint32(30) {
		if id%7 == 0 {
			x.RequestCancelled(x.at, id)
		}
		if j := x.requests[id]; j != nil && j.inFlight > 0 {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Status(id % 8), Duration: 0.1, Final: id%8 == 0, Work: 0.7, Memory: 700})
		}
	}
	x.pass(11)
	for id := range uint32(30) {
		for n := range 5 {
			x.AttemptEnded(x.at, id, n, AttemptResult{Status: Cancelled, Duration: 11, Final: true})
		}
	}
	x.lines = nil
	x.tallies()
	x.check()
}

// Found on a recorded day: five gateways that may each hold one maximum grant overfill an engine for good.
func TestManyGatewaysPartAnEngine(t *testing.T) {
	x := start(t, Settings{GatewayCount: 5}, Class{})
	x.list(Snapshot, true, 0, 1, 2)
	for id := range uint32(3) {
		x.arrive(id+1, 0, 0, 1, 5000) // one on each engine, the third is held
	}
	x.outcome(2, 0, Succeeded)
	x.tallies()
	x.check()
}

// Found on a recorded day: jobs that stood still behind a load made their engines look hung, though progress
// was told.
func TestProgressIsNoSilence(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{LatencyObjective: 30, Idempotency: IdempotentWithKey, IdempotencyWindow: 60})
	x.list(Snapshot, true, 0, 1, 2)
	for id := range uint32(8) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
	}
	for id := range uint32(8) {
		if d := x.requests[id+1].attempts[0]; d.engine.id == 2 {
			x.outcome(id+1, 0, Succeeded)
		}
	}
	for i := range 4 {
		x.pass(float64(i+1) * 0.8)
		for id := range uint32(8) {
			x.AttemptProgressed(x.at, id+1, 0, 1, float64(i+1)/10)
		}
	}
	x.say("no more word")
	x.pass(6)
	x.check()
}

// Found at full size: with an even part each of 300 gateways' was under any job, and none went to a cold engine.
func TestMassRestartAtManyGateways(t *testing.T) {
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
		x.say("cold engine %d: %.2f of 8 s from %d gateways", id+1, work[id+1], senders[id+1])
	}
	x.check()
}

// Found at full size: own work says nothing of an engine that many share. A long job has its engines read first.
func TestLongJobGoesByReadings(t *testing.T) {
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

// Found at full size: few jobs a gateway, and those on a jammed engine end by time-out only.
func TestTimeOutsAreFailures(t *testing.T) {
	x := start(t, Settings{}, Class{LatencyObjective: 30})
	x.list(Snapshot, true, 0, 1, 2, 3, 4)
	for id := range uint32(24) {
		x.pass(float64(id) * 0.1)
		x.arrive(id, 0, uint64(id), 0.1, 100)
		if d := x.requests[id].attempts[0]; d.engine.id == 2 {
			x.outcome(id, 0, TimedOut)
		} else {
			x.outcome(id, 0, Succeeded)
		}
	}
	x.check()
}

func TestOddSettings(t *testing.T) {
	x := start(t, Settings{GatewayCount: 2, GatewayIndex: 7, EnginesReportMemory: true, MayCancel: true}, Class{})
	x.arrive(1, 0, 0, 1, 100) // no roster yet
	x.list(CachedSnapshot, true, 0)
	x.arrive(2, 0, 0, 0, 0)
	x.list(Delta, true, 0, 901) // of a kind that is not told
	x.pass(0.1)
	x.outcome(2, 0, TimedOut)
	x.pass(6)
	x.check()
}

// Found at full size: an even part was one maximum grant, and long jobs were held while engines had room.
func TestPatientEnginesBearMore(t *testing.T) {
	x := start(t, Settings{GatewayCount: 260, EnginesQueue: true, EnginesTakePriorities: true}, Class{LatencyObjective: 30})
	x.list(Snapshot, true, 0, 1, 2, 3)
	for id := range uint32(3) {
		x.arrive(id, 0, 0, 1, 5000)
	}
	x.tallies()
	x.check()
}

// A gateway that ends answers all by then: what can't be done gives way, what may have run is cancelled.
func TestEnds(t *testing.T) {
	x := start(t, Settings{MaxRetryAfter: 2, MayCancel: true}, Class{}, Class{Idempotency: NonIdempotent})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 1, 0, 1, 500)
	x.arrive(2, 0, 0, 1, 500)
	x.pass(1)
	x.list(Delta, false, 0, 1)
	x.arrive(3, 1, 0, 1, 500) // held, never dispatched
	x.arrive(4, 0, 0, 8, 500)
	x.say("the gateway ends at 3")
	x.ShutDownAt(x.at, 3)
	x.outcome(2, 0, Succeeded)
	x.pass(2.9)
	x.arrive(5, 0, 0, 1, 500) // too late to be done
	x.pass(3.1)
	x.outcome(1, 0, Cancelled)
	x.tallies()
	x.check()
}

// Crossing has the same price for every job: a short one stays where a long one crosses.
func TestShortJobsStayNear(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Snapshot, true, 0, 1, 101)
	x.arrive(1, 0, 0, 0.3, 100)
	x.arrive(2, 0, 0, 0.1, 100)
	x.arrive(3, 0, 0, 1, 100)
	x.arrive(4, 0, 0, 1, 100)
	x.arrive(5, 0, 0, 0.1, 100)
	x.check()
}

// One connection lost among many answers blames no engine; one refused does.
func TestLostConnection(t *testing.T) {
	x := start(t, Settings{}, Class{Idempotency: NonIdempotent})
	x.list(Snapshot, true, 0, 1, 2)
	for id := range uint32(12) {
		x.arrive(id+1, 0, 0, 1, 100)
		x.outcome(id+1, 0, Succeeded)
	}
	x.arrive(20, 0, 0, 1, 100)
	x.outcome(20, 0, ConnectionReset)
	doubted := func() (n int) {
		for _, e := range x.endpoints.ready {
			if e.suspected {
				n++
			}
		}
		return n
	}
	x.say("doubted: %d", doubted())
	x.arrive(21, 0, 0, 1, 100)
	x.outcome(21, 0, ConnectFailed)
	x.say("doubted: %d", doubted())
	x.check()
}

// Engines that come under ever new names are forgotten once they are gone and nothing of theirs is open.
func TestGoneEnginesAreForgotten(t *testing.T) {
	x := start(t, Settings{SlowStartBudgetWindow: 1}, Class{})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	for id := range uint32(20) {
		x.list(Delta, true, 0, id+2)
		x.list(Delta, false, 0, id+1)
	}
	x.say("known: %d", len(x.endpoints.engines))
	x.outcome(1, 0, Succeeded)
	x.pass(2)
	x.list(Delta, true, 0, 21)
	x.say("known: %d", len(x.endpoints.engines))
	x.check()
}

// A light job that its engine keeps while it answers others gets a second copy elsewhere; a long one, one that may not be
// repeated and one whose engine says nothing at all do not.
func TestLaggingJobGetsACopy(t *testing.T) {
	x := start(t, Settings{MayHedge: true, MayCancel: true}, Class{}, Class{Idempotency: NonIdempotent})
	x.list(Snapshot, true, 0, 1, 2)
	x.arrive(1, 0, 0, 0.1, 100)
	x.arrive(2, 1, 0, 0.1, 100)
	x.arrive(3, 0, 0, 2, 100)
	x.pass(0.9) // the mean run of a class without answers is taken to be over 3 s: its engine says nothing
	for _, e := range x.endpoints.ready {
		e.lastAnswerAt = 0.8
	}
	for _, c := range x.classes {
		c.meanWork = 0.1
	}
	x.pass(0.95)
	x.WakeUp(x.at)
	x.outcome(1, 1, Succeeded)
	x.outcome(1, 0, Cancelled)
	x.tallies()
	x.check()
}

// A restartable job yields to another: it is called off and goes again once that one has gone, or when that one ends
// without going. A run-once job, one that has used its dispatches up, and one whose budget for further dispatches is
// spent do not; a done that crosses the call-off counts.
func TestYield(t *testing.T) {
	x := start(t, Settings{MayCancel: true, RetryBudgetFree: 4, RetryBudgetWindow: 10}, Class{}, Class{Idempotency: NonIdempotent}, Class{})
	x.list(Snapshot, true, 0, 1)
	yield := func(id, to uint32) { x.say("job %d yields to %d: %v", id, to, x.Preempt(x.at, id, to)) }
	x.arrive(1, 0, 0, 1, 5000)
	x.arrive(2, 1, 0, 1, 5000)
	for id := uint32(3); id < 6; id++ {
		x.arrive(id, 2, 0, 1, 5000)
	}
	x.arrive(9, 2, 0, 1, 5000) // held
	yield(2, 9)                // run-once
	yield(1, 7)                // to none
	yield(1, 9)
	yield(1, 9) // twice
	x.outcome(1, 0, Cancelled)
	x.pass(0.2)
	x.outcome(3, 0, Succeeded)
	x.outcome(9, 0, Succeeded)
	x.pass(0.4)
	x.arrive(10, 2, 0, 1, 5000)
	x.arrive(11, 2, 0, 1, 5000)
	yield(4, 11)
	x.outcome(4, 0, Succeeded) // crosses the call-off
	x.pass(0.6)
	x.tallies()
	x.outcome(5, 0, Succeeded)
	x.outcome(2, 0, Succeeded)
	x.arrive(20, 0, 0, 1, 5000)
	x.pass(0.7)
	for number, status := range []Status{Overloaded, Failed, Overloaded} { // three of its four dispatches, and the budget's further ones
		x.outcome(20, number, status)
		x.pass(x.at + 1.5)
	}
	for id := uint32(21); id < 25; id++ {
		x.arrive(id, 2, 0, 1, 5000)
	}
	yield(20, 24)
	x.check()
}

// An engine's share opens slowly while reports say that nobody waits, is halved by one that waits, shut by full and
// by a time-out, and by and by while jobs run for longer than alone. A report that does not tell changes nothing.
func TestEase(t *testing.T) {
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

// Lines of keys are forgotten once nothing of them is open and no rest binds them: a client that names ever new keys takes
// no more memory than one that comes back to its own.
func TestKeysAreForgotten(t *testing.T) {
	x := start(t, Settings{OrderedKeyBackoff: 1}, Class{Ordered: true, Idempotency: IdempotentWithKey, LatencyObjective: 9, IdempotencyWindow: 5})
	x.list(Snapshot, true, 0, 1, 2, 3)
	most := 0
	for id := range uint32(10000) {
		x.at += 0.01
		x.arrive(id, 0, uint64(id)+1, 0.1, 10)
		if id%7 == 0 {
			x.outcome(id, 0, ConnectionReset) // it may still run: the key rests
			x.outcome(id, 1, Succeeded)
		} else {
			x.outcome(id, 0, Succeeded)
		}
		most = max(most, len(x.Controller.orderedKeys.byKey))
	}
	x.lines = nil
	x.say("keys kept at most under 200: %v", most < 200)
	testutil.Check(t, x.lines)
}

// An engine of a kind or zone that the settings do not name takes unbound jobs alone; so does one that changes to such a
// kind between lists. A bound job is held, or ended, rather than sent there.
func TestKindNobodyNamed(t *testing.T) {
	x := start(t, Settings{}, Class{}, Class{AllowedMachineTypes: []int{1}}, Class{AllowedZones: []int{1}})
	listed := func(mode ListMode, zone, kind int) {
		x.say("roster: engine 1 in zone %d, of kind %d", zone, kind)
		x.UpdateEndpoints(x.at, mode, []Endpoint{{ID: 1, Zone: zone, MachineType: kind, Ready: true, Weight: 1}})
	}
	listed(Snapshot, 7, 2) // two kinds are named
	x.arrive(1, 0, 0, 1, 100)
	x.arrive(2, 1, 0, 1, 100)
	x.arrive(3, 2, 0, 1, 100)
	x.pass(0.5)
	listed(Delta, 1, 1)
	x.pass(0.6)
	x.outcome(2, 0, Failed)
	listed(Delta, 1, 9)
	x.arrive(4, 1, 0, 1, 100)
	x.pass(20)
	x.check()
}

// One of few gateways that has just come back does not know what the life before it sent to a cold engine: nothing goes there
// for the window, and its part after that. Warm engines serve from the start. One of many has a small part in any case.
func TestColdEngineAfterARestart(t *testing.T) {
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

// A connection that does not come up tells that an engine is gone, but not where it answered on another a moment ago: single
// connections come up late. Where more do not, or it has been silent for a second, it is rested.
func TestLateConnection(t *testing.T) {
	var lates []string
	for _, answered := range []bool{false, true} {
		x := start(t, Settings{MayCancel: true}, Class{})
		x.list(Snapshot, true, 0, 1, 2, 3)
		doubted := func(e uint32) bool { return x.endpoints.engines[e].suspected }
		for id := range uint32(30) {
			x.arrive(id, 0, 0, 0.1, 10)
		}
		at := func(e uint32) (ids []uint32) {
			for _, d := range x.endpoints.engines[e].inFlight {
				ids = append(ids, d.request.id)
			}
			return ids
		}
		ids := at(1)
		x.pass(2)
		for _, id := range append(at(2), at(3)...) {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: 0.5, Final: true, Work: 0.1, Memory: 10})
		}
		for _, id := range ids[:4] {
			if answered {
				x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: 0.5, Final: true, Work: 0.1, Memory: 10})
			}
		}
		x.pass(2.5)
		x.lines = nil
		x.AttemptEnded(x.at, ids[4], 0, AttemptResult{Status: ConnectFailed, Duration: 0.25})
		once := doubted(1)
		for _, id := range ids[5:] {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: ConnectFailed, Duration: 0.25})
		}
		x.lines = nil
		x.say("answered half a second ago %v: rested after one %v, after %d %v", answered, once, len(ids)-4, doubted(1))
		lates = append(lates, x.lines...)
	}
	testutil.Check(t, lates)
}
