package consensus

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Persisted is what a voter finds on its disk. One that takes another's place starts with nothing but Joining: it has no say
// until the others have taken it in and sent it what they hold.
type Persisted struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	Joining   bool
}

// Empty tells whether nothing was kept.
func (k Persisted) Empty() bool {
	return k.HardState == nil && k.Snapshot == nil && len(k.Entries) == 0
}

// ErrNoRaftState tells that a disk holds no votes. A voter that began anew on it could vote twice in one term, so it does not:
// a new fleet's disks are made with First, and a voter that has lost its disk is replaced.
var ErrNoRaftState = errors.New("the disk holds no votes")

// InitialSnapshot is what a new fleet's voter has on its disk before it starts: all begin from the same.
func InitialSnapshot(voters []uint64) *raftpb.Snapshot {
	data, err := encode(state.New())
	if err != nil {
		panic(err) // an empty ledger
	}
	index, term := uint64(1), uint64(1)
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term,
		ConfState: &raftpb.ConfState{Voters: slices.Sorted(slices.Values(voters))}}}
}

// retainedEntries is how many applied entries stay in the log for voters that lag.
const retainedEntries = 2000

// compactLog folds old entries into a snapshot.
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

// Persisted is all that the disk is to hold now, for a file that is written anew.
func (c *Core) Persisted() (k Persisted, err error) {
	snapshot, err := c.storage.Snapshot()
	if err != nil {
		return k, err
	}
	k.Snapshot = snapshot
	state, _, err := c.storage.InitialState()
	if err != nil {
		return k, err
	}
	k.HardState = state
	last, err := c.storage.LastIndex()
	if err != nil {
		return k, err
	}
	if from := snapshot.GetMetadata().GetIndex() + 1; from <= last {
		k.Entries, err = c.storage.Entries(from, last+1, math.MaxUint64)
	}
	return k, err
}

// SnapshotIndex is the index of the latest snapshot; a change says that the disk may be written anew.
func (c *Core) SnapshotIndex() uint64 { return c.snapshotIndex }

// restoreSnapshot takes the ledger of a snapshot.
func (c *Core) restoreSnapshot(s *raftpb.Snapshot) error {
	l := state.New()
	if err := decode(s.GetData(), l); err != nil {
		return fmt.Errorf("the ledger in a snapshot can't be read: %w", err)
	}
	c.machine, c.appliedIndex, c.snapshotIndex = l, s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	c.confState = s.GetMetadata().GetConfState()
	return nil
}
