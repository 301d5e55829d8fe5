package consensus

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// isVoter tells whether a voter is, or by the settings shall be, one of the quorum.
func (c *Core) isVoter(id uint64) bool {
	return slices.Contains(c.config.Voters, id) || slices.Contains(c.confState.GetVoters(), id) || slices.Contains(c.confState.GetVotersOutgoing(), id)
}

// IsVoter tells whether a voter is one of the quorum, or by the settings shall be.
func (c *Core) IsVoter(voter uint64) bool { return c.isVoter(voter) }

// Voters are those that vote now, as this voter has applied it.
func (c *Core) Voters() []uint64 { return slices.Sorted(slices.Values(c.confState.GetVoters())) }

// proposeMembership has the quorum become that of the settings, where theirs are of a later generation than any that led. All
// goes in one change, by joint consensus: until it is done both the old voters and the new ones have to agree.
func (c *Core) proposeMembership(now float64) {
	if c.config.VoterGeneration <= c.machine.VoterGeneration || len(c.confState.GetVotersOutgoing()) > 0 || now < c.membershipProposedAt+20*c.config.HeartbeatInterval {
		return
	}
	c.membershipProposedAt = now
	change := &raftpb.ConfChangeV2{Context: binary.BigEndian.AppendUint64(nil, c.config.VoterGeneration)}
	add := func(t raftpb.ConfChangeType, id uint64) {
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: &t, NodeId: &id})
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
		c.enqueue(state.Command{Op: state.OpSetVoterGeneration, Generation: c.config.VoterGeneration})
		return
	}
	c.rawNode.ProposeConfChange(change) // one that is lost is proposed again
}
