package state

import (
	"fmt"
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

// Allocation is what a holder has of a quantity.
type Allocation struct {
	Amount    float64 `msgpack:"Amount"` // that it may spend, as it has been or will be told
	Committed float64 `msgpack:"Bound"`  // that it may still be spending; never under Amount
	Revision  uint64  `msgpack:"Number"` // of the last change of Amount: rises over the whole ledger, so also for a holder that was given up and came back
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

// Total is what of a quantity is divided, orders counted, and what of that is set aside.
func (l *Machine) Total(name string) (whole, aside float64) {
	q := l.Quantities[name]
	return l.effectiveTotal(name), q.FloorReserve
}

// effectiveTotal is what of a quantity is divided: as ordered, else as the settings have it.
func (l *Machine) effectiveTotal(name string) float64 {
	if o, there := l.Overrides[OverrideKey(TeamBudget, name)]; there && !o.Revoked {
		return o.Amount
	}
	return l.Quantities[name].Total
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
