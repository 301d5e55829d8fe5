package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/state"
)

// rebalance decides how much of each quantity every controller should have. A new leader first waits for the duration of a
// lease, in which every live controller sends a request. No decision is made while a batch is in flight.
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

// rebalanceQuantity proposes new amounts of one quantity. Decreases come before increases, which are limited to what is
// available when they are applied. The target of a controller that has been replaced, or has sent no request for a lease, is
// zero.
func (c *Core) rebalanceQuantity(now float64, name string) {
	var live []*state.Controller
	var claims []allocation.Claim
	for _, controller := range c.machine.SortedControllers() {
		id := controller.ControllerID
		current := controller.Allocations[name]
		if controller.Replaced || now > c.lastRequestAt[id]+c.config.Timing.TTL {
			if current.Amount > 0 {
				c.enqueue(state.Allocate{Controller: id, Quantity: name}.Command())
			}
			continue
		}
		demand := c.demands[id][name]
		live = append(live, controller)
		claims = append(claims, allocation.Claim{Weight: demand.Weight, Demand: demand.recentPeak, Guaranteed: demand.Guaranteed, Current: current.Amount})
	}
	total, floorReserve := c.machine.Total(name)
	targets := allocation.WeightedMaxMin(total-floorReserve, claims, c.config.Allocation)
	for _, grow := range []bool{false, true} {
		for i, controller := range live {
			current := controller.Allocations[name].Amount
			if grow && targets[i] > current || !grow && targets[i] < current {
				c.enqueue(state.Allocate{Controller: controller.ControllerID, Quantity: name, Amount: targets[i]}.Command())
			}
		}
	}
}

// Demand returns a controller's latest report about a quantity. It is empty if this voter does not lead.
func (c *Core) Demand(id state.ControllerID, quantity string) Demand { return c.demands[id][quantity] }
