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

// QuantityKind tells how what was spent comes back.
type QuantityKind int

const (
	Occupancy QuantityKind = iota // when a job ends
	Rate                          // with time, over a window
)

// Quantity is one divided thing. Its unit is its owner's matter.
type Quantity struct {
	Name         string       `msgpack:"Name"`
	Kind         QuantityKind `msgpack:"Form"`
	Total        float64      `msgpack:"Whole"`
	FloorReserve float64      `msgpack:"Aside"`  // of the whole, for the floors of controllers that are cut off
	Window       float64      `msgpack:"Window"` // seconds, of a paced one
}

// ControllerID is one life of a controller: its name and incarnation.
type ControllerID struct {
	Name        string `msgpack:"Name"`
	Incarnation uint64 `msgpack:"Inc"`
}

// Allocation is what a holder has of a quantity.
type Allocation struct {
	Amount    float64 `msgpack:"Amount"` // that it may spend, as it has been or will be told
	Committed float64 `msgpack:"Bound"`  // that it may still be spending; never under Amount
	Revision  uint64  `msgpack:"Number"` // of the last change of Amount: rises over the whole ledger, so also for a holder that was given up and came back
}

// Controller is a holder that lives, or is not surely gone.
type Controller struct {
	ControllerID
	Index       int  // unique among those kept, from 0
	Replaced    bool // a later incarnation has joined
	Allocations map[string]Allocation
}

// Op is what a command does.
type Op int

const (
	OpConfigure          Op = iota // all Quantities, as a whole, of a later Generation
	OpJoin                         // Holder
	OpExpire                       // Holder, surely gone
	OpAllocate                     // Amount of Quantity that Holder may spend
	OpSettle                       // Holder keeps to the holding of Number and uses Amount still
	OpSetVoterGeneration           // those of Generation are the quorum now

	OpAssignShard      // slice At of duty What, of fence Number, to Holder
	OpRecallShard      // the owner is asked to give the slice back
	OpReleaseShard     // the owner has, or its lease is surely over
	OpClaimRun         // Holder, owner of slice At of Duty under fence Number, takes the occurrence When of job What
	OpStartRun         // and sends it
	OpFinishRun        // how it ended: State, Text
	OpMarkRunUncertain // what an owner before has sent may have run
	OpSkipRun          // the occurrence is passed over
	OpResolveRun       // a person's word on one that may have run
	OpSetOverride      // an operator's order: kind Text, target What
	OpDeleteOverride   // one that took another back and has been taken up
	OpPublishList      // Data, by the owner of the slice
)

// Command is an entry of the log.
type Command struct {
	Op             Op           `msgpack:"Op"`
	Controller     ControllerID `msgpack:"Holder"`
	Subject        string       `msgpack:"What"` // the quantity of Move and Settle
	Amount         float64      `msgpack:"Amount"`
	Number         uint64       `msgpack:"Number"`
	MaxControllers int          `msgpack:"Most"` // of Join: controllers that the fleet may have
	Generation     uint64       `msgpack:"Generation"`
	Quantities     []Quantity   `msgpack:"Quantities"`
	Tasks          []Task       `msgpack:"Duties"`
	ScheduledJobs  []string     `msgpack:"Jobs"` // scheduled ones, by name

	Task          string   `msgpack:"Duty"` // of Take to Miss
	Shard         int      `msgpack:"At"`   // slice
	Time          int64    `msgpack:"When"`
	State         RunState `msgpack:"State"`
	NonIdempotent bool     `msgpack:"Once"`
	Rerun         bool     `msgpack:"Again"`
	Revoke        bool     `msgpack:"Ends"`
	Text          string   `msgpack:"Text"`
	Data          []byte   `msgpack:"Data"`
}

// Machine is the replicated state. The zero value is not ready; use New.
type Machine struct {
	Generation        uint64 // of the quantities
	Quantities        map[string]Quantity
	Controllers       map[ControllerID]*Controller
	LatestIncarnation map[string]uint64 // the highest incarnation of each name that is kept
	AppliedCommands   uint64            // commands
	VoterGeneration   uint64            // generation of the voters

	Shards        map[string][]Shard // by duty
	ScheduledJobs map[string]*ScheduledJob
	Overrides     map[string]Override
	Lists         map[string]PublishedList
}

// New gives an empty ledger.
func New() *Machine {
	return &Machine{Quantities: map[string]Quantity{}, Controllers: map[ControllerID]*Controller{}, LatestIncarnation: map[string]uint64{},
		Shards: map[string][]Shard{}, ScheduledJobs: map[string]*ScheduledJob{}, Overrides: map[string]Override{}, Lists: map[string]PublishedList{}}
}

// TotalCommitted is what all holders are bound to of a quantity.
func (l *Machine) TotalCommitted(name string) (sum float64) {
	for _, h := range l.SortedControllers() { // in one order, so that the sum is the same on every voter
		sum += h.Allocations[name].Committed
	}
	return sum
}

// Available is what may be given out of a quantity.
func (l *Machine) Available(name string) float64 {
	whole, aside := l.Total(name)
	return max(whole-aside-l.TotalCommitted(name), 0)
}

// SortedControllers lists the controllers by name and incarnation.
func (l *Machine) SortedControllers() []*Controller {
	return slices.SortedFunc(maps.Values(l.Controllers), func(x, y *Controller) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
}

// LiveControllers is the number of controllers that are not replaced.
func (l *Machine) LiveControllers() (n int) {
	for _, c := range l.Controllers {
		if !c.Replaced {
			n++
		}
	}
	return n
}

// IndexCount is one past the highest index that is kept. A newcomer that has one above all others raises it for those who
// ask after it; until they have, they part what goes by numbers among fewer, so it begins with nothing for a lease.
func (l *Machine) IndexCount() (n int) {
	for _, c := range l.Controllers {
		n = max(n, c.Index+1)
	}
	return n
}

// Apply carries out a command, or says why it changes nothing.
func (l *Machine) Apply(c Command) error {
	l.AppliedCommands++
	switch c.Op {
	case OpConfigure:
		if err := l.configure(c.Generation, c.Quantities, c.Tasks); err != nil {
			return err
		}
		l.dropUnnamedJobs(c.ScheduledJobs)
		return nil
	case OpJoin:
		return l.join(c.Controller, c.MaxControllers)
	case OpSetVoterGeneration:
		l.VoterGeneration = max(l.VoterGeneration, c.Generation)
		return nil
	case OpReleaseShard:
		return l.releaseShard(c)
	case OpFinishRun:
		return l.finishRun(c)
	case OpResolveRun:
		return l.resolveRun(c)
	case OpSetOverride:
		return l.setOverride(c)
	case OpDeleteOverride:
		return l.deleteOverride(c)
	}
	h := l.Controllers[c.Controller]
	if h == nil {
		return fmt.Errorf("%s of incarnation %d is not known", c.Controller.Name, c.Controller.Incarnation)
	}
	switch c.Op {
	case OpExpire:
		delete(l.Controllers, c.Controller)
		l.releaseAllShards(c.Controller)
		if l.LatestIncarnation[c.Controller.Name] == c.Controller.Incarnation {
			delete(l.LatestIncarnation, c.Controller.Name)
		}
		return nil
	case OpAllocate:
		return l.allocate(h, c.Subject, c.Amount)
	case OpSettle:
		return l.settle(h, c.Subject, c.Number, c.Amount)
	case OpAssignShard:
		return l.assignShard(c)
	case OpRecallShard:
		s := l.shard(c.Subject, c.Shard)
		if s == nil || s.Owner != c.Controller || s.Fence != c.Number {
			return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Subject, c.Controller.Name, c.Number)
		}
		s.Recalled = true
		return nil
	case OpClaimRun:
		return l.claimRun(c)
	case OpStartRun:
		return l.startRun(c)
	case OpMarkRunUncertain:
		return l.markRunUncertain(c)
	case OpSkipRun:
		return l.skipRun(c)
	case OpPublishList:
		return l.publishList(c)
	}
	return fmt.Errorf("no command %d", c.Op)
}

// configure swaps all that is divided. Holdings of what stays are kept; a whole made smaller shrinks as they settle.
func (l *Machine) configure(generation uint64, all []Quantity, duties []Task) error {
	if generation <= l.Generation {
		return fmt.Errorf("generation %d is not later than %d", generation, l.Generation)
	}
	next := map[string]Quantity{}
	for _, q := range all {
		if q.Name == "" || !(q.Total >= 0) || !(q.FloorReserve >= 0) || q.FloorReserve > q.Total || q.Kind == Rate && !(q.Window > 0) {
			return fmt.Errorf("quantity %q is not whole", q.Name)
		}
		if old, there := l.Quantities[q.Name]; there && old.Kind != q.Kind {
			return fmt.Errorf("quantity %q can't change its form", q.Name)
		}
		if _, twice := next[q.Name]; twice {
			return fmt.Errorf("quantity %q stands there twice", q.Name)
		}
		next[q.Name] = q
	}
	if err := l.configureTasks(duties); err != nil {
		return err
	}
	for name := range l.Quantities {
		if _, stays := next[name]; !stays {
			for _, c := range l.Controllers {
				delete(c.Allocations, name)
			}
		}
	}
	l.Generation, l.Quantities = generation, next
	return nil
}

// join takes in a new incarnation. It gets nothing of an older one's part: that one stays bound until it is surely gone.
func (l *Machine) join(h ControllerID, most int) error {
	if latest, there := l.LatestIncarnation[h.Name]; there && h.Incarnation <= latest {
		return fmt.Errorf("%s has incarnation %d already, %d is not later", h.Name, latest, h.Incarnation)
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
	l.Controllers[h] = &Controller{ControllerID: h, Index: index, Allocations: map[string]Allocation{}}
	l.LatestIncarnation[h.Name] = h.Incarnation
	return nil
}

// allocate changes what a holder may spend. Less is told to it, and binds until it has settled; more is given as far as
// there is some free.
func (l *Machine) allocate(c *Controller, name string, amount float64) error {
	q, there := l.Quantities[name]
	hold := c.Allocations[name]
	switch {
	case !there:
		return fmt.Errorf("no quantity %q", name)
	case !(amount >= 0):
		return fmt.Errorf("%q: no amount %g", name, amount)
	case c.Replaced && amount > hold.Amount:
		return fmt.Errorf("%s of incarnation %d is replaced", c.Name, c.Incarnation)
	case q.Kind == Rate && amount > hold.Amount && hold.Committed > hold.Amount: // what it gave up counts for a window more
		return fmt.Errorf("%q: %s has not settled", name, c.Name)
	}
	if amount > hold.Committed {
		amount = min(amount, hold.Committed+l.Available(name))
	}
	if amount == hold.Amount {
		return nil
	}
	c.Allocations[name] = Allocation{Amount: amount, Committed: max(hold.Committed, amount), Revision: l.AppliedCommands}
	return nil
}

// settle takes a holder's word that it keeps to its amount. What it still uses beyond stays bound: nothing is killed.
func (l *Machine) settle(c *Controller, name string, number uint64, use float64) error {
	hold, there := c.Allocations[name]
	switch {
	case !there || hold.Revision != number:
		return fmt.Errorf("%q: %s has number %d, not %d", name, c.Name, hold.Revision, number)
	case !(use >= 0):
		return fmt.Errorf("%q: no use %g", name, use)
	}
	hold.Committed = min(max(hold.Amount, use), hold.Committed)
	if c.Allocations[name] = hold; hold.Committed == 0 && hold.Amount == 0 && c.Replaced {
		delete(c.Allocations, name)
	}
	return nil
}

// CheckInvariants finds what breaks an invariant, "" where none is. was is the state before the last command, nil for none.
func (l *Machine) CheckInvariants(was *Machine) string {
	const hair = 1e-6 // sums of parts
	for name, q := range l.Quantities {
		bound := l.TotalCommitted(name)
		for _, c := range l.Controllers {
			if h := c.Allocations[name]; h.Amount > h.Committed+hair {
				return fmt.Sprintf("L2: %s may spend %g of %q, bound to %g", c.Name, h.Amount, name, h.Committed)
			}
		}
		fell := was != nil && bound <= was.TotalCommitted(name)+hair
		if whole := l.effectiveTotal(name); bound > whole-q.FloorReserve+hair*max(whole, 1) && !fell {
			return fmt.Sprintf("L1: %g of %q are bound, the whole is %g less %g", bound, name, whole, q.FloorReserve)
		}
	}
	if was == nil {
		return ""
	}
	if wrong := l.checkSharedWork(was); wrong != "" {
		return wrong
	}
	for holder, c := range l.Controllers {
		old := was.Controllers[holder]
		if old == nil {
			continue
		}
		for name, h := range c.Allocations {
			if h.Revision < old.Allocations[name].Revision {
				return fmt.Sprintf("L3: %q of %s went from number %d to %d", name, c.Name, old.Allocations[name].Revision, h.Revision)
			}
		}
	}
	for name, inc := range was.LatestIncarnation {
		if now, there := l.LatestIncarnation[name]; there && now < inc {
			return fmt.Sprintf("L4: %s went from incarnation %d to %d", name, inc, now)
		}
	}
	return ""
}

// Clone is a copy that shares nothing.
func (l *Machine) Clone() *Machine {
	n := &Machine{Quantities: maps.Clone(l.Quantities), Controllers: map[ControllerID]*Controller{}, LatestIncarnation: maps.Clone(l.LatestIncarnation), AppliedCommands: l.AppliedCommands,
		Generation: l.Generation, VoterGeneration: l.VoterGeneration, Shards: map[string][]Shard{}, ScheduledJobs: map[string]*ScheduledJob{}}
	l.cloneSharedWork(n)
	for h, c := range l.Controllers {
		copied := *c
		copied.Allocations = maps.Clone(c.Allocations)
		n.Controllers[h] = &copied
	}
	return n
}
