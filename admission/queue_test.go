package admission

import (
	"testing"
)

func TestQueueStartsInArrivalOrder(t *testing.T) {
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

func TestFullQueueSheds(t *testing.T) {
	x := start(t, Settings{MaxRetryAfter: 2}, Class{LatencyObjective: 1000})
	x.list(Snapshot, false, 0, 1)
	for id := range uint32(201) {
		x.RequestArrived(0, Request{ID: id + 1, Deadline: 2000, Work: 1, Memory: 100})
	}
	x.tallies()
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
