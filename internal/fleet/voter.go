package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

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

// handshake is another voter that connects; its answer is why it is not talked to, "" where it is.
type handshake struct {
	voter     uint64
	start     store.Start
	rejection chan string
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
		end := state.Command{Op: state.OpSetOverride, Text: o.Kind, Subject: o.Target, Number: o.Number, Revoke: true}
		if err := v.core.HandleProposal(v.clock(), consensus.Proposal{Number: o.Number, Command: end}); err != nil {
			return err
		}
	}
	return nil
}

func (v *voter) status() (view Status) {
	l := v.core.Machine()
	view = Status{Voter: v.options.voterID(), Leader: v.core.Leader(), Term: v.core.Term(), IsLeader: v.core.IsLeader(), Generation: l.Generation, Syncs: v.file.Syncs()}
	for _, c := range l.SortedControllers() {
		view.Controllers = append(view.Controllers, ControllerStatus{c.Name, c.Incarnation, c.Index, c.Replaced, v.core.AppliedOverride(c.ControllerID)})
	}
	view.Voters, view.Overrides = v.core.Voters(), l.SortedOverrides()
	for _, d := range l.Tasks() {
		one := TaskStatus{Name: d.Name}
		for _, s := range l.Shards[d.Name] {
			one.Owners, one.Fences = append(one.Owners, s.Owner.Name), append(one.Fences, s.Fence)
		}
		view.Tasks = append(view.Tasks, one)
	}
	for _, name := range slices.Sorted(maps.Keys(l.ScheduledJobs)) {
		view.ScheduledJobs = append(view.ScheduledJobs, JobStatus{name, l.ScheduledJobs[name].LastDue, l.ScheduledJobs[name].Runs})
	}
	for _, q := range v.options.sorted(l.Quantities) {
		one := QuantityStatus{Name: q.Name}
		one.Total, one.FloorReserve = l.Total(q.Name)
		for _, c := range l.SortedControllers() {
			if h, holds := c.Allocations[q.Name]; holds {
				d := v.core.Demand(c.ControllerID, q.Name)
				one.Allocations = append(one.Allocations, AllocationStatus{Controller: c.Name, Incarnation: c.Incarnation, Amount: h.Amount, Committed: h.Committed, Used: d.Used, Wanted: d.Wanted})
			}
		}
		view.Quantities = append(view.Quantities, one)
	}
	return view
}

// raftSender carries one voter's messages to another. It drops what the other does not take in time: raft sends again.
type raftSender struct {
	options     *Options
	address     string
	queue       chan *raftpb.Message
	hello       hello
	onStaleDisk func(why string)
}

func (o *raftSender) enqueue(m *raftpb.Message) {
	select {
	case o.queue <- m:
	default: // a peer that is slow delays no other
	}
}

func (o *raftSender) run(ctx context.Context) error {
	for {
		if err := o.sendOverConnection(ctx); ctx.Err() != nil {
			return ctx.Err()
		} else if err != nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(seconds(2 * o.options.HeartbeatInterval)):
			}
		}
		for len(o.queue) > 0 { // old by now
			<-o.queue
		}
	}
}

// sendOverConnection is the life of one connection.
func (o *raftSender) sendOverConnection(ctx context.Context) error {
	peer, err := dial(ctx, o.options, o.address, o.hello)
	if err != nil {
		if errors.Is(err, errStaleDisk) {
			o.onStaleDisk(err.Error())
		}
		return err
	}
	defer peer.Close()
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	var reader sync.WaitGroup
	ended := make(chan struct{})
	reader.Go(func() { // nothing comes but the end
		defer close(ended)
		readFrame(peer)
	})
	defer reader.Wait()
	defer peer.Close()
	for {
		select {
		case <-ended:
			return errors.New("ended")
		case m := <-o.queue:
			body, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			if err := writeFrame(peer, seconds(o.options.Lease/2), frameRaft, body); err != nil {
				return err
			}
		}
	}
}

// hello is how this voter opens its connections to the others.
func (v *voter) hello() hello {
	return hello{Format: wireFormat, Fleet: v.options.Name, Name: v.options.Self, Voter: v.options.voterID(), Boot: v.file.Boot(), Incarnation: v.incarnation}
}

// reportStaleDisk is told once that the other voters know of a later start of this one: its disk is an older copy.
func (v *voter) reportStaleDisk(why string) {
	v.staleDiskOnce.Do(func() {
		v.log.Error().Str("why", why).Msg("this voter's disk is an older copy: the others hear nothing from it, and it is to be replaced")
	})
}

// errStaleDisk is what a voter is told whose disk is an older copy.
var errStaleDisk = errors.New("a later start of this voter was met")

// admitVoter decides whether another voter is talked to, and remembers the latest start of each.
func (v *voter) admitVoter(m handshake) (why string, err error) {
	seen, met := v.file.PeerStarts()[m.voter]
	switch {
	case !v.core.IsVoter(m.voter):
		return fmt.Sprintf("%d is the number of no voter here", m.voter), nil
	case met && m.start.OlderThan(seen):
		v.log.Error().Uint64("voter", m.voter).Uint64("start", m.start.Boot).Uint64("met", seen.Boot).Msg("a voter comes with an older copy of its disk, and is not heard")
		return errStaleDisk.Error(), nil
	case !met || m.start != seen:
		return "", v.file.RecordPeer(m.voter, m.start)
	}
	return "", nil
}

// dial connects to a voter and greets it.
func dial(ctx context.Context, f *Options, address string, own hello) (net.Conn, error) {
	dialer := net.Dialer{Timeout: seconds(f.Lease / 2)}
	peer, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := exchangeHello(peer, f, own); err != nil {
		peer.Close()
		return nil, err
	}
	return peer, nil
}

// exchangeHello says who this is and hears who the other is.
func exchangeHello(peer net.Conn, f *Options, own hello) error {
	within := seconds(f.Lease / 2)
	if err := writeFrame(peer, within, frameHello, encodeMessage(own)); err != nil {
		return err
	}
	peer.SetReadDeadline(time.Now().Add(within))
	defer peer.SetReadDeadline(time.Time{})
	kind, body, err := readFrame(peer)
	if err != nil {
		return err
	}
	var other hello
	if kind != frameHello {
		return errFrame
	}
	if err := decodeMessage(body, &other); err != nil {
		return err
	}
	return own.checkPeer(other)
}

// checkPeer tells why the other is not talked to, nil where it is.
func (h hello) checkPeer(other hello) error {
	switch {
	case other.Rejection == errStaleDisk.Error():
		return fmt.Errorf("%s: %w", other.Name, errStaleDisk)
	case other.Rejection != "":
		return fmt.Errorf("refused by %s: %s", other.Name, other.Rejection)
	case other.Format != h.Format:
		return fmt.Errorf("%s speaks format %d, this program %d", other.Name, other.Format, h.Format)
	case other.Fleet != h.Fleet:
		return fmt.Errorf("%s is of fleet %q, this is %q", other.Name, other.Fleet, h.Fleet)
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
