package state

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "copperrock.example/copperrock/internal/harness/testutil" // sets one seed for all property tests
)

// No sequence of commands, even from a faulty leader, violates an invariant.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		machine := New()
		names := []string{"a", "b", "c"}
		for step := range rapid.IntRange(1, 60).Draw(r, "commands") {
			c := Command{Op: rapid.SampledFrom([]Op{OpConfigure, OpJoin, OpJoin, OpExpire, OpAllocate, OpAllocate, OpAllocate, OpSettle, OpSettle}).Draw(r, "op"),
				Controller: ControllerID{rapid.SampledFrom(names).Draw(r, "name"), rapid.Uint64Range(1, 3).Draw(r, "incarnation")}, Subject: rapid.SampledFrom([]string{"m", "p"}).Draw(r, "quantity"),
				Amount: rapid.Float64Range(-1, 15).Draw(r, "amount"), MaxControllers: 4}
			switch c.Op {
			case OpConfigure:
				c.Generation = rapid.Uint64Range(0, 5).Draw(r, "generation")
				c.Quantities = []Quantity{{Name: "m", Total: rapid.Float64Range(0, 12).Draw(r, "total"), FloorReserve: rapid.Float64Range(0, 2).Draw(r, "floor reserve")},
					{Name: "p", Kind: Rate, Total: 6, Window: 1}}
			case OpSettle:
				if controller := machine.Controllers[c.Controller]; controller != nil && rapid.Bool().Draw(r, "current revision") {
					c.Number = controller.Allocations[c.Subject].Revision
				}
			}
			previous := machine.Clone()
			err := machine.Apply(c)
			if violation := machine.CheckInvariants(previous); violation != "" {
				r.Fatalf("step %d, command %+v (error %v): %s", step, c, err, violation)
			}
		}
	})
}

// After an allocation is lowered, the difference stays committed until its controller settles. What the controller then
// still uses beyond its allocation stays committed; the rest can be allocated to another controller.
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
		t.Errorf("before a has settled: a has %g, b %g, available %g; want 4, 0, 0", amount(a), amount(b), machine.Available("m"))
	}
	revision := machine.Controllers[a].Allocations["m"].Revision
	if err := machine.Apply(Settle{Controller: a, Quantity: "m", Revision: revision - 1}.Command()); !errors.Is(err, ErrFenced) {
		t.Errorf("settling an older revision: got error %v, want ErrFenced", err)
	}
	apply(Settle{Controller: a, Quantity: "m", Revision: revision, Used: 7}.Command())
	apply(Allocate{Controller: b, Quantity: "m", Amount: 6}.Command())
	if amount(b) != 3 {
		t.Errorf("while a still uses 7 of 10: b has %g, want 3", amount(b))
	}
	apply(Expire{Controller: a}.Command())
	apply(Allocate{Controller: b, Quantity: "m", Amount: 20}.Command())
	if amount(b) != 10 {
		t.Errorf("after a has expired: b has %g, want 10", amount(b))
	}
}

// Each rejection wraps its reason, and its text contains only the details, because operators read it.
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
		{Configure{Generation: 2}.Command(), ErrStaleGeneration, "configuration generation 2 is not later than 2"},
		{Join{Controller: ControllerID{"a", 1}}.Command(), ErrStaleIncarnation, "controller a already has incarnation 2, 1 is not later"},
		{Join{Controller: ControllerID{}}.Command(), ErrInvalid, "the controller has no name"},
		{Expire{Controller: unknown}.Command(), ErrStaleIncarnation, "controller unknown of incarnation 1 is unknown"},
		{RecallShard{Owner: a, Task: "jobs", Fence: 99}.Command(), ErrFenced, `shard 0 of "jobs" is not owned by a with fencing token 99`},
		{ReleaseShard{Owner: a, Task: "jobs", Fence: 99}.Command(), ErrFenced, `shard 0 of "jobs" is not owned by a with fencing token 99`},
		{Allocate{Controller: a, Quantity: "none"}.Command(), ErrInvalid, `unknown quantity "none"`},
		{DeleteOverride{Kind: DrainEngine, Target: "e"}.Command(), ErrFenced, "override 0 for e is not the current one or not revoked"},
		{SetOverride{Kind: DrainEngine, Target: "e", Revoke: true}.Command(), ErrInvalid, "no override of that kind is set for e"},
		{Command{Op: OpPublishList, Controller: a, Subject: "jobs", Number: machine.Shards["jobs"][0].Fence, Data: make([]byte, maxListBytes+1)}, ErrLimit,
			"the list has 524289 bytes, the limit is 524288"},
	} {
		if err := machine.Apply(c.command); !errors.Is(err, c.reason) || err.Error() != c.text {
			t.Errorf("op %d: got error %q, want %q, wrapping %q", c.command.Op, err, c.text, c.reason)
		}
	}
}

// L5 to L8 hold for any commands, even from a faulty leader and from any proposer, and the state does not exceed its limits.
func TestSharedWorkInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		machine := New()
		if err := machine.Apply(Configure{Generation: 1, Tasks: []Task{{"jobs", 3}, {"engines", 1}}, ScheduledJobs: []string{"a"}}.Command()); err != nil {
			r.Fatal(err)
		}
		sent := map[string]int{} // by run: how often a non-idempotent run was allowed to be sent, minus how often nothing of it ran
		for range rapid.IntRange(1, 120).Draw(r, "commands") {
			owner := ControllerID{rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "name"), rapid.Uint64Range(1, 2).Draw(r, "incarnation")}
			index := rapid.IntRange(0, 3).Draw(r, "shard")
			fence := uint64(0)
			if shard := machine.shard("jobs", index); shard != nil && rapid.Bool().Draw(r, "current fence") {
				fence = shard.Fence
				if rapid.Bool().Draw(r, "current owner") {
					owner = shard.Owner
				}
			}
			c := Command{Op: rapid.SampledFrom([]Op{OpJoin, OpJoin, OpExpire, OpAssignShard, OpAssignShard, OpRecallShard, OpReleaseShard, OpClaimRun, OpClaimRun, OpClaimRun, OpStartRun, OpStartRun, OpFinishRun, OpMarkRunUncertain, OpSkipRun, OpResolveRun, OpSetOverride, OpDeleteOverride, OpPublishList, OpConfigure}).Draw(r, "op"),
				Controller: owner, Subject: "jobs", Task: "jobs", Shard: index, Number: fence, MaxControllers: 5, Time: rapid.Int64Range(1, 9).Draw(r, "time"), NonIdempotent: true,
				Rerun: rapid.Bool().Draw(r, "rerun"), State: RunState(rapid.IntRange(0, 7).Draw(r, "state")), Generation: rapid.Uint64Range(0, 3).Draw(r, "generation"),
				Tasks: []Task{{"jobs", 3}, {"engines", 1}}, Text: "drain", Revoke: rapid.Bool().Draw(r, "revoke")}
			if c.Op >= OpClaimRun && c.Op <= OpResolveRun {
				c.Subject = "a"
			}
			previous := machine.Clone()
			err := machine.Apply(c)
			if violation := machine.CheckInvariants(previous); violation != "" {
				r.Fatalf("command %+v: %s", c, violation)
			}
			key := fmt.Sprint(c.Subject, c.Time)
			state := func(m *Machine) RunState {
				if run := m.ScheduledJobs["a"].run(c.Time); run != nil {
					return run.State
				}
				return -1
			}
			before, after := state(previous), state(machine)
			switch {
			case err != nil && before != after:
				r.Fatalf("command %+v was rejected, but changed the run's state from %d to %d", c, before, after)
			case c.Op == OpStartRun && before == RunClaimed && after == RunSent:
				if sent[key]++; sent[key] > 1 {
					r.Fatalf("command %+v: a non-idempotent run may be sent twice", c)
				}
			case (c.Op == OpFinishRun || c.Op == OpResolveRun) && after == RunClaimed && before != RunClaimed:
				sent[key]--
			}
		}
		for name := range machine.ScheduledJobs {
			if n := len(machine.ScheduledJobs[name].Runs); n > retainedRuns+maxOpenRuns {
				r.Fatalf("job %q has %d runs stored, want at most %d", name, n, retainedRuns+maxOpenRuns)
			}
		}
	})
}

// The histories of removed jobs are bounded: those with the earliest due times are dropped first.
func TestRemovedJobsAreBounded(t *testing.T) {
	machine := New()
	for i := range retainedRemovedJobs + 2 {
		machine.ScheduledJobs[fmt.Sprint(i)] = &ScheduledJob{LastDue: int64(i)}
	}
	machine.ScheduledJobs["0"].Runs = []Run{{State: RunUncertain}} // stays until an operator resolves it
	if err := machine.Apply(Configure{Generation: 1}.Command()); err != nil {
		t.Fatal(err)
	}
	for name, kept := range map[string]bool{"0": true, "1": false, "2": true} {
		if got := machine.ScheduledJobs[name] != nil; got != kept {
			t.Errorf("job %s: got kept %v, want %v", name, got, kept)
		}
	}
}

// Guards against a second run of what a job did before a rolling change of the settings took it out, by a controller that still
// has the earlier settings. The latest due time
// outlasts the removal and the job's return.
func TestRemovedJobKeepsItsLastDueTime(t *testing.T) {
	machine, owner := New(), ControllerID{"a", 1}
	apply := func(c Command) error {
		previous := machine.Clone()
		err := machine.Apply(c)
		if violation := machine.CheckInvariants(previous); violation != "" {
			t.Error(violation)
		}
		return err
	}
	must := func(c Command) {
		t.Helper()
		if err := apply(c); err != nil {
			t.Fatal(err)
		}
	}
	configure := func(generation uint64, jobs ...string) {
		t.Helper()
		must(Configure{Generation: generation, Tasks: []Task{{"jobs", 1}}, ScheduledJobs: jobs}.Command())
	}
	run := func(op Op, job string, due int64) Command {
		return Command{Op: op, Controller: owner, Task: "jobs", Subject: job, Time: due, Number: machine.Shards["jobs"][0].Fence, NonIdempotent: true, State: RunDone}
	}
	runOnce := func(due int64) {
		t.Helper()
		for _, op := range []Op{OpClaimRun, OpStartRun, OpFinishRun} {
			must(run(op, "nightly", due))
		}
	}
	expectRefused := func(due int64) {
		t.Helper()
		for _, op := range []Op{OpClaimRun, OpSkipRun} {
			if err := apply(run(op, "nightly", due)); !errors.Is(err, ErrInvalid) {
				t.Errorf("op %d for due time %d: got error %v, want %v", op, due, err, ErrInvalid)
			}
		}
	}
	configure(1, "nightly", "hourly")
	must(Join{Controller: owner, MaxControllers: 1}.Command())
	must(AssignShard{Owner: owner, Task: "jobs"}.Command())
	runOnce(100)
	configure(2, "hourly")
	expectRefused(100)
	runOnce(120) // by a controller with the earlier settings, before it is restarted
	configure(3, "hourly")
	expectRefused(120)
	configure(4, "hourly", "nightly")
	expectRefused(120)
	runOnce(140)
}
