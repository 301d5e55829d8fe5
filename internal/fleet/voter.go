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

// voter is the shell of a voter: it owns the consensus core, its disk and its connections to the other voters. One
// goroutine, loop, is in the core and writes the disk; a slow disk makes this voter slow, and no controller. Everyone else
// reaches it through the channels, which drop what does not fit: senders repeat it.
type voter struct {
	options *Options
	log     zerolog.Logger
	clock   func() float64 // seconds, monotonic
	core    *consensus.Core
	file    *raftlog.Log

	messages       chan *raftpb.Message
	requests       chan leaseCall
	proposals      chan proposalCall
	statusRequests chan chan Status
	handshakes     chan handshake

	incarnation   uint64                 // of this process
	peers         map[uint64]*raftSender // by voter; not changed once loop runs
	staleDiskOnce sync.Once

	// Owned by loop.
	pendingRequests    map[requestKey]func(consensus.LeaseResponse)
	pendingProposals   map[requestKey]func(consensus.ProposalResult)
	overridesCheckedAt time.Time
	wasLeader          bool
	savedSnapshot      uint64 // index of the snapshot with which the file was compacted last
}

// Bounds of the voter's queues, and of what waits for an answer.
const (
	voterQueue          = 1024
	voterControlQueue   = 16 // status requests and handshakes
	extraRequests       = 1024
	maxPendingProposals = 4096

	overrideCheckInterval = time.Second
)

// leaseCall is a lease request with the function that its response goes to. respond must not block.
type leaseCall struct {
	request consensus.LeaseRequest
	respond func(consensus.LeaseResponse)
}

// proposalCall is a proposal with the function that its result goes to. respond must not block.
type proposalCall struct {
	proposal consensus.Proposal
	respond  func(consensus.ProposalResult)
}

// requestKey identifies a request or a proposal among all that wait.
type requestKey struct {
	controller state.ControllerID
	number     uint64
}

// newVoter opens the raft log. An error tells why this controller can't vote; it may hold leases all the same.
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

// submitRequest gives a lease request to the voter. One that does not fit is dropped: it is repeated within a lease.
func (v *voter) submitRequest(request consensus.LeaseRequest, respond func(consensus.LeaseResponse)) {
	offer(v.requests, leaseCall{request, respond})
}

// submitProposal gives a proposal to the voter. One that does not fit is dropped: it is repeated within a lease.
func (v *voter) submitProposal(proposal consensus.Proposal, respond func(consensus.ProposalResult)) {
	offer(v.proposals, proposalCall{proposal, respond})
}

// run votes until ctx ends, or the disk or the core fails; then this controller votes no more.
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

// loop drives the core with whatever comes, and carries out what it puts out, until ctx ends or something fails.
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

// handleNext waits for the next event and gives it to the core.
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

// stepQueued steps all messages that have come meanwhile, so that they share one write to disk.
func (v *voter) stepQueued() {
	for len(v.messages) > 0 {
		_ = v.core.Step(v.clock(), <-v.messages) // a message that is passed over changes nothing; the core's failure is looked at after it
	}
}
