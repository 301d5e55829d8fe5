package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Core is one voter. It must be used from one goroutine; the package documentation shows how to drive it. Times are seconds.
type Core struct {
	config      Config
	rawNode     *raft.RawNode
	storage     *raft.MemoryStorage
	machine     *state.Machine
	confState   *raftpb.ConfState // the voters, as applied here
	snapshotDue bool              // the voters have changed, and new ones need a snapshot that lists them

	membershipProposedAt float64
	appliedIndex         uint64
	snapshotIndex        uint64
	err                  error // why the voter has stopped, nil while it runs

	// Output for the next Ready, and the state of the Ready that the caller is carrying out.
	responses      []LeaseResponse
	advancePending bool
	raftReady      *raft.Ready // nil if the Ready in progress holds nothing from raft
	readStates     []raft.ReadState

	clockStarted bool
	now          float64 // latest time passed to Tick or Step

	// Elections.
	lastLeaderContact  float64              // latest time at which this voter may have confirmed another leader
	voteBounds         map[uint64]voteBound // by voter that voted for this one
	ticksWithoutLeader int
	electionTimeout    int // ticks, 0 if a new timeout is to be drawn
	campaigns          uint64

	// Only meaningful while this voter leads; updateLeadership resets them.
	leading         bool
	leadingSince    float64
	priorLeaseBound float64 // no lease granted by an earlier leader was requested after this time
	lastRequestAt   map[state.ControllerID]float64
	demands         map[state.ControllerID]map[string]Demand // by quantity name
	expiring        map[state.ControllerID]bool              // Expire has been proposed, so their leases must not be renewed
	lastTickAt      float64
	pendingCommands []state.Command
	inFlightBatch   uint64 // token of the proposed batch, 0 if there is none
	batchProposedAt float64
	lastBatchToken  uint64
	unconfirmed     []LeaseRequest         // requests that wait for the next read
	pendingReads    map[uint64]pendingRead // by read id
	lastReadID      uint64
	rebalancedAt    float64
	rejections      []string
	work            workState
}

// errNotForThisVoter is returned for a message that comes from a voter outside the fleet, is addressed to another voter, or
// is of a type that voters do not send to each other.
var errNotForThisVoter = errors.New("the message is not for this voter")

// Parameters of raft, and the layout of batch tokens.
const (
	maxMessageBytes     = 256 << 10
	maxInflightMessages = 64
	maxUncommittedBytes = 4 << 20
	neverElect          = 1 << 30 // ticks; campaignIfSilent replaces raft's election timer, whose randomness can't be seeded
	tokenVoterShift     = 48      // a batch token consists of the voter's id, its boot number and a counter
	tokenBootShift      = 24
)

// New returns a voter that continues from what its disk holds.
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

// recoverPanic converts a panic into an error and stops the voter. Raft panics when it finds its log inconsistent.
func (c *Core) recoverPanic(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("the voter can't continue: %v", p)
		if c != nil {
			c.err = *err
		}
	}
}

// Err returns why the voter has stopped, nil while it runs.
func (c *Core) Err() error { return c.err }

// Machine returns the state as this voter has applied it. The caller must not modify it, and may read it only until the next
// call of a method of c.
func (c *Core) Machine() *state.Machine { return c.machine }

// IsLeader reports whether this voter believes that it is the leader.
func (c *Core) IsLeader() bool { return c.leading }

// Leader returns the id of the voter that this one believes to be the leader, 0 if it knows none.
func (c *Core) Leader() uint64 {
	if c.err != nil {
		return 0
	}
	return c.rawNode.BasicStatus().Lead
}

// Term returns the current raft term.
func (c *Core) Term() uint64 {
	if c.err != nil {
		return 0
	}
	return c.rawNode.BasicStatus().GetTerm()
}

// TakeRejections returns why commands were rejected since the last call, for logs. At most maxRejections are kept.
func (c *Core) TakeRejections() (rejections []string) {
	rejections, c.rejections = c.rejections, nil
	return rejections
}

// Tick is called once per heartbeat interval. A leader sends heartbeats and makes its decisions in it.
func (c *Core) Tick(now float64) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.observeTime(now)
	c.rawNode.Tick()
	c.campaignIfSilent()
	c.updateLeadership(now)
	if c.leading && now > c.lastTickAt+c.config.Timing.TTL/4 {
		// This voter stalled. Controllers may have sent requests that it has not processed, so none counts as silent.
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

// observeTime records the time. The first time also bounds when earlier runs of this voter may have confirmed a leader: they
// ended before it.
func (c *Core) observeTime(now float64) {
	if !c.clockStarted {
		c.clockStarted, c.lastLeaderContact = true, now
	}
	c.now = now
}

// Step processes a message from another voter.
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
	case raftpb.MsgPreVote, raftpb.MsgVote: // a voter that receives nothing from the leader must not disturb those that do
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
