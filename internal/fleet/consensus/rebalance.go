package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/state"
)

// rebalance decides who should have what: first what is to be given up, and more only of what is free. Holders unheard of
// for a lease want nothing; a leader that has just begun waits until all may have been heard.
func (c *Core) rebalance(now float64) {
	if now < c.rebalancedAt+c.config.RebalanceInterval || now < c.leadingSince+c.config.Timing.TTL || c.inFlightBatch != 0 {
		return
	}
	c.rebalancedAt = now
	for _, name := range slices.Sorted(maps.Keys(c.machine.Quantities)) {
		whole, aside := c.machine.Total(name)
		var who []*state.Controller
		var holders []allocation.Claim
		for _, h := range c.machine.SortedControllers() {
			hold := h.Allocations[name]
			if h.Replaced || now > c.lastRequestAt[h.ControllerID]+c.config.Timing.TTL {
				if hold.Amount > 0 {
					c.enqueue(state.Command{Op: state.OpAllocate, Controller: h.ControllerID, Subject: name})
				}
				continue
			}
			d := c.demands[h.ControllerID][name]
			who = append(who, h)
			holders = append(holders, allocation.Claim{Weight: d.Weight, Demand: d.recentPeak, Guaranteed: d.Guaranteed, Current: hold.Amount})
		}
		targets := allocation.WeightedMaxMin(whole-aside, holders, c.config.Allocation)
		for _, grow := range []bool{false, true} {
			for i, h := range who {
				if has := h.Allocations[name].Amount; grow && targets[i] > has || !grow && targets[i] < has {
					c.enqueue(state.Command{Op: state.OpAllocate, Controller: h.ControllerID, Subject: name, Amount: targets[i]})
				}
			}
		}
	}
}

// Demand is what a holder told last of a quantity, where this voter leads.
func (c *Core) Demand(h state.ControllerID, quantity string) Demand { return c.demands[h][quantity] }
