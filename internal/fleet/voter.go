package fleet

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
	store "copperrock.example/copperrock/internal/storage/raftlog"
)

// voter is the shell of one of the quorum: it owns the core, its disk and its links to the others. One goroutine is in
// the core; a disk that is slow makes this voter slow and no controller.
type voter struct {
	options            *Options
	log                zerolog.Logger
	clock              func() float64
	core               *consensus.Core
	file               *store.Log
	messages           chan *raftpb.Message
	requests           chan leaseCall
	statusRequests     chan chan Status
	proposals          chan proposalCall
	handshakes         chan handshake
	incarnation        uint64
	peers              map[uint64]*raftSender
	pendingRequests    map[requestKey]func(consensus.LeaseResponse)  // answers owed, by who asked
	pendingProposals   map[requestKey]func(consensus.ProposalResult) // the same of acts
	overridesCheckedAt time.Time                                     // when orders were looked at last
	wasLeader          bool
	staleDiskOnce      sync.Once
	leader             uint64
	savedSnapshot      uint64
}

// leaseCall is an ask with the way its answer goes.
type leaseCall struct {
	request consensus.LeaseRequest
	respond func(consensus.LeaseResponse)
}

// proposalCall is an act with the way its answer goes.
type proposalCall struct {
	proposal consensus.Proposal
	respond  func(consensus.ProposalResult)
}

type requestKey struct {
	name        string
	incarnation uint64
	number      uint64
}

// RaftLogPath is where a voter keeps its votes.
func (f *Options) RaftLogPath() string { return filepath.Join(f.Directory, f.Self+".votes") }

// InitVoter makes the votes of this voter of a new fleet; with join, of one that takes another's place in a fleet that runs.
func InitVoter(f *Options, join bool) error {
	if f.voterID() == 0 {
		return fmt.Errorf("%s is none of the voters", f.Self)
	}
	first := consensus.InitialSnapshot(f.consensusConfig().Voters)
	if join {
		first = nil
	}
	return store.Create(f.RaftLogPath(), store.Identity{Fleet: f.Name, Voter: f.voterID()}, first)
}

// newVoter opens the votes. An error tells why this controller can't vote; it may still hold parts.
func newVoter(options *Options, clock func() float64, log zerolog.Logger) (*voter, error) {
	v := &voter{options: options, log: log, clock: clock, messages: make(chan *raftpb.Message, 1024), requests: make(chan leaseCall, 1024),
		statusRequests: make(chan chan Status, 16), proposals: make(chan proposalCall, 1024), handshakes: make(chan handshake, 16), incarnation: uint64(time.Now().UnixNano()),
		peers: map[uint64]*raftSender{}, pendingRequests: map[requestKey]func(consensus.LeaseResponse){}, pendingProposals: map[requestKey]func(consensus.ProposalResult){}}
	file, kept, err := store.Open(options.RaftLogPath(), store.Identity{Fleet: options.Name, Voter: options.voterID()})
	if err != nil {
		return nil, err
	}
	if file.TornBytes > 0 {
		log.Warn().Int64("bytes", file.TornBytes).Msg("votes cut at a torn end")
	}
	v.file = file
	set := options.consensusConfig()
	set.Boot = file.Boot()
	if v.core, err = consensus.New(set, kept); err != nil {
		file.Close()
		return nil, err
	}
	v.savedSnapshot = v.core.SnapshotIndex()
	return v, nil
}

// run votes until ctx ends or the disk or the core fail; then this controller votes no more.
func (v *voter) run(ctx context.Context) error {
	defer v.file.Close()
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range v.options.Voters {
		if id := peer.Number; id != v.options.voterID() {
			o := &raftSender{options: v.options, address: peer.Address, queue: make(chan *raftpb.Message, 256), hello: v.hello(), onStaleDisk: v.reportStaleDisk}
			v.peers[id] = o
			group.Go(func() error { return o.run(ctx) })
		}
	}
	group.Go(func() error {
		beat := time.NewTicker(seconds(v.options.HeartbeatInterval))
		defer beat.Stop()
		for {
			var err error
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-beat.C:
				if err = v.core.Tick(v.clock()); err == nil && v.core.IsLeader() {
					err = v.expireOverrides()
				}
			case m := <-v.messages:
				if bad := v.core.Step(v.clock(), m); bad != nil && v.core.Err() == nil {
					v.log.Warn().Err(bad).Msg("a voter's message is passed over")
				}
			case a := <-v.requests:
				key := requestKey{a.request.Controller.Name, a.request.Controller.Incarnation, a.request.Number}
				if len(v.pendingRequests) < 4*v.options.MaxControllers+1024 { // each asks anew within a lease
					v.pendingRequests[key] = a.respond
				}
				err = v.core.HandleLeaseRequest(v.clock(), a.request)
			case to := <-v.statusRequests:
				to <- v.status()
			case m := <-v.handshakes:
				var why string
				why, err = v.admitVoter(m)
				m.rejection <- why
			case a := <-v.proposals:
				key := requestKey{a.proposal.Controller.Name, a.proposal.Controller.Incarnation, a.proposal.Number}
				if len(v.pendingProposals) < 4096 {
					v.pendingProposals[key] = a.respond
				}
				err = v.core.HandleProposal(v.clock(), a.proposal)
			}
			for len(v.messages) > 0 && err == nil { // what has come meanwhile goes with the same write to disk
				v.core.Step(v.clock(), <-v.messages)
			}
			if err == nil {
				err = v.processReady()
			}
			if err == nil {
				err = v.core.Err()
			}
			if err != nil {
				return err
			}
		}
	})
	return group.Wait()
}

// processReady keeps, sends and answers what the core puts out.
func (v *voter) processReady() error {
	for v.core.HasReady() {
		out := v.core.Ready()
		if err := v.file.Save(out); err != nil {
			return fmt.Errorf("votes can't be kept: %w", err)
		}
		for _, m := range out.Messages {
			if o := v.peers[m.GetTo()]; o != nil {
				o.enqueue(m)
			}
		}
		for _, a := range out.Responses {
			key := requestKey{a.To.Name, a.To.Incarnation, a.Number}
			if answer := v.pendingRequests[key]; answer != nil {
				delete(v.pendingRequests, key)
				answer(a)
			}
		}
		for _, a := range out.Results {
			key := requestKey{a.To.Name, a.To.Incarnation, a.Number}
			if answer := v.pendingProposals[key]; answer != nil {
				delete(v.pendingProposals, key)
				answer(a)
			}
		}
		if err := v.core.Advance(v.clock()); err != nil {
			return err
		}
	}
	if len(v.pendingRequests) > 4*v.options.MaxControllers {
		clear(v.pendingRequests) // asks that no quorum ever confirmed; their controllers have asked again
	}
	for _, why := range v.core.TakeRejections() {
		v.log.Debug().Str("why", why).Msg("ledger refused a command")
	}
	if snapped := v.core.SnapshotIndex(); snapped != v.savedSnapshot && v.file.NeedsCompaction() {
		v.savedSnapshot = snapped
		kept, err := v.core.Persisted()
		if err == nil {
			v.file.ForgetPeers(func(voter uint64) bool { return !v.core.IsVoter(voter) })
			err = v.file.Compact(kept)
		}
		if err != nil {
			return fmt.Errorf("votes can't be written anew: %w", err)
		}
	}
	if led := v.core.IsLeader(); led != v.wasLeader {
		v.wasLeader = led
		v.log.Info().Bool("leads", led).Uint64("term", v.core.Term()).Msg("fleet leadership")
	}
	return nil
}

// expireOverrides takes back the orders whose time is up, by this machine's clock. One whose end is lost is tried again.
func (v *voter) expireOverrides() error {
	now := time.Now()
	if now.Sub(v.overridesCheckedAt) < time.Second && !now.Before(v.overridesCheckedAt) {
		return nil
	}
	v.overridesCheckedAt = now
	for _, o := range v.core.Machine().SortedOverrides() {
		if o.ExpiresAt == 0 || o.Revoked || now.Unix() < o.ExpiresAt {
			continue
		}
		v.log.Info().Str("kind", o.Kind).Str("target", o.Target).Uint64("number", o.Number).Msg("order ends by itself")
		end := state.SetOverride{Kind: o.Kind, Target: o.Target, Number: o.Number, Revoke: true}.Command()
		if err := v.core.HandleProposal(v.clock(), consensus.Proposal{Number: o.Number, Command: end}); err != nil {
			return err
		}
	}
	return nil
}
