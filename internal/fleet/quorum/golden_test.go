package quorum

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/internal/fleet/ledger"
	"copperrock.example/copperrock/internal/lab/testkit"
)

// An entry of the log with one command of each kind, every field set, is written and read as the builds before did.
func TestGoldenLogEntry(t *testing.T) {
	ops := []ledger.Op{
		ledger.Set, ledger.Join, ledger.Expire, ledger.Move, ledger.Settle, ledger.Voters,
		ledger.Assign, ledger.Recall, ledger.Release, ledger.Take, ledger.Send, ledger.Over, ledger.Doubt, ledger.Miss,
		ledger.Clear, ledger.Ordering, ledger.ForgetOrder, ledger.Publish,
	}
	want := ledgerEntry{By: 3, Token: 1<<48 | 7, Refs: []uint64{0, 1<<32 | 5}}
	for _, op := range ops {
		var command ledger.Command
		testkit.Fill(&command)
		command.Op = op
		command.State = ledger.RunCleared
		want.Commands = append(want.Commands, command)
	}
	data, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got ledgerEntry
	if err := decode(testkit.Golden(t, "LogEntry", data), &got); err != nil {
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
	got := ledger.New()
	if err := decode(testkit.Golden(t, "Snapshot", data), got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ledger read from the golden file (-want +got):\n%s", diff)
	}
}

// goldenLedger holds two of each thing, with every field of the first set.
func goldenLedger() *ledger.Ledger {
	first, second := ledger.Holder{Name: "c0", Inc: 1 << 40}, ledger.Holder{Name: "c1", Inc: 1<<40 + 1}
	l := ledger.New()
	l.Generation, l.Applied, l.Voting = 5, 1234, 2
	l.Quantities["memory"] = ledger.Quantity{Name: "memory", Form: ledger.Held, Whole: 4096, Aside: 256.5}
	l.Quantities["rate"] = ledger.Quantity{Name: "rate", Form: ledger.Paced, Whole: 100, Aside: 10, Window: 2.5}
	l.Controllers[first] = &ledger.Controller{Holder: first, Index: 1, Replaced: true, Holds: map[string]ledger.Holding{
		"memory": {Amount: 100.5, Bound: 200.25, Number: 17},
		"rate":   {Amount: 4, Bound: 5, Number: 18},
	}}
	l.Controllers[second] = &ledger.Controller{Holder: second, Holds: map[string]ledger.Holding{}}
	l.Latest["c0"], l.Latest["c1"] = first.Inc, second.Inc
	l.Slices["jobs"] = []ledger.Slice{{Owner: first, Fence: 21, Recall: true}, {}}
	l.Slices["probing"] = []ledger.Slice{{Owner: second, Fence: 22}}
	l.Jobs["nightly"] = &ledger.Job{Last: 1700000060, Runs: []ledger.Run{
		{When: 1700000000, State: ledger.RunCleared, Once: true, Holder: first, Fence: 21, Sent: 2, Tries: 3, Told: "done by hand"},
		{When: 1700000060, State: ledger.RunSent, Holder: second, Fence: 22, Sent: 1, Tries: 1},
	}}
	l.Jobs["weekly"] = &ledger.Job{Last: 1600000000}
	drain := ledger.Order{Number: 30, Kind: ledger.Drain, Target: "engine-1", Ends: true, Until: 1700000100}
	budget := ledger.Order{Number: 31, Kind: ledger.BudgetFor, Target: "finance", Amount: 512.5}
	l.Orders[ledger.OrderKey(drain.Kind, drain.Target)] = drain
	l.Orders[ledger.OrderKey(budget.Kind, budget.Target)] = budget
	l.Lists["engines"] = ledger.Published{Fence: 23, Version: 1200, Data: []byte("a list")}
	l.Lists["others"] = ledger.Published{Fence: 24, Version: 1201, Data: []byte("another")}
	return l
}
