package fleet

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Worker carries out what the fleet does as one. Its methods don't block, and may be called from several goroutines.
type Worker interface {
	Capacity() float64                                             // from 0 to 1, for more duties
	ShardsChanged(changes []assignment.Change)                     // slices gained, asked back or lost
	ScheduledJobs(jobs []consensus.ScheduledJob)                   // what the ledger has of jobs in slices of this controller's
	ApplyOverride(order state.Override)                            // by an operator
	ListPublished(name string, fence, version uint64, data []byte) // a list that its owner published
	LoadReported(readings []LoadReport)                            // of engines, taken elsewhere
	EnginesRead() []uint32                                         // engines that this controller's own jobs have had asked of late
	SetWidelyRead(engines []uint32)                                // those that several controllers have
}

// LoadReport is what the owner of an engine's slice read of its load.
type LoadReport struct {
	Engine string     `msgpack:"Engine"`
	Shard  int        `msgpack:"Slice"`
	Fence  uint64     `msgpack:"Fence"`
	Age    float64    `msgpack:"Age"` // seconds, when it was sent on
	Load   [5]float64 `msgpack:"Load"`
}

// maxLoadReports that one message holds.
const maxLoadReports = 1024

// SetWorker has the fleet's duties carried out. It is called before Run.
func (f *Member) SetWorker(doer Worker) { f.worker = doer }

// hello is how a controller opens a connection for asks.
func (f *Options) hello() hello {
	return hello{Format: wireFormat, Fleet: f.Name, Name: f.Self, Voter: f.voterID()}
}

func assignmentsOf(all []consensus.ShardAssignment) (grants []assignment.Assignment) {
	for _, s := range all {
		grants = append(grants, assignment.Assignment{ShardID: assignment.ShardID{Task: s.Task, Index: s.Shard}, Fence: s.Fence, Recalled: s.Recalled})
	}
	return grants
}

// addWorkReport adds to an ask what the fleet has to know of duties, with the lock held.
func (f *Member) addWorkReport(a *consensus.LeaseRequest) {
	if f.worker == nil {
		return
	}
	if a.WorkCapacity = f.worker.Capacity(); a.Leaving {
		a.WorkCapacity = 0
	}
	a.EnginesRead = f.worker.EnginesRead()
	for _, g := range f.shards.Returned() {
		a.ReturnedShards = append(a.ReturnedShards, consensus.ShardAssignment{Task: g.Task, Shard: g.Index, Fence: g.Fence})
	}
}

// notifyWorker passes on what an answer says, without the lock.
func (f *Member) notifyWorker(a consensus.LeaseResponse, changes []assignment.Change, counted bool) {
	if f.worker == nil {
		return
	}
	if len(changes) > 0 {
		f.worker.ShardsChanged(changes)
	}
	if !counted {
		return
	}
	f.worker.ScheduledJobs(a.ScheduledJobs)
	f.worker.SetWidelyRead(a.WidelyRead)
	for _, o := range a.Overrides {
		f.worker.ApplyOverride(o)
		f.mu.Lock()
		f.appliedOverride = max(f.appliedOverride, o.Number)
		f.mu.Unlock()
	}
	for _, l := range a.Lists {
		f.worker.ListPublished(l.Name, l.Fence, l.Version, l.Data)
		f.mu.Lock()
		f.listVersions[l.Name] = l.Version
		f.mu.Unlock()
	}
}

// heartbeat tells the owner's side that the controller runs.
func (f *Member) heartbeat() {
	f.mu.Lock()
	stood := f.shards.Heartbeat(f.clock())
	f.mu.Unlock()
	if stood && f.worker != nil {
		f.log.Warn().Msg("stood still: nothing is done for the fleet until it is asked again")
	}
}

// BeginWork counts something as under way in a slice, and gives the fence that goes along with it; false where it may not be
// begun. End is to be called once it is over.
func (f *Member) BeginWork(s assignment.ShardID) (fence uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shards.Begin(f.clock(), s)
}

// EndWork tells that something begun is over.
func (f *Member) EndWork(s assignment.ShardID, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shards.End(s, fence)
}

// Owns tells, at the last moment before an effect, whether the slice is this controller's under that fence.
func (f *Member) Owns(s assignment.ShardID, fence uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shards.Owns(f.clock(), s, fence)
}

// RemainingLease is for how long, in seconds, what is begun now may go on under the lease.
func (f *Member) RemainingLease() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shards.RemainingLease(f.clock())
}

// Connected tells whether the fleet has been heard within a lease.
func (f *Member) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.Valid(f.clock())
}

// ---- acts

// ErrRejected is a command that the ledger does not carry out.
var ErrRejected = errors.New("refused")

// pendingProposals are acts on their way.
type pendingProposals struct {
	mu         sync.Mutex
	lastNumber uint64
	waiting    map[uint64]chan consensus.ProposalResult
	queue      chan consensus.Proposal
}

func (a *pendingProposals) init() {
	a.waiting, a.queue = map[uint64]chan consensus.ProposalResult{}, make(chan consensus.Proposal, 64)
}

// Propose has a command carried out by the ledger, and waits for it, asking again where an answer is lost. It gives up at the
// end of ctx, and then the command may have been carried out or not. ErrRefused says that it was not.
func (f *Member) Propose(ctx context.Context, c state.Command) error {
	answer := make(chan consensus.ProposalResult, 1)
	f.mu.Lock()
	holder := state.ControllerID{Name: f.options.Self, Incarnation: f.incarnation}
	f.mu.Unlock()
	c.Controller = holder
	f.proposals.mu.Lock()
	f.proposals.lastNumber++
	number := f.proposals.lastNumber
	f.proposals.waiting[number] = answer
	f.proposals.mu.Unlock()
	defer func() {
		f.proposals.mu.Lock()
		delete(f.proposals.waiting, number)
		f.proposals.mu.Unlock()
	}()
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-answer:
			switch {
			case a.Status != consensus.StatusGranted:
				if a.Leader != 0 {
					f.mu.Lock()
					f.leader = a.Leader
					f.mu.Unlock()
				}
				again.Reset(seconds(2 * f.options.HeartbeatInterval))
			case a.Rejection != "":
				return errors.Join(ErrRejected, errors.New(a.Rejection))
			default:
				return nil
			}
		case <-again.C:
			select {
			case f.proposals.queue <- consensus.Proposal{Controller: holder, Number: number, Command: c}:
			default: // the link is stuck; tried again below
			}
			again.Reset(seconds(f.options.Lease / 4))
		}
	}
}

// sendProposal sends an act to whoever leads as far as is known.
func (f *Member) sendProposal(ctx context.Context, links map[uint64]*leaderConn, answers chan consensus.LeaseResponse, a consensus.Proposal) {
	f.mu.Lock()
	to := f.leader
	f.mu.Unlock()
	switch {
	case to == 0:
	case to == f.options.voterID():
		if f.voter != nil {
			f.proposeLocally(a, f.completeProposal)
		}
	default:
		if l := f.connection(ctx, links, answers, to); l != nil {
			l.send(frameProposal, encodeMessage(a))
		}
	}
}

// proposeLocally gives an act to the voter in this process.
func (f *Member) proposeLocally(a consensus.Proposal, answer func(consensus.ProposalResult)) {
	select {
	case f.voter.proposals <- proposalCall{a, answer}:
	default: // asked again within a lease
	}
}

// completeProposal takes the answer to an act of this controller's.
func (f *Member) completeProposal(a consensus.ProposalResult) {
	f.proposals.mu.Lock()
	defer f.proposals.mu.Unlock()
	if answer := f.proposals.waiting[a.Number]; answer != nil && a.To.Name == f.options.Self {
		select {
		case answer <- a:
		default:
		}
	}
}

// handleFrame takes what a voter says on a link; false ends the link.
func (f *Member) handleFrame(kind byte, body []byte, answers chan<- consensus.LeaseResponse) bool {
	switch kind {
	case frameLeaseResponse:
		var a consensus.LeaseResponse
		if decodeMessage(body, &a) != nil {
			return false
		}
		select {
		case answers <- a:
		default:
		}
	case frameProposalResult:
		var a consensus.ProposalResult
		if decodeMessage(body, &a) != nil {
			return false
		}
		f.completeProposal(a)
	case frameLoadFeed:
		readings, ok := decodeLoadReports(body)
		if !ok {
			return false
		}
		if f.worker != nil {
			f.worker.LoadReported(readings)
		}
	default:
		return false
	}
	return true
}

// ---- readings

// PublishLoad has readings go to all controllers. Those that can't go are dropped: the next ones are newer.
func (f *Member) PublishLoad(readings []LoadReport) {
	select {
	case f.loadReports <- readings[:min(len(readings), maxLoadReports)]:
	default:
	}
}

// sendLoadReports sends readings to whoever leads.
func (f *Member) sendLoadReports(ctx context.Context, links map[uint64]*leaderConn, answers chan consensus.LeaseResponse, readings []LoadReport) {
	f.mu.Lock()
	to := f.leader
	f.mu.Unlock()
	body := encodeMessage(readings)
	switch {
	case to == 0:
	case to == f.options.voterID():
		if f.voter != nil {
			f.loadFeed.publish(f.options.Self, body)
		}
	default:
		if l := f.connection(ctx, links, answers, to); l != nil {
			l.send(frameLoadReports, body)
		}
	}
}

// relayLoadReports sends readings on to all that are connected, and takes them here.
func (f *Member) relayLoadReports(from string, body []byte) {
	readings, ok := decodeLoadReports(body)
	if !ok {
		return
	}
	f.loadFeed.publish(from, body)
	if f.worker != nil && from != f.options.Self {
		f.worker.LoadReported(readings)
	}
}

func decodeLoadReports(body []byte) (readings []LoadReport, ok bool) {
	if decodeMessage(body, &readings) != nil || len(readings) > maxLoadReports {
		return nil, false
	}
	for _, r := range readings {
		if r.Engine == "" || !(r.Age >= 0) || slices.ContainsFunc(r.Load[:], func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) }) {
			return nil, false
		}
	}
	return readings, true
}

// loadFeed is the controllers that are connected to this voter, by name; one that does not read misses news, and delays none.
type loadFeed struct {
	mu          sync.Mutex
	lastID      int
	subscribers map[int]subscriber
}

type subscriber struct {
	name string
	send func(body []byte)
}

// subscribe adds one; what it gives takes it out.
func (p *loadFeed) subscribe(name string, put func(body []byte)) (leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.subscribers == nil {
		p.subscribers = map[int]subscriber{}
	}
	p.lastID++
	at := p.lastID
	p.subscribers[at] = subscriber{name, put}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.subscribers, at)
	}
}

func (p *loadFeed) publish(from string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.subscribers {
		if r.name != from {
			r.send(body)
		}
	}
}

// ProposeAsOperator has a voter carry out an operator's command; it is tried at each voter until one leads.
func ProposeAsOperator(ctx context.Context, f *Options, c state.Command) error {
	number := uint64(time.Now().UnixNano())
	var last error
	for ctx.Err() == nil {
		for _, v := range f.Voters {
			a, err := proposeTo(ctx, f, v.Address, consensus.Proposal{Number: number, Command: c})
			switch {
			case err != nil:
				last = err
			case a.Status == consensus.StatusGranted && a.Rejection != "":
				return errors.New(a.Rejection)
			case a.Status == consensus.StatusGranted:
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(seconds(4 * f.HeartbeatInterval)):
		}
	}
	return errors.Join(errors.New("no voter leads that could be reached"), last)
}

// proposeTo asks one voter.
func proposeTo(ctx context.Context, f *Options, address string, act consensus.Proposal) (a consensus.ProposalResult, err error) {
	own := f.hello()
	own.Name += " (operator)"
	peer, err := dial(ctx, f, address, own)
	if err != nil {
		return a, err
	}
	defer peer.Close()
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	if err := writeFrame(peer, seconds(f.Lease), frameProposal, encodeMessage(act)); err != nil {
		return a, err
	}
	peer.SetReadDeadline(time.Now().Add(seconds(f.Lease)))
	for {
		kind, body, err := readFrame(peer)
		if err != nil {
			return a, err
		}
		if kind == frameProposalResult {
			return a, decodeMessage(body, &a)
		}
	}
}
