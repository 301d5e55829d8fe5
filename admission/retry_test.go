package admission

import (
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A request that must not run twice is retried only if it is known that nothing ran.
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
	x.advanceTo(6) // nothing ran: rejected
	x.checkGolden()
}

// A request with an idempotency key is repeated only on engines that recognize the key, and only while they do.
func TestRepeatsStayInScopeAndWindow(t *testing.T) {
	x := newTrace(t, Settings{}, Class{Idempotency: IdempotentWithKey, DedupScope: DedupInZone, IdempotencyWindow: 2, LatencyObjective: 9},
		Class{Idempotency: IdempotentWithKey, DedupScope: DedupEverywhere, IdempotencyWindow: 2, LatencyObjective: 9})
	x.listReady(Snapshot, 1, 2, 101)
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.endAttempt(1, 0, Failed)
	x.endAttempt(1, 1, Failed)
	x.advanceTo(1.95)
	x.endAttempt(1, 2, Failed) // the window is over, and a repeat by the client could run elsewhere
	x.arrive(Request{ID: 2, Class: 1, Work: 1, Memory: 100})
	x.advanceTo(4)
	x.endAttempt(2, 0, Failed) // here a repeat by the client does no harm
	x.checkGolden()
}

// Retries stay within what the settings and the arrivals in the window allow.
func TestRetryBudget(t *testing.T) {
	x := newTrace(t, Settings{RetryBudgetWindow: 1, RetryBudgetFree: 1, RetryBudgetRatio: 0.5}, Class{})
	x.listReady(Snapshot, 1, 2, 3)
	for id := range uint32(4) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 100})
	}
	for id := range uint32(4) {
		x.endAttempt(id+1, 0, Overloaded)
	}
	x.advanceTo(0.5)
	x.advanceTo(1.5) // the window has passed
	x.checkGolden()
}

// An idempotent request is preempted for another one: its attempt is cancelled, and it is retried once the other has started or
// ended. A non-idempotent request, one without attempts left and one beyond the retry budget are not preempted. An answer that
// crosses the cancellation counts.
func TestPreempt(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true, RetryBudgetFree: 4, RetryBudgetWindow: 10}, Class{}, Class{Idempotency: NonIdempotent}, Class{})
	x.listReady(Snapshot, 1)
	preempt := func(id, beneficiary uint32) {
		x.logEvent("request %d preempted for %d: %v", id, beneficiary, x.Preempt(x.at, id, beneficiary))
	}
	x.arrive(Request{ID: 1, Work: 1, Memory: 5000})
	x.arrive(Request{ID: 2, Class: 1, Work: 1, Memory: 5000})
	for id := uint32(3); id < 6; id++ {
		x.arrive(Request{ID: id, Class: 2, Work: 1, Memory: 5000})
	}
	x.arrive(Request{ID: 9, Class: 2, Work: 1, Memory: 5000}) // queued
	preempt(2, 9)                                             // non-idempotent
	preempt(1, 7)                                             // for an unknown request
	preempt(1, 9)
	preempt(1, 9) // twice
	x.endAttempt(1, 0, Cancelled)
	x.advanceTo(0.2)
	x.endAttempt(3, 0, Succeeded)
	x.endAttempt(9, 0, Succeeded)
	x.advanceTo(0.4)
	x.arrive(Request{ID: 10, Class: 2, Work: 1, Memory: 5000})
	x.arrive(Request{ID: 11, Class: 2, Work: 1, Memory: 5000})
	preempt(4, 11)
	x.endAttempt(4, 0, Succeeded) // crosses the cancellation
	x.advanceTo(0.6)
	x.tallies()
	x.endAttempt(5, 0, Succeeded)
	x.endAttempt(2, 0, Succeeded)
	x.arrive(Request{ID: 20, Work: 1, Memory: 5000})
	x.advanceTo(0.7)
	for number, status := range []Status{Overloaded, Failed, Overloaded} { // uses up three of its four attempts and the retry budget
		x.endAttempt(20, number, status)
		x.advanceTo(x.at + 1.5)
	}
	for id := uint32(21); id < 25; id++ {
		x.arrive(Request{ID: id, Class: 2, Work: 1, Memory: 5000})
	}
	preempt(20, 24)
	x.checkGolden()
}

// The retry quota set by the fleet replaces the settings' figure, and its use is reported.
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
		t.Errorf("got %d retries, want at most 2; RetryUse: got used %g, want the number of retries; got wanted %g, want more than used", retries, used, wanted)
	}
	x.SetRetryBudget(x.at, 4)
	x.advanceTo(x.at + 1)
	if used, _ := x.RetryUse(x.at); used <= 2 || used > 4 {
		t.Errorf("got %g retries used, want more than 2 and at most 4", used)
	}
}

// For a request of which an earlier process started attempts, the retry rules decide by its class what it may still do.
func TestPastAttempts(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name     string
		class    Class
		past     []PastAttempt
		settings Settings
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
		x := newTrace(t, c.settings, c.class)
		x.at = 5
		x.listReady(Snapshot, 1, 2, 101, 102)
		x.lines = nil
		x.RequestArrived(x.at, Request{ID: 1, Deadline: x.at + 2, Work: 0.1, Memory: 100, PastAttempts: c.past})
		x.advanceTo(8)
		lines = append(lines, c.name+":")
		lines = append(lines, x.lines...)
		if n := len(x.requests); n > 1 {
			t.Errorf("%s: got %d open requests, want at most 1", c.name, n)
		}
	}
	testutil.CheckTrace(t, lines)
}
