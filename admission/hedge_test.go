package admission

import "testing"

// An attempt that progresses at less than a fifth of the expected rate is cancelled and retried.
func TestRunaway(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true}, Class{LatencyObjective: 30})
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 2, Memory: 100})
	x.advanceTo(1)
	x.AttemptProgressed(x.at, 1, 0, ShareDone, 0.01)
	x.endAttempt(1, 0, Cancelled)
	x.advanceTo(1.5)
	x.AttemptProgressed(x.at, 1, 1, ShareDone, 0.4)
	x.checkGolden()
}

// A short request is hedged if its engine keeps it while answering others. A long request, a request that may not be repeated
// and a request whose engine does not answer at all are not hedged.
func TestLaggingRequestIsHedged(t *testing.T) {
	x := newTrace(t, Settings{MayHedge: true, MayCancel: true}, Class{}, Class{Idempotency: NonIdempotent})
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 0.1, Memory: 100})
	x.arrive(Request{ID: 2, Class: 1, Work: 0.1, Memory: 100})
	x.arrive(Request{ID: 3, Work: 2, Memory: 100})
	x.advanceTo(0.9) // the mean work of a class without answers is over 3 s
	for _, e := range x.endpoints.ready {
		e.lastAnswerAt = 0.8
	}
	for _, class := range x.classes {
		class.meanWork = 0.1
	}
	x.advanceTo(0.95)
	x.WakeUp(x.at)
	x.endAttempt(1, 1, Succeeded)
	x.endAttempt(1, 0, Cancelled)
	x.tallies()
	x.checkGolden()
}

// A lagging request is hedged only if a budget outside this package has room for a second attempt. A request whose attempts
// have ended may be retried without asking. Guards against second attempts that no budget counts.
func TestHedgeNeedsConcurrencyBudget(t *testing.T) {
	x := newTrace(t, Settings{MayHedge: true, MayCancel: true}, Class{})
	x.listReady(Snapshot, 1, 2)
	hasRoom, calls := false, 0
	x.arrive(Request{ID: 1, Work: 0.1, Memory: 100, MayRunConcurrently: func() bool { calls++; return hasRoom }})
	attempts := func() int { return len(x.requests[1].attempts) }
	x.advanceTo(0.9)
	for _, e := range x.endpoints.ready {
		e.lastAnswerAt = 0.8
	}
	x.classes[0].meanWork = 0.1
	x.advanceTo(0.95)
	x.WakeUp(x.at)
	if attempts() != 1 || calls == 0 {
		t.Errorf("without room: got %d attempts, want 1; budget asked %d times, want at least 1", attempts(), calls)
	}
	hasRoom = true
	x.advanceTo(1)
	x.WakeUp(x.at)
	if attempts() != 2 {
		t.Errorf("with room: got %d attempts, want 2", attempts())
	}
	hasRoom = false
	x.endAttempt(1, 0, Failed)
	x.endAttempt(1, 1, Failed)
	x.advanceTo(1.2)
	x.WakeUp(x.at)
	if attempts() != 3 {
		t.Errorf("nothing in flight: got %d attempts, want 3", attempts())
	}
}
