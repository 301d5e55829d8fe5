package admission

import "math"

const (
	rotationThreshold = 4       // number of gateways up to which each one's part of a slow start budget is large enough to use
	windowsPerSlot    = 1.25    // budget windows per time slot; the excess covers messages in transit and clock skew
	noSlowStartRank   = 1 << 10 // rank of a gateway without an index, whose part of any budget is too small for a request
)

// warmUpFactor returns the fraction of its full speed at which the engine is assumed to work. It grows linearly over the slow
// start window.
func (c *Controller) warmUpFactor(e *engine) float64 {
	if e.startedAt == 0 || c.now >= e.startedAt+c.settings.SlowStartWindow {
		return 1
	}
	initial := c.settings.SlowStartInitialFactor
	return initial + (1-initial)*max(c.now-e.startedAt, 0)/c.settings.SlowStartWindow
}

// withinSlowStartBudget reports whether the request fits this gateway's part of the work that all gateways together may send to
// an engine within a budget window while it warms up. Half of the budget is reserved for wrong estimates. A hash orders the
// gateways for each engine: the first gets half of the rest, the second a quarter and so on, so that for any number of gateways
// the parts never exceed the whole.
//
// With many gateways, most parts would be too small for any request, and the first larger than needed. The order is then drawn
// anew in each time slot. A window can overlap two slots, so each slot gets half.
func (c *Controller) withinSlowStartBudget(r *request, e *engine) bool {
	if c.warmUpFactor(e) == 1 {
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

// slowStartIsBlocked reports whether nothing may be sent to engines that are warming up, since it is not known what an earlier
// process of this gateway sent within the window. One of many gateways does not wait after its first endpoint list, since its
// part is small in any case.
func (c *Controller) slowStartIsBlocked() bool {
	return c.now < c.slowStartBlockedUntil ||
		!c.rotatesSlowStartBudget() && c.now < c.firstListAt+c.settings.SlowStartBudgetWindow
}

// slowStartBudget returns the work, in CPU seconds, that the engine can take within a budget window while it warms up.
func (c *Controller) slowStartBudget(e *engine) float64 {
	return c.settings.SlowStartBudgetMultiple * c.settings.SlowStartInitialFactor *
		c.machineOf(e).Cores * c.settings.SlowStartBudgetWindow
}

// partOfBudget returns the part of the gateway with the given rank: half for rank 0, a quarter for rank 1 and so on.
func partOfBudget(budget float64, rank int) float64 { return math.Ldexp(budget, -1-rank) }

// enterSlowStartSlot draws the order of the gateways anew if a new time slot has begun.
func (c *Controller) enterSlowStartSlot(e *engine) {
	slot := uint64(c.now / (windowsPerSlot * c.settings.SlowStartBudgetWindow))
	if e.slowStartSlot == slot {
		return
	}
	e.slowStartSlot, e.slowStartSlotWork = slot, 0
	e.slowStartRank = e.slowStartRankOf(c.settings.GatewayIndex, c.settings.GatewayCount, slot)
}

// rotatesSlowStartBudget reports whether slow start budgets are divided anew in each time slot.
func (c *Controller) rotatesSlowStartBudget() bool {
	return c.settings.GatewayCount > rotationThreshold && c.settings.SlowStartBudgetWindow > 0
}

// slowStartRankOf returns the rank of a gateway, from 0, in the hash order of all gateways for this engine and time slot.
func (e *engine) slowStartRankOf(index, gateways int, slot uint64) int {
	if index < 0 { // without an index, a gateway has no usable part
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
