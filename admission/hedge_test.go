package admission

import (
	"testing"
)

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

// A light job that its engine keeps while it answers others gets a second copy elsewhere; a long one, one that may not be
// repeated and one whose engine says nothing at all do not.
func TestLaggingRequestIsHedged(t *testing.T) {
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
