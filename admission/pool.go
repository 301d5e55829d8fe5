package admission

const (
	maxWaitForPool       = 2    // seconds after which a request starts although its class's pool is used up by others
	poolShare            = 0.8  // of the capacity shares together, since engines fill unevenly
	queueingGrants       = 2    // most grants that a pool has at least where engines queue by priority
	evenShares           = 4    // even shares of free memory that a pool has where engines report it
	poolGrowth           = 1.3  // factor by which the pool grows while requests find no capacity
	poolGrowthPause      = 0.05 // seconds between two such steps
	maxUseForGrowth      = 0.5  // usual share of memory granted, up to which the pool grows
	maxSlowdownForGrowth = 1.5  // slowdown of the class, up to which its pool grows
	shrinkPoint          = 0.5  // usual share of memory granted, past which each report shrinks the pool
)

// poolCapacity is the memory that the class may have granted, in MB: most of the shares of all available engines. What is
// granted on the others, a hung one's above all, takes nothing from it. With many gateways an even share is less than chance
// asks for: engines that queue by priority bear two most grants, and where reports show free memory a busy gateway may have
// what others leave, less as engines fill.
func (c *Controller) poolCapacity(class *classState) float64 {
	shares, mostGrant, memory := 0.0, 0.0, 0.0
	for _, e := range c.endpoints.ready {
		if !c.isAvailable(e) {
			shares = class.addGrantsAt(e, shares)
			continue
		}
		machine := c.machineOf(e)
		memory += machine.Memory * c.pace(e)
		shares += poolShare * c.memoryShare(e)
		mostGrant = max(mostGrant, machine.Memory*maxGrantShare)
	}
	switch {
	case c.enginesQueueByPriority():
		return max(shares, queueingGrants*mostGrant)
	case c.settings.EnginesReportMemory:
		free := 1 - c.usualGrantedShare
		return max(shares, free*(min(evenShares*c.poolFactor*c.capacityShare, 1)*memory+mostGrant))
	default:
		return shares
	}
}

// addGrantsAt adds what the class's attempts at the engine were granted to a sum.
func (class *classState) addGrantsAt(e *engine, sum float64) float64 {
	for _, a := range e.inFlight {
		if a.request.class == class {
			sum += a.memory
		}
	}
	return sum
}

// growPool lets pools grow where a request finds no capacity although engines are neither full nor slow.
func (c *Controller) growPool(class *classState) {
	if c.usualGrantedShare < maxUseForGrowth && class.slowdown < maxSlowdownForGrowth && c.now > c.poolGrownAt+poolGrowthPause {
		c.poolFactor = min(poolGrowth*c.poolFactor, float64(c.settings.GatewayCount))
		c.poolGrownAt = c.now
	}
}

// shrinkPoolByUse lets pools shrink with a report while engines usually are more than half granted.
func (c *Controller) shrinkPoolByUse() {
	c.poolFactor = max(c.poolFactor*min(1+shrinkPoint-c.usualGrantedShare, 1), 1)
}

// halvePool lets pools shrink where an engine is full.
func (c *Controller) halvePool() { c.poolFactor = max(c.poolFactor/2, 1) }

// poolHasCapacity tells whether the class's pool takes the grant. No class waits for good: one that has nothing in flight
// starts a request that has waited.
func (c *Controller) poolHasCapacity(r *request, counted, pool float64) bool {
	return r.class.grantedMemory+counted <= pool ||
		r.class.grantedMemory == 0 && c.now > r.arrivedAt+maxWaitForPool
}
