package raftlog

import (
	"fmt"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/harness/crashfs"
)

// testPath is the path of the raft log of a voter on the simulated disk.
const testPath = "c1.votes"

// voterRun is a voter that saves votes and entries until its disk fails, and what was acknowledged to it: state for which
// Save or Compact has returned nil.
type voterRun struct {
	disk  *crashfs.Dir
	term  uint64 // term of the latest acknowledged vote
	index uint64 // index of the latest acknowledged entry
	base  uint64 // index of the latest acknowledged snapshot
}

// run opens the file and saves a number of votes, each with some entries, with a compaction now and then. It continues from
// the state that it has read, and returns the error that has ended it.
func (v *voterRun) run(saves int) error {
	log, persisted, err := open(v.disk, testPath, owner, nil)
	if err != nil {
		return err
	}
	defer log.Close()
	if err := v.check(persisted); err != nil {
		return err
	}
	v.observe(persisted)
	entries := persisted.Entries
	snapshot := persisted.Snapshot
	for n := range saves {
		ready := consensus.Ready{MustSync: true, HardState: &raftpb.HardState{Term: p(v.term + 1), Vote: p(uint64(2)), Commit: p(v.base)}}
		for range 2 {
			entry := &raftpb.Entry{Term: p(v.term + 1), Index: p(lastIndex(entries, snapshot) + 1), Data: []byte("entry")}
			ready.Entries, entries = append(ready.Entries, entry), append(entries, entry)
		}
		if err := log.Save(ready); err != nil {
			return err
		}
		v.term, v.index = v.term+1, lastIndex(entries, snapshot)
		if n%3 != 2 {
			continue
		}
		snapshot = snapshotAt(entries[0])
		entries = entries[1:]
		if err := log.Compact(consensus.Persisted{HardState: ready.HardState, Snapshot: snapshot, Entries: entries}); err != nil {
			return err
		}
		v.base = snapshot.GetMetadata().GetIndex()
	}
	return nil
}

// snapshotAt returns a snapshot of everything up to an entry.
func snapshotAt(entry *raftpb.Entry) *raftpb.Snapshot {
	snapshot := initialSnapshot()
	snapshot.Metadata.Index, snapshot.Metadata.Term = p(entry.GetIndex()), p(entry.GetTerm())
	return snapshot
}

func lastIndex(entries []*raftpb.Entry, snapshot *raftpb.Snapshot) uint64 {
	if len(entries) > 0 {
		return entries[len(entries)-1].GetIndex()
	}
	return snapshot.GetMetadata().GetIndex()
}

// observe counts everything that a process has read as acknowledged, because the process may answer based on it.
func (v *voterRun) observe(persisted consensus.Persisted) {
	v.term = max(v.term, persisted.HardState.GetTerm())
	v.index = max(v.index, lastIndex(persisted.Entries, persisted.Snapshot))
	v.base = max(v.base, persisted.Snapshot.GetMetadata().GetIndex())
}

// check returns an error if an acknowledged vote, entry or snapshot is missing.
func (v *voterRun) check(persisted consensus.Persisted) error {
	switch {
	case persisted.HardState.GetTerm() < v.term:
		return &lostError{fmt.Sprintf("got the vote of term %[2]d, want term %[1]d or later", v.term, persisted.HardState.GetTerm())}
	case lastIndex(persisted.Entries, persisted.Snapshot) < v.index:
		return &lostError{fmt.Sprintf("got entries up to %[2]d, want %[1]d or later", v.index, lastIndex(persisted.Entries, persisted.Snapshot))}
	case persisted.Snapshot.GetMetadata().GetIndex() < v.base:
		return &lostError{fmt.Sprintf("got the snapshot at %[2]d, want %[1]d or later", v.base, persisted.Snapshot.GetMetadata().GetIndex())}
	}
	return nil
}

// lostError reports that acknowledged state is lost.
type lostError struct{ what string }

func (e *lostError) Error() string { return "lost: " + e.what }

// newVoter creates the raft log of a voter on a simulated disk.
func newVoter(t *testing.T, seed uint64) *voterRun {
	t.Helper()
	disk := crashfs.New(seed)
	if err := create(disk, testPath, owner, initialSnapshot()); err != nil {
		t.Fatal(err)
	}
	return &voterRun{disk: disk}
}

// reopen crashes the machine, opens the file and checks it.
func (v *voterRun) reopen() error {
	v.disk.Crash()
	v.disk.Restart()
	return v.run(0)
}

// The machine crashes at every operation of a voter in turn, and again at every operation of the next opening: each
// acknowledged vote, entry and snapshot must be there. Guards against votes that a power failure undoes.
func TestCrashAtEveryOperation(t *testing.T) {
	const saves, openings = 8, 8
	reference := newVoter(t, 1)
	begin := reference.disk.Operations()
	if err := reference.run(saves); err != nil {
		t.Fatal(err)
	}
	operations := reference.disk.Operations() - begin
	if operations < 30 {
		t.Fatalf("only %d operations", operations)
	}
	for at := 1; at <= operations; at++ {
		for again := range openings {
			v := newVoter(t, uint64(100*at+again))
			v.disk.CrashAtOperation = v.disk.Operations() + at
			_ = v.run(saves) // fails at the crash
			v.disk.Restart()
			if again > 0 {
				v.disk.CrashAtOperation = v.disk.Operations() + again
				_ = v.run(0) // fails at the second crash
			}
			if err := v.reopen(); err != nil {
				t.Fatalf("crash at %d, again at %d: %v", at, again, err)
			}
		}
	}
}

// A voter is killed at every operation in turn, another process continues with its file, and the machine crashes at each of
// the next operations: what either process acknowledged must be there. Guards against a file whose name was never synced.
func TestKilledThenCrashedLater(t *testing.T) {
	const saves, later = 8, 30
	for at := 1; at <= 60; at++ {
		for after := 1; after <= later; after++ {
			v := newVoter(t, uint64(100*at+after))
			v.disk.CrashAtOperation = v.disk.Operations() + at
			_ = v.run(saves) // fails when the process is killed
			v.disk.Resume()
			v.disk.CrashAtOperation = v.disk.Operations() + after
			_ = v.run(saves) // fails at the crash
			if err := v.reopen(); err != nil {
				t.Fatalf("killed at %d, crashed %d later: %v", at, after, err)
			}
		}
	}
}

// The raft log of a new voter must be there if the machine crashes right after Create has returned. After a crash during
// Create, the file must either be there or be possible to create.
func TestCreatedThenCrashed(t *testing.T) {
	if err := newVoter(t, 1).reopen(); err != nil {
		t.Error(err)
	}
	for at := 1; at <= 6; at++ {
		disk := crashfs.New(uint64(at))
		disk.CrashAtOperation = at
		created := create(disk, testPath, owner, initialSnapshot()) == nil
		disk.Restart()
		_, _, err := open(disk, testPath, owner, nil)
		if created && err != nil {
			t.Errorf("crash at %d: got error %v after the file was created", at, err)
		}
		if err == nil {
			continue
		}
		if err := create(disk, testPath, owner, initialSnapshot()); err != nil {
			t.Errorf("crash at %d: the file is not there and can't be created: %v", at, err)
		}
	}
}
