package admission

import (
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

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
func TestAllSilentNoneEjected(t *testing.T) {
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
	x.say("no more progress")
	x.pass(6)
	x.check()
}

// Found at full size: few jobs a gateway, and those on a jammed engine end by time-out only.
func TestTimeoutsAreFailures(t *testing.T) {
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
	x.say("suspected: %d", doubted())
	x.arrive(21, 0, 0, 1, 100)
	x.outcome(21, 0, ConnectFailed)
	x.say("suspected: %d", doubted())
	x.check()
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
		x.say("answered half a second ago %v: ejected after one %v, after %d %v", answered, once, len(ids)-4, doubted(1))
		lates = append(lates, x.lines...)
	}
	testutil.Check(t, lates)
}
