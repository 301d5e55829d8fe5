package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/state"
)

// rebalance decides how much of each quantity every controller should have. A leader that has just begun waits for a
// lease, by when every live controller has been heard; and no decision is made while a batch is in flight.
func (c *Core) rebalance(now float64) {
	tooSoon := now < c.rebalancedAt+c.config.RebalanceInterval || now < c.leadingSince+c.config.Timing.TTL
	if tooSoon || c.inFlightBatch != 0 {
		return
	}
	c.rebalancedAt = now
	for _, name := range slices.Sorted(maps.Keys(c.machine.Quantities)) {
		c.rebalanceQuantity(now, name)
	}
}

// rebalanceQuantity proposes new amounts of one quantity: first those that shrink, then those that grow, which get only
// what is free by then. A controller that was not heard for a lease wants nothing.
func (c *Core) rebalanceQuantity(now float64, name string) {
	var live []*state.Controller
	var claims []allocation.Claim
	for _, controller := range c.machine.SortedControllers() {
		id := controller.ControllerID
		held := controller.Allocations[name]
		if controller.Replaced || now > c.lastRequestAt[id]+c.config.Timing.TTL {
			if held.Amount > 0 {
				c.enqueue(state.Allocate{Controller: id, Quantity: name}.Command())
			}
			continue
		}
		demand := c.demands[id][name]
		live = append(live, controller)
		claims = append(claims, allocation.Claim{Weight: demand.Weight, Demand: demand.recentPeak, Guaranteed: demand.Guaranteed, Current: held.Amount})
	}
	total, floorReserve := c.machine.Total(name)
	targets := allocation.WeightedMaxMin(total-floorReserve, claims, c.config.Allocation)
	for _, grow := range []bool{false, true} {
		for i, controller := range live {
			held := controller.Allocations[name].Amount
			if grow && targets[i] > held || !grow && targets[i] < held {
				c.enqueue(state.Allocate{Controller: controller.ControllerID, Quantity: name, Amount: targets[i]}.Command())
			}
		}
	}
}

// Demand is what a controller reported last of a quantity. It is empty where this voter does not lead.
func (c *Core) Demand(id state.ControllerID, quantity string) Demand { return c.demands[id][quantity] }
