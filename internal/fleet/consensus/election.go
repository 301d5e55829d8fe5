package consensus

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// minElectionTicks is how long a voter that has heard of a leader gives its vote to no other, in beats. raft's own timer,
// whose chance comes from no seed, is set to never ring.
const minElectionTicks = 6

// voteBound is what a vote says of the time before it: up to when the voter may have confirmed that another leads.
type voteBound struct {
	term  uint64
	until float64
}

// campaignIfSilent asks for votes after seven to ten beats without a leader's word. A leader that a quorum does not hear goes
// on, but answers nobody: every answer needs that quorum's word.
func (c *Core) campaignIfSilent() {
	if c.leading {
		c.ticksWithoutLeader = 0
		return
	}
	if c.electionTimeout == 0 {
		h := fnv.New64a()
		h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.config.ID), c.campaigns))
		c.campaigns++
		c.electionTimeout = minElectionTicks + int((h.Sum64()>>20)%4)
	}
	if c.ticksWithoutLeader++; c.ticksWithoutLeader > c.electionTimeout {
		c.ticksWithoutLeader, c.electionTimeout = 0, 0
		c.rawNode.Campaign()
	}
}

// recordVote takes what a vote says of the time before it. An answer of a leader before had the word of a quorum, of which one
// voter at least has voted here since; that word came after the ask that it let be answered, so no lease still held was
// asked for after the latest of these times.
func (c *Core) recordVote(now float64, m *raftpb.Message) {
	until := now
	if age := m.GetContext(); len(age) == 8 { // by its clock, and on its way since
		drift := c.config.Timing.MaxDrift
		until -= math.Float64frombits(binary.BigEndian.Uint64(age)) * (1 - drift) / (1 + drift)
	}
	c.voteBounds[m.GetFrom()] = voteBound{m.GetTerm(), until}
}

// boundPriorLeases is up to when any leader before may have had its quorum's word.
func (c *Core) boundPriorLeases(now float64) (until float64) {
	until = c.lastLeaderContact
	for voter, b := range c.voteBounds {
		if b.term == c.Term() {
			until = max(until, b.until)
		} else {
			delete(c.voteBounds, voter)
		}
	}
	return min(until, now)
}

// updateLeadership sees whether this voter has begun or ceased to lead. One that begins knows of no demand, and takes every holder
// as heard of when a leader before may last have had its quorum's word: any of them may hold a lease of that one's.
func (c *Core) updateLeadership(now float64) {
	leads := c.rawNode.BasicStatus().RaftState == raft.StateLeader
	if leads == c.leading {
		return
	}
	if c.leading, c.leadingSince, c.rebalancedAt = leads, now, now; leads {
		c.priorLeaseBound = c.boundPriorLeases(now)
	} else {
		c.lastLeaderContact = now // its own was one of the quorum's
	}
	clear(c.lastRequestAt)
	clear(c.demands)
	clear(c.expiring) // what is on its way is applied before the first answer of whoever leads
	c.abandonProposals()
	c.work.reset(now, c.priorLeaseBound, c.machine.Shards)
	c.pendingCommands, c.inFlightBatch = nil, 0
	for _, id := range slices.Sorted(maps.Keys(c.pendingReads)) {
		c.unconfirmed = append(c.unconfirmed, c.pendingReads[id].requests...)
	}
	clear(c.pendingReads)
	for _, a := range c.unconfirmed {
		c.respond(a, LeaseResponse{Status: StatusNotLeader, Leader: c.Leader()})
	}
	c.unconfirmed = nil
	if leads && c.config.Generation > c.machine.Generation {
		c.enqueue(state.Command{Op: state.OpConfigure, Generation: c.config.Generation, Quantities: c.config.Quantities, Tasks: c.config.Tasks, ScheduledJobs: c.config.ScheduledJobs})
	}
}
