package admission

import (
	"testing"
)

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

// A gateway that ends answers all by then: what can't be done gives way, what may have run is cancelled.
func TestShutDown(t *testing.T) {
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
