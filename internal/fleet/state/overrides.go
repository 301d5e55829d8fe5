package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Override is what an operator ordered of one target. A later one takes its place.
type Override struct {
	Number    uint64  `msgpack:"Number"` // rises over all orders
	Kind      string  `msgpack:"Kind"`
	Target    string  `msgpack:"Target"`
	Amount    float64 `msgpack:"Amount"`
	Revoked   bool    `msgpack:"Ends"`  // it takes an earlier one back, and is forgotten once all have taken it up
	ExpiresAt int64   `msgpack:"Until"` // the Unix second at which it is taken back by itself, 0 for never
}

// The kinds of order.
const (
	DrainEngine = "drain"  // an engine takes nothing new
	TeamBudget  = "budget" // a team's whole, in MB
)

// OverrideKey is what an order is about: one stands for each.
func OverrideKey(kind, target string) string { return kind + " " + target }

// setOverride takes an operator's order.
func (l *Machine) setOverride(c Command) error {
	key := OverrideKey(c.Text, c.Subject)
	old, there := l.Overrides[key]
	switch {
	case c.Text != DrainEngine && c.Text != TeamBudget || c.Subject == "" || len(c.Subject) > 256 || !(c.Amount >= 0):
		return fmt.Errorf("no order %q of %q", c.Text, c.Subject)
	case c.Revoke && (!there || old.Revoked):
		return fmt.Errorf("nothing of that kind is ordered of %s", c.Subject)
	case !there && len(l.Overrides) >= maxOverrides:
		return fmt.Errorf("there are %d orders, the most", maxOverrides)
	case c.Revoke && c.Number != 0 && c.Number != old.Number: // one whose time was up, but another has been given since
		return fmt.Errorf("order %d of %s holds no more", c.Number, c.Subject)
	}
	o := Override{Number: l.AppliedCommands, Kind: c.Text, Target: c.Subject, Amount: c.Amount, Revoked: c.Revoke}
	if !c.Revoke {
		o.ExpiresAt = max(c.Time, 0)
	}
	l.Overrides[key] = o
	return nil
}

// deleteOverride lets go of an order that took another back, once all have taken it up.
func (l *Machine) deleteOverride(c Command) error {
	key := OverrideKey(c.Text, c.Subject)
	if o, there := l.Overrides[key]; !there || o.Number != c.Number || !o.Revoked {
		return fmt.Errorf("order %d of %s is not to be forgotten", c.Number, c.Subject)
	}
	delete(l.Overrides, key)
	return nil
}

// SortedOverrides lists the orders by number.
func (l *Machine) SortedOverrides() []Override {
	return slices.SortedFunc(maps.Values(l.Overrides), func(x, y Override) int { return cmp.Compare(x.Number, y.Number) })
}
