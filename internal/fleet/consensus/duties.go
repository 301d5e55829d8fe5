package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// The leader's side of duties: slices are given to those that live, asked back where another should have them, and taken
// from those whose lease is surely over. What owners and operators do goes through the log and is answered once it has
// been carried out there.

// Slice is one of a duty, as its owner is told of it.
type Slice struct {
	Duty   string `msgpack:"Duty"`
	At     int    `msgpack:"At"`
	Fence  uint64 `msgpack:"Fence"`
	Recall bool   `msgpack:"Recall"`
}

// JobView is what the owner of a scheduled job's slice is told of the job.
type JobView struct {
	Name string      `msgpack:"Name"`
	Last int64       `msgpack:"Last"`
	Open []state.Run `msgpack:"Open"` // not over
}

// List is a published list, for those who have not its version.
type List struct {
	Name    string `msgpack:"Name"`
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// Act is something that an owner of slices, or an operator (Holder is none then), has to have in the ledger.
type Act struct {
	Holder  state.Holder  `msgpack:"Holder"`
	Number  uint64        `msgpack:"Number"` // the asker's own
	Command state.Command `msgpack:"Command"`
}

// Acted is the answer to an act, once it has been carried out or refused. One that is lost on the way may be asked again:
// every command may be given twice.
type Acted struct {
	To     state.Holder `msgpack:"To"`
	Number uint64       `msgpack:"Number"`
	Word   Word         `msgpack:"Word"`   // Granted, Elsewhere or Again
	Leader uint64       `msgpack:"Leader"` // of Elsewhere
	Why    string       `msgpack:"Why"`    // it was refused, "" where it was not
}

type dutyState struct {
	refs    uint64
	waiting map[uint64]Act // acts in the log, by their refs
	acts    []uint64       // of those, not proposed yet
	acted   []Acted
	told    map[state.Holder]toldDuties
	strip   map[state.Holder][]Slice // that are being taken from it: its lease may not be renewed meanwhile
	first   map[string]float64       // when this leader first saw a duty
	read    map[state.Holder][]uint32
	readers map[uint32]int // controllers that have read an engine of late; none that is 0 is kept
	looked  float64
}

// toldDuties is what a controller told last.
type toldDuties struct {
	room   float64
	orders uint64
}

func (d *dutyState) init(life uint64) {
	d.refs = life << 32 // an entry of an earlier life of this voter names none that waits now
	d.waiting, d.told, d.strip, d.first = map[uint64]Act{}, map[state.Holder]toldDuties{}, map[state.Holder][]Slice{}, map[string]float64{}
	d.read, d.readers = map[state.Holder][]uint32{}, map[uint32]int{}
}

// Engines that a controller may name as read, and how many have to for one that owners need to probe seldom.
const (
	mostRead = 256
	several  = 3
)

// reads takes what a controller has read of late, in place of what it had before.
func (d *dutyState) reads(h state.Holder, engines []uint32) {
	for _, e := range d.read[h] {
		if d.readers[e]--; d.readers[e] <= 0 {
			delete(d.readers, e)
		}
	}
	if len(engines) == 0 {
		delete(d.read, h)
		return
	}
	engines = engines[:min(len(engines), mostRead)]
	d.read[h] = engines
	for _, e := range engines {
		d.readers[e]++
	}
}

// begin is for a leader that has just begun, or has stood still: it knows nothing of those who ask. What leaders before
// it gave of a duty that is there was asked for before a time.
func (d *dutyState) begin(now, before float64, there map[string][]state.Slice) {
	clear(d.told)
	clear(d.strip)
	clear(d.first)
	clear(d.read)
	clear(d.readers)
	for duty := range there {
		d.first[duty] = before
	}
	d.looked = now
}

// forget lets go of a controller that the ledger does not know any more.
func (d *dutyState) forget(h state.Holder) {
	delete(d.told, h)
	delete(d.strip, h)
	d.reads(h, nil)
}

// acts that may wait at once; more are told to ask again.
const mostActs = 4096

// Act takes an act. Its answer comes with an output.
func (c *Core) Act(now float64, a Act) (err error) {
	if c.failed != nil {
		return c.failed
	}
	defer c.guard(&err)
	c.lead(now)
	refuse := func(with Acted) {
		with.To, with.Number = a.Holder, a.Number
		c.duty.acted = append(c.duty.acted, with)
	}
	switch op, own := a.Command.Op, a.Command.Holder == a.Holder; {
	case !c.leads:
		refuse(Acted{Word: Elsewhere, Leader: c.Leader()})
		return nil
	case len(c.duty.waiting) >= mostActs:
		refuse(Acted{Word: Again})
		return nil
	case a.Holder.Name == "" && (op == state.Clear || op == state.Ordering):
	case a.Holder.Name != "" && own && (op >= state.Take && op <= state.Miss || op == state.Publish):
	default:
		refuse(Acted{Why: "that is not for this controller to do"})
		return nil
	}
	c.duty.refs++
	c.duty.waiting[c.duty.refs] = a
	c.duty.acts = append(c.duty.acts, c.duty.refs)
	c.propose(now)
	return nil
}

// actsAhead puts the acts that wait before a batch of commands.
func (c *Core) actsAhead(batch []state.Command) (commands []state.Command, refs []uint64) {
	for _, ref := range c.duty.acts {
		commands, refs = append(commands, c.duty.waiting[ref].Command), append(refs, ref)
	}
	return append(commands, batch...), refs
}

// carriedOut answers an act.
func (c *Core) carriedOut(ref uint64, err error) {
	a, waits := c.duty.waiting[ref]
	if !waits {
		return
	}
	delete(c.duty.waiting, ref)
	acted := Acted{To: a.Holder, Number: a.Number}
	if err != nil {
		acted.Why = err.Error()
	}
	c.duty.acted = append(c.duty.acted, acted)
}

// forgetActs tells those who wait to ask whoever leads now; what they asked for may come about all the same.
func (c *Core) forgetActs() {
	for _, ref := range slices.Sorted(maps.Keys(c.duty.waiting)) {
		a := c.duty.waiting[ref]
		c.duty.acted = append(c.duty.acted, Acted{To: a.Holder, Number: a.Number, Word: Elsewhere, Leader: c.Leader()})
	}
	clear(c.duty.waiting)
	c.duty.acts = nil
}

// duties takes what an ask says of duties.
func (c *Core) duties(a Ask) {
	c.duty.told[a.Holder] = toldDuties{a.Room, a.Orders}
	c.duty.reads(a.Holder, a.Read)
	for _, s := range a.Back {
		if held := c.ledger.Slices[s.Duty]; s.At >= 0 && s.At < len(held) && held[s.At].Owner == a.Holder && held[s.At].Fence == s.Fence {
			c.do(state.Command{Op: state.Release, Holder: a.Holder, What: s.Duty, At: s.At, Number: s.Fence})
		}
	}
}

// stripped tells whether slices are being taken from a holder. Until that is done it is answered nothing: an answer that
// crossed the command would renew the lease of a slice that is another's a moment later.
func (c *Core) stripped(h state.Holder) bool {
	still := slices.DeleteFunc(c.duty.strip[h], func(s Slice) bool {
		all := c.ledger.Slices[s.Duty]
		return s.At >= len(all) || all[s.At].Owner != h || all[s.At].Fence != s.Fence
	})
	if c.duty.strip[h] = still; len(still) == 0 {
		delete(c.duty.strip, h)
	}
	return len(still) > 0
}

// assign decides what slices move. A leader that has just begun waits half a lease, by when all that live have asked, and
// until leases given before it are over. A duty that is new gets owners after a lease: one of its name that was there
// before may have owners still that have not heard.
func (c *Core) assign(now float64) {
	if now < c.duty.looked+c.set.Divide || len(c.ledger.Slices)+len(c.ledger.Orders) == 0 {
		return
	}
	c.duty.looked = now
	var seats []assignment.Seat
	var who []state.Holder
	all := true // have taken up every order
	latest := uint64(0)
	for _, o := range c.ledger.Orders {
		latest = max(latest, o.Number)
	}
	for _, h := range c.ledger.Sorted() {
		at, heard := c.seen[h.Holder]
		lives := !h.Replaced && !c.ending[h.Holder] && heard && now <= at+c.set.Rules.Lease
		told, said := c.duty.told[h.Holder]
		if !h.Replaced && told.orders < latest {
			all = false
		}
		if lives && said {
			seats, who = append(seats, assignment.Seat{Name: h.Name, Weight: assignment.Room(told.room)}), append(who, h.Holder)
		}
	}
	if now < max(c.since+c.set.Rules.Lease/2, c.before+c.set.Rules.Over()) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(c.ledger.Orders)) {
		if o := c.ledger.Orders[key]; o.Ends && all {
			c.do(state.Command{Op: state.ForgetOrder, Text: o.Kind, What: o.Target, Number: o.Number})
		}
	}
	for duty := range c.duty.first {
		if c.ledger.Slices[duty] == nil {
			delete(c.duty.first, duty)
		}
	}
	for _, duty := range slices.Sorted(maps.Keys(c.ledger.Slices)) {
		if _, known := c.duty.first[duty]; !known {
			c.duty.first[duty] = now
		}
		c.move(now, duty, seats, who)
	}
}

// move decides on the slices of one duty.
func (c *Core) move(now float64, duty string, seats []assignment.Seat, who []state.Holder) {
	kept := c.ledger.Slices[duty]
	held := make([]assignment.Held, len(kept))
	for i, s := range kept {
		held[i] = assignment.Held{Owner: slices.Index(who, s.Owner), Free: s.Owner.Name == "", Recalled: s.Recall}
		if at, heard := c.seen[s.Owner]; s.Owner.Name != "" && heard && now > at+c.set.Rules.Over() {
			if taken := (Slice{Duty: duty, At: i, Fence: s.Fence}); !slices.Contains(c.duty.strip[s.Owner], taken) {
				c.duty.strip[s.Owner] = append(c.duty.strip[s.Owner], taken)
			}
			c.do(state.Command{Op: state.Release, Holder: s.Owner, What: duty, At: i, Number: s.Fence})
		}
	}
	if now < c.duty.first[duty]+c.set.Rules.Over() {
		return
	}
	for _, m := range assignment.Moves(duty, held, seats, max(len(kept)/8, 1)) {
		if m.Recall {
			c.do(state.Command{Op: state.Recall, Holder: kept[m.Slice].Owner, What: duty, At: m.Slice, Number: kept[m.Slice].Fence})
		} else {
			c.do(state.Command{Op: state.Assign, Holder: who[m.To], What: duty, At: m.Slice, Number: kept[m.Slice].Fence})
		}
	}
}

// tellDuties adds to an answer what its asker owns and what is new to it.
func (c *Core) tellDuties(a Ask, answer *Answer) {
	mine, probes := map[int]bool{}, false
	for _, duty := range slices.Sorted(maps.Keys(c.ledger.Slices)) {
		for i, s := range c.ledger.Slices[duty] {
			if s.Owner == a.Holder {
				answer.Slices = append(answer.Slices, Slice{duty, i, s.Fence, s.Recall})
				mine[i] = mine[i] || duty == assignment.Jobs
				probes = probes || duty == assignment.Probing
			}
		}
	}
	if probes {
		for _, e := range slices.Sorted(maps.Keys(c.duty.readers)) {
			if c.duty.readers[e] >= several {
				answer.Known = append(answer.Known, e)
			}
		}
	}
	if n := len(c.ledger.Slices[assignment.Jobs]); n > 0 {
		for _, name := range slices.Sorted(maps.Keys(c.ledger.Jobs)) {
			if !mine[assignment.Slice(name, n)] {
				continue
			}
			j := c.ledger.Jobs[name]
			view := JobView{Name: name, Last: j.Last}
			for _, r := range j.Runs {
				if !r.State.Over() {
					view.Open = append(view.Open, r)
				}
			}
			answer.Jobs = append(answer.Jobs, view)
		}
	}
	for _, o := range c.ledger.Ordered() {
		if o.Number > a.Orders {
			answer.Orders = append(answer.Orders, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.ledger.Lists)) {
		if p := c.ledger.Lists[name]; p.Version > a.Lists[name] {
			answer.Lists = append(answer.Lists, List{name, p.Fence, p.Version, p.Data})
		}
	}
}

// Knows tells whether a voter is one of the quorum, or by the settings shall be.
func (c *Core) Knows(voter uint64) bool { return c.votes(voter) }

// TookUp tells the latest order that each controller has taken up, where this voter leads.
func (c *Core) TookUp(h state.Holder) uint64 { return c.duty.told[h].orders }
