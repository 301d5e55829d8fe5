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
	settings consensus.Config
}

// goldenSettings are those of a fleet that voter 1 founds and voter 2 joins.
func goldenSettings(id uint64) consensus.Config {
	return consensus.Config{
		ID: id, Voters: []uint64{1, 2}, VoterGeneration: 1, Boot: 1,
		Timing:            lease.Timing{TTL: 1, MaxDrift: 0.01, Linger: 0.5},
		HeartbeatInterval: 0.05,
		RebalanceInterval: 0.1, Allocation: allocation.Config{Reserve: 0.1}, MaxControllers: 10,
		Generation: 3,
		Quantities: []state.Quantity{
			{Name: "memory", Kind: state.Occupancy, Total: 1000, FloorReserve: 100},
			{Name: "rate", Kind: state.Rate, Total: 50, FloorReserve: 5, Window: 1},
		},
		Tasks:         []state.Task{{Name: "engines", Shards: 1}, {Name: "jobs", Shards: 2}},
		ScheduledJobs: []string{"nightly"},
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
	for v.core.HasReady() {
		out := v.core.Ready()
		if err := v.file.Save(out); err != nil {
			v.t.Fatal(err)
		}
		for _, m := range out.Messages {
			if err := other.core.Step(now, m); err != nil {
				v.t.Fatal(err)
			}
		}
		if err := v.core.Advance(now); err != nil {
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

var goldenHolders = []state.ControllerID{{Name: "c1", Incarnation: 11}, {Name: "c2", Incarnation: 12}}

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
		if n%2 == 0 && f.leader.core.IsLeader() {
			f.ask()
		}
		f.settle()
	}
}

func (f *goldenFleet) ask() {
	f.asks++
	for i, holder := range goldenHolders {
		ask := consensus.LeaseRequest{
			Controller: holder, Number: f.asks, Generation: 3, ConfigDigest: consensus.ConfigDigest(f.leader.settings.Quantities, f.leader.settings.Tasks), WorkCapacity: 1,
			Demands: []consensus.Demand{
				{Quantity: "memory", Used: 10, Wanted: float64(100 * (i + 1)), Weight: 1},
				{Quantity: "rate", Used: 1, Wanted: 5, Weight: 1},
			},
		}
		if err := f.leader.core.HandleLeaseRequest(f.now, ask); err != nil {
			f.leader.t.Fatal(err)
		}
	}
}

// settle carries out outputs until there are none.
func (f *goldenFleet) settle() {
	f.leader.t.Helper()
	for f.leader.core.HasReady() || f.follower.core.HasReady() {
		f.leader.step(f.now, f.follower)
		f.follower.step(f.now, f.leader)
	}
}

// act has the leader carry out a command, of a controller or, without a holder, of an operator.
func (f *goldenFleet) act(command state.Command) {
	f.leader.t.Helper()
	f.asks++
	if err := f.leader.core.HandleProposal(f.now, consensus.Proposal{Controller: command.Controller, Number: f.asks, Command: command}); err != nil {
		f.leader.t.Fatal(err)
	}
	f.settle()
}

// compact folds what the leader holds into its file, as a grown one is.
func (f *goldenFleet) compact() {
	f.leader.t.Helper()
	whole, err := f.leader.core.Persisted()
	if err == nil {
		err = f.leader.file.Compact(whole)
	}
	if err != nil {
		f.leader.t.Fatal(err)
	}
}

// ownerOf finds who owns a slice, and the index of the first slice of a duty that has an owner.
func (f *goldenFleet) ownerOf(duty string) (at int, slice state.Shard) {
	f.leader.t.Helper()
	for at, slice := range f.leader.core.Machine().Shards[duty] {
		if slice.Owner.Name != "" {
			return at, slice
		}
	}
	f.leader.t.Fatalf("no slice of %s has an owner", duty)
	return 0, slice
}

// The files of a voter with a snapshot and a tail, and of one that joined, are written and read as the builds before did.
func TestGoldenRaftLog(t *testing.T) {
	f := &goldenFleet{leader: newGoldenVoter(t, 1, consensus.InitialSnapshot([]uint64{1})), follower: newGoldenVoter(t, 2, nil)}
	if err := f.leader.file.RecordPeer(2, Start{Boot: 1, Incarnation: 77}); err != nil {
		t.Fatal(err)
	}
	f.run(4)
	f.act(state.Command{Op: state.OpSetOverride, Text: state.DrainEngine, Subject: "engine-7", Time: 1700000000})
	at, slice := f.ownerOf("jobs")
	occurrence := state.Command{Controller: slice.Owner, Task: "jobs", Shard: at, Number: slice.Fence, Subject: "nightly", Time: 1600000000, NonIdempotent: true}
	for _, op := range []state.Op{state.OpClaimRun, state.OpStartRun} {
		occurrence.Op = op
		f.act(occurrence)
	}
	f.compact()
	occurrence.Op, occurrence.State, occurrence.Text = state.OpFinishRun, state.RunDone, "42 rows"
	f.act(occurrence)
	at, slice = f.ownerOf("engines")
	f.act(state.Command{Op: state.OpPublishList, Controller: slice.Owner, Subject: "engines", Shard: at, Number: slice.Fence, Data: []byte("a list of engines")})
	f.act(state.Command{Op: state.OpSetOverride, Text: state.TeamBudget, Subject: "memory", Amount: 900})
	f.run(0.5)

	l := f.leader.core.Machine()
	if r := l.ScheduledJobs["nightly"]; r == nil || len(r.Runs) != 1 || r.Runs[0].State != state.RunDone || r.Runs[0].Outcome != "42 rows" {
		t.Errorf("scheduled job: %+v", r)
	}
	if string(l.Lists["engines"].Data) != "a list of engines" || len(l.Overrides) != 2 || len(l.Controllers) != 2 {
		t.Errorf("%d lists, %d orders, %d controllers", len(l.Lists), len(l.Overrides), len(l.Controllers))
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
func (v *goldenVoter) readGolden(name string, written []byte, want *state.Machine) {
	v.t.Helper()
	golden := testutil.Golden(v.t, "raftlog/"+name, written)
	kept, good, err := Decode(golden, v.identity)
	if err != nil || good != int64(len(golden)) || len(kept.Entries) == 0 || kept.HardState == nil || kept.Snapshot == nil {
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
	for v.core.HasReady() { // what is committed is applied again
		v.core.Ready()
		if err := v.core.Advance(0); err != nil {
			v.t.Fatal(err)
		}
	}
	if diff := cmp.Diff(want, v.core.Machine()); diff != "" {
		v.t.Errorf("%s: ledger read from the golden file (-want +got):\n%s", name, diff)
	}
}
