package fleet

import (
	"fmt"
	"path/filepath"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/storage/raftlog"
)

// RaftLogPath returns the path of the file in which a voter stores its raft state.
func (o *Options) RaftLogPath() string { return filepath.Join(o.Directory, o.Self+".votes") }

// InitVoter creates this voter's raft log. join is false for a voter of a new fleet, and true for a voter that replaces
// another one in a running fleet.
func InitVoter(options *Options, join bool) error {
	if options.voterID() == 0 {
		return fmt.Errorf("%s is not one of the voters", options.Self)
	}
	snapshot := consensus.InitialSnapshot(options.consensusConfig().Voters)
	if join {
		snapshot = nil
	}
	return raftlog.Create(options.RaftLogPath(), options.raftIdentity(), snapshot)
}

// raftIdentity returns the fleet and the voter whose raft log this is.
func (o *Options) raftIdentity() raftlog.Identity {
	return raftlog.Identity{Fleet: o.Name, Voter: o.voterID()}
}
