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
