// Package consensus is a voter of a fleet: it keeps the ledger by raft with the other voters and, while it leads, decides
// what is divided. It does no I/O and reads no clock: it is fed with messages, asks and the time, in seconds that never
// go back, and gives back what is to be kept on disk, sent and answered. It is used from one goroutine:
//
//	core.Tick(now), core.Step(now, message) or core.Ask(now, ask)
//	for core.HasOutput() {
//		out := core.Output()
//		// keep out.State, out.Entries and out.Snapshot, synced; then send out.Messages; then give out.Answers
//		core.Done(now)
//	}
//
// A leader's word counts only once a quorum has confirmed that it leads still: every answer to an ask waits for that.
// A lease counts from the ask, which is before the confirmation, so whoever leads next gives nobody's part away before
// a whole lease, and the bound on clocks, and the longest that jobs may run, have passed since it began to lead.
package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Config of one voter. Times are seconds.
type Config struct {
	ID                uint64
	Voters            []uint64
	VoterGeneration   uint64 // generation of Voters: those of the highest one that ever led are the quorum
	Timing            lease.Timing
	HeartbeatInterval float64 // of a tick; a leader's sign of life comes with each
	RebalanceInterval float64 // between looks at who should have what
	Allocation        allocation.Config
	MaxControllers    int // controllers
	Generation        uint64
	Quantities        []state.Quantity
	Tasks             []state.Task
	ScheduledJobs     []string // scheduled ones
	Boot              uint64   // of this voter: never that of an earlier one on the same disk
}

// Demand is what a holder tells of one quantity.
type Demand struct {
	Quantity   string  `msgpack:"Name"`
	Revision   uint64  `msgpack:"Number"` // of the holding that it keeps to, 0 for nothing new
	Used       float64 `msgpack:"Used"`
	Wanted     float64 `msgpack:"Wanted"`
	Weight     float64 `msgpack:"Weight"`
	Guaranteed float64 `msgpack:"Least"`

	recentPeak float64 // the most wanted, fading by half in a lease: parts that chased every moment's demand were always on the move
}

// LeaseRequest is a controller's ask for its parts. Each asks every third of a lease or so.
type LeaseRequest struct {
	Controller    state.ControllerID `msgpack:"Holder"`
	Number        uint64             `msgpack:"Number"`
	Generation    uint64             `msgpack:"Generation"` // of its settings, with their digest
	ConfigDigest  uint64             `msgpack:"Digest"`
	Quantities    []state.Quantity   `msgpack:"Quantities"` // where its generation is later than the one last heard
	Tasks         []state.Task       `msgpack:"Duties"`     // as Quantities
	ScheduledJobs []string           `msgpack:"Jobs"`
	Demands       []Demand           `msgpack:"Demands"`
	Leaving       bool               `msgpack:"Leaves"` // all of its jobs have ended; it gives all back

	WorkCapacity    float64           `msgpack:"Room"`   // for duties, from 0 to 1
	ReturnedShards  []ShardAssignment `msgpack:"Back"`   // slices given back
	AppliedOverride uint64            `msgpack:"Orders"` // the latest order that it has taken up
	ListVersions    map[string]uint64 `msgpack:"Lists"`  // versions of published lists that it has
	EnginesRead     []uint32          `msgpack:"Read"`   // engines whose load its own jobs have had asked of late, by duties.Mark
}

// Status is what an answer says.
type Status int

const (
	StatusGranted            Status = iota
	StatusNotLeader                 // Leader leads, 0 for not known
	StatusRetry                     // soon: it has just joined, or a leader has just begun
	StatusStaleIncarnation          // a later incarnation, Incarnation, is known: start above it
	StatusReplaced                  // another life has taken the name
	StatusGenerationMismatch        // on what is divided, in the same generation
	StatusFleetFull                 // the fleet has its most controllers
)

// LeaseResponse is the answer to an ask.
type LeaseResponse struct {
	To              state.ControllerID `msgpack:"To"`
	Number          uint64             `msgpack:"Number"`
	Status          Status             `msgpack:"Word"`
	Leader          uint64             `msgpack:"Leader"`
	Incarnation     uint64             `msgpack:"Incarnation"`
	Generation      uint64             `msgpack:"Generation"`
	Index           int                `msgpack:"Index"` // of this controller among those kept, and how many live
	LiveControllers int                `msgpack:"Alive"`
	IndexCount      int                `msgpack:"Numbers"` // past the highest index that is kept, or was given up within a lease: none in use is beyond
	Grants          []lease.Grant      `msgpack:"Grants"`

	Shards        []ShardAssignment `msgpack:"Slices"`
	ScheduledJobs []ScheduledJob    `msgpack:"Jobs"` // of the slices of scheduled jobs
	Overrides     []state.Override  `msgpack:"Orders"`
	Lists         []PublishedList   `msgpack:"Lists"`
	WidelyRead    []uint32          `msgpack:"Known"` // to owners of probing: engines that several controllers have read of late
}

// Ready is what a step leads to. State, Entries and Snapshot are to be on disk before the rest is done.
type Ready struct {
	HardState *raftpb.HardState // nil for unchanged
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot // nil for none
	Messages  []*raftpb.Message
	Responses []LeaseResponse
	Results   []ProposalResult
	MustSync  bool // State and Entries have to be synced
}

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

// voteBound is what a vote says of the time before it: up to when the voter may have confirmed that another leads.
type voteBound struct {
	term  uint64
	until float64
}

// pendingRead is a read that a quorum is asked to confirm, with the asks that wait for it.
type pendingRead struct {
	requests    []LeaseRequest
	requestedAt float64
}

// logEntry is what an entry of the log holds.
type logEntry struct {
	Proposer    uint64          `msgpack:"By"`
	Token       uint64          `msgpack:"Token"`
	Commands    []state.Command `msgpack:"Commands"`
	ProposalIDs []uint64        `msgpack:"Refs"` // acts that wait for a command's end here, 0 for none
}

// silentLogger is raft's logger: what a voter has to say it says itself.
type silentLogger struct{ raft.Logger }

func (silentLogger) Debug(...any)            {}
func (silentLogger) Debugf(string, ...any)   {}
func (silentLogger) Error(...any)            {}
func (silentLogger) Errorf(string, ...any)   {}
func (silentLogger) Info(...any)             {}
func (silentLogger) Infof(string, ...any)    {}
func (silentLogger) Warning(...any)          {}
func (silentLogger) Warningf(string, ...any) {}
func (silentLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silentLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silentLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// ErrNoRaftState tells that a disk holds no votes. A voter that began anew on it could vote twice in one term, so it does not:
// a new fleet's disks are made with First, and a voter that has lost its disk is replaced.
var ErrNoRaftState = errors.New("the disk holds no votes")

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

// minElectionTicks is how long a voter that has heard of a leader gives its vote to no other, in beats. raft's own timer,
// whose chance comes from no seed, is set to never ring.
const minElectionTicks = 6

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

// isVoter tells whether a voter is, or by the settings shall be, one of the quorum.
func (c *Core) isVoter(id uint64) bool {
	return slices.Contains(c.config.Voters, id) || slices.Contains(c.confState.GetVoters(), id) || slices.Contains(c.confState.GetVotersOutgoing(), id)
}

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

// HandleLeaseRequest takes a controller's ask. Its answer comes with an output.
func (c *Core) HandleLeaseRequest(now float64, a LeaseRequest) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.updateLeadership(now)
	if !c.leading {
		c.respond(a, LeaseResponse{Status: StatusNotLeader, Leader: c.Leader()})
		return nil
	}
	latest, known := c.machine.LatestIncarnation[a.Controller.Name]
	h := c.machine.Controllers[a.Controller]
	switch {
	case a.Generation == c.machine.Generation && a.ConfigDigest != ConfigDigest(slices.Collect(maps.Values(c.machine.Quantities)), c.machine.Tasks()):
		c.respond(a, LeaseResponse{Status: StatusGenerationMismatch})
		return nil
	case h != nil && h.Replaced:
		c.respond(a, LeaseResponse{Status: StatusReplaced})
		return nil
	case h == nil && known && a.Controller.Incarnation <= latest:
		c.respond(a, LeaseResponse{Status: StatusStaleIncarnation, Incarnation: latest})
		return nil
	case h == nil && a.Leaving:
		c.respond(a, LeaseResponse{Status: StatusGranted})
		return nil
	case h == nil:
		if len(c.machine.Controllers) >= 2*max(c.config.MaxControllers, 1) {
			c.respond(a, LeaseResponse{Status: StatusFleetFull})
			return nil
		}
		c.lastRequestAt[a.Controller] = now
		c.enqueue(state.Command{Op: state.OpJoin, Controller: a.Controller, MaxControllers: c.config.MaxControllers})
		c.proposeBatch(now)
		c.respond(a, LeaseResponse{Status: StatusRetry})
		return nil
	case c.expiring[a.Controller]:
		c.respond(a, LeaseResponse{Status: StatusRetry})
		return nil
	case a.Leaving:
		c.beginExpiry(a.Controller)
		c.proposeBatch(now)
		c.respond(a, LeaseResponse{Status: StatusGranted})
		return nil
	}
	gap := now - c.lastRequestAt[a.Controller]
	c.lastRequestAt[a.Controller] = now
	if a.Generation > c.machine.Generation && len(a.Quantities)+len(a.Tasks) > 0 {
		c.enqueue(state.Command{Op: state.OpConfigure, Generation: a.Generation, Quantities: a.Quantities, Tasks: a.Tasks, ScheduledJobs: a.ScheduledJobs})
	}
	c.recordWorkReport(a)
	told := map[string]Demand{}
	for _, d := range a.Demands {
		d.recentPeak = max(d.Used, d.Wanted, c.demands[a.Controller][d.Quantity].recentPeak*math.Exp2(-gap/c.config.Timing.TTL))
		told[d.Quantity] = d
		if hold := h.Allocations[d.Quantity]; d.Revision > 0 && d.Revision == hold.Revision && hold.Committed > max(hold.Amount, d.Used) {
			c.enqueue(state.Command{Op: state.OpSettle, Controller: a.Controller, Subject: d.Quantity, Number: d.Revision, Amount: d.Used})
		}
	}
	c.demands[a.Controller] = told
	c.unconfirmed = append(c.unconfirmed, a)
	return nil
}

// respond keeps an answer for the next output.
func (c *Core) respond(a LeaseRequest, with LeaseResponse) {
	with.To, with.Number, with.Generation = a.Controller, a.Number, c.machine.Generation
	c.responses = append(c.responses, with)
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

// enqueue keeps a command to be proposed, once.
func (c *Core) enqueue(command state.Command) {
	const most = 4096 // commands; a holder asks again within a lease
	if len(c.pendingCommands) < most && !slices.ContainsFunc(c.pendingCommands, func(o state.Command) bool {
		return o.Op == command.Op && o.Controller == command.Controller && o.Subject == command.Subject && o.Generation == command.Generation && o.Shard == command.Shard
	}) {
		c.pendingCommands = append(c.pendingCommands, command)
	}
}

// proposeBatch has what is kept go into the log, one batch at a time.
func (c *Core) proposeBatch(now float64) {
	if c.inFlightBatch != 0 && now < c.batchProposedAt+20*c.config.HeartbeatInterval { // a batch that a quorum does not take is given up
		return
	}
	c.inFlightBatch = 0
	if len(c.pendingCommands)+len(c.work.unproposed) == 0 {
		return
	}
	const batch = 512 // some 40 KB
	some := c.pendingCommands[:min(len(c.pendingCommands), batch)]
	commands, refs := c.prependProposals(slices.Clone(some))
	c.lastBatchToken++
	data, err := encode(logEntry{Proposer: c.config.ID, Token: c.lastBatchToken, Commands: commands, ProposalIDs: refs})
	if err != nil {
		panic(err) // plain values
	}
	if c.rawNode.Propose(data) == nil {
		c.inFlightBatch, c.batchProposedAt = c.lastBatchToken, now
		c.pendingCommands = slices.Clone(c.pendingCommands[len(some):])
		c.work.unproposed = nil
	}
}

// requestRead asks a quorum to confirm that this voter leads, for all asks that came since the last time.
func (c *Core) requestRead(now float64) {
	for id, r := range c.pendingReads { // what no quorum confirms is of no use to those who asked
		if now > r.requestedAt+c.config.Timing.TTL {
			delete(c.pendingReads, id)
		}
	}
	if len(c.unconfirmed) == 0 {
		return
	}
	c.lastReadID++
	c.pendingReads[c.lastReadID] = pendingRead{c.unconfirmed, now}
	c.unconfirmed = nil
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.lastReadID))
}

// expireControllers gives up holders that have been silent for so long that nothing of theirs can hold or run any more.
func (c *Core) expireControllers(now float64) {
	longest := c.config.Timing.Linger
	for _, q := range c.machine.Quantities {
		longest = max(longest, q.Window)
	}
	for _, holder := range c.machine.SortedControllers() {
		h := holder.ControllerID
		if _, heard := c.lastRequestAt[h]; !heard {
			c.lastRequestAt[h] = c.priorLeaseBound
		}
		if now > c.lastRequestAt[h]+c.config.Timing.ExpiryBound()+longest*(1+c.config.Timing.MaxDrift) {
			c.beginExpiry(h)
		}
	}
	for h := range c.expiring {
		if c.machine.Controllers[h] == nil {
			delete(c.expiring, h)
		}
	}
	for h := range c.lastRequestAt {
		if c.machine.Controllers[h] == nil && now > c.lastRequestAt[h]+c.config.Timing.ExpiryBound() {
			delete(c.lastRequestAt, h)
			delete(c.demands, h)
			c.work.forget(h)
		}
	}
}

// beginExpiry gives a holder up. From here on it is answered nothing: an answer that crossed the command would renew the lease
// of a part that is another's a moment later.
func (c *Core) beginExpiry(h state.ControllerID) {
	c.expiring[h] = true
	c.enqueue(state.Command{Op: state.OpExpire, Controller: h})
}

// rebalance decides who should have what: first what is to be given up, and more only of what is free. Holders unheard of
// for a lease want nothing; a leader that has just begun waits until all may have been heard.
func (c *Core) rebalance(now float64) {
	if now < c.rebalancedAt+c.config.RebalanceInterval || now < c.leadingSince+c.config.Timing.TTL || c.inFlightBatch != 0 {
		return
	}
	c.rebalancedAt = now
	for _, name := range slices.Sorted(maps.Keys(c.machine.Quantities)) {
		whole, aside := c.machine.Total(name)
		var who []*state.Controller
		var holders []allocation.Claim
		for _, h := range c.machine.SortedControllers() {
			hold := h.Allocations[name]
			if h.Replaced || now > c.lastRequestAt[h.ControllerID]+c.config.Timing.TTL {
				if hold.Amount > 0 {
					c.enqueue(state.Command{Op: state.OpAllocate, Controller: h.ControllerID, Subject: name})
				}
				continue
			}
			d := c.demands[h.ControllerID][name]
			who = append(who, h)
			holders = append(holders, allocation.Claim{Weight: d.Weight, Demand: d.recentPeak, Guaranteed: d.Guaranteed, Current: hold.Amount})
		}
		targets := allocation.WeightedMaxMin(whole-aside, holders, c.config.Allocation)
		for _, grow := range []bool{false, true} {
			for i, h := range who {
				if has := h.Allocations[name].Amount; grow && targets[i] > has || !grow && targets[i] < has {
					c.enqueue(state.Command{Op: state.OpAllocate, Controller: h.ControllerID, Subject: name, Amount: targets[i]})
				}
			}
		}
	}
}

// HasReady tells whether something is to be done.
func (c *Core) HasReady() bool {
	return c.err == nil && !c.advancePending && (c.rawNode.HasReady() || len(c.responses)+len(c.work.results) > 0)
}

// Ready gives what is to be done; Done is to be called once it is.
func (c *Core) Ready() (out Ready) {
	var err error
	defer c.recoverPanic(&err)
	out.Responses, c.responses = c.responses, nil
	out.Results, c.work.results = c.work.results, nil
	if c.advancePending = true; !c.rawNode.HasReady() {
		return out
	}
	ready := c.rawNode.Ready()
	c.raftReady = &ready
	out.HardState, out.Entries, out.Messages = ready.HardState, ready.Entries, ready.Messages
	for _, m := range out.Messages {
		if m.GetType() == raftpb.MsgVoteResp && !m.GetReject() {
			m.Context = binary.BigEndian.AppendUint64(nil, math.Float64bits(max(c.now-c.lastLeaderContact, 0)))
		}
	}
	out.MustSync = ready.MustSync
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		out.Snapshot, out.MustSync = ready.Snapshot, true
	}
	return out
}

// Advance tells that the last output is on disk and sent.
func (c *Core) Advance(now float64) (err error) {
	ready := c.raftReady
	c.raftReady, c.advancePending = nil, false
	if c.err != nil || ready == nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
		if err := c.restoreSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if ready.HardState != nil {
		c.storage.SetHardState(ready.HardState)
	}
	if err := c.storage.Append(ready.Entries); err != nil {
		return err
	}
	for _, e := range ready.CommittedEntries {
		c.applyEntry(e)
	}
	c.rawNode.Advance(*ready)
	c.readStates = append(c.readStates, ready.ReadStates...)
	for len(c.readStates) > 0 && c.readStates[0].Index <= c.appliedIndex {
		c.answerRead(binary.BigEndian.Uint64(c.readStates[0].RequestCtx))
		c.readStates = c.readStates[1:]
	}
	c.updateLeadership(now)
	return c.compactLog()
}

// applyEntry carries out an entry of the log.
func (c *Core) applyEntry(e *raftpb.Entry) {
	c.appliedIndex = e.GetIndex()
	if e.GetType() == raftpb.EntryConfChangeV2 {
		change := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			panic(fmt.Sprintf("entry %d of the log can't be read: %v", e.GetIndex(), err))
		}
		c.confState, c.snapshotDue = c.rawNode.ApplyConfChange(change), true
		if len(change.GetContext()) == 8 {
			c.machine.Apply(state.Command{Op: state.OpSetVoterGeneration, Generation: binary.BigEndian.Uint64(change.GetContext())})
		}
		return
	}
	if len(e.GetData()) == 0 || e.GetType() != raftpb.EntryNormal {
		return
	}
	var entry logEntry
	if err := decode(e.GetData(), &entry); err != nil {
		panic(fmt.Sprintf("entry %d of the log can't be read: %v", e.GetIndex(), err))
	}
	for i, command := range entry.Commands {
		err := c.machine.Apply(command)
		if err != nil && len(c.rejections) < 100 {
			c.rejections = append(c.rejections, err.Error())
		}
		if entry.Proposer == c.config.ID && i < len(entry.ProposalIDs) && entry.ProposalIDs[i] != 0 {
			c.completeProposal(entry.ProposalIDs[i], err)
		}
	}
	if entry.Proposer == c.config.ID && entry.Token == c.inFlightBatch {
		c.inFlightBatch = 0
	}
}

// answerRead answers the asks of a read that a quorum has confirmed.
func (c *Core) answerRead(id uint64) {
	r := c.pendingReads[id]
	delete(c.pendingReads, id)
	for _, a := range r.requests {
		h := c.machine.Controllers[a.Controller]
		if h == nil || h.Replaced || c.expiring[a.Controller] || c.revocationPending(a.Controller) {
			c.respond(a, LeaseResponse{Status: StatusRetry})
			continue
		}
		answer := LeaseResponse{Status: StatusGranted, Index: h.Index, LiveControllers: c.machine.LiveControllers(), IndexCount: c.machine.IndexCount(), Leader: c.config.ID}
		for _, name := range slices.Sorted(maps.Keys(h.Allocations)) {
			hold := h.Allocations[name]
			answer.Grants = append(answer.Grants, lease.Grant{Quantity: name, Amount: hold.Amount, Revision: hold.Revision, Unsettled: hold.Committed > hold.Amount})
		}
		c.addSharedWork(a, &answer)
		c.respond(a, answer)
	}
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

// Demand is what a holder told last of a quantity, where this voter leads.
func (c *Core) Demand(h state.ControllerID, quantity string) Demand { return c.demands[h][quantity] }
