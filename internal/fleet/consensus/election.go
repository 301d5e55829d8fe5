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

// A voter that has received a message from a leader within minElectionTicks votes for no other. Without a leader, it
// campaigns after minElectionTicks plus up to electionTickSpread further ticks. How many is derived from its id and its
// number of campaigns rather than drawn at random, so that simulations are reproducible.
const (
	minElectionTicks   = 6
	electionTickSpread = 4
	electionHashBits   = 20 // low bits of the hash that are dropped
	voteContextBytes   = 8
)

// voteBound is the bound on the contacts with other leaders that a vote reports.
type voteBound struct {
	term  uint64
	until float64 // the voter has confirmed no other leader after this time
}

// campaignIfSilent starts an election when no message from a leader has arrived for the election timeout. A leader that has
// lost its quorum remains leader until it learns of another one, but grants nothing, because every grant needs a quorum.
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
		_ = c.rawNode.Campaign() // a voter that can't campaign now tries again after the next timeout
	}
}

// recordVote records the bound that a vote for this voter carries. Every lease of an earlier leader was confirmed by a
// quorum, and any quorum shares at least one voter with the quorum that elects this voter. That voter confirmed the earlier
// leader after the lease was requested, and before it voted here. So no lease that may still be held was requested after the
// latest of these bounds.
func (c *Core) recordVote(now float64, message *raftpb.Message) {
	until := now
	if age := message.GetContext(); len(age) == voteContextBytes {
		// The age is measured by the voter's clock, which may drift. The time that the message took only makes the bound later.
		drift := c.config.Timing.MaxDrift
		until -= math.Float64frombits(binary.BigEndian.Uint64(age)) * (1 - drift) / (1 + drift)
	}
	c.voteBounds[message.GetFrom()] = voteBound{message.GetTerm(), until}
}

// encodeContactAge returns the context of a vote: how many seconds ago this voter may last have confirmed another leader.
func (c *Core) encodeContactAge() []byte {
	return binary.BigEndian.AppendUint64(nil, math.Float64bits(max(c.now-c.lastLeaderContact, 0)))
}

// boundPriorLeases returns the latest time at which a quorum may have confirmed an earlier leader.
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

// updateLeadership handles the transitions when this voter becomes leader or ceases to be leader. A new leader knows no
// demands. It assumes that each controller's last request came at the latest time from which an earlier leader may have
// granted a lease.
func (c *Core) updateLeadership(now float64) {
	leading := c.rawNode.BasicStatus().RaftState == raft.StateLeader
	if leading == c.leading {
		return
	}
	c.leading, c.leadingSince, c.rebalancedAt = leading, now, now
	if leading {
		c.priorLeaseBound = c.boundPriorLeases(now)
	} else {
		c.lastLeaderContact = now // it belonged to the quorum that confirmed it
	}
	clear(c.lastRequestAt)
	clear(c.demands)
	clear(c.expiring) // an expiry already in the log is applied before the next leader's first response
	c.redirectProposals()
	c.work.reset(now, c.priorLeaseBound, c.machine.Shards)
	c.pendingCommands, c.inFlightBatch = nil, 0
	c.redirectRequests()
	if leading && c.config.Generation > c.machine.Generation {
		c.enqueue(c.config.configure().Command())
	}
}

// redirectRequests redirects the requests that wait for a confirmed read to the current leader.
func (c *Core) redirectRequests() {
	for _, id := range slices.Sorted(maps.Keys(c.pendingReads)) {
		c.unconfirmed = append(c.unconfirmed, c.pendingReads[id].requests...)
	}
	clear(c.pendingReads)
	for _, request := range c.unconfirmed {
		c.respond(request, LeaseResponse{Status: StatusNotLeader, Leader: c.Leader()})
	}
	c.unconfirmed = nil
}
