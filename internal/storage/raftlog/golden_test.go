package raftlog

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// goldenVoter is a voter with its log on disk, in virtual time.
type goldenVoter struct {
	t        *testing.T
	core     *consensus.Core
	file     *Log
	path     string
	identity Identity
	settings consensus.Settings
}

// goldenSettings are those of a fleet that voter 1 founds and voter 2 joins.
func goldenSettings(id uint64) consensus.Settings {
	return consensus.Settings{
		ID: id, Voters: []uint64{1, 2}, Voting: 1, Life: 1,
		Rules:  lease.Rules{Lease: 1, Drift: 0.01, Linger: 0.5},
		Beat:   0.05,
		Divide: 0.1, Division: allocation.Rules{Reserve: 0.1}, Most: 10,
		Generation: 3,
		Quantities: []state.Quantity{
			{Name: "memory", Form: state.Held, Whole: 1000, Aside: 100},
			{Name: "rate", Form: state.Paced, Whole: 50, Aside: 5, Window: 1},
		},
		Duties: []state.Duty{{Name: "engines", Slices: 1}, {Name: "jobs", Slices: 2}},
		Jobs:   []string{"nightly"},
	}
}

func newGoldenVoter(t *testing.T, id uint64, first *raftpb.Snapshot) *goldenVoter {
	t.Helper()
	v := &goldenVoter{t: t, path: filepath.Join(t.TempDir(), "votes"), identity: Identity{"golden", id}, settings: goldenSettings(id)}
	if err := Create(v.path, v.identity, first); err != nil {
		t.Fatal(err)
	}
	v.open()
	return v
}

// open starts the voter from its file.
func (v *goldenVoter) open() {
	v.t.Helper()
	file, kept, err := Open(v.path, v.identity)
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(file.Close)
	if v.core, err = consensus.New(v.settings, kept); err != nil {
		v.t.Fatal(err)
	}
	v.file = file
}

// step carries out what the core puts out; messages go to the other voter at once.
func (v *goldenVoter) step(now float64, other *goldenVoter) {
	v.t.Helper()
	for v.core.HasOutput() {
		out := v.core.Output()
		if err := v.file.Save(out); err != nil {
			v.t.Fatal(err)
		}
		for _, m := range out.Messages {
			if err := other.core.Step(now, m); err != nil {
				v.t.Fatal(err)
			}
		}
		if err := v.core.Done(now); err != nil {
			v.t.Fatal(err)
		}
	}
}

// goldenFleet is a founding voter that leads, a second one that has joined, and two controllers that ask for shares.
type goldenFleet struct {
	leader, follower *goldenVoter
	now              float64
	asks             uint64
}

var goldenHolders = []state.Holder{{Name: "c1", Inc: 11}, {Name: "c2", Inc: 12}}

// run lets time pass; both controllers ask in each tenth of a second.
func (f *goldenFleet) run(seconds float64) {
	f.leader.t.Helper()
	const beat = 0.05
	for n := range int(seconds / beat) {
		f.now += beat
		for _, v := range []*goldenVoter{f.leader, f.follower} {
			if err := v.core.Tick(f.now); err != nil {
				f.leader.t.Fatal(err)
			}
		}
		if n%2 == 0 && f.leader.core.Leads() {
			f.ask()
		}
		f.settle()
	}
}

func (f *goldenFleet) ask() {
	f.asks++
	for i, holder := range goldenHolders {
		ask := consensus.Ask{
			Holder: holder, Number: f.asks, Generation: 3, Digest: consensus.Digest(f.leader.settings.Quantities, f.leader.settings.Duties), Room: 1,
			Demands: []consensus.Demand{
				{Name: "memory", Used: 10, Wanted: float64(100 * (i + 1)), Weight: 1},
				{Name: "rate", Used: 1, Wanted: 5, Weight: 1},
			},
		}
		if err := f.leader.core.Ask(f.now, ask); err != nil {
			f.leader.t.Fatal(err)
		}
	}
}

// settle carries out outputs until there are none.
func (f *goldenFleet) settle() {
	f.leader.t.Helper()
	for f.leader.core.HasOutput() || f.follower.core.HasOutput() {
		f.leader.step(f.now, f.follower)
		f.follower.step(f.now, f.leader)
	}
}

// act has the leader carry out a command, of a controller or, without a holder, of an operator.
func (f *goldenFleet) act(command state.Command) {
	f.leader.t.Helper()
	f.asks++
	if err := f.leader.core.Act(f.now, consensus.Act{Holder: command.Holder, Number: f.asks, Command: command}); err != nil {
		f.leader.t.Fatal(err)
	}
	f.settle()
}

// compact folds what the leader holds into its file, as a grown one is.
func (f *goldenFleet) compact() {
	f.leader.t.Helper()
	whole, err := f.leader.core.Whole()
	if err == nil {
		err = f.leader.file.Compact(whole)
	}
	if err != nil {
		f.leader.t.Fatal(err)
	}
}

// ownerOf finds who owns a slice, and the index of the first slice of a duty that has an owner.
func (f *goldenFleet) ownerOf(duty string) (at int, slice state.Slice) {
	f.leader.t.Helper()
	for at, slice := range f.leader.core.Ledger().Slices[duty] {
		if slice.Owner.Name != "" {
			return at, slice
		}
	}
	f.leader.t.Fatalf("no slice of %s has an owner", duty)
	return 0, slice
}

// The files of a voter with a snapshot and a tail, and of one that joined, are written and read as the builds before did.
func TestGoldenRaftLog(t *testing.T) {
	f := &goldenFleet{leader: newGoldenVoter(t, 1, consensus.First([]uint64{1})), follower: newGoldenVoter(t, 2, nil)}
	if err := f.leader.file.RecordPeer(2, Start{Boot: 1, Incarnation: 77}); err != nil {
		t.Fatal(err)
	}
	f.run(4)
	f.act(state.Command{Op: state.Ordering, Text: state.Drain, What: "engine-7", When: 1700000000})
	at, slice := f.ownerOf("jobs")
	occurrence := state.Command{Holder: slice.Owner, Duty: "jobs", At: at, Number: slice.Fence, What: "nightly", When: 1600000000, Once: true}
	for _, op := range []state.Op{state.Take, state.Send} {
		occurrence.Op = op
		f.act(occurrence)
	}
	f.compact()
	occurrence.Op, occurrence.State, occurrence.Text = state.Over, state.RunDone, "42 rows"
	f.act(occurrence)
	at, slice = f.ownerOf("engines")
	f.act(state.Command{Op: state.Publish, Holder: slice.Owner, What: "engines", At: at, Number: slice.Fence, Data: []byte("a list of engines")})
	f.act(state.Command{Op: state.Ordering, Text: state.BudgetFor, What: "memory", Amount: 900})
	f.run(0.5)

	l := f.leader.core.Ledger()
	if r := l.Jobs["nightly"]; r == nil || len(r.Runs) != 1 || r.Runs[0].State != state.RunDone || r.Runs[0].Told != "42 rows" {
		t.Errorf("scheduled job: %+v", r)
	}
	if string(l.Lists["engines"].Data) != "a list of engines" || len(l.Orders) != 2 || len(l.Controllers) != 2 {
		t.Errorf("%d lists, %d orders, %d controllers", len(l.Lists), len(l.Orders), len(l.Controllers))
	}
	for _, v := range []*goldenVoter{f.leader, f.follower} {
		v.file.Close()
		text, err := os.ReadFile(v.path)
		if err != nil {
			t.Fatal(err)
		}
		v.readGolden(map[uint64]string{1: "founder", 2: "joined"}[v.identity.Voter], text, l)
	}
}

// readGolden opens the golden file as this voter's, and compares what it finds with the state.
func (v *goldenVoter) readGolden(name string, written []byte, want *state.Ledger) {
	v.t.Helper()
	golden := testutil.Golden(v.t, "raftlog/"+name, written)
	kept, good, err := Decode(golden, v.identity)
	if err != nil || good != int64(len(golden)) || len(kept.Entries) == 0 || kept.State == nil || kept.Snapshot == nil {
		v.t.Fatalf("%s: %d of %d bytes, %d entries, error %v", name, good, len(golden), len(kept.Entries), err)
	}
	if err := os.WriteFile(v.path, golden, 0o600); err != nil {
		v.t.Fatal(err)
	}
	v.open()
	if v.file.Boot() != 2 {
		v.t.Errorf("%s: boot %d", name, v.file.Boot())
	}
	met := map[uint64]map[uint64]Start{1: {2: {Boot: 1, Incarnation: 77}}, 2: {}}[v.identity.Voter]
	if diff := cmp.Diff(met, v.file.PeerStarts()); diff != "" {
		v.t.Errorf("%s: voters that were met (-want +got):\n%s", name, diff)
	}
	for v.core.HasOutput() { // what is committed is applied again
		v.core.Output()
		if err := v.core.Done(0); err != nil {
			v.t.Fatal(err)
		}
	}
	if diff := cmp.Diff(want, v.core.Ledger()); diff != "" {
		v.t.Errorf("%s: ledger read from the golden file (-want +got):\n%s", name, diff)
	}
}
