package state

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "copperrock.example/copperrock/internal/harness/testutil" // one seed for all properties
)

// Whatever commands come, from however faulty a leader, no invariant breaks after any of them.
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

// An amount that was lowered stays committed until its controller has settled; what it still uses beyond stays so after it;
// the rest may go to another.
func TestAllocationShrinksBeforeGrowing(t *testing.T) {
	machine := New()
	apply := func(command Command) {
		t.Helper()
		if err := machine.Apply(command); err != nil {
			t.Fatal(command, err)
		}
	}
	a, b := ControllerID{"a", 1}, ControllerID{"b", 1}
	apply(Configure{Generation: 1, Quantities: []Quantity{{Name: "m", Total: 10}}}.Command())
	apply(Join{Controller: a}.Command())
	apply(Join{Controller: b}.Command())
	apply(Allocate{Controller: a, Quantity: "m", Amount: 10}.Command())
	apply(Allocate{Controller: a, Quantity: "m", Amount: 4}.Command())
	apply(Allocate{Controller: b, Quantity: "m", Amount: 6}.Command())
	amount := func(id ControllerID) float64 { return machine.Controllers[id].Allocations["m"].Amount }
	if amount(a) != 4 || amount(b) != 0 || machine.Available("m") != 0 {
		t.Errorf("a %g, b %g, available %g before a has settled", amount(a), amount(b), machine.Available("m"))
	}
	revision := machine.Controllers[a].Allocations["m"].Revision
	if err := machine.Apply(Settle{Controller: a, Quantity: "m", Revision: revision - 1}.Command()); !errors.Is(err, ErrFenced) {
		t.Errorf("settled an older revision: %v", err)
	}
	apply(Settle{Controller: a, Quantity: "m", Revision: revision, Used: 7}.Command())
	apply(Allocate{Controller: b, Quantity: "m", Amount: 6}.Command())
	if amount(b) != 3 {
		t.Errorf("b has %g while a still uses 7 of 10", amount(b))
	}
	apply(Expire{Controller: a}.Command())
	apply(Allocate{Controller: b, Quantity: "m", Amount: 20}.Command())
	if amount(b) != 10 {
		t.Errorf("b has %g of 10 once a has expired", amount(b))
	}
}

// Each rejection wraps its reason, and its text is the details alone: operators read them.
func TestRejectionReasons(t *testing.T) {
	machine := New()
	a, unknown := ControllerID{"a", 2}, ControllerID{"unknown", 1}
	for _, command := range []Command{
		Configure{Generation: 2, Tasks: []Task{{"jobs", 1}}}.Command(),
		Join{Controller: a, MaxControllers: 1}.Command(),
		AssignShard{Owner: a, Task: "jobs"}.Command(),
	} {
		if err := machine.Apply(command); err != nil {
			t.Fatal(command, err)
		}
	}
	for _, c := range []struct {
		command Command
		reason  error
		text    string
	}{
		{Configure{Generation: 2}.Command(), ErrStaleGeneration, "generation 2 is not later than 2"},
		{Join{Controller: ControllerID{"a", 1}}.Command(), ErrStaleIncarnation, "a has incarnation 2 already, 1 is not later"},
		{Join{Controller: ControllerID{}}.Command(), ErrInvalid, "a controller without a name"},
		{Expire{Controller: unknown}.Command(), ErrStaleIncarnation, "unknown of incarnation 1 is not known"},
		{RecallShard{Owner: a, Task: "jobs", Fence: 99}.Command(), ErrFenced, `slice 0 of "jobs" is not a's under fence 99`},
		{ReleaseShard{Owner: a, Task: "jobs", Fence: 99}.Command(), ErrFenced, `slice 0 of "jobs" is not a's under fence 99`},
		{Allocate{Controller: a, Quantity: "none"}.Command(), ErrInvalid, `no quantity "none"`},
		{DeleteOverride{Kind: DrainEngine, Target: "e"}.Command(), ErrFenced, "order 0 of e is not to be forgotten"},
		{SetOverride{Kind: DrainEngine, Target: "e", Revoke: true}.Command(), ErrInvalid, "nothing of that kind is ordered of e"},
		{Command{Op: OpPublishList, Controller: a, Subject: "jobs", Number: machine.Shards["jobs"][0].Fence, Data: make([]byte, maxListBytes+1)}, ErrLimit,
			"a list of 524289 bytes; 524288 at most"},
	} {
		if err := machine.Apply(c.command); !errors.Is(err, c.reason) || err.Error() != c.text {
			t.Errorf("%+v: %v", c.command.Op, err)
		}
	}
}

// L5 to L8 hold for any commands, from however faulty a leader and any proposer, and the state does not grow past its
// limits.
func TestSharedWorkInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := New()
		if err := l.Apply(Configure{Generation: 1, Tasks: []Task{{"jobs", 3}, {"engines", 1}}, ScheduledJobs: []string{"a"}}.Command()); err != nil {
			r.Fatal(err)
		}
		sent := map[string]int{} // times that a non-idempotent run was allowed to be sent, less those of which nothing ran
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
