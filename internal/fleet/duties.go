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

// Doer carries out what the fleet does as one. Its methods don't block, and may be called from several goroutines.
type Doer interface {
	Room() float64                                          // from 0 to 1, for more duties
	Changed(changes []assignment.Change)                    // slices gained, asked back or lost
	Jobs(jobs []consensus.JobView)                          // what the ledger has of jobs in slices of this controller's
	Ordered(order state.Order)                              // by an operator
	Listed(name string, fence, version uint64, data []byte) // a list that its owner published
	Read(readings []Reading)                                // of engines, taken elsewhere
	Reads() []uint32                                        // engines that this controller's own jobs have had asked of late
	Known(engines []uint32)                                 // those that several controllers have
}

// Reading is what the owner of an engine's slice read of its load.
type Reading struct {
	Engine string     `msgpack:"Engine"`
	Slice  int        `msgpack:"Slice"`
	Fence  uint64     `msgpack:"Fence"`
	Age    float64    `msgpack:"Age"` // seconds, when it was sent on
	Load   [5]float64 `msgpack:"Load"`
}

// mostReadings that one message holds.
const mostReadings = 1024

// With has the fleet's duties carried out. It is called before Run.
func (f *Fleet) With(doer Doer) { f.doer = doer }

// greets is how a controller opens a connection for asks.
func (f *Options) greets() hello {
	return hello{Format: wireFormat, Fleet: f.Name, Name: f.Self, Voter: f.voter()}
}

func grantsOf(all []consensus.Slice) (grants []assignment.Grant) {
	for _, s := range all {
		grants = append(grants, assignment.Grant{Slot: assignment.Slot{Duty: s.Duty, At: s.At}, Fence: s.Fence, Recall: s.Recall})
	}
	return grants
}

// askDuties adds to an ask what the fleet has to know of duties, with the lock held.
func (f *Fleet) askDuties(a *consensus.Ask) {
	if f.doer == nil {
		return
	}
	if a.Room = f.doer.Room(); a.Leaves {
		a.Room = 0
	}
	a.Read = f.doer.Reads()
	for _, g := range f.own.Back() {
		a.Back = append(a.Back, consensus.Slice{Duty: g.Duty, At: g.At, Fence: g.Fence})
	}
}

// tellDoer passes on what an answer says, without the lock.
func (f *Fleet) tellDoer(a consensus.Answer, changes []assignment.Change, counted bool) {
	if f.doer == nil {
		return
	}
	if len(changes) > 0 {
		f.doer.Changed(changes)
	}
	if !counted {
		return
	}
	f.doer.Jobs(a.Jobs)
	f.doer.Known(a.Known)
	for _, o := range a.Orders {
		f.doer.Ordered(o)
		f.mu.Lock()
		f.orders = max(f.orders, o.Number)
		f.mu.Unlock()
	}
	for _, l := range a.Lists {
		f.doer.Listed(l.Name, l.Fence, l.Version, l.Data)
		f.mu.Lock()
		f.lists[l.Name] = l.Version
		f.mu.Unlock()
	}
}

// beat tells the owner's side that the controller runs.
func (f *Fleet) beat() {
	f.mu.Lock()
	stood := f.own.Beat(f.clock())
	f.mu.Unlock()
	if stood && f.doer != nil {
		f.log.Warn().Msg("stood still: nothing is done for the fleet until it is asked again")
	}
}

// Begin counts something as under way in a slice, and gives the fence that goes along with it; false where it may not be
// begun. End is to be called once it is over.
func (f *Fleet) Begin(s assignment.Slot) (fence uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own.Begin(f.clock(), s)
}

// End tells that something begun is over.
func (f *Fleet) End(s assignment.Slot, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own.End(s, fence)
}

// Still tells, at the last moment before an effect, whether the slice is this controller's under that fence.
func (f *Fleet) Still(s assignment.Slot, fence uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own.Still(f.clock(), s, fence)
}

// Rest is for how long, in seconds, what is begun now may go on under the lease.
func (f *Fleet) Rest() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own.Rest(f.clock())
}

// Connected tells whether the fleet has been heard within a lease.
func (f *Fleet) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.Leased(f.clock())
}

// ---- acts

// ErrRefused is a command that the ledger does not carry out.
var ErrRefused = errors.New("refused")

// actions are acts on their way.
type actions struct {
	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan consensus.Acted
	queue   chan consensus.Act
}

func (a *actions) init() {
	a.waiting, a.queue = map[uint64]chan consensus.Acted{}, make(chan consensus.Act, 64)
}

// Act has a command carried out by the ledger, and waits for it, asking again where an answer is lost. It gives up at the
// end of ctx, and then the command may have been carried out or not. ErrRefused says that it was not.
func (f *Fleet) Act(ctx context.Context, c state.Command) error {
	answer := make(chan consensus.Acted, 1)
	f.mu.Lock()
	holder := state.Holder{Name: f.options.Self, Inc: f.inc}
	f.mu.Unlock()
	c.Holder = holder
	f.acts.mu.Lock()
	f.acts.number++
	number := f.acts.number
	f.acts.waiting[number] = answer
	f.acts.mu.Unlock()
	defer func() {
		f.acts.mu.Lock()
		delete(f.acts.waiting, number)
		f.acts.mu.Unlock()
	}()
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-answer:
			switch {
			case a.Word != consensus.Granted:
				if a.Leader != 0 {
					f.mu.Lock()
					f.leader = a.Leader
					f.mu.Unlock()
				}
				again.Reset(seconds(2 * f.options.Beat))
			case a.Why != "":
				return errors.Join(ErrRefused, errors.New(a.Why))
			default:
				return nil
			}
		case <-again.C:
			select {
			case f.acts.queue <- consensus.Act{Holder: holder, Number: number, Command: c}:
			default: // the link is stuck; tried again below
			}
			again.Reset(seconds(f.options.Lease / 4))
		}
	}
}

// sendAct sends an act to whoever leads as far as is known.
func (f *Fleet) sendAct(ctx context.Context, links map[uint64]*link, answers chan consensus.Answer, a consensus.Act) {
	f.mu.Lock()
	to := f.leader
	f.mu.Unlock()
	switch {
	case to == 0:
	case to == f.options.voter():
		if f.voter != nil {
			f.do(a, f.acted)
		}
	default:
		if l := f.link(ctx, links, answers, to); l != nil {
			l.put(acting, pack(a))
		}
	}
}

// do gives an act to the voter in this process.
func (f *Fleet) do(a consensus.Act, answer func(consensus.Acted)) {
	select {
	case f.voter.acts <- doing{a, answer}:
	default: // asked again within a lease
	}
}

// acted takes the answer to an act of this controller's.
func (f *Fleet) acted(a consensus.Acted) {
	f.acts.mu.Lock()
	defer f.acts.mu.Unlock()
	if answer := f.acts.waiting[a.Number]; answer != nil && a.To.Name == f.options.Self {
		select {
		case answer <- a:
		default:
		}
	}
}

// take takes what a voter says on a link; false ends the link.
func (f *Fleet) take(kind byte, body []byte, answers chan<- consensus.Answer) bool {
	switch kind {
	case answering:
		var a consensus.Answer
		if unpack(body, &a) != nil {
			return false
		}
		select {
		case answers <- a:
		default:
		}
	case acted:
		var a consensus.Acted
		if unpack(body, &a) != nil {
			return false
		}
		f.acted(a)
	case news:
		readings, ok := unpackReadings(body)
		if !ok {
			return false
		}
		if f.doer != nil {
			f.doer.Read(readings)
		}
	default:
		return false
	}
	return true
}

// ---- readings

// Tell has readings go to all controllers. Those that can't go are dropped: the next ones are newer.
func (f *Fleet) Tell(readings []Reading) {
	select {
	case f.tells <- readings[:min(len(readings), mostReadings)]:
	default:
	}
}

// sendReadings sends readings to whoever leads.
func (f *Fleet) sendReadings(ctx context.Context, links map[uint64]*link, answers chan consensus.Answer, readings []Reading) {
	f.mu.Lock()
	to := f.leader
	f.mu.Unlock()
	body := pack(readings)
	switch {
	case to == 0:
	case to == f.options.voter():
		if f.voter != nil {
			f.post.pass(f.options.Self, body)
		}
	default:
		if l := f.link(ctx, links, answers, to); l != nil {
			l.put(telling, body)
		}
	}
}

// pass sends readings on to all that are connected, and takes them here.
func (f *Fleet) pass(from string, body []byte) {
	readings, ok := unpackReadings(body)
	if !ok {
		return
	}
	f.post.pass(from, body)
	if f.doer != nil && from != f.options.Self {
		f.doer.Read(readings)
	}
}

func unpackReadings(body []byte) (readings []Reading, ok bool) {
	if unpack(body, &readings) != nil || len(readings) > mostReadings {
		return nil, false
	}
	for _, r := range readings {
		if r.Engine == "" || !(r.Age >= 0) || slices.ContainsFunc(r.Load[:], func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) }) {
			return nil, false
		}
	}
	return readings, true
}

// post is the controllers that are connected to this voter, by name; one that does not read misses news, and delays none.
type post struct {
	mu   sync.Mutex
	last int
	to   map[int]reader
}

type reader struct {
	name string
	put  func(body []byte)
}

// join adds one; what it gives takes it out.
func (p *post) join(name string, put func(body []byte)) (leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.to == nil {
		p.to = map[int]reader{}
	}
	p.last++
	at := p.last
	p.to[at] = reader{name, put}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.to, at)
	}
}

func (p *post) pass(from string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.to {
		if r.name != from {
			r.put(body)
		}
	}
}

// Ask has a voter carry out an operator's command; it is tried at each voter until one leads.
func Ask(ctx context.Context, f *Options, c state.Command) error {
	number := uint64(time.Now().UnixNano())
	var last error
	for ctx.Err() == nil {
		for _, v := range f.Voters {
			a, err := ask(ctx, f, v.Address, consensus.Act{Number: number, Command: c})
			switch {
			case err != nil:
				last = err
			case a.Word == consensus.Granted && a.Why != "":
				return errors.New(a.Why)
			case a.Word == consensus.Granted:
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(seconds(4 * f.Beat)):
		}
	}
	return errors.Join(errors.New("no voter leads that could be reached"), last)
}

// ask asks one voter.
func ask(ctx context.Context, f *Options, address string, act consensus.Act) (a consensus.Acted, err error) {
	own := f.greets()
	own.Name += " (operator)"
	peer, err := dial(ctx, f, address, own)
	if err != nil {
		return a, err
	}
	defer peer.Close()
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	if err := writeFrame(peer, seconds(f.Lease), acting, pack(act)); err != nil {
		return a, err
	}
	peer.SetReadDeadline(time.Now().Add(seconds(f.Lease)))
	for {
		kind, body, err := readFrame(peer)
		if err != nil {
			return a, err
		}
		if kind == acted {
			return a, unpack(body, &a)
		}
	}
}
