package consensus

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// voterGenerationBytes is the length of a membership change's context, which is the generation of the voters, big-endian.
const voterGenerationBytes = 8

// IsVoter reports whether a voter is a member, or is to become one according to the configuration.
func (c *Core) IsVoter(id uint64) bool {
	return slices.Contains(c.config.Voters, id) || slices.Contains(c.confState.GetVoters(), id) || slices.Contains(c.confState.GetVotersOutgoing(), id)
}

// Voters returns the ids of the members, sorted, as of the latest membership change that this voter has applied.
func (c *Core) Voters() []uint64 { return slices.Sorted(slices.Values(c.confState.GetVoters())) }

// proposeMembership proposes to make the configured voters the members, if their generation is later than the one in the
// replicated state. It is a single change by joint consensus: until it is complete, majorities of both the old and the new
// voters must agree.
func (c *Core) proposeMembership(now float64) {
	if c.config.VoterGeneration <= c.machine.VoterGeneration || len(c.confState.GetVotersOutgoing()) > 0 {
		return
	}
	if now < c.membershipProposedAt+reproposeHeartbeats*c.config.HeartbeatInterval {
		return
	}
	c.membershipProposedAt = now
	change := &raftpb.ConfChangeV2{Context: binary.BigEndian.AppendUint64(nil, c.config.VoterGeneration)}
	add := func(kind raftpb.ConfChangeType, id uint64) {
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id})
	}
	for _, id := range c.config.Voters {
		if !slices.Contains(c.confState.GetVoters(), id) {
			add(raftpb.ConfChangeAddNode, id)
		}
	}
	for _, id := range c.confState.GetVoters() {
		if !slices.Contains(c.config.Voters, id) {
			add(raftpb.ConfChangeRemoveNode, id)
		}
	}
	if len(change.Changes) == 0 {
		c.enqueue(state.SetVoterGeneration{Generation: c.config.VoterGeneration}.Command())
		return
	}
	_ = c.rawNode.ProposeConfChange(change) // a dropped change is proposed again later
}
