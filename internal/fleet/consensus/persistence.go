package consensus

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Persisted is what a voter's disk holds. A voter that replaces another starts with Joining alone: it has no vote until the
// other voters have made it a member and sent it a snapshot.
type Persisted struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	Joining   bool
}

// Empty reports whether nothing was stored. It ignores Joining.
func (p Persisted) Empty() bool {
	return p.HardState == nil && p.Snapshot == nil && len(p.Entries) == 0
}

// ErrNoRaftState is returned for a disk without raft state. A voter that started from scratch could vote twice in one term.
// The disks of a new fleet are therefore prepared with InitialSnapshot, and a voter that has lost its disk is replaced.
var ErrNoRaftState = errors.New("the disk holds no raft state")

// retainedEntries is the number of applied entries that stay in the log for voters that lag behind.
const retainedEntries = 2000

// InitialSnapshot returns the snapshot that every voter of a new fleet has on its disk before its first start.
func InitialSnapshot(voters []uint64) *raftpb.Snapshot {
	data, err := encode(state.New())
	if err != nil {
		panic(err) // encoding an empty state can't fail
	}
	index, term := uint64(1), uint64(1)
	confState := &raftpb.ConfState{Voters: slices.Sorted(slices.Values(voters))}
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: confState}}
}

// load initializes raft's storage and the state machine from what the disk holds.
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

// restoreSnapshot replaces the state with that of a snapshot.
func (c *Core) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	machine := state.New()
	if err := decode(snapshot.GetData(), machine); err != nil {
		return fmt.Errorf("decoding the state in a snapshot: %w", err)
	}
	metadata := snapshot.GetMetadata()
	c.machine, c.appliedIndex, c.snapshotIndex = machine, metadata.GetIndex(), metadata.GetIndex()
	c.confState = metadata.GetConfState()
	return nil
}

// compactLog takes a snapshot if 2*retainedEntries have been applied since the last one, or if the voters have changed, and
// drops all but the latest retainedEntries entries from the log.
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

// SnapshotIndex returns the index of the latest snapshot. When it changes, the disk may be rewritten with Persisted.
func (c *Core) SnapshotIndex() uint64 { return c.snapshotIndex }

// Persisted returns everything that the disk has to hold now, for rewriting it.
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
	if first := p.Snapshot.GetMetadata().GetIndex() + 1; first <= last {
		p.Entries, err = c.storage.Entries(first, last+1, math.MaxUint64)
	}
	return p, err
}
