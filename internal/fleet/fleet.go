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

// Use is what a controller tells of one quantity: what it uses, and would use if it had it.
type Use struct {
	Name                        string
	Used, Wanted, Weight, Least float64
}

// Share is what a controller may use of one quantity now. While it is not Leased only the floor is left.
type Share struct {
	Name   string
	Limit  float64
	Leased bool
}

// Spender is the controller that holds parts. Its methods don't block.
type Spender interface {
	Uses() []Use
	Parts(shares []Share)
}

// Fleet is one controller's place in a fleet.
type Fleet struct {
	options *Options
	log     zerolog.Logger
	spender Spender
	doer    Doer // nil where there are no duties
	start   time.Time
	voter   *voter
	inc     uint64
	post    *post // connections of others to this voter, for news

	// Placed, where set, hears this controller's number, from 0, and how many numbers there may be; -1 while it has none.
	// A newcomer has one only after a lease, by when all others have heard of it. It is set before Run.
	Placed func(index, numbers int)

	telling sync.Mutex // one word after the other

	mu       sync.Mutex
	parts    *lease.Parts
	holds    map[string]*lease.Holding
	told     []Share
	leader   uint64 // voter that is asked next
	word     consensus.Word
	joined   bool // an answer has counted
	replaced bool
	index    int
	alive    int
	since    float64 // of the present run of answers

	own    *assignment.Own
	lists  map[string]uint64 // versions of published lists that were taken
	orders uint64            // the latest order that was taken up
	acts   actions
	tells  chan []Reading // taken here, on their way to whoever leads
}

// New makes a controller's place. It asks nobody before Run.
func New(options *Options, spender Spender, log zerolog.Logger) *Fleet {
	f := &Fleet{options: options, log: log, spender: spender, start: time.Now(), inc: uint64(time.Now().UnixNano()), holds: map[string]*lease.Holding{},
		post: &post{}, lists: map[string]uint64{}, tells: make(chan []Reading, 16)}
	f.own = assignment.NewOwn(f.look()*1.5+options.Lease/20, options.Lease/4)
	f.acts.init()
	f.parts = lease.New(0, options.rules())
	for _, q := range options.Quantities {
		f.holds[q.Name] = f.parts.Holding(q.Name, options.floor(q), q.Window)
	}
	return f
}

// clock is monotonic, in seconds from the start. The wall clock may jump as it will.
func (f *Fleet) clock() float64 { return time.Since(f.start).Seconds() }

// look is how often the end of a lease is looked for.
func (f *Fleet) look() float64 { return min(f.options.Lease/20, 0.1) }

// Run takes part until ctx ends, and then gives all back.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if f.options.voter() > 0 {
		if err := f.vote(ctx, group); err != nil {
			return err
		}
	}
	group.Go(func() error { return f.watch(ctx) })
	group.Go(func() error { return f.ask(ctx) })
	return group.Wait()
}

// vote listens and starts the voter. One that can't vote says so and holds parts all the same.
func (f *Fleet) vote(ctx context.Context, group *errgroup.Group) error {
	at := cmp.Or(f.options.Listen, f.options.own().Address)
	l, err := net.Listen("tcp", at)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	v, err := newVoter(f.options, f.clock, f.log)
	if err != nil {
		l.Close()
		what := "this voter does not vote"
		if errors.Is(err, consensus.ErrBlank) {
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
		slots := make(chan struct{}, 4*f.options.Most+64) // connections; more are closed at once
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
func (f *Fleet) serve(ctx context.Context, peer net.Conn) {
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	within := seconds(f.options.Lease / 2)
	peer.SetReadDeadline(time.Now().Add(within))
	kind, body, err := readFrame(peer)
	var other hello
	if err != nil || kind != greeting || unpack(body, &other) != nil {
		return
	}
	own := f.voter.greets()
	refuse := func(why string) {
		own.Refused = why
		writeFrame(peer, within, greeting, pack(own))
	}
	if err := own.suits(other); err != nil {
		f.log.Warn().Err(err).Msg("a controller is not talked to")
		refuse(err.Error())
		return
	}
	if other.Voter != 0 && other.Boot != 0 { // one that votes, and says which start of it this is
		m := meeting{other.Voter, store.Start{Boot: other.Boot, Incarnation: other.Life}, make(chan string, 1)}
		select {
		case f.voter.meets <- m:
		case <-ctx.Done():
			return
		}
		select {
		case why := <-m.answer:
			if why != "" {
				refuse(why)
				return
			}
		case <-ctx.Done():
			return
		}
	}
	if writeFrame(peer, within, greeting, pack(own)) != nil {
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
		defer f.post.join(other.Name, func(body []byte) { put(news, body) })()
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
		case votes:
			m, err := unpackVotes(body)
			if err != nil || m.GetFrom() != other.Voter || other.Boot == 0 {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("a voter's message can't be read")
				return
			}
			select {
			case f.voter.steps <- m:
			case <-ctx.Done():
				return
			default: // as if lost on the way
			}
		case asking:
			a, err := unpackAsk(body)
			if err != nil || a.Holder.Name != other.Name {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("an ask can't be read")
				return
			}
			f.submit(a, func(answer consensus.Answer) { put(answering, pack(answer)) })
		case acting:
			var a consensus.Act
			if err := unpack(body, &a); err != nil || a.Holder.Name != "" && a.Holder.Name != other.Name {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("an act can't be read")
				return
			}
			f.do(a, func(answer consensus.Acted) { put(acted, pack(answer)) })
		case telling:
			f.pass(other.Name, body)
		case viewing:
			if view, ok := f.view(ctx); ok {
				put(viewed, pack(view))
			}
		default:
			return
		}
	}
}

// submit gives an ask to the voter in this process.
func (f *Fleet) submit(a consensus.Ask, answer func(consensus.Answer)) {
	select {
	case f.voter.asks <- asked{a, answer}:
	default: // asked again within a lease
	}
}

func (f *Fleet) view(ctx context.Context) (View, bool) {
	to := make(chan View, 1)
	select {
	case f.voter.views <- to:
	default:
		return View{}, false
	}
	select {
	case v := <-to:
		return v, true
	case <-ctx.Done():
	case <-time.After(seconds(f.options.Lease)):
	}
	return View{}, false
}

// watch tells the spender its parts whenever they change, and when a lease ends.
func (f *Fleet) watch(ctx context.Context) error {
	look := time.NewTicker(seconds(f.look())) // the end of a lease is kept to by that
	defer look.Stop()
	for {
		f.tell()
		f.beat()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-look.C:
		}
	}
}

// tell gives the spender its shares where they differ from what it was told. A lease counts as over a look before it
// ends, so that nothing is begun after it.
func (f *Fleet) tell() {
	f.telling.Lock()
	defer f.telling.Unlock()
	f.mu.Lock()
	now := f.clock() + f.look()*1.5
	var shares []Share
	for _, name := range slices.Sorted(maps.Keys(f.holds)) {
		shares = append(shares, Share{name, f.parts.Limit(now, f.holds[name]), f.parts.Leased(now)})
	}
	changed := !slices.Equal(shares, f.told)
	lost := len(f.told) > 0 && len(shares) > 0 && f.told[0].Leased && !shares[0].Leased
	f.told = shares
	f.mu.Unlock()
	if lost {
		f.log.Warn().Msg("the fleet's lease is over, floors hold")
		if f.Placed != nil {
			f.Placed(-1, 0)
		}
	}
	if changed {
		f.spender.Parts(shares)
	}
}

// ask asks for parts, five times a lease, and ten times while more is wanted than may be used, of whoever leads; at the end
// it gives all back.
func (f *Fleet) ask(ctx context.Context) error {
	links := map[uint64]*link{}
	defer func() {
		for _, l := range links {
			l.close()
		}
	}()
	answers := make(chan consensus.Answer, 16)
	again := time.NewTimer(0)
	defer again.Stop()
	every, last := seconds(f.options.Lease/10), time.Time{}
	for {
		select {
		case <-ctx.Done():
			f.leave(links, answers)
			return ctx.Err()
		case a := <-answers:
			if soon := f.hear(a); soon > 0 {
				last = time.Time{}
				again.Reset(soon)
			}
		case <-again.C:
			again.Reset(every)
			if now := time.Now(); f.hungry() || now.Sub(last) > 3*every/2 {
				last = now
				f.send(ctx, links, answers, f.next(false))
			}
		case a := <-f.acts.queue:
			f.sendAct(ctx, links, answers, a)
		case r := <-f.tells:
			f.sendReadings(ctx, links, answers, r)
		}
	}
}

// uses takes what is used and wanted of all that is divided; the lock is held when it returns.
func (f *Fleet) uses() map[string]Use {
	uses := f.spender.Uses()
	f.mu.Lock()
	more := map[string]Use{}
	for _, u := range uses {
		if h := f.holds[u.Name]; h != nil {
			h.Use(u.Used, u.Wanted)
			more[u.Name] = u
		}
	}
	return more
}

// hungry tells whether the fleet should hear soon.
func (f *Fleet) hungry() bool {
	f.uses()
	defer f.mu.Unlock()
	return f.parts.Hungry(f.clock())
}

// next makes the next ask.
func (f *Fleet) next(leaves bool) consensus.Ask {
	more := f.uses()
	defer f.mu.Unlock()
	now := f.clock()
	a := consensus.Ask{Holder: state.Holder{Name: f.options.Self, Inc: f.inc}, Generation: f.options.Generation, Digest: consensus.Digest(f.options.Quantities, f.options.Duties),
		Quantities: f.options.Quantities, Duties: f.options.Duties, Jobs: f.options.Jobs, Leaves: leaves, Orders: f.orders, Lists: maps.Clone(f.lists)}
	f.askDuties(&a)
	var reports []lease.Report
	a.Number, reports = f.parts.Ask(now)
	for _, r := range reports {
		a.Demands = append(a.Demands, consensus.Demand{Name: r.Name, Number: r.Number, Used: r.Used, Wanted: r.Wanted, Weight: more[r.Name].Weight, Least: more[r.Name].Least})
	}
	return a
}

// send sends an ask to the voter that leads as far as is known, or to one after the other.
func (f *Fleet) send(ctx context.Context, links map[uint64]*link, answers chan consensus.Answer, a consensus.Ask) {
	f.mu.Lock()
	to := f.leader
	if to == 0 {
		to = f.options.Voters[a.Number%uint64(len(f.options.Voters))].Number
	}
	f.leader = 0 // unless it answers before the next ask
	f.mu.Unlock()
	if to == f.options.voter() {
		if f.voter != nil {
			f.submit(a, func(answer consensus.Answer) {
				select {
				case answers <- answer:
				default:
				}
			})
		}
		return
	}
	if l := f.link(ctx, links, answers, to); l != nil {
		l.put(asking, pack(a))
	}
}

// link finds or opens the link to a voter, nil for one that the settings don't name.
func (f *Fleet) link(ctx context.Context, links map[uint64]*link, answers chan consensus.Answer, to uint64) *link {
	l := links[to]
	if l == nil || l.over() {
		at := f.options.address(to)
		if at == "" {
			return nil
		}
		l = open(ctx, f, at, answers)
		links[to] = l
	}
	return l
}

// hear takes an answer, and tells when to ask again where that is soon.
func (f *Fleet) hear(a consensus.Answer) (soon time.Duration) {
	var changes []assignment.Change
	counted := false
	var placed func(int, int)
	f.mu.Lock()
	defer func() {
		f.mu.Unlock()
		f.tell()
		f.tellDoer(a, changes, counted)
		if placed != nil {
			placed(a.Index, a.Numbers)
		}
	}()
	if a.To.Inc != f.inc {
		return 0
	}
	word := f.word
	f.word = a.Word
	switch a.Word {
	case consensus.Granted:
		asked, _ := f.parts.Asked(a.Number)
		if f.leader = a.Leader; f.parts.Answer(f.clock(), a.Number, a.Grants) {
			counted = true
			changes = f.own.Update(f.clock(), asked, f.parts.Until(), grantsOf(a.Slices))
			if !f.joined || word != consensus.Granted {
				f.log.Info().Int("index", a.Index).Int("controllers", a.Alive).Uint64("leader", a.Leader).Msg("part of the fleet")
			}
			if !f.joined || f.index != a.Index {
				f.since = f.clock()
			}
			f.joined, f.index, f.alive = true, a.Index, a.Alive
			if f.clock() >= f.since+f.options.rules().Over() {
				placed = f.Placed
			}
		}
	case consensus.Elsewhere:
		if f.word = word; a.Leader != 0 {
			f.leader = a.Leader
			return time.Millisecond
		}
		return seconds(2 * f.options.Beat)
	case consensus.Again:
		f.word = word
		f.leader = a.Leader
		return seconds(f.options.Beat)
	case consensus.Behind:
		if !f.joined { // a wall clock that was set back
			f.inc = a.Incarnation + 1
			return time.Millisecond
		}
		fallthrough
	case consensus.Replaced:
		if !f.replaced {
			f.replaced = true
			f.parts.Replaced()
			changes = f.own.Update(f.clock(), f.clock(), f.clock(), nil)
			f.log.Error().Msg("another process has this controller's name: this one uses nothing of the fleet's any more")
		}
	case consensus.Disagrees:
		if word != a.Word {
			f.log.Error().Uint64("generation", f.options.Generation).Msg("the fleet divides something else in this generation: nothing of it is used here")
		}
	case consensus.Full:
		if word != a.Word {
			f.log.Error().Int("controllers", f.options.Most).Msg("the fleet has its most controllers: nothing of it is used here")
		}
	}
	return 0
}

// leave gives all back once nothing is in use, if that is so within a moment.
func (f *Fleet) leave(links map[uint64]*link, answers chan consensus.Answer) {
	a := f.next(true)
	if slices.ContainsFunc(a.Demands, func(d consensus.Demand) bool { return d.Used > 0 }) {
		return
	}
	f.mu.Lock()
	to := f.leader
	f.own.Update(f.clock(), f.clock(), f.clock(), nil) // its slices are others' from the moment that it says so
	f.mu.Unlock()
	if l := links[to]; l != nil && !l.over() {
		l.put(asking, pack(a))
		select {
		case <-answers:
		case <-time.After(100 * time.Millisecond): // the lease ends in any case
		}
	}
}

// link is a connection to a voter for asks.
type link struct {
	queue  chan []byte
	ended  chan struct{}
	cancel context.CancelFunc
	all    sync.WaitGroup
}

// open starts a link; its connection comes up beside it.
func open(ctx context.Context, f *Fleet, address string, answers chan<- consensus.Answer) *link {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the last ask goes at the end
	l := &link{queue: make(chan []byte, 64), ended: make(chan struct{}), cancel: cancel}
	l.all.Go(func() {
		defer close(l.ended)
		defer cancel()
		peer, err := dial(ctx, f.options, address, f.options.greets())
		if err != nil {
			f.log.Debug().Err(err).Str("voter", address).Msg("a voter is not reached")
			return
		}
		defer peer.Close()
		stop := context.AfterFunc(ctx, func() { peer.Close() })
		defer stop()
		l.all.Go(func() {
			defer cancel()
			for {
				kind, body, err := readFrame(peer)
				if err != nil || !f.take(kind, body, answers) {
					return
				}
			}
		})
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-l.queue:
				if writeFrame(peer, seconds(f.options.Lease/2), b[0], b[1:]) != nil {
					return
				}
			}
		}
	})
	return l
}

func (l *link) put(kind byte, body []byte) {
	select {
	case l.queue <- append([]byte{kind}, body...):
	default: // nothing passes: another voter is asked next, this one anew
		l.cancel()
	}
}

func (l *link) over() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

func (l *link) close() {
	l.cancel()
	l.all.Wait()
}

// Look asks a voter for what it knows.
func Look(ctx context.Context, f *Options, address string) (v View, err error) {
	peer, err := dial(ctx, f, address, f.greets())
	if err != nil {
		return v, err
	}
	defer peer.Close()
	if err := writeFrame(peer, seconds(f.Lease), viewing, nil); err != nil {
		return v, err
	}
	peer.SetReadDeadline(time.Now().Add(seconds(f.Lease)))
	kind, body, err := readFrame(peer)
	if err != nil || kind != viewed {
		return v, errors.Join(errFrame, err)
	}
	return v, unpack(body, &v)
}

// sorted lists quantities by name.
func (f *Options) sorted(all map[string]state.Quantity) []state.Quantity {
	return slices.SortedFunc(maps.Values(all), func(x, y state.Quantity) int { return cmp.Compare(x.Name, y.Name) })
}
