package assignment

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

func seats(n int) (all []Candidate) {
	for i := range n {
		all = append(all, Candidate{fmt.Sprintf("c%03d", i), 1})
	}
	return all
}

// Few shards move when one comes or goes, each gets some by its weight, and all agree who.
func TestChooseOwner(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(r, "controllers")
		all := seats(n)
		gone := rapid.IntRange(0, n-1).Draw(r, "gone")
		left := slices.Delete(slices.Clone(all), gone, gone+1)
		for slice := range 200 {
			was, is := all[ChooseOwner("probe", slice, all)].Name, left[ChooseOwner("probe", slice, left)].Name
			if was != all[gone].Name && was != is {
				r.Fatalf("slice %d went from %s to %s though %s went", slice, was, is, all[gone].Name)
			}
		}
	})
	heavy := seats(4)
	heavy[1].Weight, heavy[2].Weight = 2, 0
	count := map[string]int{}
	for slice := range 4000 {
		count[heavy[ChooseOwner("jobs", slice, heavy)].Name]++
	}
	if x := float64(count["c001"]) / float64(count["c000"]); x < 1.7 || x > 2.3 || count["c002"] > 0 {
		t.Errorf("weights of 1, 2, 0, 1 gave %v", count)
	}
	if ChooseOwner("jobs", 1, nil) != -1 {
		t.Error("nobody was chosen")
	}
}

// A thousand shards and three hundred controllers, of which a tenth goes and comes each second: each shard is moved no more
// often than its owner changes, and no more are recalled at once than are allowed.
func TestPlanStepsAtSize(t *testing.T) {
	all := seats(300)
	held := make([]ShardState, 1000)
	for i := range held {
		held[i] = ShardState{Owner: -1, Unowned: true}
	}
	moved := 0
	for round := range 30 {
		dead := map[int]bool{}
		for i := range 30 {
			dead[(round*37+i*7)%300] = true
		}
		var live []Candidate
		var at []int
		for i, s := range all {
			if !dead[i] {
				live, at = append(live, s), append(at, i)
			}
		}
		seen := make([]ShardState, len(held))
		for i, h := range held {
			seen[i] = ShardState{Owner: slices.Index(at, h.Owner), Unowned: h.Unowned || dead[h.Owner], Recalled: h.Recalled}
		}
		recalls := 0
		for _, m := range PlanSteps("probe", seen, live, 125) {
			if m.Recall {
				recalls++
				held[m.Shard].Recalled = true
				continue
			}
			held[m.Shard] = ShardState{Owner: at[m.To]}
			moved++
		}
		for i := range held { // what was recalled is given back
			if held[i].Recalled {
				held[i] = ShardState{Owner: -1, Unowned: true}
			}
		}
		if recalls > 125 {
			t.Fatalf("%d slices asked back at once", recalls)
		}
	}
	if moved > 1000+30*300 { // each round a tenth's shards go, and those of the tenth before come back
		t.Errorf("%d moves", moved)
	}
}

// What an owner may do: with a lease, at its end, after a stall, when recalled, with an older answer.
func TestOwner(t *testing.T) {
	o := NewOwner(0.1, 0.25)
	a, b := ShardID{"jobs", 1}, ShardID{"jobs", 2}
	var lines []string
	now := 0.0
	say := func(what string) {
		fa, oka := o.CanBegin(now, a)
		fb, okb := o.CanBegin(now, b)
		lines = append(lines, fmt.Sprintf("%.2f %s: a %v under %d, b %v under %d, rest %.2f, back %v", now, what, oka, fa, okb, fb, o.RemainingLease(now), o.Returned()))
	}
	at := func(to float64) {
		for now < to-1e-9 {
			now = min(now+0.1, to)
			o.Heartbeat(now)
		}
	}
	say("new")
	o.Update(now, 0, 1, []Assignment{{a, 5, false}, {b, 6, false}})
	say("given both up to 1")
	at(0.85)
	say("later")
	at(0.95)
	say("within the margin")
	o.Update(now, 0.9, 1.9, []Assignment{{a, 5, true}, {b, 6, false}})
	say("renewed, a asked back")
	o.Update(now, 0.9, 2.0, []Assignment{{b, 6, false}, {a, 4, false}})
	say("an older word of a")
	fence, _ := o.Begin(now, b)
	o.Update(now, 0.95, 2.0, []Assignment{{b, 6, true}})
	say("a gone, b asked back with something under way")
	lines = append(lines, fmt.Sprintf("it may still finish: %v", o.Owns(now, b, fence)))
	o.End(b, fence)
	say("that is over")
	o.Update(now, 1, 2.1, []Assignment{{b, 9, false}})
	say("b given anew")
	now += 0.5 // no beat meanwhile
	lines = append(lines, fmt.Sprintf("before the next beat it may: %v", o.Owns(now, b, 9)))
	lines = append(lines, fmt.Sprintf("stood still: %v", o.Heartbeat(now)))
	o.Update(now, 1.2, 2.5, []Assignment{{b, 9, false}})
	say("an answer to an ask from before")
	o.Update(now, now, now+1, []Assignment{{b, 9, false}})
	say("one from after")
	testutil.CheckTrace(t, lines)
}

// Answers that arrive in another order than the leader made them: a shard that was lost is not taken up again from an answer
// that may be older than the loss (D1), and comes back, with its work in progress, by one that can't be (D4).
func TestOwnerAnswersOutOfOrder(t *testing.T) {
	const now, expiresAt = 1.0, 9.0
	id := ShardID{"jobs", 1}
	named := []Assignment{{id, 5, false}}
	newOwner := func() *Owner {
		o := NewOwner(0.1, 0.25)
		o.Update(now, 0.9, expiresAt, named)
		return o
	}
	owns := func(o *Owner) bool { return o.Owns(now+0.1, id, 5) }

	o := newOwner()
	fence, begun := o.Begin(now, id)
	changes := o.Update(now+0.1, 0.95, expiresAt, nil)
	if !begun || len(changes) != 1 || changes[0].Kind != ShardLost || owns(o) {
		t.Fatalf("begun %v; not named any more: %v, owned %v", begun, changes, owns(o))
	}
	for _, requestedAt := range []float64{0.97, now + 0.1} { // made before the loss, or in the same moment
		if changes := o.Update(now+0.1, requestedAt, expiresAt, named); len(changes) > 0 || owns(o) {
			t.Errorf("asked at %g, before the loss: %v, owned %v", requestedAt, changes, owns(o))
		}
	}
	o.Update(now+0.2, now+0.15, expiresAt, []Assignment{{id, 4, false}})
	if _, has := o.Fence(id); has {
		t.Error("an earlier fencing token was taken")
	}
	changes = o.Update(now+0.2, now+0.15, expiresAt, named)
	if len(changes) != 1 || changes[0].Kind != ShardGained || !o.Owns(now+0.2, id, 5) {
		t.Errorf("asked after the loss: %v", changes)
	}
	o.Update(now+0.2, now+0.16, expiresAt, []Assignment{{id, 5, true}})
	if returned := o.Returned(); len(returned) > 0 {
		t.Errorf("returned with work in progress: %v", returned)
	}
	o.End(id, fence)
	if returned := o.Returned(); len(returned) != 1 {
		t.Errorf("not returned once the work has ended: %v", returned)
	}

	// One that was returned stays returned, and one under a later fencing token is another assignment.
	o.Update(now+0.2, now+0.17, expiresAt, nil)
	o.Update(now+0.25, now+0.22, expiresAt, []Assignment{{id, 5, true}})
	if returned := o.Returned(); len(returned) != 1 || o.Owns(now+0.25, id, 5) {
		t.Errorf("returned before, lost and named again: %v", returned)
	}
	o.Update(now+0.3, now+0.26, expiresAt, nil)
	o.Update(now+0.3, now+0.2, expiresAt, []Assignment{{id, 8, false}})
	if _, ok := o.CanBegin(now+0.3, id); !ok {
		t.Error("a later assignment was not taken")
	}

	// What ends while its shard is lost is over when it comes back.
	o = newOwner()
	fence, _ = o.Begin(now, id)
	o.Update(now+0.1, 0.95, expiresAt, nil)
	o.End(id, fence)
	o.Update(now+0.2, now+0.15, expiresAt, []Assignment{{id, 5, true}})
	if returned := o.Returned(); len(returned) != 1 {
		t.Errorf("ended while it was lost: %v", returned)
	}
}

// Runs: on time, late by each of the ways, one longer than its interval, one that may have run, one that did not.
func TestNextActions(t *testing.T) {
	var lines []string
	none := func(int64) bool { return false }
	never := func(int64) int64 { return math.MinInt32 }
	say := func(what string, s JobSpec, v JobHistory, now int64, mine func(int64) bool, tried func(int64) int64) {
		var due []int64
		for when := v.LastDue/10*10 + 10; when <= now; when += 10 {
			due = append(due, when)
		}
		lines = append(lines, fmt.Sprintf("%s: %+v", what, NextActions(s, v, now, due, LocalRuns{mine, tried})))
	}
	say("on time", JobSpec{Grace: 5}, JobHistory{LastDue: 100}, 111, none, never)
	say("not due yet", JobSpec{Grace: 5}, JobHistory{LastDue: 110}, 111, none, never)
	for _, late := range []CatchUpPolicy{CatchUpNone, CatchUpLatest, CatchUpAll} {
		say(fmt.Sprintf("three late, way %d", late), JobSpec{CatchUp: late, Grace: 5}, JobHistory{LastDue: 100}, 136, none, never)
	}
	mine := func(when int64) bool { return when == 110 }
	say("longer than the interval, next skipped", JobSpec{Grace: 5}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Sent: true}}}, 127, mine, never)
	say("longer than the interval, each", JobSpec{CatchUp: CatchUpAll}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Sent: true}}}, 127, mine, never)
	say("sent by another, run-once", JobSpec{Grace: 5, NonIdempotent: true}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Sent: true, Fence: 3}}}, 112, none, never)
	say("sent by another, restartable", JobSpec{Grace: 5}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Sent: true, Fence: 3}}}, 112, none, never)
	say("taken by another, run-once", JobSpec{Grace: 5, NonIdempotent: true}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Fence: 3}}}, 112, none, never)
	say("waits for a person, the next is due", JobSpec{Grace: 5, NonIdempotent: true}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Uncertain: true}}}, 121, none, never)
	say("did not run a moment ago", JobSpec{Grace: 5, RetryDelay: 3}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110}}}, 112, none, func(int64) int64 { return 111 })
	say("did not run in any try", JobSpec{Grace: 5, MaxAttempts: 2}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Attempts: 2}}}, 112, none, never)
	testutil.CheckTrace(t, lines)
}
