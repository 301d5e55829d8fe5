package admission

import "testing"

// Requests of a class start in order of arrival as grants are released.
func TestQueueStartsInArrivalOrder(t *testing.T) {
	x := newTrace(t, Settings{}, Class{})
	x.listReady(Snapshot, 1)
	for id := range uint32(7) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 5000})
	}
	x.endAttempt(2, 0, Succeeded)
	x.endAttempt(1, 0, Succeeded)
	x.tallies()
	x.checkGolden()
}

// A request that arrives at a full queue is rejected.
func TestFullQueueSheds(t *testing.T) {
	x := newTrace(t, Settings{MaxRetryAfter: 2}, Class{LatencyObjective: 1000})
	x.listUnready(Snapshot, 1)
	for id := range uint32(201) {
		x.RequestArrived(0, Request{ID: id + 1, Deadline: 2000, Work: 1, Memory: 100})
	}
	x.tallies()
	x.checkGolden()
}

// A request that has failed or was cancelled by its client does not end a second time, whatever the results of its attempts.
func TestOneFinalAnswer(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true}, Class{Idempotency: NonIdempotent})
	x.listReady(Snapshot, 1)
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.advanceTo(10.01)
	x.endAttempt(1, 0, Cancelled)
	x.arrive(Request{ID: 2, Work: 1, Memory: 100})
	x.RequestCancelled(x.at, 2)
	x.endAttempt(2, 0, Succeeded)
	x.tallies()
	x.checkGolden()
}
