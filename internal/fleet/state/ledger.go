// Package state is what a fleet of controllers agrees on: who lives, what is divided, and who holds how much of it. It
// is a pure function of a log of commands that all voters apply in the same order: no clock, no I/O, no chance. A
// command that would break an invariant changes nothing, whoever proposed it.
//
// Invariants, named by tests: L1, what the holders of a quantity are bound to never sums to more than its whole less
// what is set aside, unless the whole was made smaller than what was bound already, and then it only falls. L2, a
// holder may spend no more than it is bound to. L3, numbers of a holding only rise. L4, a name's incarnations only
// rise, and each is forgotten by one Expire alone.
package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Form tells how what was spent comes back.
type Form int

const (
	Held  Form = iota // when a job ends
	Paced             // with time, over a window
)

// Quantity is one divided thing. Its unit is its owner's matter.
type Quantity struct {
	Name   string  `msgpack:"Name"`
	Form   Form    `msgpack:"Form"`
	Whole  float64 `msgpack:"Whole"`
	Aside  float64 `msgpack:"Aside"`  // of the whole, for the floors of controllers that are cut off
	Window float64 `msgpack:"Window"` // seconds, of a paced one
}

// Holder is one life of a controller: its name and incarnation.
type Holder struct {
	Name string `msgpack:"Name"`
	Inc  uint64 `msgpack:"Inc"`
}

// Holding is what a holder has of a quantity.
type Holding struct {
	Amount float64 `msgpack:"Amount"` // that it may spend, as it has been or will be told
	Bound  float64 `msgpack:"Bound"`  // that it may still be spending; never under Amount
	Number uint64  `msgpack:"Number"` // of the last change of Amount: rises over the whole ledger, so also for a holder that was given up and came back
}

// Controller is a holder that lives, or is not surely gone.
type Controller struct {
	Holder
	Index    int  // unique among those kept, from 0
	Replaced bool // a later incarnation has joined
	Holds    map[string]Holding
}

// Op is what a command does.
type Op int

const (
	Set    Op = iota // all Quantities, as a whole, of a later Generation
	Join             // Holder
	Expire           // Holder, surely gone
	Move             // Amount of Quantity that Holder may spend
	Settle           // Holder keeps to the holding of Number and uses Amount still
	Voters           // those of Generation are the quorum now

	Assign      // slice At of duty What, of fence Number, to Holder
	Recall      // the owner is asked to give the slice back
	Release     // the owner has, or its lease is surely over
	Take        // Holder, owner of slice At of Duty under fence Number, takes the occurrence When of job What
	Send        // and sends it
	Over        // how it ended: State, Text
	Doubt       // what an owner before has sent may have run
	Miss        // the occurrence is passed over
	Clear       // a person's word on one that may have run
	Ordering    // an operator's order: kind Text, target What
	ForgetOrder // one that took another back and has been taken up
	Publish     // Data, by the owner of the slice
)

// Command is an entry of the log.
type Command struct {
	Op         Op         `msgpack:"Op"`
	Holder     Holder     `msgpack:"Holder"`
	What       string     `msgpack:"What"` // the quantity of Move and Settle
	Amount     float64    `msgpack:"Amount"`
	Number     uint64     `msgpack:"Number"`
	Most       int        `msgpack:"Most"` // of Join: controllers that the fleet may have
	Generation uint64     `msgpack:"Generation"`
	Quantities []Quantity `msgpack:"Quantities"`
	Duties     []Duty     `msgpack:"Duties"`
	Jobs       []string   `msgpack:"Jobs"` // scheduled ones, by name

	Duty  string   `msgpack:"Duty"` // of Take to Miss
	At    int      `msgpack:"At"`   // slice
	When  int64    `msgpack:"When"`
	State RunState `msgpack:"State"`
	Once  bool     `msgpack:"Once"`
	Again bool     `msgpack:"Again"`
	Ends  bool     `msgpack:"Ends"`
	Text  string   `msgpack:"Text"`
	Data  []byte   `msgpack:"Data"`
}

// Ledger is the replicated state. The zero value is not ready; use New.
type Ledger struct {
	Generation  uint64 // of the quantities
	Quantities  map[string]Quantity
	Controllers map[Holder]*Controller
	Latest      map[string]uint64 // the highest incarnation of each name that is kept
	Applied     uint64            // commands
	Voting      uint64            // generation of the voters

	Slices map[string][]Slice // by duty
	Jobs   map[string]*Job
	Orders map[string]Order
	Lists  map[string]Published
}

// New gives an empty ledger.
func New() *Ledger {
	return &Ledger{Quantities: map[string]Quantity{}, Controllers: map[Holder]*Controller{}, Latest: map[string]uint64{},
		Slices: map[string][]Slice{}, Jobs: map[string]*Job{}, Orders: map[string]Order{}, Lists: map[string]Published{}}
}

// Bound is what all holders are bound to of a quantity.
func (l *Ledger) Bound(name string) (sum float64) {
	for _, h := range l.Sorted() { // in one order, so that the sum is the same on every voter
		sum += h.Holds[name].Bound
	}
	return sum
}

// Free is what may be given out of a quantity.
func (l *Ledger) Free(name string) float64 {
	whole, aside := l.Whole(name)
	return max(whole-aside-l.Bound(name), 0)
}

// Sorted lists the controllers by name and incarnation.
func (l *Ledger) Sorted() []*Controller {
	return slices.SortedFunc(maps.Values(l.Controllers), func(x, y *Controller) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Inc, y.Inc))
	})
}

// Alive is the number of controllers that are not replaced.
func (l *Ledger) Alive() (n int) {
	for _, c := range l.Controllers {
		if !c.Replaced {
			n++
		}
	}
	return n
}

// Numbers is one past the highest index that is kept. A newcomer that has one above all others raises it for those who
// ask after it; until they have, they part what goes by numbers among fewer, so it begins with nothing for a lease.
func (l *Ledger) Numbers() (n int) {
	for _, c := range l.Controllers {
		n = max(n, c.Index+1)
	}
	return n
}

// Apply carries out a command, or says why it changes nothing.
func (l *Ledger) Apply(c Command) error {
	l.Applied++
	switch c.Op {
	case Set:
		if err := l.set(c.Generation, c.Quantities, c.Duties); err != nil {
			return err
		}
		l.forgetJobs(c.Jobs)
		return nil
	case Join:
		return l.join(c.Holder, c.Most)
	case Voters:
		l.Voting = max(l.Voting, c.Generation)
		return nil
	case Release:
		return l.release(c)
	case Over:
		return l.over(c)
	case Clear:
		return l.clear(c)
	case Ordering:
		return l.order(c)
	case ForgetOrder:
		return l.forgetOrder(c)
	}
	h := l.Controllers[c.Holder]
	if h == nil {
		return fmt.Errorf("%s of incarnation %d is not known", c.Holder.Name, c.Holder.Inc)
	}
	switch c.Op {
	case Expire:
		delete(l.Controllers, c.Holder)
		l.gone(c.Holder)
		if l.Latest[c.Holder.Name] == c.Holder.Inc {
			delete(l.Latest, c.Holder.Name)
		}
		return nil
	case Move:
		return l.move(h, c.What, c.Amount)
	case Settle:
		return l.settle(h, c.What, c.Number, c.Amount)
	case Assign:
		return l.assign(c)
	case Recall:
		s := l.slice(c.What, c.At)
		if s == nil || s.Owner != c.Holder || s.Fence != c.Number {
			return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.At, c.What, c.Holder.Name, c.Number)
		}
		s.Recall = true
		return nil
	case Take:
		return l.take(c)
	case Send:
		return l.send(c)
	case Doubt:
		return l.doubt(c)
	case Miss:
		return l.miss(c)
	case Publish:
		return l.publish(c)
	}
	return fmt.Errorf("no command %d", c.Op)
}

// set swaps all that is divided. Holdings of what stays are kept; a whole made smaller shrinks as they settle.
func (l *Ledger) set(generation uint64, all []Quantity, duties []Duty) error {
	if generation <= l.Generation {
		return fmt.Errorf("generation %d is not later than %d", generation, l.Generation)
	}
	next := map[string]Quantity{}
	for _, q := range all {
		if q.Name == "" || !(q.Whole >= 0) || !(q.Aside >= 0) || q.Aside > q.Whole || q.Form == Paced && !(q.Window > 0) {
			return fmt.Errorf("quantity %q is not whole", q.Name)
		}
		if old, there := l.Quantities[q.Name]; there && old.Form != q.Form {
			return fmt.Errorf("quantity %q can't change its form", q.Name)
		}
		if _, twice := next[q.Name]; twice {
			return fmt.Errorf("quantity %q stands there twice", q.Name)
		}
		next[q.Name] = q
	}
	if err := l.duties(duties); err != nil {
		return err
	}
	for name := range l.Quantities {
		if _, stays := next[name]; !stays {
			for _, c := range l.Controllers {
				delete(c.Holds, name)
			}
		}
	}
	l.Generation, l.Quantities = generation, next
	return nil
}

// join takes in a new incarnation. It gets nothing of an older one's part: that one stays bound until it is surely gone.
func (l *Ledger) join(h Holder, most int) error {
	if latest, there := l.Latest[h.Name]; there && h.Inc <= latest {
		return fmt.Errorf("%s has incarnation %d already, %d is not later", h.Name, latest, h.Inc)
	}
	if h.Name == "" {
		return fmt.Errorf("a controller without a name")
	}
	used := map[int]bool{}
	for _, c := range l.Controllers {
		used[c.Index] = true
	}
	if most > 0 && len(used) >= 2*most { // as many again may be on their way out
		return fmt.Errorf("%d controllers are kept, with %d at most", len(used), most)
	}
	index := 0
	for used[index] {
		index++
	}
	for _, c := range l.Controllers {
		if c.Name == h.Name {
			c.Replaced = true
		}
	}
	l.Controllers[h] = &Controller{Holder: h, Index: index, Holds: map[string]Holding{}}
	l.Latest[h.Name] = h.Inc
	return nil
}

// move changes what a holder may spend. Less is told to it, and binds until it has settled; more is given as far as
// there is some free.
func (l *Ledger) move(c *Controller, name string, amount float64) error {
	q, there := l.Quantities[name]
	hold := c.Holds[name]
	switch {
	case !there:
		return fmt.Errorf("no quantity %q", name)
	case !(amount >= 0):
		return fmt.Errorf("%q: no amount %g", name, amount)
	case c.Replaced && amount > hold.Amount:
		return fmt.Errorf("%s of incarnation %d is replaced", c.Name, c.Inc)
	case q.Form == Paced && amount > hold.Amount && hold.Bound > hold.Amount: // what it gave up counts for a window more
		return fmt.Errorf("%q: %s has not settled", name, c.Name)
	}
	if amount > hold.Bound {
		amount = min(amount, hold.Bound+l.Free(name))
	}
	if amount == hold.Amount {
		return nil
	}
	c.Holds[name] = Holding{Amount: amount, Bound: max(hold.Bound, amount), Number: l.Applied}
	return nil
}

// settle takes a holder's word that it keeps to its amount. What it still uses beyond stays bound: nothing is killed.
func (l *Ledger) settle(c *Controller, name string, number uint64, use float64) error {
	hold, there := c.Holds[name]
	switch {
	case !there || hold.Number != number:
		return fmt.Errorf("%q: %s has number %d, not %d", name, c.Name, hold.Number, number)
	case !(use >= 0):
		return fmt.Errorf("%q: no use %g", name, use)
	}
	hold.Bound = min(max(hold.Amount, use), hold.Bound)
	if c.Holds[name] = hold; hold.Bound == 0 && hold.Amount == 0 && c.Replaced {
		delete(c.Holds, name)
	}
	return nil
}

// Check finds what breaks an invariant, "" where none is. was is the state before the last command, nil for none.
func (l *Ledger) Check(was *Ledger) string {
	const hair = 1e-6 // sums of parts
	for name, q := range l.Quantities {
		bound := l.Bound(name)
		for _, c := range l.Controllers {
			if h := c.Holds[name]; h.Amount > h.Bound+hair {
				return fmt.Sprintf("L2: %s may spend %g of %q, bound to %g", c.Name, h.Amount, name, h.Bound)
			}
		}
		fell := was != nil && bound <= was.Bound(name)+hair
		if whole := l.whole(name); bound > whole-q.Aside+hair*max(whole, 1) && !fell {
			return fmt.Sprintf("L1: %g of %q are bound, the whole is %g less %g", bound, name, whole, q.Aside)
		}
	}
	if was == nil {
		return ""
	}
	if wrong := l.checkDuties(was); wrong != "" {
		return wrong
	}
	for holder, c := range l.Controllers {
		old := was.Controllers[holder]
		if old == nil {
			continue
		}
		for name, h := range c.Holds {
			if h.Number < old.Holds[name].Number {
				return fmt.Sprintf("L3: %q of %s went from number %d to %d", name, c.Name, old.Holds[name].Number, h.Number)
			}
		}
	}
	for name, inc := range was.Latest {
		if now, there := l.Latest[name]; there && now < inc {
			return fmt.Sprintf("L4: %s went from incarnation %d to %d", name, inc, now)
		}
	}
	return ""
}

// Clone is a copy that shares nothing.
func (l *Ledger) Clone() *Ledger {
	n := &Ledger{Quantities: maps.Clone(l.Quantities), Controllers: map[Holder]*Controller{}, Latest: maps.Clone(l.Latest), Applied: l.Applied,
		Generation: l.Generation, Voting: l.Voting, Slices: map[string][]Slice{}, Jobs: map[string]*Job{}}
	l.cloneDuties(n)
	for h, c := range l.Controllers {
		copied := *c
		copied.Holds = maps.Clone(c.Holds)
		n.Controllers[h] = &copied
	}
	return n
}
