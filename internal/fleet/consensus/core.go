package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Core is one voter. It is owned by one goroutine; the package's doc says how to drive it. Times are seconds.
type Core struct {
	config      Config
	rawNode     *raft.RawNode
	storage     *raft.MemoryStorage
	machine     *state.Machine
	confState   *raftpb.ConfState // the voters, as applied here
	snapshotDue bool              // the voters have changed: those that join need a snapshot that says so

	membershipProposedAt float64
	appliedIndex         uint64
	snapshotIndex        uint64
	err                  error // why the voter has stopped, nil while it runs

	// What the next Ready holds, and what is left of the one that is being carried out.
	responses      []LeaseResponse
	advancePending bool
	raftReady      *raft.Ready // nil for none
	readStates     []raft.ReadState

	clockStarted bool
	now          float64 // the latest time that was passed

	// Elections.
	lastLeaderContact  float64              // until when this voter may have confirmed that another leads
	voteBounds         map[uint64]voteBound // by voter that voted for this one
	ticksWithoutLeader int
	electionTimeout    int // ticks, 0 to draw a new one
	campaigns          uint64

	// Only meaningful while this voter leads; updateLeadership resets them.
	leading         bool
	leadingSince    float64
	priorLeaseBound float64 // no lease granted by an earlier leader was requested after it
	lastRequestAt   map[state.ControllerID]float64
	demands         map[state.ControllerID]map[string]Demand // by quantity
	expiring        map[state.ControllerID]bool              // an Expire is proposed: its leases must not be renewed
	lastTickAt      float64
	pendingCommands []state.Command
	inFlightBatch   uint64 // token of the batch that is proposed, 0 for none
	batchProposedAt float64
	lastBatchToken  uint64
	unconfirmed     []LeaseRequest         // they wait for the next read
	pendingReads    map[uint64]pendingRead // by id
	lastReadID      uint64
	rebalancedAt    float64
	rejections      []string
	work            workState
}

// errNotForThisVoter is returned for a message from a stranger, to another voter, or that is no network message.
var errNotForThisVoter = errors.New("a message that is not for this voter")

// Limits that raft keeps to.
const (
	maxMessageBytes     = 256 << 10
	maxInflightMessages = 64
	maxUncommittedBytes = 4 << 20
	neverElect          = 1 << 30 // ticks: raft's own election timer is random without a seed, so campaignIfSilent stands in
	tokenVoterShift     = 48      // a batch token is the voter's id, its boot and a counter
	tokenBootShift      = 24
)

// New makes a voter from what its disk holds.
func New(config Config, persisted Persisted) (c *Core, err error) {
	defer c.recoverPanic(&err)
	if persisted.Snapshot == nil && !persisted.Joining {
		return nil, ErrNoRaftState
	}
	c = &Core{
		config:         config,
		storage:        raft.NewMemoryStorage(),
		machine:        state.New(),
		confState:      &raftpb.ConfState{},
		voteBounds:     map[uint64]voteBound{},
		lastRequestAt:  map[state.ControllerID]float64{},
		demands:        map[state.ControllerID]map[string]Demand{},
		expiring:       map[state.ControllerID]bool{},
		pendingReads:   map[uint64]pendingRead{},
		lastBatchToken: config.ID<<tokenVoterShift | config.Boot<<tokenBootShift,
	}
	c.work.init(config.Boot)
	if err := c.load(persisted); err != nil {
		return nil, err
	}
	c.rawNode, err = raft.NewRawNode(&raft.Config{
		ID:                        config.ID,
		ElectionTick:              neverElect,
		HeartbeatTick:             1,
		Storage:                   c.storage,
		Applied:                   c.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    silentLogger{},
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
	})
	return c, err
}

// recoverPanic turns a panic of raft, which finds that its log can't be right, into an error: the voter stops.
func (c *Core) recoverPanic(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("the voter can't go on: %v", p)
		if c != nil {
			c.err = *err
		}
	}
}

// Err tells why the voter has stopped, nil while it runs.
func (c *Core) Err() error { return c.err }

// Machine is the state as this voter has applied it. It is to be read only, and only between calls.
func (c *Core) Machine() *state.Machine { return c.machine }

// IsLeader tells whether this voter believes that it leads.
func (c *Core) IsLeader() bool { return c.leading }

// Leader is the id of the voter that leads as far as is known here, 0 for none.
func (c *Core) Leader() uint64 {
	if c.err != nil {
		return 0
	}
	return c.rawNode.BasicStatus().Lead
}

// Term is raft's term.
func (c *Core) Term() uint64 {
	if c.err != nil {
		return 0
	}
	return c.rawNode.BasicStatus().GetTerm()
}

// TakeRejections gives why commands were rejected since the last call, for logs. Only so many are remembered.
func (c *Core) TakeRejections() (rejections []string) {
	rejections, c.rejections = c.rejections, nil
	return rejections
}

// Tick is called once per heartbeat interval. A leader sends heartbeats and takes its decisions with it.
func (c *Core) Tick(now float64) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.observeTime(now)
	c.rawNode.Tick()
	c.campaignIfSilent()
	c.updateLeadership(now)
	if c.leading && now > c.lastTickAt+c.config.Timing.TTL/4 { // it stalled: requests that it has not seen prove nothing
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

// observeTime takes the time. The first time is also the earliest at which this start of the voter can have confirmed a
// leader; what an earlier start confirmed lies before it.
func (c *Core) observeTime(now float64) {
	if !c.clockStarted {
		c.clockStarted, c.lastLeaderContact = true, now
	}
	c.now = now
}

// Step takes a message from another voter.
func (c *Core) Step(now float64, message *raftpb.Message) (err error) {
	if c.err != nil {
		return c.err
	}
	if !c.IsVoter(message.GetFrom()) || message.GetTo() != c.config.ID || raft.IsLocalMsg(message.GetType()) {
		return errNotForThisVoter
	}
	defer c.recoverPanic(&err)
	c.observeTime(now)
	switch message.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if message.GetTerm() >= c.rawNode.BasicStatus().GetTerm() {
			c.ticksWithoutLeader, c.electionTimeout, c.lastLeaderContact = 0, 0, now
		}
	case raftpb.MsgVoteResp:
		if !message.GetReject() {
			c.recordVote(now, message)
		}
	case raftpb.MsgPreVote, raftpb.MsgVote: // a voter that does not hear the leader must not disturb those that do
		if c.leading || c.Leader() != 0 && c.ticksWithoutLeader < minElectionTicks {
			return nil
		}
	}
	if err := c.rawNode.Step(message); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	c.updateLeadership(now)
	return nil
}
