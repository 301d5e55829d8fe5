// Package fleet lets controllers act as one: a few of them keep a ledger by quorum, and every one holds parts of what is
// divided, under leases. It is the shell round the cores beside it: links, timers, goroutines and the disk. No job waits
// for it: it tells the controller its parts and hears their use. docs/notes/fleet.md says what each side believes at
// each fault.
package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
	store "copperrock.example/copperrock/internal/storage/raftlog"
)

// Usage is what a controller tells of one quantity: what it uses, and would use if it had it.
type Usage struct {
	Quantity                         string
	Used, Demand, Weight, Guaranteed float64
}

// Quota is what a controller may use of one quantity now. While it is not Leased only the floor is left.
type Quota struct {
	Quantity   string
	Limit      float64
	LeaseValid bool
}

// QuotaUser is the controller that holds parts. Its methods don't block.
type QuotaUser interface {
	Usage() []Usage
	SetQuotas(shares []Quota)
}

// Member is one controller's place in a fleet.
type Member struct {
	options     *Options
	log         zerolog.Logger
	quotaUser   QuotaUser
	worker      Worker // nil where there are no duties
	startedAt   time.Time
	voter       *voter
	incarnation uint64
	loadFeed    *loadFeed // connections of others to this voter, for news

	// OnIndex, where set, hears this controller's number, from 0, and how many numbers there may be; -1 while it has none.
	// A newcomer has one only after a lease, by when all others have heard of it. It is set before Run.
	OnIndex func(index, numbers int)

	notifyMu sync.Mutex // one word after the other

	mu              sync.Mutex
	lease           *lease.Holder
	quotas          map[string]*lease.Quota
	notifiedQuotas  []Quota
	leader          uint64 // voter that is asked next
	lastStatus      consensus.Status
	joined          bool // an answer has counted
	replaced        bool
	index           int
	liveControllers int
	indexedSince    float64 // of the present run of answers

	shards          *assignment.Owner
	listVersions    map[string]uint64 // versions of published lists that were taken
	appliedOverride uint64            // the latest order that was taken up
	proposals       pendingProposals
	loadReports     chan []LoadReport // taken here, on their way to whoever leads
}

// NewMember makes a controller's place. It asks nobody before Run.
func NewMember(options *Options, spender QuotaUser, log zerolog.Logger) *Member {
	f := &Member{options: options, log: log, quotaUser: spender, startedAt: time.Now(), incarnation: uint64(time.Now().UnixNano()), quotas: map[string]*lease.Quota{},
		loadFeed: &loadFeed{}, listVersions: map[string]uint64{}, loadReports: make(chan []LoadReport, 16)}
	f.shards = assignment.NewOwner(f.leaseCheckInterval()*1.5+options.Lease/20, options.Lease/4)
	f.proposals.init()
	f.lease = lease.New(0, options.leaseTiming())
	for _, q := range options.Quantities {
		f.quotas[q.Name] = f.lease.SetQuota(q.Name, options.floorOf(q), q.Window)
	}
	return f
}

// clock is monotonic, in seconds from the start. The wall clock may jump as it will.
func (f *Member) clock() float64 { return time.Since(f.startedAt).Seconds() }

// leaseCheckInterval is how often the end of a lease is looked for.
func (f *Member) leaseCheckInterval() float64 { return min(f.options.Lease/20, 0.1) }

// Run takes part until ctx ends, and then gives all back.
func (f *Member) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if f.options.voterID() > 0 {
		if err := f.startVoter(ctx, group); err != nil {
			return err
		}
	}
	group.Go(func() error { return f.watchLease(ctx) })
	group.Go(func() error { return f.renewLoop(ctx) })
	return group.Wait()
}

// startVoter listens and starts the voter. One that can't vote says so and holds parts all the same.
func (f *Member) startVoter(ctx context.Context, group *errgroup.Group) error {
	at := cmp.Or(f.options.Listen, f.options.ownVoter().Address)
	l, err := net.Listen("tcp", at)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	v, err := newVoter(f.options, f.clock, f.log)
	if err != nil {
		l.Close()
		what := "this voter does not vote"
		if errors.Is(err, consensus.ErrNoRaftState) {
			what = "this voter has no votes and does not vote: copperrock fleet init makes those of a new fleet"
		}
		f.log.Error().Err(err).Msg(what)
		return nil
	}
	f.voter = v
	group.Go(func() error {
		defer l.Close()
		err := v.run(ctx)
		if ctx.Err() == nil {
			f.log.Error().Err(err).Msg("this voter votes no more")
			return nil
		}
		return err
	})
	group.Go(func() error {
		stop := context.AfterFunc(ctx, func() { l.Close() })
		defer stop()
		slots := make(chan struct{}, 4*f.options.MaxControllers+64) // connections; more are closed at once
		var peers sync.WaitGroup
		defer peers.Wait()
		for {
			peer, err := l.Accept()
			if err != nil {
				return ctx.Err()
			}
			select {
			case slots <- struct{}{}:
			default:
				peer.Close()
				continue
			}
			peers.Go(func() {
				defer func() { <-slots }()
				defer peer.Close()
				f.serve(ctx, peer)
			})
		}
	})
	return nil
}

// serve is a connection from another controller.
func (f *Member) serve(ctx context.Context, peer net.Conn) {
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	within := seconds(f.options.Lease / 2)
	peer.SetReadDeadline(time.Now().Add(within))
	kind, body, err := readFrame(peer)
	var other hello
	if err != nil || kind != frameHello || decodeMessage(body, &other) != nil {
		return
	}
	own := f.voter.hello()
	refuse := func(why string) {
		own.Rejection = why
		writeFrame(peer, within, frameHello, encodeMessage(own))
	}
	if err := own.checkPeer(other); err != nil {
		f.log.Warn().Err(err).Msg("a controller is not talked to")
		refuse(err.Error())
		return
	}
	if other.Voter != 0 && other.Boot != 0 { // one that votes, and says which start of it this is
		m := handshake{other.Voter, store.Start{Boot: other.Boot, Incarnation: other.Incarnation}, make(chan string, 1)}
		select {
		case f.voter.handshakes <- m:
		case <-ctx.Done():
			return
		}
		select {
		case why := <-m.rejection:
			if why != "" {
				refuse(why)
				return
			}
		case <-ctx.Done():
			return
		}
	}
	if writeFrame(peer, within, frameHello, encodeMessage(own)) != nil {
		return
	}
	out := make(chan []byte, 16)
	var writer sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer writer.Wait()
	defer cancel()
	writer.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-out:
				if writeFrame(peer, within, b[0], b[1:]) != nil {
					peer.Close()
					return
				}
			}
		}
	})
	put := func(kind byte, body []byte) {
		select {
		case out <- append([]byte{kind}, body...):
		default: // it does not read; it will ask again
		}
	}
	if other.Voter == 0 || other.Boot == 0 {
		defer f.loadFeed.subscribe(other.Name, func(body []byte) { put(frameLoadFeed, body) })()
	}
	for {
		peer.SetReadDeadline(time.Now().Add(seconds(10 * f.options.Lease))) // all that talk say something in that time
		kind, body, err := readFrame(peer)
		if err != nil {
			if errors.Is(err, errFrame) {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("a controller's message can't be read")
			}
			return
		}
		switch kind {
		case frameRaft:
			m, err := decodeRaftMessage(body)
			if err != nil || m.GetFrom() != other.Voter || other.Boot == 0 {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("a voter's message can't be read")
				return
			}
			select {
			case f.voter.messages <- m:
			case <-ctx.Done():
				return
			default: // as if lost on the way
			}
		case frameLeaseRequest:
			a, err := decodeLeaseRequest(body)
			if err != nil || a.Controller.Name != other.Name {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("an ask can't be read")
				return
			}
			f.requestLocally(a, func(answer consensus.LeaseResponse) { put(frameLeaseResponse, encodeMessage(answer)) })
		case frameProposal:
			var a consensus.Proposal
			if err := decodeMessage(body, &a); err != nil || a.Controller.Name != "" && a.Controller.Name != other.Name {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("an act can't be read")
				return
			}
			f.proposeLocally(a, func(answer consensus.ProposalResult) { put(frameProposalResult, encodeMessage(answer)) })
		case frameLoadReports:
			f.relayLoadReports(other.Name, body)
		case frameStatusRequest:
			if view, ok := f.localStatus(ctx); ok {
				put(frameStatus, encodeMessage(view))
			}
		default:
			return
		}
	}
}

// requestLocally gives an ask to the voter in this process.
func (f *Member) requestLocally(a consensus.LeaseRequest, answer func(consensus.LeaseResponse)) {
	select {
	case f.voter.requests <- leaseCall{a, answer}:
	default: // asked again within a lease
	}
}

func (f *Member) localStatus(ctx context.Context) (Status, bool) {
	to := make(chan Status, 1)
	select {
	case f.voter.statusRequests <- to:
	default:
		return Status{}, false
	}
	select {
	case v := <-to:
		return v, true
	case <-ctx.Done():
	case <-time.After(seconds(f.options.Lease)):
	}
	return Status{}, false
}

// watchLease tells the spender its parts whenever they change, and when a lease ends.
func (f *Member) watchLease(ctx context.Context) error {
	look := time.NewTicker(seconds(f.leaseCheckInterval())) // the end of a lease is kept to by that
	defer look.Stop()
	for {
		f.notifyQuotas()
		f.heartbeat()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-look.C:
		}
	}
}

// notifyQuotas gives the spender its shares where they differ from what it was told. A lease counts as over a look before it
// ends, so that nothing is begun after it.
func (f *Member) notifyQuotas() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.mu.Lock()
	now := f.clock() + f.leaseCheckInterval()*1.5
	var shares []Quota
	for _, name := range slices.Sorted(maps.Keys(f.quotas)) {
		shares = append(shares, Quota{name, f.lease.Limit(now, f.quotas[name]), f.lease.Valid(now)})
	}
	changed := !slices.Equal(shares, f.notifiedQuotas)
	lost := len(f.notifiedQuotas) > 0 && len(shares) > 0 && f.notifiedQuotas[0].LeaseValid && !shares[0].LeaseValid
	f.notifiedQuotas = shares
	f.mu.Unlock()
	if lost {
		f.log.Warn().Msg("the fleet's lease is over, floors hold")
		if f.OnIndex != nil {
			f.OnIndex(-1, 0)
		}
	}
	if changed {
		f.quotaUser.SetQuotas(shares)
	}
}

// renewLoop asks for parts, five times a lease, and ten times while more is wanted than may be used, of whoever leads; at the end
// it gives all back.
func (f *Member) renewLoop(ctx context.Context) error {
	links := map[uint64]*leaderConn{}
	defer func() {
		for _, l := range links {
			l.close()
		}
	}()
	answers := make(chan consensus.LeaseResponse, 16)
	again := time.NewTimer(0)
	defer again.Stop()
	every, last := seconds(f.options.Lease/10), time.Time{}
	for {
		select {
		case <-ctx.Done():
			f.leave(links, answers)
			return ctx.Err()
		case a := <-answers:
			if soon := f.handleResponse(a); soon > 0 {
				last = time.Time{}
				again.Reset(soon)
			}
		case <-again.C:
			again.Reset(every)
			if now := time.Now(); f.needsRenewal() || now.Sub(last) > 3*every/2 {
				last = now
				f.sendRequest(ctx, links, answers, f.nextRequest(false))
			}
		case a := <-f.proposals.queue:
			f.sendProposal(ctx, links, answers, a)
		case r := <-f.loadReports:
			f.sendLoadReports(ctx, links, answers, r)
		}
	}
}

// recordUsage takes what is used and wanted of all that is divided; the lock is held when it returns.
func (f *Member) recordUsage() map[string]Usage {
	uses := f.quotaUser.Usage()
	f.mu.Lock()
	more := map[string]Usage{}
	for _, u := range uses {
		if h := f.quotas[u.Quantity]; h != nil {
			h.SetUsage(u.Used, u.Demand)
			more[u.Quantity] = u
		}
	}
	return more
}

// needsRenewal tells whether the fleet should hear soon.
func (f *Member) needsRenewal() bool {
	f.recordUsage()
	defer f.mu.Unlock()
	return f.lease.NeedsRenewal(f.clock())
}

// nextRequest makes the next ask.
func (f *Member) nextRequest(leaves bool) consensus.LeaseRequest {
	more := f.recordUsage()
	defer f.mu.Unlock()
	now := f.clock()
	a := consensus.LeaseRequest{Controller: state.ControllerID{Name: f.options.Self, Incarnation: f.incarnation}, Generation: f.options.Generation, ConfigDigest: consensus.ConfigDigest(f.options.Quantities, f.options.Tasks),
		Quantities: f.options.Quantities, Tasks: f.options.Tasks, ScheduledJobs: f.options.ScheduledJobs, Leaving: leaves, AppliedOverride: f.appliedOverride, ListVersions: maps.Clone(f.listVersions)}
	f.addWorkReport(&a)
	var reports []lease.UsageReport
	a.Number, reports = f.lease.NewRequest(now)
	for _, r := range reports {
		a.Demands = append(a.Demands, consensus.Demand{Quantity: r.Name, Revision: r.Number, Used: r.Used, Wanted: r.Wanted, Weight: more[r.Name].Weight, Guaranteed: more[r.Name].Guaranteed})
	}
	return a
}

// sendRequest sends an ask to the voter that leads as far as is known, or to one after the other.
func (f *Member) sendRequest(ctx context.Context, links map[uint64]*leaderConn, answers chan consensus.LeaseResponse, a consensus.LeaseRequest) {
	f.mu.Lock()
	to := f.leader
	if to == 0 {
		to = f.options.Voters[a.Number%uint64(len(f.options.Voters))].Number
	}
	f.leader = 0 // unless it answers before the next ask
	f.mu.Unlock()
	if to == f.options.voterID() {
		if f.voter != nil {
			f.requestLocally(a, func(answer consensus.LeaseResponse) {
				select {
				case answers <- answer:
				default:
				}
			})
		}
		return
	}
	if l := f.connection(ctx, links, answers, to); l != nil {
		l.send(frameLeaseRequest, encodeMessage(a))
	}
}

// connection finds or opens the link to a voter, nil for one that the settings don't name.
func (f *Member) connection(ctx context.Context, links map[uint64]*leaderConn, answers chan consensus.LeaseResponse, to uint64) *leaderConn {
	l := links[to]
	if l == nil || l.isClosed() {
		at := f.options.voterAddress(to)
		if at == "" {
			return nil
		}
		l = openLeaderConn(ctx, f, at, answers)
		links[to] = l
	}
	return l
}

// handleResponse takes an answer, and tells when to ask again where that is soon.
func (f *Member) handleResponse(a consensus.LeaseResponse) (soon time.Duration) {
	var changes []assignment.Change
	counted := false
	var placed func(int, int)
	f.mu.Lock()
	defer func() {
		f.mu.Unlock()
		f.notifyQuotas()
		f.notifyWorker(a, changes, counted)
		if placed != nil {
			placed(a.Index, a.IndexCount)
		}
	}()
	if a.To.Incarnation != f.incarnation {
		return 0
	}
	word := f.lastStatus
	f.lastStatus = a.Status
	switch a.Status {
	case consensus.StatusGranted:
		asked, _ := f.lease.RequestedAt(a.Number)
		if f.leader = a.Leader; f.lease.Renew(f.clock(), a.Number, a.Grants) {
			counted = true
			changes = f.shards.Update(f.clock(), asked, f.lease.ExpiresAt(), assignmentsOf(a.Shards))
			if !f.joined || word != consensus.StatusGranted {
				f.log.Info().Int("index", a.Index).Int("controllers", a.LiveControllers).Uint64("leader", a.Leader).Msg("part of the fleet")
			}
			if !f.joined || f.index != a.Index {
				f.indexedSince = f.clock()
			}
			f.joined, f.index, f.liveControllers = true, a.Index, a.LiveControllers
			if f.clock() >= f.indexedSince+f.options.leaseTiming().ExpiryBound() {
				placed = f.OnIndex
			}
		}
	case consensus.StatusNotLeader:
		if f.lastStatus = word; a.Leader != 0 {
			f.leader = a.Leader
			return time.Millisecond
		}
		return seconds(2 * f.options.HeartbeatInterval)
	case consensus.StatusRetry:
		f.lastStatus = word
		f.leader = a.Leader
		return seconds(f.options.HeartbeatInterval)
	case consensus.StatusStaleIncarnation:
		if !f.joined { // a wall clock that was set back
			f.incarnation = a.Incarnation + 1
			return time.Millisecond
		}
		fallthrough
	case consensus.StatusReplaced:
		if !f.replaced {
			f.replaced = true
			f.lease.Revoke()
			changes = f.shards.Update(f.clock(), f.clock(), f.clock(), nil)
			f.log.Error().Msg("another process has this controller's name: this one uses nothing of the fleet's any more")
		}
	case consensus.StatusGenerationMismatch:
		if word != a.Status {
			f.log.Error().Uint64("generation", f.options.Generation).Msg("the fleet divides something else in this generation: nothing of it is used here")
		}
	case consensus.StatusFleetFull:
		if word != a.Status {
			f.log.Error().Int("controllers", f.options.MaxControllers).Msg("the fleet has its most controllers: nothing of it is used here")
		}
	}
	return 0
}

// leave gives all back once nothing is in use, if that is so within a moment.
func (f *Member) leave(links map[uint64]*leaderConn, answers chan consensus.LeaseResponse) {
	a := f.nextRequest(true)
	if slices.ContainsFunc(a.Demands, func(d consensus.Demand) bool { return d.Used > 0 }) {
		return
	}
	f.mu.Lock()
	to := f.leader
	f.shards.Update(f.clock(), f.clock(), f.clock(), nil) // its slices are others' from the moment that it says so
	f.mu.Unlock()
	if l := links[to]; l != nil && !l.isClosed() {
		l.send(frameLeaseRequest, encodeMessage(a))
		select {
		case <-answers:
		case <-time.After(100 * time.Millisecond): // the lease ends in any case
		}
	}
}

// leaderConn is a connection to a voter for asks.
type leaderConn struct {
	outgoing   chan []byte
	closed     chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// openLeaderConn starts a link; its connection comes up beside it.
func openLeaderConn(ctx context.Context, f *Member, address string, answers chan<- consensus.LeaseResponse) *leaderConn {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the last ask goes at the end
	l := &leaderConn{outgoing: make(chan []byte, 64), closed: make(chan struct{}), cancel: cancel}
	l.goroutines.Go(func() {
		defer close(l.closed)
		defer cancel()
		peer, err := dial(ctx, f.options, address, f.options.hello())
		if err != nil {
			f.log.Debug().Err(err).Str("voter", address).Msg("a voter is not reached")
			return
		}
		defer peer.Close()
		stop := context.AfterFunc(ctx, func() { peer.Close() })
		defer stop()
		l.goroutines.Go(func() {
			defer cancel()
			for {
				kind, body, err := readFrame(peer)
				if err != nil || !f.handleFrame(kind, body, answers) {
					return
				}
			}
		})
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-l.outgoing:
				if writeFrame(peer, seconds(f.options.Lease/2), b[0], b[1:]) != nil {
					return
				}
			}
		}
	})
	return l
}

func (l *leaderConn) send(kind byte, body []byte) {
	select {
	case l.outgoing <- append([]byte{kind}, body...):
	default: // nothing passes: another voter is asked next, this one anew
		l.cancel()
	}
}

func (l *leaderConn) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *leaderConn) close() {
	l.cancel()
	l.goroutines.Wait()
}

// QueryStatus asks a voter for what it knows.
func QueryStatus(ctx context.Context, f *Options, address string) (v Status, err error) {
	peer, err := dial(ctx, f, address, f.hello())
	if err != nil {
		return v, err
	}
	defer peer.Close()
	if err := writeFrame(peer, seconds(f.Lease), frameStatusRequest, nil); err != nil {
		return v, err
	}
	peer.SetReadDeadline(time.Now().Add(seconds(f.Lease)))
	kind, body, err := readFrame(peer)
	if err != nil || kind != frameStatus {
		return v, errors.Join(errFrame, err)
	}
	return v, decodeMessage(body, &v)
}

// sorted lists quantities by name.
func (f *Options) sorted(all map[string]state.Quantity) []state.Quantity {
	return slices.SortedFunc(maps.Values(all), func(x, y state.Quantity) int { return cmp.Compare(x.Name, y.Name) })
}
