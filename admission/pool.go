package admission

const (
	maxWaitForPool       = 2    // seconds after which a class with nothing in flight starts a request that exceeds its pool
	poolShare            = 0.8  // fraction of the sum of the capacity shares, since engines fill unevenly
	minQueueingGrants    = 2    // minimum size of a pool, in largest grants, where engines queue by priority
	evenShares           = 4    // size of a pool before it grows, in capacity shares of the free memory, where engines report it
	poolGrowthStep       = 1.3  // factor by which the pool grows while requests find no capacity
	poolGrowthPause      = 0.05 // minimum seconds between two growth steps
	maxUseForGrowth      = 0.5  // average share of memory granted, below which the pool grows
	maxSlowdownForGrowth = 1.5  // slowdown of the class, below which its pool grows
	poolShrinkThreshold  = 0.5  // average share of memory granted, above which each report shrinks the pool
)

// poolCapacity returns the memory, in MB, that the class may have granted: most of this gateway's shares of all available
// engines. What the class has granted on the other engines, in particular on one that hangs, does not count against it.
//
// With many gateways, an even share is less than a gateway needs at random peaks of its load. So where engines queue by
// priority, a pool holds at least two of the largest grants. Where load reports show free memory, a busy gateway may use what
// the others leave, but less as engines fill.
func (c *Controller) poolCapacity(class *classState) float64 {
	shares, maxGrant, memory := 0.0, 0.0, 0.0
	for _, e := range c.endpoints.ready {
		if !c.isAvailable(e) {
			shares = class.addGrantsAt(e, shares)
			continue
		}
		machine := c.machineOf(e)
		memory += machine.Memory * c.warmUpFactor(e)
		shares += poolShare * c.memoryShare(e)
		maxGrant = max(maxGrant, machine.Memory*maxGrantShare)
	}
	switch {
	case c.enginesQueueByPriority():
		return max(shares, minQueueingGrants*maxGrant)
	case c.settings.EnginesReportMemory:
		free := 1 - c.averageGrantedShare
		return max(shares, free*(min(evenShares*c.poolFactor*c.capacityShare, 1)*memory+maxGrant))
	default:
		return shares
	}
}

// addGrantsAt returns sum plus the memory granted to the class's attempts at the engine.
func (class *classState) addGrantsAt(e *engine, sum float64) float64 {
	for _, a := range e.inFlight {
		if a.request.class == class {
			sum += a.memory
		}
	}
	return sum
}

// growPool lets pools grow when a request finds no capacity although engines are neither full nor slow.
func (c *Controller) growPool(class *classState) {
	if c.averageGrantedShare < maxUseForGrowth && class.slowdown < maxSlowdownForGrowth && c.now > c.poolGrownAt+poolGrowthPause {
		c.poolFactor = min(poolGrowthStep*c.poolFactor, float64(c.settings.GatewayCount))
		c.poolGrownAt = c.now
	}
}

// shrinkPoolByUse lets pools shrink with a report while engines have, on average, more than half of their memory granted.
func (c *Controller) shrinkPoolByUse() {
	c.poolFactor = max(c.poolFactor*min(1+poolShrinkThreshold-c.averageGrantedShare, 1), 1)
}

// halvePool lets pools shrink when an engine is full.
func (c *Controller) halvePool() { c.poolFactor = max(c.poolFactor/2, 1) }

// poolHasCapacity reports whether the class's pool can take a grant of booked MB. No class waits forever: one that has nothing
// in flight starts a request that has waited for maxWaitForPool even if the pool is too small for it.
func (c *Controller) poolHasCapacity(r *request, booked, pool float64) bool {
	return r.class.grantedMemory+booked <= pool ||
		r.class.grantedMemory == 0 && c.now > r.arrivedAt+maxWaitForPool
}
