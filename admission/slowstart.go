package admission

import "math"

const (
	rotationThreshold = 4    // gateways up to which each has a part of a slow start budget that serves
	slotsPerWindow    = 1.25 // windows that a slot of the clock takes, for messages on their way and clocks apart
	noSlowStartRank   = 1 << 10
)

// pace is the share of its full pace that an engine has, taken to grow evenly over the slow start window.
func (c *Controller) pace(e *engine) float64 {
	if e.startedAt == 0 || c.now >= e.startedAt+c.settings.SlowStartWindow {
		return 1
	}
	initial := c.settings.SlowStartInitialFactor
	return initial + (1-initial)*max(c.now-e.startedAt, 0)/c.settings.SlowStartWindow
}

// withinSlowStartBudget tells whether the request fits this gateway's part of the work that all gateways together may send
// to an engine within a window while it warms up. Half of the budget is kept back for wrong estimates. A hash orders the
// gateways for each engine: the first has half of the rest, the second a quarter and so on, which is never more than all for
// any number of gateways.
//
// Of many gateways most would have a part too small for any request, and the first more than it needs: for them the order is
// drawn anew in each slot of the clock. A window meets two slots, so each has half.
func (c *Controller) withinSlowStartBudget(r *request, e *engine) bool {
	if c.pace(e) == 1 {
		return true
	}
	if c.slowStartIsBlocked() {
		return false
	}
	if !c.rotatesSlowStartBudget() {
		return e.recentWork.sum(c.now, windowBuckets+1)+r.work <= partOfBudget(c.slowStartBudget(e)/2, e.slowStartRank)
	}
	c.enterSlowStartSlot(e)
	return e.slowStartSlotWork+r.work <= partOfBudget(c.slowStartBudget(e)/4, e.slowStartRank)
}

// slowStartIsBlocked tells whether nothing goes to engines that warm up, since what an earlier process of this gateway sent
// in the window is not known. One of many gateways has a small part in any case.
func (c *Controller) slowStartIsBlocked() bool {
	return c.now < c.slowStartBlockedUntil ||
		!c.rotatesSlowStartBudget() && c.now < c.firstListAt+c.settings.SlowStartBudgetWindow
}

// slowStartBudget is the work that the engine bears in a window while it warms up, in CPU seconds.
func (c *Controller) slowStartBudget(e *engine) float64 {
	return c.settings.SlowStartBudgetMultiple * c.settings.SlowStartInitialFactor * c.machineOf(e).Cores * c.settings.SlowStartBudgetWindow
}

// partOfBudget is the part of the gateway at a place in the order, from 0: half, a quarter and so on.
func partOfBudget(budget float64, rank int) float64 { return math.Ldexp(budget, -1-rank) }

// enterSlowStartSlot draws the order of the gateways anew where a slot of the clock has begun.
func (c *Controller) enterSlowStartSlot(e *engine) {
	slot := uint64(c.now / (slotsPerWindow * c.settings.SlowStartBudgetWindow))
	if e.slowStartSlot == slot {
		return
	}
	e.slowStartSlot, e.slowStartSlotWork = slot, 0
	e.slowStartRank = e.slowStartRankOf(c.settings.GatewayIndex, c.settings.GatewayCount, slot)
}

// rotatesSlowStartBudget tells whether slow start budgets are divided anew in each slot of the clock.
func (c *Controller) rotatesSlowStartBudget() bool {
	return c.settings.GatewayCount > rotationThreshold && c.settings.SlowStartBudgetWindow > 0
}

// slowStartRankOf is the place of a gateway, from 0, in the hash's order of all gateways for this engine in a slot.
func (e *engine) slowStartRankOf(index, gateways int, slot uint64) int {
	if index < 0 { // a gateway without an index has no part of any size
		return noSlowStartRank
	}
	hash := func(gateway int) uint64 { return mix(e.affinityHash(uint32(gateway)) ^ slot) }
	own, rank := hash(index), 0
	for gateway := range gateways {
		if gateway != index && hash(gateway) < own {
			rank++
		}
	}
	return rank
}
