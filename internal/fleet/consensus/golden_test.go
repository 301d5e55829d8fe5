package consensus

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// An entry of the log with one command of each kind, every field set, is written and read as the builds before did.
func TestGoldenLogEntry(t *testing.T) {
	ops := []state.Op{
		state.Set, state.Join, state.Expire, state.Move, state.Settle, state.Voters,
		state.Assign, state.Recall, state.Release, state.Take, state.Send, state.Over, state.Doubt, state.Miss,
		state.Clear, state.Ordering, state.ForgetOrder, state.Publish,
	}
	want := ledgerEntry{By: 3, Token: 1<<48 | 7, Refs: []uint64{0, 1<<32 | 5}}
	for _, op := range ops {
		var command state.Command
		testutil.Fill(&command)
		command.Op = op
		command.State = state.RunCleared
		want.Commands = append(want.Commands, command)
	}
	data, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got ledgerEntry
	if err := decode(testutil.Golden(t, "LogEntry", data), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("entry read from the golden file (-want +got):\n%s", diff)
	}
}

// A snapshot with every field set is written and read as the builds before did.
func TestGoldenSnapshot(t *testing.T) {
	want := goldenLedger()
	data, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got := state.New()
	if err := decode(testutil.Golden(t, "Snapshot", data), got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ledger read from the golden file (-want +got):\n%s", diff)
	}
}

// goldenLedger holds two of each thing, with every field of the first set.
func goldenLedger() *state.Ledger {
	first, second := state.Holder{Name: "c0", Inc: 1 << 40}, state.Holder{Name: "c1", Inc: 1<<40 + 1}
	l := state.New()
	l.Generation, l.Applied, l.Voting = 5, 1234, 2
	l.Quantities["memory"] = state.Quantity{Name: "memory", Form: state.Held, Whole: 4096, Aside: 256.5}
	l.Quantities["rate"] = state.Quantity{Name: "rate", Form: state.Paced, Whole: 100, Aside: 10, Window: 2.5}
	l.Controllers[first] = &state.Controller{Holder: first, Index: 1, Replaced: true, Holds: map[string]state.Holding{
		"memory": {Amount: 100.5, Bound: 200.25, Number: 17},
		"rate":   {Amount: 4, Bound: 5, Number: 18},
	}}
	l.Controllers[second] = &state.Controller{Holder: second, Holds: map[string]state.Holding{}}
	l.Latest["c0"], l.Latest["c1"] = first.Inc, second.Inc
	l.Slices["jobs"] = []state.Slice{{Owner: first, Fence: 21, Recall: true}, {}}
	l.Slices["probing"] = []state.Slice{{Owner: second, Fence: 22}}
	l.Jobs["nightly"] = &state.Job{Last: 1700000060, Runs: []state.Run{
		{When: 1700000000, State: state.RunCleared, Once: true, Holder: first, Fence: 21, Sent: 2, Tries: 3, Told: "done by hand"},
		{When: 1700000060, State: state.RunSent, Holder: second, Fence: 22, Sent: 1, Tries: 1},
	}}
	l.Jobs["weekly"] = &state.Job{Last: 1600000000}
	drain := state.Order{Number: 30, Kind: state.Drain, Target: "engine-1", Ends: true, Until: 1700000100}
	budget := state.Order{Number: 31, Kind: state.BudgetFor, Target: "finance", Amount: 512.5}
	l.Orders[state.OrderKey(drain.Kind, drain.Target)] = drain
	l.Orders[state.OrderKey(budget.Kind, budget.Target)] = budget
	l.Lists["engines"] = state.Published{Fence: 23, Version: 1200, Data: []byte("a list")}
	l.Lists["others"] = state.Published{Fence: 24, Version: 1201, Data: []byte("another")}
	return l
}
