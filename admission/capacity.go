package admission

const (
	maxSlowdown       = 2    // of an engine over its class's, past which it is under pressure
	pressureAfterFull = 2    // seconds for which an engine that rejected an attempt as full stays under pressure
	maxReportedUse    = 0.75 // of an engine's memory as reported, up to which it bears more than this gateway's share
	maxWaitForPool    = 2    // seconds after which a request starts although its class's pool is used up by others
	poolShare         = 0.8  // of the capacity shares together, since engines fill unevenly
	queueingGrants    = 2    // most grants that a pool has at least where engines queue by priority
	evenShares        = 4    // even shares of free memory that a pool has where engines report it
	poolGrowth        = 1.3  // factor by which the pool grows while requests find no capacity
	poolGrowthPause   = 0.05 // seconds between two such steps
	maxUseForGrowth   = 0.5  // usual share of memory granted, up to which the pool grows
	maxPaceForGrowth  = 1.5  // slowdown of the class, up to which its pool grows
	shrinkPoint       = 0.5  // usual share of memory granted, past which each report shrinks the pool
)

// SetCapacityShare tells this gateway's share of every engine, where a fleet divides them; until then it is an even one.
func (c *Controller) SetCapacityShare(now, share float64) {
	c.now, c.capacityShare = now, share
	c.applyRules()
}

// machineOf is the size of an engine.
func (c *Controller) machineOf(e *engine) MachineType { return c.settings.MachineTypes[e.machineType] }

// memoryShare is the MB of an engine that this gateway may have granted at once. Beyond it, an engine with nothing granted
// takes one request of any size.
func (c *Controller) memoryShare(e *engine) float64 {
	return c.machineOf(e).Memory * c.pace(e) * e.relativeWeight * e.shareFactor * c.capacityShare
}

// enginesQueueByPriority tells whether engines queue what finds no memory and let short requests first. Such engines know
// of all gateways and bear what passes a share.
func (c *Controller) enginesQueueByPriority() bool {
	return c.settings.EnginesQueue && c.settings.EnginesTakePriorities
}

// hasCapacity tells whether the request's grant fits the tallies of the engine and of its class, whose pool is so many MB.
func (c *Controller) hasCapacity(r *request, e *engine, pool float64) bool {
	_, counted := c.grant(r, c.machineOf(e))
	return c.engineHasCapacity(r, e, counted) && c.poolHasCapacity(r, counted, pool)
}

// engineHasCapacity tells whether the engine takes the grant. Its share binds only while it is under pressure.
func (c *Controller) engineHasCapacity(r *request, e *engine, counted float64) bool {
	return !c.isUnderPressure(r, e, counted) || e.grantedMemory == 0 || e.grantedMemory+counted <= c.memoryShare(e)
}

// poolHasCapacity tells whether the class's pool takes the grant. No class waits for good: one that has nothing in flight
// starts a request that has waited.
func (c *Controller) poolHasCapacity(r *request, counted, pool float64) bool {
	return r.class.grantedMemory+counted <= pool ||
		r.class.grantedMemory == 0 && c.now > r.arrivedAt+maxWaitForPool
}

// isUnderPressure tells whether the engine warms up, runs slowly, was full of late, or would be filled if every gateway
// granted as this one would.
func (c *Controller) isUnderPressure(r *request, e *engine, counted float64) bool {
	warmsUp := c.pace(e) < 1 && !c.rotatesSlowStartBudget()
	wasFull := e.overloadedUntil > 0 && c.now < e.overloadedUntil+pressureAfterFull
	return warmsUp || e.slowdown > maxSlowdown || wasFull || c.overfills(r, e, counted)
}

// overfills tells whether the grant passes this gateway's share of the engine and nothing shows that the engine bears it.
func (c *Controller) overfills(r *request, e *engine, counted float64) bool {
	return e.grantedMemory+counted > c.machineOf(e).Memory*c.capacityShare &&
		!c.enginesQueueByPriority() &&
		!c.mayHaveCapacity(r, e) &&
		!c.hasReportedMemory(r, e, counted)
}

// hasReportedMemory tells whether a fresh report shows memory for the grant.
func (c *Controller) hasReportedMemory(r *request, e *engine, counted float64) bool {
	return c.trustsReports(r) && c.hasFreshReport(e) &&
		e.reportedMemory+(e.memorySinceReport+counted)/c.machineOf(e).Memory < maxReportedUse
}

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
	if c.usualGrantedShare < maxUseForGrowth && class.slowdown < maxPaceForGrowth && c.now > c.poolWidenedAt+poolGrowthPause {
		c.poolFactor = min(poolGrowth*c.poolFactor, float64(c.settings.GatewayCount))
		c.poolWidenedAt = c.now
	}
}

// shrinkPoolByUse lets pools shrink with a report while engines usually are more than half granted.
func (c *Controller) shrinkPoolByUse() {
	c.poolFactor = max(c.poolFactor*min(1+shrinkPoint-c.usualGrantedShare, 1), 1)
}

// halvePool lets pools shrink where an engine is full.
func (c *Controller) halvePool() { c.poolFactor = max(c.poolFactor/2, 1) }

// MemoryUse tells what share of the memory of all engines is granted to this gateway's requests, and would be with those
// that wait.
func (c *Controller) MemoryUse() (used, wanted float64) {
	memory := 0.0
	for _, e := range c.endpoints.ready {
		memory += c.machineOf(e).Memory
	}
	for _, class := range c.classes {
		used += class.grantedMemory
		for _, r := range class.queue {
			_, counted := c.grant(r, c.settings.MachineTypes[0])
			wanted += counted
		}
	}
	return used / max(memory, 1), (used + wanted) / max(memory, 1)
}
