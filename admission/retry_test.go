package admission

import (
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A request that must not run twice is retried only where it is known that nothing ran.
func TestNonIdempotent(t *testing.T) {
	x := newTrace(t, Settings{MaxRetryAfter: 2}, Class{Idempotency: NonIdempotent})
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.endAttempt(1, 0, Overloaded) // nothing ran: retried
	x.endAttempt(1, 1, Failed)
	x.arrive(Request{ID: 2, Work: 1, Memory: 100})
	x.endAttempt(2, 0, ConnectFailed)
	x.listUnready(Delta, 1, 2)
	x.endAttempt(2, 1, ConnectFailed)
	x.pass(6) // nothing ran: rejected
	x.check()
}

// A request with an idempotency key is repeated where engines recognize the key, and as long as they do.
func TestRepeatsStayInScopeAndWindow(t *testing.T) {
	x := newTrace(t, Settings{}, Class{Idempotency: IdempotentWithKey, DedupScope: DedupInZone, IdempotencyWindow: 2, LatencyObjective: 9},
		Class{Idempotency: IdempotentWithKey, DedupScope: DedupEverywhere, IdempotencyWindow: 2, LatencyObjective: 9})
	x.listReady(Snapshot, 1, 2, 101)
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.endAttempt(1, 0, Failed)
	x.endAttempt(1, 1, Failed)
	x.pass(1.95)
	x.endAttempt(1, 2, Failed) // the window is over, and a repeat by the client could run elsewhere
	x.arrive(Request{ID: 2, Class: 1, Work: 1, Memory: 100})
	x.pass(4)
	x.endAttempt(2, 0, Failed) // here a repeat by the client does no harm
	x.check()
}

// Retries keep to what the settings and the arrivals of the window allow.
func TestRetryBudget(t *testing.T) {
	x := newTrace(t, Settings{RetryBudgetWindow: 1, RetryBudgetFree: 1, RetryBudgetRatio: 0.5}, Class{})
	x.listReady(Snapshot, 1, 2, 3)
	for id := range uint32(4) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 100})
	}
	for id := range uint32(4) {
		x.endAttempt(id+1, 0, Overloaded)
	}
	x.pass(0.5)
	x.pass(1.5) // the window has passed
	x.check()
}

// An idempotent request is preempted for another: its attempt is cancelled, and it is retried once the other has started or
// ended. A non-idempotent one, one without attempts left and one past the retry budget are not; an answer that crosses the
// cancellation counts.
func TestPreempt(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true, RetryBudgetFree: 4, RetryBudgetWindow: 10}, Class{}, Class{Idempotency: NonIdempotent}, Class{})
	x.listReady(Snapshot, 1)
	preempt := func(id, beneficiary uint32) {
		x.say("request %d preempted for %d: %v", id, beneficiary, x.Preempt(x.at, id, beneficiary))
	}
	x.arrive(Request{ID: 1, Work: 1, Memory: 5000})
	x.arrive(Request{ID: 2, Class: 1, Work: 1, Memory: 5000})
	for id := uint32(3); id < 6; id++ {
		x.arrive(Request{ID: id, Class: 2, Work: 1, Memory: 5000})
	}
	x.arrive(Request{ID: 9, Class: 2, Work: 1, Memory: 5000}) // queued
	preempt(2, 9)                                             // non-idempotent
	preempt(1, 7)                                             // for none
	preempt(1, 9)
	preempt(1, 9) // twice
	x.endAttempt(1, 0, Cancelled)
	x.pass(0.2)
	x.endAttempt(3, 0, Succeeded)
	x.endAttempt(9, 0, Succeeded)
	x.pass(0.4)
	x.arrive(Request{ID: 10, Class: 2, Work: 1, Memory: 5000})
	x.arrive(Request{ID: 11, Class: 2, Work: 1, Memory: 5000})
	preempt(4, 11)
	x.endAttempt(4, 0, Succeeded) // crosses the cancellation
	x.pass(0.6)
	x.tallies()
	x.endAttempt(5, 0, Succeeded)
	x.endAttempt(2, 0, Succeeded)
	x.arrive(Request{ID: 20, Work: 1, Memory: 5000})
	x.pass(0.7)
	for number, status := range []Status{Overloaded, Failed, Overloaded} { // three of its four attempts, and the retry budget
		x.endAttempt(20, number, status)
		x.pass(x.at + 1.5)
	}
	for id := uint32(21); id < 25; id++ {
		x.arrive(Request{ID: id, Class: 2, Work: 1, Memory: 5000})
	}
	preempt(20, 24)
	x.check()
}

// The fleet's quota of retries takes the place of the settings' figure, and what is used of it is told.
func TestRetryBudgetFromFleet(t *testing.T) {
	x := newTrace(t, Settings{RetryBudgetFree: 100, RetryBudgetRatio: 0, RetryBudgetWindow: 10, MayCancel: true}, Class{LatencyObjective: 60})
	x.listReady(Snapshot, 1, 2, 3)
	x.SetRetryBudget(x.at, 2)
	for id := range uint32(5) {
		x.arrive(Request{ID: id + 1, OrderKey: uint64(id + 1), Work: 0.5, Memory: 100})
		x.endAttempt(id+1, 0, Failed)
	}
	used, wanted := x.RetryUse(x.at)
	retries := 0
	for _, r := range x.requests {
		retries += max(len(r.attempts)-1, 0)
	}
	if retries > 2 || used != float64(retries) || wanted <= used {
		t.Errorf("%d retries, %g of 2 used, %g wanted", retries, used, wanted)
	}
	x.SetRetryBudget(x.at, 4)
	x.pass(x.at + 1)
	if used, _ := x.RetryUse(x.at); used <= 2 || used > 4 {
		t.Errorf("%g of 4 used", used)
	}
}

// A request of which an earlier process started an attempt: what the rules for retries let it do, by its class.
func TestPastAttempts(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name  string
		class Class
		past  []PastAttempt
		set   Settings
	}{
		{"idempotent", Class{}, []PastAttempt{{StartedAt: 4}}, Settings{}},
		{"with a key, inside its window", Class{Idempotency: IdempotentWithKey, IdempotencyWindow: 3}, []PastAttempt{{StartedAt: 4}}, Settings{}},
		{"with a key, beyond it", Class{Idempotency: IdempotentWithKey, IdempotencyWindow: 3}, []PastAttempt{{StartedAt: 1}}, Settings{}},
		{"with a key by zone, in that of its first attempt", Class{Idempotency: IdempotentWithKey, IdempotencyWindow: 3, DedupScope: DedupInZone}, []PastAttempt{{StartedAt: 4, Zone: 1}}, Settings{}},
		{"with a key by zone, no engine there", Class{Idempotency: IdempotentWithKey, IdempotencyWindow: 3, DedupScope: DedupInZone}, []PastAttempt{{StartedAt: 4, Zone: 2}}, Settings{}},
		{"non-idempotent", Class{Idempotency: NonIdempotent}, []PastAttempt{{StartedAt: 4}}, Settings{}},
		{"idempotent, its last attempt spent", Class{}, []PastAttempt{{StartedAt: 1}, {StartedAt: 2}, {StartedAt: 3}, {StartedAt: 4}}, Settings{}},
		{"idempotent, no retry in the budget", Class{}, []PastAttempt{{StartedAt: 4}}, Settings{RetryBudgetWindow: 10, RetryBudgetFree: 0.5}},
	} {
		x := newTrace(t, c.set, c.class)
		x.at = 5
		x.listReady(Snapshot, 1, 2, 101, 102)
		x.lines = nil
		x.RequestArrived(x.at, Request{ID: 1, Deadline: x.at + 2, Work: 0.1, Memory: 100, PastAttempts: c.past})
		x.pass(8)
		lines = append(lines, c.name+":")
		lines = append(lines, x.lines...)
		if n := len(x.requests); n > 1 {
			t.Errorf("%d requests are kept", n)
		}
	}
	testutil.CheckTrace(t, lines)
}
