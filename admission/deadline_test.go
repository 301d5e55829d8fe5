package admission

import "testing"

// A request whose answer has started does not end at its deadline.
func TestStreamHasNoDeadline(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true}, Class{})
	x.listReady(Snapshot, 1)
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.StreamStarted(x.at, 1)
	x.advanceTo(20)
	x.endAttempt(1, 0, Succeeded)
	x.tallies()
	x.checkGolden()
}

// A gateway that shuts down ends all requests by then: those that cannot finish are rejected, those that may have run fail.
func TestShutDown(t *testing.T) {
	x := newTrace(t, Settings{MaxRetryAfter: 2, MayCancel: true}, Class{}, Class{Idempotency: NonIdempotent})
	x.listReady(Snapshot, 1)
	x.arrive(Request{ID: 1, Class: 1, Work: 1, Memory: 500})
	x.arrive(Request{ID: 2, Work: 1, Memory: 500})
	x.advanceTo(1)
	x.listUnready(Delta, 1)
	x.arrive(Request{ID: 3, Class: 1, Work: 1, Memory: 500}) // queued, never started
	x.arrive(Request{ID: 4, Work: 8, Memory: 500})
	x.logEvent("the gateway ends at 3")
	x.ShutDownAt(x.at, 3)
	x.endAttempt(2, 0, Succeeded)
	x.advanceTo(2.9)
	x.arrive(Request{ID: 5, Work: 1, Memory: 500}) // too late to run
	x.advanceTo(3.1)
	x.endAttempt(1, 0, Cancelled)
	x.tallies()
	x.checkGolden()
}
