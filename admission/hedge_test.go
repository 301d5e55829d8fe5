package admission

import "testing"

// An attempt at under a fifth of its expected pace is cancelled and retried.
func TestRunaway(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true}, Class{LatencyObjective: 30})
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 2, Memory: 100})
	x.pass(1)
	x.AttemptProgressed(x.at, 1, 0, ShareDone, 0.01)
	x.endAttempt(1, 0, Cancelled)
	x.pass(1.5)
	x.AttemptProgressed(x.at, 1, 1, ShareDone, 0.4)
	x.check()
}

// A short request that its engine keeps while it answers others is hedged; a long one, one that may not be repeated and one
// whose engine says nothing at all are not.
func TestLaggingRequestIsHedged(t *testing.T) {
	x := newTrace(t, Settings{MayHedge: true, MayCancel: true}, Class{}, Class{Idempotency: NonIdempotent})
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 0.1, Memory: 100})
	x.arrive(Request{ID: 2, Class: 1, Work: 0.1, Memory: 100})
	x.arrive(Request{ID: 3, Work: 2, Memory: 100})
	x.pass(0.9) // the mean work of a class without answers is over 3 s
	for _, e := range x.endpoints.ready {
		e.lastAnswerAt = 0.8
	}
	for _, class := range x.classes {
		class.meanWork = 0.1
	}
	x.pass(0.95)
	x.WakeUp(x.at)
	x.endAttempt(1, 1, Succeeded)
	x.endAttempt(1, 0, Cancelled)
	x.tallies()
	x.check()
}

// A lagging request is hedged only where a budget outside of the module has room for a second attempt. One whose attempts
// have ended may be retried without: guards against second attempts that nobody counts.
func TestHedgeWaitsForRoom(t *testing.T) {
	x := newTrace(t, Settings{MayHedge: true, MayCancel: true}, Class{})
	x.listReady(Snapshot, 1, 2)
	room, asked := false, 0
	x.arrive(Request{ID: 1, Work: 0.1, Memory: 100, MayRunConcurrently: func() bool { asked++; return room }})
	started := func() int { return len(x.requests[1].attempts) }
	x.pass(0.9)
	for _, e := range x.endpoints.ready {
		e.lastAnswerAt = 0.8
	}
	x.classes[0].meanWork = 0.1
	x.pass(0.95)
	x.WakeUp(x.at)
	if started() != 1 || asked == 0 {
		t.Errorf("without room: %d attempts, asked %d times", started(), asked)
	}
	room = true
	x.pass(1)
	x.WakeUp(x.at)
	if started() != 2 {
		t.Errorf("with room: %d attempts", started())
	}
	room = false
	x.endAttempt(1, 0, Failed)
	x.endAttempt(1, 1, Failed)
	x.pass(1.2)
	x.WakeUp(x.at)
	if started() != 3 {
		t.Errorf("nothing in flight: %d attempts", started())
	}
}
