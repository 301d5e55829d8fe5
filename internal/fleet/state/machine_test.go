package state

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "copperrock.example/copperrock/internal/harness/testutil" // one seed for all properties
)

// Whatever commands come, from however wrong a leader, no invariant breaks after any of them.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := New()
		names := []string{"a", "b", "c"}
		for step := range rapid.IntRange(1, 60).Draw(r, "commands") {
			c := Command{Op: rapid.SampledFrom([]Op{OpConfigure, OpJoin, OpJoin, OpExpire, OpAllocate, OpAllocate, OpAllocate, OpSettle, OpSettle}).Draw(r, "op"),
				Controller: ControllerID{rapid.SampledFrom(names).Draw(r, "name"), rapid.Uint64Range(1, 3).Draw(r, "inc")}, Subject: rapid.SampledFrom([]string{"m", "p"}).Draw(r, "what"),
				Amount: rapid.Float64Range(-1, 15).Draw(r, "amount"), MaxControllers: 4}
			switch c.Op {
			case OpConfigure:
				c.Generation = rapid.Uint64Range(0, 5).Draw(r, "generation")
				c.Quantities = []Quantity{{Name: "m", Total: rapid.Float64Range(0, 12).Draw(r, "whole"), FloorReserve: rapid.Float64Range(0, 2).Draw(r, "aside")},
					{Name: "p", Kind: Rate, Total: 6, Window: 1}}
			case OpSettle:
				if h := l.Controllers[c.Controller]; h != nil && rapid.Bool().Draw(r, "right number") {
					c.Number = h.Allocations[c.Subject].Revision
				}
			}
			was := l.Clone()
			err := l.Apply(c)
			if wrong := l.CheckInvariants(was); wrong != "" {
				r.Fatalf("step %d, %+v (%v): %s", step, c, err, wrong)
			}
		}
	})
}

// What was given up binds until the holder has settled; what it uses beyond still binds; the rest goes to another.
func TestShrinkFirst(t *testing.T) {
	l := New()
	a, b := ControllerID{"a", 1}, ControllerID{"b", 1}
	for _, c := range []Command{{Op: OpConfigure, Generation: 1, Quantities: []Quantity{{Name: "m", Total: 10}}}, {Op: OpJoin, Controller: a}, {Op: OpJoin, Controller: b},
		{Op: OpAllocate, Controller: a, Subject: "m", Amount: 10}, {Op: OpAllocate, Controller: a, Subject: "m", Amount: 4}, {Op: OpAllocate, Controller: b, Subject: "m", Amount: 6}} {
		if err := l.Apply(c); err != nil {
			t.Fatal(c, err)
		}
	}
	has := func(h ControllerID) float64 { return l.Controllers[h].Allocations["m"].Amount }
	if has(a) != 4 || has(b) != 0 || l.Available("m") != 0 {
		t.Errorf("a %g, b %g, free %g before a has settled", has(a), has(b), l.Available("m"))
	}
	number := l.Controllers[a].Allocations["m"].Revision
	if l.Apply(Command{Op: OpSettle, Controller: a, Subject: "m", Number: number - 1}) == nil {
		t.Error("settled an older number")
	}
	l.Apply(Command{Op: OpSettle, Controller: a, Subject: "m", Number: number, Amount: 7})
	l.Apply(Command{Op: OpAllocate, Controller: b, Subject: "m", Amount: 6})
	if has(b) != 3 {
		t.Errorf("b has %g while a uses 7 of 10 still", has(b))
	}
	l.Apply(Command{Op: OpExpire, Controller: a})
	l.Apply(Command{Op: OpAllocate, Controller: b, Subject: "m", Amount: 20})
	if has(b) != 10 {
		t.Errorf("b has %g of 10 once a is gone", has(b))
	}
}

// L5 to L8 hold for any commands, from however wrong a leader and whoever's acts, and the ledger does not grow past its
// bounds.
func TestAnyDuties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := New()
		l.Apply(Command{Op: OpConfigure, Generation: 1, Tasks: []Task{{"jobs", 3}, {"engines", 1}}, ScheduledJobs: []string{"a"}})
		sent := map[string]int{} // times that a run-once occurrence was allowed to be sent, less those of which nothing ran
		for range rapid.IntRange(1, 120).Draw(r, "commands") {
			h := ControllerID{rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "name"), rapid.Uint64Range(1, 2).Draw(r, "inc")}
			slice := rapid.IntRange(0, 3).Draw(r, "slice")
			fence := uint64(0)
			if s := l.shard("jobs", slice); s != nil && rapid.Bool().Draw(r, "right fence") {
				fence = s.Fence
				if rapid.Bool().Draw(r, "right owner") {
					h = s.Owner
				}
			}
			c := Command{Op: rapid.SampledFrom([]Op{OpJoin, OpJoin, OpExpire, OpAssignShard, OpAssignShard, OpRecallShard, OpReleaseShard, OpClaimRun, OpClaimRun, OpClaimRun, OpStartRun, OpStartRun, OpFinishRun, OpMarkRunUncertain, OpSkipRun, OpResolveRun, OpSetOverride, OpDeleteOverride, OpPublishList, OpConfigure}).Draw(r, "op"),
				Controller: h, Subject: "jobs", Task: "jobs", Shard: slice, Number: fence, MaxControllers: 5, Time: rapid.Int64Range(1, 9).Draw(r, "when"), NonIdempotent: true,
				Rerun: rapid.Bool().Draw(r, "again"), State: RunState(rapid.IntRange(0, 7).Draw(r, "state")), Generation: rapid.Uint64Range(0, 3).Draw(r, "generation"),
				Tasks: []Task{{"jobs", 3}, {"engines", 1}}, Text: "drain", Revoke: rapid.Bool().Draw(r, "ends")}
			if c.Op >= OpClaimRun && c.Op <= OpResolveRun {
				c.Subject = "a"
			}
			was := l.Clone()
			err := l.Apply(c)
			if wrong := l.CheckInvariants(was); wrong != "" {
				r.Fatalf("%+v: %s", c, wrong)
			}
			key := fmt.Sprint(c.Subject, c.Time)
			state := func(l *Machine) RunState {
				if run := l.ScheduledJobs["a"].run(c.Time); run != nil {
					return run.State
				}
				return -1
			}
			before, after := state(was), state(l)
			switch {
			case err != nil && before != after:
				r.Fatalf("%+v was refused and changed the occurrence", c)
			case c.Op == OpStartRun && before == RunClaimed && after == RunSent:
				if sent[key]++; sent[key] > 1 {
					r.Fatalf("%+v: a run-once occurrence may be sent twice", c)
				}
			case (c.Op == OpFinishRun || c.Op == OpResolveRun) && after == RunClaimed && before != RunClaimed:
				sent[key]--
			}
		}
		for name := range l.ScheduledJobs {
			if n := len(l.ScheduledJobs[name].Runs); n > retainedRuns+maxOpenRuns {
				r.Fatalf("%d occurrences are kept", n)
			}
		}
	})
}
