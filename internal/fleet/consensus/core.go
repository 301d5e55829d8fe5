package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Core is a voter.
type Core struct {
	config               Config
	rawNode              *raft.RawNode
	storage              *raft.MemoryStorage
	machine              *state.Machine
	confState            *raftpb.ConfState // who votes
	snapshotDue          bool              // that has changed: a snapshot must tell it to those that join
	membershipProposedAt float64           // when a change of it was proposed last
	appliedIndex         uint64
	snapshotIndex        uint64      // index of the latest snapshot
	advancePending       bool        // an output is being carried out
	raftReady            *raft.Ready // its part of raft's, nil for none
	readStates           []raft.ReadState
	responses            []LeaseResponse
	err                  error

	clockStarted      bool
	now               float64              // the latest time told
	lastLeaderContact float64              // up to when this voter may have confirmed that another leads
	voteBounds        map[uint64]voteBound // of those that voted for this one

	ticksWithoutLeader, electionTimeout int // beats without a leader's word, and how many are borne
	campaigns                           uint64

	// While it leads.
	leading         bool
	leadingSince    float64 // leading
	priorLeaseBound float64 // no lease that a leader before it gave was asked for after that
	lastRequestAt   map[state.ControllerID]float64
	demands         map[state.ControllerID]map[string]Demand
	expiring        map[state.ControllerID]bool // an Expire is on its way: its lease may not be renewed any more
	lastTickAt      float64
	pendingCommands []state.Command
	inFlightBatch   uint64 // token of the batch proposed, 0 for none
	batchProposedAt float64
	lastBatchToken  uint64
	unconfirmed     []LeaseRequest // to be confirmed with the next read
	pendingReads    map[uint64]pendingRead
	lastReadID      uint64
	rebalancedAt    float64
	rejections      []string // what was refused of late, for those who look on
	work            workState
}

// New makes a voter from what its disk holds.
func New(set Config, kept Persisted) (c *Core, err error) {
	defer c.recoverPanic(&err)
	c = &Core{config: set, storage: raft.NewMemoryStorage(), machine: state.New(), lastRequestAt: map[state.ControllerID]float64{},
		demands: map[state.ControllerID]map[string]Demand{}, expiring: map[state.ControllerID]bool{}, pendingReads: map[uint64]pendingRead{}, voteBounds: map[uint64]voteBound{}, lastBatchToken: set.ID<<48 | set.Boot<<24}
	c.work.init(set.Boot)
	c.confState = &raftpb.ConfState{}
	switch {
	case kept.Snapshot == nil && !kept.Joining:
		return nil, ErrNoRaftState
	case kept.Snapshot != nil:
		if err := c.storage.ApplySnapshot(kept.Snapshot); err != nil {
			return nil, err
		}
		if err := c.restoreSnapshot(kept.Snapshot); err != nil {
			return nil, err
		}
	}
	if kept.HardState != nil {
		c.storage.SetHardState(kept.HardState)
	}
	if err := c.storage.Append(kept.Entries); err != nil {
		return nil, err
	}
	c.rawNode, err = raft.NewRawNode(&raft.Config{ID: set.ID, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: c.storage, Applied: c.appliedIndex,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, Logger: silentLogger{}, DisableProposalForwarding: true, StepDownOnRemoval: true})
	return c, err
}

// recoverPanic turns a panic of raft, which finds a disk that can't be right, into an error: the voter stands down.
func (c *Core) recoverPanic(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("the voter can't go on: %v", p)
		if c != nil {
			c.err = *err
		}
	}
}

// Err tells why the voter stands down, nil while it does not.
func (c *Core) Err() error { return c.err }

// Machine is the state as this voter has applied it. It is not to be changed.
func (c *Core) Machine() *state.Machine { return c.machine }

// IsLeader tells whether this voter believes that it leads.
func (c *Core) IsLeader() bool { return c.leading }

// Leader is the voter that leads as far as is known here, 0 for none.
func (c *Core) Leader() uint64 {
	if c.err != nil {
		return 0
	}
	return c.rawNode.BasicStatus().Lead
}

// Term is raft's.
func (c *Core) Term() uint64 {
	if c.err != nil {
		return 0
	}
	return c.rawNode.BasicStatus().GetTerm()
}

// TakeRejections gives what commands were refused since the last call, for those who look on.
func (c *Core) TakeRejections() (list []string) {
	list, c.rejections = c.rejections, nil
	return list
}

// Tick tells that a beat has passed.
func (c *Core) Tick(now float64) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.observeTime(now)
	c.rawNode.Tick()
	c.campaignIfSilent()
	c.updateLeadership(now)
	if c.leading && now > c.lastTickAt+c.config.Timing.TTL/4 { // it stood still: what it has not heard meanwhile tells nothing
		clear(c.lastRequestAt)
		c.leadingSince, c.priorLeaseBound = now, now
		c.work.reset(now, now, c.machine.Shards)
	}
	c.lastTickAt = now
	if c.leading {
		c.expireControllers(now)
		c.proposeMembership(now)
		c.rebalance(now)
		c.assignShards(now)
		c.proposeBatch(now)
		c.requestRead(now)
	}
	return nil
}

// observeTime takes the time. What a life of this voter before may have confirmed it did before this one was told any.
func (c *Core) observeTime(now float64) {
	if !c.clockStarted {
		c.clockStarted, c.lastLeaderContact = true, now
	}
	c.now = now
}

// Step takes a message from another voter.
func (c *Core) Step(now float64, m *raftpb.Message) (err error) {
	if c.err != nil {
		return c.err
	}
	if !c.isVoter(m.GetFrom()) || m.GetTo() != c.config.ID || raft.IsLocalMsg(m.GetType()) {
		return errors.New("a message that is not for this voter")
	}
	defer c.recoverPanic(&err)
	c.observeTime(now)
	switch t := m.GetType(); t {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= c.rawNode.BasicStatus().GetTerm() {
			c.ticksWithoutLeader, c.electionTimeout, c.lastLeaderContact = 0, 0, now
		}
	case raftpb.MsgVoteResp:
		if !m.GetReject() {
			c.recordVote(now, m)
		}
	case raftpb.MsgPreVote, raftpb.MsgVote: // one that does not hear the leader shall not disturb those that do
		if c.leading || c.Leader() != 0 && c.ticksWithoutLeader < minElectionTicks {
			return nil
		}
	}
	if err := c.rawNode.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	c.updateLeadership(now)
	return nil
}
