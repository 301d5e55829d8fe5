package admission

import (
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A hung engine accepts requests and answers none. It is ejected, its requests move, and later one light request runs there as
// a trial.
func TestSilentEngine(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true}, Class{LatencyObjective: 30}, Class{LatencyObjective: 60, Idempotency: NonIdempotent})
	x.listReady(Snapshot, 1, 2)
	for id := range uint32(12) {
		x.arrive(Request{ID: id + 1, OrderKey: uint64(id), Work: 0.1, Memory: 100})
	}
	x.arrive(Request{ID: 13, Class: 1, Work: 0.1, Memory: 100})
	for id := range uint32(13) {
		if a := x.requests[id+1].attempts[0]; a.engine.id == 2 {
			x.endAttempt(id+1, 0, Succeeded)
		}
	}
	x.advanceTo(1.2)
	for id := range uint32(12) {
		if r := x.requests[id+1]; r != nil {
			x.endAttempt(id+1, 0, Cancelled)
		}
	}
	x.advanceTo(2.5)
	for id := range uint32(4) {
		x.arrive(Request{ID: 20 + id, OrderKey: uint64(id), Work: 0.1, Memory: 100}) // one of them is the trial
	}
	x.advanceTo(5)
	x.checkGolden()
}

// If all engines are silent at the same time, none is ejected and nothing moves.
func TestAllSilentNoneEjected(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true}, Class{LatencyObjective: 30})
	x.listReady(Snapshot, 1, 2, 3)
	for id := range uint32(12) {
		x.arrive(Request{ID: id + 1, OrderKey: uint64(id), Work: 0.1, Memory: 100})
	}
	x.advanceTo(6)
	x.checkGolden()
}

// After a stall of its own, a gateway does not mistake answers that it has yet to read for silent engines.
func TestOwnStallIsNoSilence(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true}, Class{LatencyObjective: 30})
	x.listReady(Snapshot, 1, 2)
	for id := range uint32(8) {
		x.arrive(Request{ID: id + 1, OrderKey: uint64(id), Work: 0.1, Memory: 100})
	}
	for id := range uint32(8) {
		if a := x.requests[id+1].attempts[0]; a.engine.id == 2 {
			x.endAttempt(id+1, 0, Succeeded) // engine 2 has nothing in flight, so only engine 1 could be silent
		}
	}
	x.at = 3
	x.logEvent("nothing came for three seconds")
	x.WakeUp(x.at)
	x.checkGolden()
}

// An engine that fails quickly looks idle. It is ejected, for longer at each relapse.
func TestFailingEngine(t *testing.T) {
	x := newTrace(t, Settings{}, Class{LatencyObjective: 30})
	x.listReady(Snapshot, 1, 2)
	for id := range uint32(10) {
		x.arrive(Request{ID: id + 1, OrderKey: uint64(id), Work: 0.1, Memory: 100})
		if a := x.requests[id+1].attempts[0]; a.engine.id == 2 {
			x.endAttempt(id+1, 0, Failed)
		} else {
			x.endAttempt(id+1, 0, Succeeded)
		}
	}
	x.advanceTo(1.5)
	x.arrive(Request{ID: 11, Work: 0.1, Memory: 100})
	x.checkGolden()
}

// Reported progress of a request counts as an answer: an engine whose requests are blocked by a write is not silent.
func TestProgressIsNoSilence(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true}, Class{LatencyObjective: 30, Idempotency: IdempotentWithKey, IdempotencyWindow: 60})
	x.listReady(Snapshot, 1, 2)
	for id := range uint32(8) {
		x.arrive(Request{ID: id + 1, OrderKey: uint64(id), Work: 0.1, Memory: 100})
	}
	for id := range uint32(8) {
		if a := x.requests[id+1].attempts[0]; a.engine.id == 2 {
			x.endAttempt(id+1, 0, Succeeded)
		}
	}
	for i := range 4 {
		x.advanceTo(float64(i+1) * 0.8)
		for id := range uint32(8) {
			x.AttemptProgressed(x.at, id+1, 0, ShareDone, float64(i+1)/10)
		}
	}
	x.logEvent("no more progress")
	x.advanceTo(6)
	x.checkGolden()
}

// A jammed engine is ejected although its attempts end only by timeout.
func TestTimeoutsAreFailures(t *testing.T) {
	x := newTrace(t, Settings{}, Class{LatencyObjective: 30})
	x.listReady(Snapshot, 1, 2, 3, 4)
	for id := range uint32(24) {
		x.advanceTo(float64(id) * 0.1)
		x.arrive(Request{ID: id, OrderKey: uint64(id), Work: 0.1, Memory: 100})
		if a := x.requests[id].attempts[0]; a.engine.id == 2 {
			x.endAttempt(id, 0, TimedOut)
		} else {
			x.endAttempt(id, 0, Succeeded)
		}
	}
	x.checkGolden()
}

// A single lost connection among many answers does not eject an engine; a refused connection does.
func TestLostConnection(t *testing.T) {
	x := newTrace(t, Settings{}, Class{Idempotency: NonIdempotent})
	x.listReady(Snapshot, 1, 2)
	for id := range uint32(12) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 100})
		x.endAttempt(id+1, 0, Succeeded)
	}
	x.arrive(Request{ID: 20, Work: 1, Memory: 100})
	x.endAttempt(20, 0, ConnectionReset)
	suspected := func() (n int) {
		for _, e := range x.endpoints.ready {
			if e.suspected {
				n++
			}
		}
		return n
	}
	x.logEvent("suspected: %d", suspected())
	x.arrive(Request{ID: 21, Work: 1, Memory: 100})
	x.endAttempt(21, 0, ConnectFailed)
	x.logEvent("suspected: %d", suspected())
	x.checkGolden()
}

// A failed connect shows that an engine is gone, unless the engine answered on another connection a moment ago: single
// connections may be slow to establish. The engine is ejected if more of them fail, or if it has been silent for a second.
func TestLateConnection(t *testing.T) {
	var lines []string
	for _, answered := range []bool{false, true} {
		x := newTrace(t, Settings{MayCancel: true}, Class{})
		x.listReady(Snapshot, 1, 2, 3)
		suspected := func(e uint32) bool { return x.endpoints.engines[e].suspected }
		for id := range uint32(30) {
			x.arrive(Request{ID: id, Work: 0.1, Memory: 10})
		}
		inFlightAt := func(e uint32) (ids []uint32) {
			for _, a := range x.endpoints.engines[e].inFlight {
				ids = append(ids, a.request.id)
			}
			return ids
		}
		ids := inFlightAt(1)
		x.advanceTo(2)
		for _, id := range append(inFlightAt(2), inFlightAt(3)...) {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: 0.5, Final: true, Work: 0.1, Memory: 10})
		}
		for _, id := range ids[:4] {
			if answered {
				x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: 0.5, Final: true, Work: 0.1, Memory: 10})
			}
		}
		x.advanceTo(2.5)
		x.lines = nil
		x.AttemptEnded(x.at, ids[4], 0, AttemptResult{Status: ConnectFailed, Duration: 0.25})
		ejectedAfterOne := suspected(1)
		for _, id := range ids[5:] {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: ConnectFailed, Duration: 0.25})
		}
		x.lines = nil
		x.logEvent("answered half a second ago %v: ejected after one %v, after %d %v", answered, ejectedAfterOne, len(ids)-4, suspected(1))
		lines = append(lines, x.lines...)
	}
	testutil.CheckTrace(t, lines)
}
