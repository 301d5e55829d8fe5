package consensus

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Persisted is what a voter finds on its disk. One that replaces another voter starts with nothing but Joining: it has no
// vote until the others have made it a member and sent it a snapshot.
type Persisted struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	Joining   bool
}

// Empty tells whether nothing was stored.
func (p Persisted) Empty() bool {
	return p.HardState == nil && p.Snapshot == nil && len(p.Entries) == 0
}

// ErrNoRaftState tells that a disk holds no raft state. A voter that began anew on it could vote twice in one term, so it
// does not: a new fleet's disks are made from InitialSnapshot, and a voter that has lost its disk is replaced.
var ErrNoRaftState = errors.New("the disk holds no votes")

// retainedEntries is how many applied entries stay in the log for voters that lag.
const retainedEntries = 2000

// InitialSnapshot is what every voter of a new fleet has on its disk before it starts.
func InitialSnapshot(voters []uint64) *raftpb.Snapshot {
	data, err := encode(state.New())
	if err != nil {
		panic(err) // an empty state
	}
	index, term := uint64(1), uint64(1)
	confState := &raftpb.ConfState{Voters: slices.Sorted(slices.Values(voters))}
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: confState}}
}

// load takes what the disk holds into raft's storage and the state machine.
func (c *Core) load(persisted Persisted) error {
	if persisted.Snapshot != nil {
		if err := c.storage.ApplySnapshot(persisted.Snapshot); err != nil {
			return err
		}
		if err := c.restoreSnapshot(persisted.Snapshot); err != nil {
			return err
		}
	}
	if persisted.HardState != nil {
		if err := c.storage.SetHardState(persisted.HardState); err != nil {
			return err
		}
	}
	return c.storage.Append(persisted.Entries)
}

// restoreSnapshot replaces the state by a snapshot's.
func (c *Core) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	machine := state.New()
	if err := decode(snapshot.GetData(), machine); err != nil {
		return fmt.Errorf("the ledger in a snapshot can't be read: %w", err)
	}
	metadata := snapshot.GetMetadata()
	c.machine, c.appliedIndex, c.snapshotIndex = machine, metadata.GetIndex(), metadata.GetIndex()
	c.confState = metadata.GetConfState()
	return nil
}

// compactLog makes a snapshot of the state once many entries were applied since the last, and drops entries before it.
func (c *Core) compactLog() error {
	if c.appliedIndex < c.snapshotIndex+2*retainedEntries && !c.snapshotDue {
		return nil
	}
	c.snapshotDue = false
	data, err := encode(c.machine)
	if err != nil {
		return err
	}
	if _, err := c.storage.CreateSnapshot(c.appliedIndex, c.confState, data); err != nil {
		return err
	}
	c.snapshotIndex = c.appliedIndex
	if first, err := c.storage.FirstIndex(); err != nil || c.appliedIndex < first+retainedEntries {
		return err
	}
	return c.storage.Compact(c.appliedIndex - retainedEntries)
}

// SnapshotIndex is the index of the latest snapshot. A change of it tells that the disk may be rewritten with Persisted.
func (c *Core) SnapshotIndex() uint64 { return c.snapshotIndex }

// Persisted is all that the disk has to hold now, for a file that is rewritten.
func (c *Core) Persisted() (p Persisted, err error) {
	if p.Snapshot, err = c.storage.Snapshot(); err != nil {
		return Persisted{}, err
	}
	hardState, _, err := c.storage.InitialState()
	if err != nil {
		return p, err
	}
	p.HardState = hardState
	last, err := c.storage.LastIndex()
	if err != nil {
		return p, err
	}
	if from := p.Snapshot.GetMetadata().GetIndex() + 1; from <= last {
		p.Entries, err = c.storage.Entries(from, last+1, math.MaxUint64)
	}
	return p, err
}
