package consensus

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// A log entry with one command of each kind and every field set is encoded and decoded as by earlier builds.
func TestGoldenLogEntry(t *testing.T) {
	ops := []state.Op{
		state.OpConfigure, state.OpJoin, state.OpExpire, state.OpAllocate, state.OpSettle, state.OpSetVoterGeneration,
		state.OpAssignShard, state.OpRecallShard, state.OpReleaseShard, state.OpClaimRun, state.OpStartRun, state.OpFinishRun, state.OpMarkRunUncertain, state.OpSkipRun,
		state.OpResolveRun, state.OpSetOverride, state.OpDeleteOverride, state.OpPublishList,
	}
	want := logEntry{Proposer: 3, Token: 1<<48 | 7, ProposalIDs: []uint64{0, 1<<32 | 5}}
	for _, op := range ops {
		var command state.Command
		testutil.FillFields(&command)
		command.Op = op
		command.State = state.RunResolved
		want.Commands = append(want.Commands, command)
	}
	data, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got logEntry
	if err := decode(testutil.CheckGolden(t, "LogEntry", data), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("log entry decoded from the golden file (-want +got):\n%s", diff)
	}
}

// A snapshot with every field set is encoded and decoded as by earlier builds.
func TestGoldenSnapshot(t *testing.T) {
	withRemovedJob := goldenState()
	withRemovedJob.ScheduledJobs["nightly"].Listing = state.ListingRemoved
	for name, want := range map[string]*state.Machine{"Snapshot": goldenState(), "SnapshotRemovedJob": withRemovedJob} {
		data, err := encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got := state.New()
		if err := decode(testutil.CheckGolden(t, name, data), got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s decoded from the golden file (-want +got):\n%s", name, diff)
		}
	}
}

// goldenState returns a state with two items of each kind. The first of each kind has every field set.
func goldenState() *state.Machine {
	first, second := state.ControllerID{Name: "c0", Incarnation: 1 << 40}, state.ControllerID{Name: "c1", Incarnation: 1<<40 + 1}
	machine := state.New()
	machine.Generation, machine.AppliedCommands, machine.VoterGeneration = 5, 1234, 2
	machine.Quantities["memory"] = state.Quantity{Name: "memory", Kind: state.Occupancy, Total: 4096, FloorReserve: 256.5}
	machine.Quantities["rate"] = state.Quantity{Name: "rate", Kind: state.Rate, Total: 100, FloorReserve: 10, Window: 2.5}
	machine.Controllers[first] = &state.Controller{ControllerID: first, Index: 1, Replaced: true, Allocations: map[string]state.Allocation{
		"memory": {Amount: 100.5, Committed: 200.25, Revision: 17},
		"rate":   {Amount: 4, Committed: 5, Revision: 18},
	}}
	machine.Controllers[second] = &state.Controller{ControllerID: second, Allocations: map[string]state.Allocation{}}
	machine.LatestIncarnation["c0"], machine.LatestIncarnation["c1"] = first.Incarnation, second.Incarnation
	machine.Shards["jobs"] = []state.Shard{{Owner: first, Fence: 21, Recalled: true}, {}}
	machine.Shards["probing"] = []state.Shard{{Owner: second, Fence: 22}}
	machine.ScheduledJobs["nightly"] = &state.ScheduledJob{LastDue: 1700000060, Runs: []state.Run{
		{Due: 1700000000, State: state.RunResolved, NonIdempotent: true, Owner: first, Fence: 21, Executions: 2, Attempts: 3, Outcome: "done by hand"},
		{Due: 1700000060, State: state.RunSent, Owner: second, Fence: 22, Executions: 1, Attempts: 1},
	}}
	machine.ScheduledJobs["weekly"] = &state.ScheduledJob{LastDue: 1600000000}
	drain := state.Override{Number: 30, Kind: state.DrainEngine, Target: "engine-1", Revoked: true, ExpiresAt: 1700000100}
	budget := state.Override{Number: 31, Kind: state.TeamBudget, Target: "finance", Amount: 512.5}
	machine.Overrides[state.OverrideKey(drain.Kind, drain.Target)] = drain
	machine.Overrides[state.OverrideKey(budget.Kind, budget.Target)] = budget
	machine.Lists["engines"] = state.PublishedList{Fence: 23, Version: 1200, Data: []byte("a list")}
	machine.Lists["others"] = state.PublishedList{Fence: 24, Version: 1201, Data: []byte("another")}
	return machine
}
