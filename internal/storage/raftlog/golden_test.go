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

// goldenVoter is a voter with its raft log on disk, in virtual time.
type goldenVoter struct {
	t        *testing.T
	core     *consensus.Core
	file     *Log
	path     string
	identity Identity
	settings consensus.Config
}

// goldenSettings returns the settings of a fleet that voter 1 founds and voter 2 joins.
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
	file, persisted, err := Open(v.path, v.identity)
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(file.Close)
	if v.core, err = consensus.New(v.settings, persisted); err != nil {
		v.t.Fatal(err)
	}
	v.file = file
}

// step processes the outputs of the core; messages are delivered to the other voter at once.
func (v *goldenVoter) step(now float64, other *goldenVoter) {
	v.t.Helper()
	for v.core.HasReady() {
		output := v.core.Ready()
		if err := v.file.Save(output); err != nil {
			v.t.Fatal(err)
		}
		for _, m := range output.Messages {
			if err := other.core.Step(now, m); err != nil {
				v.t.Fatal(err)
			}
		}
		if err := v.core.Advance(now); err != nil {
			v.t.Fatal(err)
		}
	}
}

// goldenFleet is a founding voter that leads, a second voter that has joined, and two controllers that request leases.
type goldenFleet struct {
	leader, follower *goldenVoter
	now              float64
	requests         uint64 // number of the latest lease request or proposal
}

var goldenHolders = []state.ControllerID{{Name: "c1", Incarnation: 11}, {Name: "c2", Incarnation: 12}}

// run advances the time; both controllers send a lease request every 100 ms.
func (f *goldenFleet) run(seconds float64) {
	f.leader.t.Helper()
	const tick = 0.05
	for n := range int(seconds / tick) {
		f.now += tick
		for _, v := range []*goldenVoter{f.leader, f.follower} {
			if err := v.core.Tick(f.now); err != nil {
				f.leader.t.Fatal(err)
			}
		}
		if n%2 == 0 && f.leader.core.IsLeader() {
			f.requestLeases()
		}
		f.settle()
	}
}

func (f *goldenFleet) requestLeases() {
	f.requests++
	for i, holder := range goldenHolders {
		request := consensus.LeaseRequest{
			Controller: holder, Number: f.requests, Generation: 3, ConfigDigest: consensus.ConfigDigest(f.leader.settings.Quantities, f.leader.settings.Tasks), WorkCapacity: 1,
			Demands: []consensus.Demand{
				{Quantity: "memory", Used: 10, Wanted: float64(100 * (i + 1)), Weight: 1},
				{Quantity: "rate", Used: 1, Wanted: 5, Weight: 1},
			},
		}
		if err := f.leader.core.HandleLeaseRequest(f.now, request); err != nil {
			f.leader.t.Fatal(err)
		}
	}
}

// settle processes the outputs of both voters until there are none.
func (f *goldenFleet) settle() {
	f.leader.t.Helper()
	for f.leader.core.HasReady() || f.follower.core.HasReady() {
		f.leader.step(f.now, f.follower)
		f.follower.step(f.now, f.leader)
	}
}

// propose applies a command at the leader, for a controller or, without one, for an operator.
func (f *goldenFleet) propose(command state.Command) {
	f.leader.t.Helper()
	f.requests++
	if err := f.leader.core.HandleProposal(f.now, consensus.Proposal{Controller: command.Controller, Number: f.requests, Command: command}); err != nil {
		f.leader.t.Fatal(err)
	}
	f.settle()
}

// compact rewrites the file of the leader with its current state.
func (f *goldenFleet) compact() {
	f.leader.t.Helper()
	persisted, err := f.leader.core.Persisted()
	if err == nil {
		err = f.leader.file.Compact(persisted)
	}
	if err != nil {
		f.leader.t.Fatal(err)
	}
}

// firstOwned returns the first shard of a task that has an owner, and its index.
func (f *goldenFleet) firstOwned(task string) (index int, shard state.Shard) {
	f.leader.t.Helper()
	for index, shard := range f.leader.core.Machine().Shards[task] {
		if shard.Owner.Name != "" {
			return index, shard
		}
	}
	f.leader.t.Fatalf("no shard of %s has an owner", task)
	return 0, shard
}

// The files of a voter with a snapshot and later entries, and of one that joined, must be written as previous versions wrote
// them, and must be readable.
func TestGoldenRaftLog(t *testing.T) {
	f := &goldenFleet{leader: newGoldenVoter(t, 1, consensus.InitialSnapshot([]uint64{1})), follower: newGoldenVoter(t, 2, nil)}
	if err := f.leader.file.RecordPeer(2, Start{Boot: 1, Incarnation: 77}); err != nil {
		t.Fatal(err)
	}
	f.run(4)
	f.propose(state.Command{Op: state.OpSetOverride, Text: state.DrainEngine, Subject: "engine-7", Time: 1700000000})
	index, shard := f.firstOwned("jobs")
	run := state.Command{Controller: shard.Owner, Task: "jobs", Shard: index, Number: shard.Fence, Subject: "nightly", Time: 1600000000, NonIdempotent: true}
	for _, op := range []state.Op{state.OpClaimRun, state.OpStartRun} {
		run.Op = op
		f.propose(run)
	}
	f.compact()
	run.Op, run.State, run.Text = state.OpFinishRun, state.RunDone, "42 rows"
	f.propose(run)
	index, shard = f.firstOwned("engines")
	f.propose(state.Command{Op: state.OpPublishList, Controller: shard.Owner, Subject: "engines", Shard: index, Number: shard.Fence, Data: []byte("a list of engines")})
	f.propose(state.Command{Op: state.OpSetOverride, Text: state.TeamBudget, Subject: "memory", Amount: 900})
	f.run(0.5)

	machine := f.leader.core.Machine()
	if job := machine.ScheduledJobs["nightly"]; job == nil || len(job.Runs) != 1 || job.Runs[0].State != state.RunDone || job.Runs[0].Outcome != "42 rows" {
		t.Errorf("scheduled job: got %+v, want one run that is done", job)
	}
	if string(machine.Lists["engines"].Data) != "a list of engines" || len(machine.Overrides) != 2 || len(machine.Controllers) != 2 {
		t.Errorf("got %d lists, %d overrides, %d controllers", len(machine.Lists), len(machine.Overrides), len(machine.Controllers))
	}
	for _, v := range []*goldenVoter{f.leader, f.follower} {
		v.file.Close()
		text, err := os.ReadFile(v.path)
		if err != nil {
			t.Fatal(err)
		}
		v.readGolden(map[uint64]string{1: "founder", 2: "joined"}[v.identity.Voter], text, machine)
	}
}

// readGolden opens the golden file as this voter's raft log, and compares its content with the wanted state.
func (v *goldenVoter) readGolden(name string, written []byte, want *state.Machine) {
	v.t.Helper()
	golden := testutil.CheckGolden(v.t, "raftlog/"+name, written)
	persisted, complete, err := Decode(golden, v.identity)
	if err != nil || complete != int64(len(golden)) || len(persisted.Entries) == 0 || persisted.HardState == nil || persisted.Snapshot == nil {
		v.t.Fatalf("%s: got %d complete bytes of %d, %d entries, error %v", name, complete, len(golden), len(persisted.Entries), err)
	}
	if err := os.WriteFile(v.path, golden, 0o600); err != nil {
		v.t.Fatal(err)
	}
	v.open()
	if v.file.Boot() != 2 {
		v.t.Errorf("%s: got boot %d, want 2", name, v.file.Boot())
	}
	wantStarts := map[uint64]map[uint64]Start{1: {2: {Boot: 1, Incarnation: 77}}, 2: {}}[v.identity.Voter]
	if diff := cmp.Diff(wantStarts, v.file.PeerStarts()); diff != "" {
		v.t.Errorf("%s: starts of other voters (-want +got):\n%s", name, diff)
	}
	for v.core.HasReady() { // committed entries are applied again
		v.core.Ready()
		if err := v.core.Advance(0); err != nil {
			v.t.Fatal(err)
		}
	}
	if diff := cmp.Diff(want, v.core.Machine()); diff != "" {
		v.t.Errorf("%s: state read from the golden file (-want +got):\n%s", name, diff)
	}
}
