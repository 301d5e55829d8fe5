package consensus

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// A voter that has heard from a leader within minElectionTicks votes for no other. Without a leader it campaigns after a
// few ticks more, a number that follows from its id and the count of its campaigns, so that a simulation repeats.
const (
	minElectionTicks   = 6
	electionTickSpread = 4
	electionHashBits   = 20 // low bits of the hash that are dropped
	voteContextBytes   = 8
)

// voteBound is what a vote says about the time before it.
type voteBound struct {
	term  uint64
	until float64 // the voter has confirmed no other leader after it
}

// campaignIfSilent starts an election when no leader was heard for long enough. A leader that a quorum does not hear stays
// leader until it hears of another, but grants nothing: every response needs that quorum.
func (c *Core) campaignIfSilent() {
	if c.leading {
		c.ticksWithoutLeader = 0
		return
	}
	if c.electionTimeout == 0 {
		hash := fnv.New64a()
		hash.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.config.ID), c.campaigns))
		c.campaigns++
		c.electionTimeout = minElectionTicks + int((hash.Sum64()>>electionHashBits)%electionTickSpread)
	}
	if c.ticksWithoutLeader++; c.ticksWithoutLeader > c.electionTimeout {
		c.ticksWithoutLeader, c.electionTimeout = 0, 0
		_ = c.rawNode.Campaign() // a voter that may not campaign tries again after the next timeout
	}
}

// recordVote notes what a vote says about the time before it. A lease that an earlier leader granted was confirmed by a
// quorum, of which at least one voter has voted here since. The confirmation came after the request, so no lease still
// held was requested after the latest of these times.
func (c *Core) recordVote(now float64, message *raftpb.Message) {
	until := now
	if age := message.GetContext(); len(age) == voteContextBytes { // by the voter's clock, and the message took time too
		drift := c.config.Timing.MaxDrift
		until -= math.Float64frombits(binary.BigEndian.Uint64(age)) * (1 - drift) / (1 + drift)
	}
	c.voteBounds[message.GetFrom()] = voteBound{message.GetTerm(), until}
}

// encodeContactAge is the context of a vote: how long ago, in seconds, this voter may last have confirmed another leader.
func (c *Core) encodeContactAge() []byte {
	return binary.BigEndian.AppendUint64(nil, math.Float64bits(max(c.now-c.lastLeaderContact, 0)))
}

// boundPriorLeases is until when any earlier leader may have been confirmed by a quorum.
func (c *Core) boundPriorLeases(now float64) (until float64) {
	until = c.lastLeaderContact
	for voter, bound := range c.voteBounds {
		if bound.term == c.Term() {
			until = max(until, bound.until)
		} else {
			delete(c.voteBounds, voter)
		}
	}
	return min(until, now)
}

// updateLeadership notices that this voter has begun or ceased to lead. A new leader knows no demands, and takes every
// controller as heard at the latest time at which an earlier leader may have granted it a lease.
func (c *Core) updateLeadership(now float64) {
	leading := c.rawNode.BasicStatus().RaftState == raft.StateLeader
	if leading == c.leading {
		return
	}
	c.leading, c.leadingSince, c.rebalancedAt = leading, now, now
	if leading {
		c.priorLeaseBound = c.boundPriorLeases(now)
	} else {
		c.lastLeaderContact = now // it was one of its own quorum
	}
	clear(c.lastRequestAt)
	clear(c.demands)
	clear(c.expiring) // an expiry in the log is applied before the first response of whoever leads
	c.abandonProposals()
	c.work.reset(now, c.priorLeaseBound, c.machine.Shards)
	c.pendingCommands, c.inFlightBatch = nil, 0
	c.abandonRequests()
	if leading && c.config.Generation > c.machine.Generation {
		c.enqueue(c.config.configure().Command())
	}
}

// abandonRequests sends everyone who waits for a confirmed read to the present leader.
func (c *Core) abandonRequests() {
	for _, id := range slices.Sorted(maps.Keys(c.pendingReads)) {
		c.unconfirmed = append(c.unconfirmed, c.pendingReads[id].requests...)
	}
	clear(c.pendingReads)
	for _, request := range c.unconfirmed {
		c.respond(request, LeaseResponse{Status: StatusNotLeader, Leader: c.Leader()})
	}
	c.unconfirmed = nil
}
