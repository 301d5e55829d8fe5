package assignment

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

func newCandidates(n int) (candidates []Candidate) {
	for i := range n {
		candidates = append(candidates, Candidate{fmt.Sprintf("c%03d", i), 1})
	}
	return candidates
}

// When a candidate leaves, only its own shards move. Each candidate gets shards in proportion to its weight.
func TestChooseOwner(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(r, "controllers")
		all := newCandidates(n)
		removed := rapid.IntRange(0, n-1).Draw(r, "removed")
		remaining := slices.Delete(slices.Clone(all), removed, removed+1)
		for shard := range 200 {
			before, after := all[ChooseOwner("probe", shard, all)].Name, remaining[ChooseOwner("probe", shard, remaining)].Name
			if before != all[removed].Name && before != after {
				r.Fatalf("shard %d moved from %s to %s when %s was removed", shard, before, after, all[removed].Name)
			}
		}
	})
	weighted := newCandidates(4)
	weighted[1].Weight, weighted[2].Weight = 2, 0
	count := map[string]int{}
	for shard := range 4000 {
		count[weighted[ChooseOwner("jobs", shard, weighted)].Name]++
	}
	if ratio := float64(count["c001"]) / float64(count["c000"]); ratio < 1.7 || ratio > 2.3 || count["c002"] > 0 {
		t.Errorf("shards per candidate with weights 1, 2, 0, 1: got %v", count)
	}
	if got := ChooseOwner("jobs", 1, nil); got != -1 {
		t.Errorf("owner without candidates: got %d, want -1", got)
	}
}

// With a thousand shards and three hundred controllers, of which a tenth is absent each second, shards move no more often
// than their owners change, and no more are recalled at once than allowed.
func TestPlanStepsAtSize(t *testing.T) {
	all := newCandidates(300)
	shards := make([]ShardState, 1000)
	for i := range shards {
		shards[i] = ShardState{Owner: -1, Unowned: true}
	}
	moved := 0
	for round := range 30 {
		dead := map[int]bool{}
		for i := range 30 {
			dead[(round*37+i*7)%300] = true
		}
		var live []Candidate
		var liveIndexes []int // indexes of live in all
		for i, candidate := range all {
			if !dead[i] {
				live, liveIndexes = append(live, candidate), append(liveIndexes, i)
			}
		}
		states := make([]ShardState, len(shards)) // with indexes into live
		for i, shard := range shards {
			states[i] = ShardState{Owner: slices.Index(liveIndexes, shard.Owner), Unowned: shard.Unowned || dead[shard.Owner], Recalled: shard.Recalled}
		}
		recalls := 0
		for _, step := range PlanSteps("probe", states, live, 125) {
			if step.Recall {
				recalls++
				shards[step.Shard].Recalled = true
				continue
			}
			shards[step.Shard] = ShardState{Owner: liveIndexes[step.To]}
			moved++
		}
		for i := range shards { // owners return the recalled shards
			if shards[i].Recalled {
				shards[i] = ShardState{Owner: -1, Unowned: true}
			}
		}
		if recalls > 125 {
			t.Fatalf("got %d shards recalled at once, want at most 125", recalls)
		}
	}
	if moved > 1000+30*300 { // in each round the shards of a tenth move away, and those of the previous tenth move back
		t.Errorf("got %d moves, want at most %d", moved, 1000+30*300)
	}
}

// What an owner may do with a valid lease, near its expiry, after a stall, after a recall, and after an older response.
func TestOwner(t *testing.T) {
	o := NewOwner(0.1, 0.25)
	a, b := ShardID{"jobs", 1}, ShardID{"jobs", 2}
	var lines []string
	now := 0.0
	record := func(event string) {
		fenceA, okA := o.CanBegin(now, a)
		fenceB, okB := o.CanBegin(now, b)
		lines = append(lines, fmt.Sprintf("%.2f %s: a %v under %d, b %v under %d, rest %.2f, back %v", now, event, okA, fenceA, okB, fenceB, o.RemainingLease(now), o.Returned()))
	}
	advance := func(to float64) {
		for now < to-1e-9 {
			now = min(now+0.1, to)
			o.Heartbeat(now)
		}
	}
	record("new")
	o.Update(now, 0, 1, []Assignment{{a, 5, false}, {b, 6, false}})
	record("given both up to 1")
	advance(0.85)
	record("later")
	advance(0.95)
	record("within the margin")
	o.Update(now, 0.9, 1.9, []Assignment{{a, 5, true}, {b, 6, false}})
	record("renewed, a asked back")
	o.Update(now, 0.9, 2.0, []Assignment{{b, 6, false}, {a, 4, false}})
	record("an older word of a")
	fence, _ := o.Begin(now, b)
	o.Update(now, 0.95, 2.0, []Assignment{{b, 6, true}})
	record("a gone, b asked back with something under way")
	lines = append(lines, fmt.Sprintf("it may still finish: %v", o.Owns(now, b, fence)))
	o.End(b, fence)
	record("that is over")
	o.Update(now, 1, 2.1, []Assignment{{b, 9, false}})
	record("b given anew")
	now += 0.5 // without a heartbeat
	lines = append(lines, fmt.Sprintf("before the next beat it may: %v", o.Owns(now, b, 9)))
	lines = append(lines, fmt.Sprintf("stood still: %v", o.Heartbeat(now)))
	o.Update(now, 1.2, 2.5, []Assignment{{b, 9, false}})
	record("an answer to an ask from before")
	o.Update(now, now, now+1, []Assignment{{b, 9, false}})
	record("one from after")
	testutil.CheckTrace(t, lines)
}

// Responses may arrive in a different order than the leader made them. A lost shard is not regained from a response that may
// be older than the loss (D1), but is regained, with its work in progress, from one that can't be (D4).
func TestOwnerAnswersOutOfOrder(t *testing.T) {
	const now, expiresAt = 1.0, 9.0
	id := ShardID{"jobs", 1}
	listed := []Assignment{{id, 5, false}}
	newOwner := func() *Owner {
		o := NewOwner(0.1, 0.25)
		o.Update(now, 0.9, expiresAt, listed)
		return o
	}
	owns := func(o *Owner) bool { return o.Owns(now+0.1, id, 5) }

	o := newOwner()
	fence, begun := o.Begin(now, id)
	changes := o.Update(now+0.1, 0.95, expiresAt, nil)
	if !begun || len(changes) != 1 || changes[0].Kind != ShardLost || owns(o) {
		t.Fatalf("shard no longer listed: got work begun %v, changes %v, owned %v; want true, one ShardLost, false", begun, changes, owns(o))
	}
	for _, requestedAt := range []float64{0.97, now + 0.1} { // requested before the loss, or at the same time
		if changes := o.Update(now+0.1, requestedAt, expiresAt, listed); len(changes) > 0 || owns(o) {
			t.Errorf("requested at %g, not after the loss: got changes %v, owned %v; want none, false", requestedAt, changes, owns(o))
		}
	}
	o.Update(now+0.2, now+0.15, expiresAt, []Assignment{{id, 4, false}})
	if _, owned := o.Fence(id); owned {
		t.Error("an assignment with an earlier fencing token was accepted")
	}
	changes = o.Update(now+0.2, now+0.15, expiresAt, listed)
	if len(changes) != 1 || changes[0].Kind != ShardGained || !o.Owns(now+0.2, id, 5) {
		t.Errorf("requested after the loss: got changes %v, want one ShardGained", changes)
	}
	o.Update(now+0.2, now+0.16, expiresAt, []Assignment{{id, 5, true}})
	if returned := o.Returned(); len(returned) > 0 {
		t.Errorf("recalled with work in progress: got returned %v, want none", returned)
	}
	o.End(id, fence)
	if returned := o.Returned(); len(returned) != 1 {
		t.Errorf("recalled, after the work has ended: got returned %v, want one", returned)
	}

	// A returned shard stays returned when it is lost and regained. A later fencing token is a new assignment.
	o.Update(now+0.2, now+0.17, expiresAt, nil)
	o.Update(now+0.25, now+0.22, expiresAt, []Assignment{{id, 5, true}})
	if returned := o.Returned(); len(returned) != 1 || o.Owns(now+0.25, id, 5) {
		t.Errorf("returned, lost and listed again: got returned %v, owned %v; want one, false", returned, o.Owns(now+0.25, id, 5))
	}
	o.Update(now+0.3, now+0.26, expiresAt, nil)
	o.Update(now+0.3, now+0.2, expiresAt, []Assignment{{id, 8, false}})
	if _, ok := o.CanBegin(now+0.3, id); !ok {
		t.Error("an assignment with a later fencing token was not accepted")
	}

	// Work that ends while its shard is lost no longer counts as in progress when the shard is regained.
	o = newOwner()
	fence, _ = o.Begin(now, id)
	o.Update(now+0.1, 0.95, expiresAt, nil)
	o.End(id, fence)
	o.Update(now+0.2, now+0.15, expiresAt, []Assignment{{id, 5, true}})
	if returned := o.Returned(); len(returned) != 1 {
		t.Errorf("work ended while the shard was lost: got returned %v, want one", returned)
	}
}

// Runs that are on time, late under each policy, longer than their interval, uncertain, and to be retried.
func TestNextActions(t *testing.T) {
	var lines []string
	none := func(int64) bool { return false }
	never := func(int64) int64 { return math.MinInt32 }
	record := func(situation string, spec JobSpec, history JobHistory, now int64, isRunning func(int64) bool, lastAttempt func(int64) int64) {
		var due []int64
		for at := history.LastDue/10*10 + 10; at <= now; at += 10 {
			due = append(due, at)
		}
		lines = append(lines, fmt.Sprintf("%s: %+v", situation, NextActions(spec, history, now, due, LocalRuns{isRunning, lastAttempt})))
	}
	record("on time", JobSpec{Grace: 5}, JobHistory{LastDue: 100}, 111, none, never)
	record("not due yet", JobSpec{Grace: 5}, JobHistory{LastDue: 110}, 111, none, never)
	for _, policy := range []CatchUpPolicy{CatchUpNone, CatchUpLatest, CatchUpAll} {
		record(fmt.Sprintf("three late, way %d", policy), JobSpec{CatchUp: policy, Grace: 5}, JobHistory{LastDue: 100}, 136, none, never)
	}
	isRunning := func(due int64) bool { return due == 110 }
	record("longer than the interval, next skipped", JobSpec{Grace: 5}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Sent: true}}}, 127, isRunning, never)
	record("longer than the interval, each", JobSpec{CatchUp: CatchUpAll}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Sent: true}}}, 127, isRunning, never)
	record("sent by another, run-once", JobSpec{Grace: 5, NonIdempotent: true}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Sent: true, Fence: 3}}}, 112, none, never)
	record("sent by another, restartable", JobSpec{Grace: 5}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Sent: true, Fence: 3}}}, 112, none, never)
	record("taken by another, run-once", JobSpec{Grace: 5, NonIdempotent: true}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Fence: 3}}}, 112, none, never)
	record("waits for a person, the next is due", JobSpec{Grace: 5, NonIdempotent: true}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Uncertain: true}}}, 121, none, never)
	record("did not run a moment ago", JobSpec{Grace: 5, RetryDelay: 3}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110}}}, 112, none, func(int64) int64 { return 111 })
	record("did not run in any try", JobSpec{Grace: 5, MaxAttempts: 2}, JobHistory{LastDue: 110, OpenRuns: []OpenRun{{Due: 110, Attempts: 2}}}, 112, none, never)
	testutil.CheckTrace(t, lines)
}
