package admission

import (
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

func TestNonIdempotent(t *testing.T) {
	x := start(t, Settings{MaxRetryAfter: 2}, Class{Idempotency: NonIdempotent})
	x.list(Snapshot, true, 0, 1, 2)
	x.arrive(1, 0, 0, 1, 100)
	x.outcome(1, 0, Overloaded) // never ran: again
	x.outcome(1, 1, Failed)
	x.arrive(2, 0, 0, 1, 100)
	x.outcome(2, 0, ConnectFailed)
	x.list(Delta, false, 0, 1, 2)
	x.outcome(2, 1, ConnectFailed)
	x.pass(6) // never ran: throttled
	x.check()
}

func TestRepeatsStayInScopeAndWindow(t *testing.T) {
	x := start(t, Settings{}, Class{Idempotency: IdempotentWithKey, DedupScope: DedupInZone, IdempotencyWindow: 2, LatencyObjective: 9},
		Class{Idempotency: IdempotentWithKey, DedupScope: DedupEverywhere, IdempotencyWindow: 2, LatencyObjective: 9})
	x.list(Snapshot, true, 0, 1, 2, 101)
	x.arrive(1, 0, 0, 1, 100)
	x.outcome(1, 0, Failed)
	x.outcome(1, 1, Failed)
	x.pass(1.95)
	x.outcome(1, 2, Failed) // the window is over, and a throttle would not be harmless
	x.arrive(2, 1, 0, 1, 100)
	x.pass(4)
	x.outcome(2, 0, Failed) // here it is
	x.check()
}

func TestRetryBudget(t *testing.T) {
	x := start(t, Settings{RetryBudgetWindow: 1, RetryBudgetFree: 1, RetryBudgetRatio: 0.5}, Class{})
	x.list(Snapshot, true, 0, 1, 2, 3)
	for id := range uint32(4) {
		x.arrive(id+1, 0, 0, 1, 100)
	}
	for id := range uint32(4) {
		x.outcome(id+1, 0, Overloaded)
	}
	x.pass(0.5)
	x.pass(1.5) // the window has passed
	x.check()
}

// A restartable job yields to another: it is called off and goes again once that one has gone, or when that one ends
// without going. A run-once job, one that has used its dispatches up, and one whose budget for further dispatches is
// spent do not; a done that crosses the call-off counts.
func TestPreempt(t *testing.T) {
	x := start(t, Settings{MayCancel: true, RetryBudgetFree: 4, RetryBudgetWindow: 10}, Class{}, Class{Idempotency: NonIdempotent}, Class{})
	x.list(Snapshot, true, 0, 1)
	yield := func(id, to uint32) { x.say("request %d preempted for %d: %v", id, to, x.Preempt(x.at, id, to)) }
	x.arrive(1, 0, 0, 1, 5000)
	x.arrive(2, 1, 0, 1, 5000)
	for id := uint32(3); id < 6; id++ {
		x.arrive(id, 2, 0, 1, 5000)
	}
	x.arrive(9, 2, 0, 1, 5000) // held
	yield(2, 9)                // run-once
	yield(1, 7)                // to none
	yield(1, 9)
	yield(1, 9) // twice
	x.outcome(1, 0, Cancelled)
	x.pass(0.2)
	x.outcome(3, 0, Succeeded)
	x.outcome(9, 0, Succeeded)
	x.pass(0.4)
	x.arrive(10, 2, 0, 1, 5000)
	x.arrive(11, 2, 0, 1, 5000)
	yield(4, 11)
	x.outcome(4, 0, Succeeded) // crosses the call-off
	x.pass(0.6)
	x.tallies()
	x.outcome(5, 0, Succeeded)
	x.outcome(2, 0, Succeeded)
	x.arrive(20, 0, 0, 1, 5000)
	x.pass(0.7)
	for number, status := range []Status{Overloaded, Failed, Overloaded} { // three of its four dispatches, and the budget's further ones
		x.outcome(20, number, status)
		x.pass(x.at + 1.5)
	}
	for id := uint32(21); id < 25; id++ {
		x.arrive(id, 2, 0, 1, 5000)
	}
	yield(20, 24)
	x.check()
}

// A fleet's part of further dispatches bounds them in place of the settings' figure, and what is used of it is told.
func TestRetryBudgetFromFleet(t *testing.T) {
	x := start(t, Settings{RetryBudgetFree: 100, RetryBudgetRatio: 0, RetryBudgetWindow: 10, MayCancel: true}, Class{LatencyObjective: 60})
	x.list(Snapshot, true, 0, 1, 2, 3)
	x.SetRetryBudget(x.at, 2)
	for id := range uint32(5) {
		x.arrive(id+1, 0, uint64(id+1), 0.5, 100)
		x.outcome(id+1, 0, Failed)
	}
	used, wanted := x.RetryUse(x.at)
	again := 0
	for _, j := range x.requests {
		again += max(len(j.attempts)-1, 0)
	}
	if again > 2 || used != float64(again) || wanted <= used {
		t.Errorf("%d further dispatches, %g of 2 used, %g wanted", again, used, wanted)
	}
	x.SetRetryBudget(x.at, 4)
	x.pass(x.at + 1)
	if used, _ := x.RetryUse(x.at); used <= 2 || used > 4 {
		t.Errorf("%g of 4 used", used)
	}
}

// A job of which a life before sent a dispatch: what the rules let it do, by its type, and that it counts against the
// budget of further dispatches.
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
		x := start(t, c.set, c.class)
		x.at = 5
		x.list(Snapshot, true, 0, 1, 2, 101, 102)
		x.lines = nil
		x.RequestArrived(x.at, Request{ID: 1, Deadline: x.at + 2, Work: 0.1, Memory: 100, PastAttempts: c.past})
		x.pass(8)
		lines = append(lines, c.name+":")
		lines = append(lines, x.lines...)
		if n := len(x.requests); n > 1 {
			t.Errorf("%d jobs are kept", n)
		}
	}
	testutil.Check(t, lines)
}
