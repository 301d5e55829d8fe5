package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/storage/raftlog"
)

// voter runs a consensus core. It owns the core, its raft log and its connections to the other voters. Only the goroutine of
// loop calls the core and writes to disk, so a slow disk slows this voter down but no controller. Other goroutines send to
// its channels. What doesn't fit into a channel is dropped, and its sender repeats it.
type voter struct {
	options *Options
	log     zerolog.Logger
	clock   func() float64 // monotonic time in seconds
	core    *consensus.Core
	file    *raftlog.Log

	messages       chan *raftpb.Message
	requests       chan leaseCall
	proposals      chan proposalCall
	statusRequests chan chan Status
	handshakes     chan handshake

	incarnation   uint64                 // incarnation of this process
	peers         map[uint64]*raftSender // by voter; not changed after loop has started
	staleDiskOnce sync.Once

	// Owned by loop.
	pendingRequests    map[requestKey]func(consensus.LeaseResponse)
	pendingProposals   map[requestKey]func(consensus.ProposalResult)
	overridesCheckedAt time.Time
	wasLeader          bool
	savedSnapshot      uint64 // index of the snapshot with which the file was last compacted
}

const (
	voterQueue          = 1024 // messages, lease requests and proposals, of each, that may wait for the voter
	voterControlQueue   = 16   // status requests and handshakes, of each, that may wait for the voter
	extraRequests       = 1024 // lease requests that may await a response beyond four for each controller
	maxPendingProposals = 4096 // proposals that may await a result

	overrideCheckInterval = time.Second // interval between checks for expired overrides
)

// leaseCall is a lease request with the function to call with its response. respond must not block.
type leaseCall struct {
	request consensus.LeaseRequest
	respond func(consensus.LeaseResponse)
}

// proposalCall is a proposal with the function to call with its result. respond must not block.
type proposalCall struct {
	proposal consensus.Proposal
	respond  func(consensus.ProposalResult)
}

// requestKey identifies a pending request or proposal.
type requestKey struct {
	controller state.ControllerID
	number     uint64
}

// newVoter opens the raft log and creates the core. An error says why this controller can't vote; it may still hold leases.
func newVoter(options *Options, clock func() float64, log zerolog.Logger) (*voter, error) {
	file, persisted, err := raftlog.Open(options.RaftLogPath(), options.raftIdentity())
	if err != nil {
		return nil, err
	}
	if file.TornBytes > 0 {
		log.Warn().Int64("bytes", file.TornBytes).Msg("raft log truncated at a torn record")
	}
	config := options.consensusConfig()
	config.Boot = file.Boot()
	core, err := consensus.New(config, persisted)
	if err != nil {
		file.Close()
		return nil, err
	}
	return &voter{
		options:          options,
		log:              log,
		clock:            clock,
		core:             core,
		file:             file,
		messages:         make(chan *raftpb.Message, voterQueue),
		requests:         make(chan leaseCall, voterQueue),
		proposals:        make(chan proposalCall, voterQueue),
		statusRequests:   make(chan chan Status, voterControlQueue),
		handshakes:       make(chan handshake, voterControlQueue),
		incarnation:      uint64(time.Now().UnixNano()),
		peers:            map[uint64]*raftSender{},
		pendingRequests:  map[requestKey]func(consensus.LeaseResponse){},
		pendingProposals: map[requestKey]func(consensus.ProposalResult){},
		savedSnapshot:    core.SnapshotIndex(),
	}, nil
}

// submitRequest queues a lease request for the voter. It is dropped if the queue is full: controllers repeat requests within
// a lease.
func (v *voter) submitRequest(request consensus.LeaseRequest, respond func(consensus.LeaseResponse)) {
	trySend(v.requests, leaseCall{request, respond})
}

// submitProposal queues a proposal for the voter. It is dropped if the queue is full: proposers repeat it within a lease.
func (v *voter) submitProposal(proposal consensus.Proposal, respond func(consensus.ProposalResult)) {
	trySend(v.proposals, proposalCall{proposal, respond})
}

// run runs the voter until ctx ends or the disk or the core fails. A voter that has failed stays stopped until the process is
// restarted.
func (v *voter) run(ctx context.Context) error {
	defer v.file.Close()
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range v.options.Voters {
		if peer.Number == v.options.voterID() {
			continue
		}
		sender := &raftSender{
			options:     v.options,
			address:     peer.Address,
			queue:       make(chan *raftpb.Message, raftSendQueue),
			hello:       v.hello(),
			onStaleDisk: v.reportStaleDisk,
		}
		v.peers[peer.Number] = sender
		group.Go(func() error { return sender.run(ctx) })
	}
	group.Go(func() error { return v.loop(ctx) })
	return group.Wait()
}

// loop passes events to the core and carries out its output, until ctx ends or something fails.
func (v *voter) loop(ctx context.Context) error {
	ticker := time.NewTicker(seconds(v.options.HeartbeatInterval))
	defer ticker.Stop()
	for {
		if err := v.handleNext(ctx, ticker.C); err != nil {
			return err
		}
		v.stepQueued()
		if err := v.processReady(); err != nil {
			return err
		}
		if err := v.core.Err(); err != nil {
			return err
		}
	}
}

// handleNext waits for the next event and passes it to the core.
func (v *voter) handleNext(ctx context.Context, ticks <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-ticks:
		return v.tick()
	case message := <-v.messages:
		if err := v.core.Step(v.clock(), message); err != nil && v.core.Err() == nil {
			v.log.Warn().Err(err).Msg("a voter's message was ignored")
		}
		return nil
	case call := <-v.requests:
		key := requestKey{call.request.Controller, call.request.Number}
		if len(v.pendingRequests) < 4*v.options.MaxControllers+extraRequests {
			v.pendingRequests[key] = call.respond
		}
		return v.core.HandleLeaseRequest(v.clock(), call.request)
	case call := <-v.proposals:
		key := requestKey{call.proposal.Controller, call.proposal.Number}
		if len(v.pendingProposals) < maxPendingProposals {
			v.pendingProposals[key] = call.respond
		}
		return v.core.HandleProposal(v.clock(), call.proposal)
	case reply := <-v.statusRequests:
		reply <- v.status()
		return nil
	case peer := <-v.handshakes:
		rejection, err := v.admitVoter(peer)
		peer.rejection <- rejection
		return err
	}
}

// tick is called once per heartbeat interval.
func (v *voter) tick() error {
	if err := v.core.Tick(v.clock()); err != nil || !v.core.IsLeader() {
		return err
	}
	return v.expireOverrides()
}

// stepQueued passes all queued messages to the core, so that they share one write to disk.
func (v *voter) stepQueued() {
	for len(v.messages) > 0 {
		_ = v.core.Step(v.clock(), <-v.messages) // an ignored message changes nothing; loop checks core.Err afterwards
	}
}
