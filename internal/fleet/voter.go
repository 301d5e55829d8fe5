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
	options *Options
	log     zerolog.Logger
	clock   func() float64
	core    *consensus.Core
	file    *store.Log
	steps   chan *raftpb.Message
	asks    chan asked
	views   chan chan View
	acts    chan doing
	meets   chan meeting
	life    uint64
	peers   map[uint64]*outlet
	waiting map[waits]func(consensus.Answer) // answers owed, by who asked
	acting  map[waits]func(consensus.Acted)  // the same of acts
	ended   time.Time                        // when orders were looked at last
	led     bool
	once    sync.Once
	leader  uint64
	snapped uint64
}

// asked is an ask with the way its answer goes.
type asked struct {
	ask    consensus.Ask
	answer func(consensus.Answer)
}

// doing is an act with the way its answer goes.
type doing struct {
	act    consensus.Act
	answer func(consensus.Acted)
}

// meeting is another voter that connects; its answer is why it is not talked to, "" where it is.
type meeting struct {
	voter  uint64
	start  store.Start
	answer chan string
}

type waits struct {
	name   string
	inc    uint64
	number uint64
}

// VotesPath is where a voter keeps its votes.
func (f *Options) VotesPath() string { return filepath.Join(f.Folder, f.Self+".votes") }

// Init makes the votes of this voter of a new fleet; with join, of one that takes another's place in a fleet that runs.
func Init(f *Options, join bool) error {
	if f.voter() == 0 {
		return fmt.Errorf("%s is none of the voters", f.Self)
	}
	first := consensus.First(f.quorum().Voters)
	if join {
		first = nil
	}
	return store.Create(f.VotesPath(), store.Identity{Fleet: f.Name, Voter: f.voter()}, first)
}

// newVoter opens the votes. An error tells why this controller can't vote; it may still hold parts.
func newVoter(options *Options, clock func() float64, log zerolog.Logger) (*voter, error) {
	v := &voter{options: options, log: log, clock: clock, steps: make(chan *raftpb.Message, 1024), asks: make(chan asked, 1024),
		views: make(chan chan View, 16), acts: make(chan doing, 1024), meets: make(chan meeting, 16), life: uint64(time.Now().UnixNano()),
		peers: map[uint64]*outlet{}, waiting: map[waits]func(consensus.Answer){}, acting: map[waits]func(consensus.Acted){}}
	file, kept, err := store.Open(options.VotesPath(), store.Identity{Fleet: options.Name, Voter: options.voter()})
	if err != nil {
		return nil, err
	}
	if file.TornBytes > 0 {
		log.Warn().Int64("bytes", file.TornBytes).Msg("votes cut at a torn end")
	}
	v.file = file
	set := options.quorum()
	set.Life = file.Boot()
	if v.core, err = consensus.New(set, kept); err != nil {
		file.Close()
		return nil, err
	}
	v.snapped = v.core.Snapped()
	return v, nil
}

// run votes until ctx ends or the disk or the core fail; then this controller votes no more.
func (v *voter) run(ctx context.Context) error {
	defer v.file.Close()
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range v.options.Voters {
		if id := peer.Number; id != v.options.voter() {
			o := &outlet{options: v.options, address: peer.Address, queue: make(chan *raftpb.Message, 256), greets: v.greets(), refused: v.refused}
			v.peers[id] = o
			group.Go(func() error { return o.run(ctx) })
		}
	}
	group.Go(func() error {
		beat := time.NewTicker(seconds(v.options.Beat))
		defer beat.Stop()
		for {
			var err error
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-beat.C:
				if err = v.core.Tick(v.clock()); err == nil && v.core.Leads() {
					err = v.endOrders()
				}
			case m := <-v.steps:
				if bad := v.core.Step(v.clock(), m); bad != nil && v.core.Failed() == nil {
					v.log.Warn().Err(bad).Msg("a voter's message is passed over")
				}
			case a := <-v.asks:
				key := waits{a.ask.Holder.Name, a.ask.Holder.Inc, a.ask.Number}
				if len(v.waiting) < 4*v.options.Most+1024 { // each asks anew within a lease
					v.waiting[key] = a.answer
				}
				err = v.core.Ask(v.clock(), a.ask)
			case to := <-v.views:
				to <- v.view()
			case m := <-v.meets:
				var why string
				why, err = v.meet(m)
				m.answer <- why
			case a := <-v.acts:
				key := waits{a.act.Holder.Name, a.act.Holder.Inc, a.act.Number}
				if len(v.acting) < 4096 {
					v.acting[key] = a.answer
				}
				err = v.core.Act(v.clock(), a.act)
			}
			for len(v.steps) > 0 && err == nil { // what has come meanwhile goes with the same write to disk
				v.core.Step(v.clock(), <-v.steps)
			}
			if err == nil {
				err = v.drain()
			}
			if err == nil {
				err = v.core.Failed()
			}
			if err != nil {
				return err
			}
		}
	})
	return group.Wait()
}

// drain keeps, sends and answers what the core puts out.
func (v *voter) drain() error {
	for v.core.HasOutput() {
		out := v.core.Output()
		if err := v.file.Save(out); err != nil {
			return fmt.Errorf("votes can't be kept: %w", err)
		}
		for _, m := range out.Messages {
			if o := v.peers[m.GetTo()]; o != nil {
				o.put(m)
			}
		}
		for _, a := range out.Answers {
			key := waits{a.To.Name, a.To.Inc, a.Number}
			if answer := v.waiting[key]; answer != nil {
				delete(v.waiting, key)
				answer(a)
			}
		}
		for _, a := range out.Acted {
			key := waits{a.To.Name, a.To.Inc, a.Number}
			if answer := v.acting[key]; answer != nil {
				delete(v.acting, key)
				answer(a)
			}
		}
		if err := v.core.Done(v.clock()); err != nil {
			return err
		}
	}
	if len(v.waiting) > 4*v.options.Most {
		clear(v.waiting) // asks that no quorum ever confirmed; their controllers have asked again
	}
	for _, why := range v.core.Refused() {
		v.log.Debug().Str("why", why).Msg("ledger refused a command")
	}
	if snapped := v.core.Snapped(); snapped != v.snapped && v.file.NeedsCompaction() {
		v.snapped = snapped
		kept, err := v.core.Whole()
		if err == nil {
			v.file.ForgetPeers(func(voter uint64) bool { return !v.core.Knows(voter) })
			err = v.file.Compact(kept)
		}
		if err != nil {
			return fmt.Errorf("votes can't be written anew: %w", err)
		}
	}
	if led := v.core.Leads(); led != v.led {
		v.led = led
		v.log.Info().Bool("leads", led).Uint64("term", v.core.Term()).Msg("fleet leadership")
	}
	return nil
}

// endOrders takes back the orders whose time is up, by this machine's clock. One whose end is lost is tried again.
func (v *voter) endOrders() error {
	now := time.Now()
	if now.Sub(v.ended) < time.Second && !now.Before(v.ended) {
		return nil
	}
	v.ended = now
	for _, o := range v.core.Ledger().Ordered() {
		if o.Until == 0 || o.Ends || now.Unix() < o.Until {
			continue
		}
		v.log.Info().Str("kind", o.Kind).Str("target", o.Target).Uint64("number", o.Number).Msg("order ends by itself")
		end := state.Command{Op: state.Ordering, Text: o.Kind, What: o.Target, Number: o.Number, Ends: true}
		if err := v.core.Act(v.clock(), consensus.Act{Number: o.Number, Command: end}); err != nil {
			return err
		}
	}
	return nil
}

func (v *voter) view() (view View) {
	l := v.core.Ledger()
	view = View{Voter: v.options.voter(), Leader: v.core.Leader(), Term: v.core.Term(), Leads: v.core.Leads(), Generation: l.Generation, Syncs: v.file.Syncs()}
	for _, c := range l.Sorted() {
		view.Controllers = append(view.Controllers, ViewController{c.Name, c.Inc, c.Index, c.Replaced, v.core.TookUp(c.Holder)})
	}
	view.Voters, view.Orders = v.core.Voters(), l.Ordered()
	for _, d := range l.Duties() {
		one := ViewDuty{Name: d.Name}
		for _, s := range l.Slices[d.Name] {
			one.Owners, one.Fences = append(one.Owners, s.Owner.Name), append(one.Fences, s.Fence)
		}
		view.Duties = append(view.Duties, one)
	}
	for _, name := range slices.Sorted(maps.Keys(l.Jobs)) {
		view.Jobs = append(view.Jobs, ViewJob{name, l.Jobs[name].Last, l.Jobs[name].Runs})
	}
	for _, q := range v.options.sorted(l.Quantities) {
		one := ViewQuantity{Name: q.Name}
		one.Whole, one.Aside = l.Whole(q.Name)
		for _, c := range l.Sorted() {
			if h, holds := c.Holds[q.Name]; holds {
				d := v.core.Told(c.Holder, q.Name)
				one.Parts = append(one.Parts, ViewPart{Controller: c.Name, Inc: c.Inc, Amount: h.Amount, Bound: h.Bound, Used: d.Used, Wanted: d.Wanted})
			}
		}
		view.Quantities = append(view.Quantities, one)
	}
	return view
}

// outlet carries one voter's messages to another. It drops what the other does not take in time: raft sends again.
type outlet struct {
	options *Options
	address string
	queue   chan *raftpb.Message
	greets  hello
	refused func(why string)
}

func (o *outlet) put(m *raftpb.Message) {
	select {
	case o.queue <- m:
	default: // a peer that is slow delays no other
	}
}

func (o *outlet) run(ctx context.Context) error {
	for {
		if err := o.carry(ctx); ctx.Err() != nil {
			return ctx.Err()
		} else if err != nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(seconds(2 * o.options.Beat)):
			}
		}
		for len(o.queue) > 0 { // old by now
			<-o.queue
		}
	}
}

// carry is the life of one connection.
func (o *outlet) carry(ctx context.Context) error {
	peer, err := dial(ctx, o.options, o.address, o.greets)
	if err != nil {
		if errors.Is(err, errOlder) {
			o.refused(err.Error())
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
			if err := writeFrame(peer, seconds(o.options.Lease/2), votes, body); err != nil {
				return err
			}
		}
	}
}

// greets is how this voter opens its connections to the others.
func (v *voter) greets() hello {
	return hello{Format: wireFormat, Fleet: v.options.Name, Name: v.options.Self, Voter: v.options.voter(), Boot: v.file.Boot(), Life: v.life}
}

// refused is told once that the other voters know of a later start of this one: its disk is an older copy.
func (v *voter) refused(why string) {
	v.once.Do(func() {
		v.log.Error().Str("why", why).Msg("this voter's disk is an older copy: the others hear nothing from it, and it is to be replaced")
	})
}

// errOlder is what a voter is told whose disk is an older copy.
var errOlder = errors.New("a later start of this voter was met")

// meet decides whether another voter is talked to, and remembers the latest start of each.
func (v *voter) meet(m meeting) (why string, err error) {
	seen, met := v.file.PeerStarts()[m.voter]
	switch {
	case !v.core.Knows(m.voter):
		return fmt.Sprintf("%d is the number of no voter here", m.voter), nil
	case met && m.start.OlderThan(seen):
		v.log.Error().Uint64("voter", m.voter).Uint64("start", m.start.Boot).Uint64("met", seen.Boot).Msg("a voter comes with an older copy of its disk, and is not heard")
		return errOlder.Error(), nil
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
	if err := greet(peer, f, own); err != nil {
		peer.Close()
		return nil, err
	}
	return peer, nil
}

// greet says who this is and hears who the other is.
func greet(peer net.Conn, f *Options, own hello) error {
	within := seconds(f.Lease / 2)
	if err := writeFrame(peer, within, greeting, pack(own)); err != nil {
		return err
	}
	peer.SetReadDeadline(time.Now().Add(within))
	defer peer.SetReadDeadline(time.Time{})
	kind, body, err := readFrame(peer)
	if err != nil {
		return err
	}
	var other hello
	if kind != greeting {
		return errFrame
	}
	if err := unpack(body, &other); err != nil {
		return err
	}
	return own.suits(other)
}

// suits tells why the other is not talked to, nil where it is.
func (h hello) suits(other hello) error {
	switch {
	case other.Refused == errOlder.Error():
		return fmt.Errorf("%s: %w", other.Name, errOlder)
	case other.Refused != "":
		return fmt.Errorf("refused by %s: %s", other.Name, other.Refused)
	case other.Format != h.Format:
		return fmt.Errorf("%s speaks format %d, this program %d", other.Name, other.Format, h.Format)
	case other.Fleet != h.Fleet:
		return fmt.Errorf("%s is of fleet %q, this is %q", other.Name, other.Fleet, h.Fleet)
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
