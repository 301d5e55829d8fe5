package admission

const (
	pressureSlowdown  = 2    // slowdown of an engine relative to the classes of its answers, above which it is under pressure
	pressureAfterFull = 2    // seconds for which an engine stays under pressure after an overload backoff
	maxReportedUse    = 0.75 // reported share of memory granted, below which an engine takes more than this gateway's share
)

// SetCapacityShare sets this gateway's share of every engine, in a fleet that divides the engines. Until it is called, all
// gateways have equal shares.
func (c *Controller) SetCapacityShare(now, share float64) {
	c.now, c.capacityShare = now, share
	c.applyRules()
}

// machineOf returns the size of an engine.
func (c *Controller) machineOf(e *engine) MachineType { return c.settings.MachineTypes[e.machineType] }

// memoryShare returns the memory of an engine, in MB, that this gateway may have granted at the same time. Regardless of it, an
// engine at which this gateway has nothing granted takes one request of any size.
func (c *Controller) memoryShare(e *engine) float64 {
	return c.machineOf(e).Memory * c.warmUpFactor(e) * e.relativeWeight * e.shareFactor * c.capacityShare
}

// enginesQueueByPriority reports whether engines queue attempts for which they lack memory and let short ones go first. Such
// engines see the requests of all gateways and can take more than a gateway's share.
func (c *Controller) enginesQueueByPriority() bool {
	return c.settings.EnginesQueue && c.settings.EnginesTakePriorities
}

// hasCapacity reports whether the request's grant fits the accounting of the engine and of its class, whose pool is given in
// MB.
func (c *Controller) hasCapacity(r *request, e *engine, pool float64) bool {
	_, booked := c.grant(r, c.machineOf(e))
	return c.engineHasCapacity(r, e, booked) && c.poolHasCapacity(r, booked, pool)
}

// engineHasCapacity reports whether the engine can take a grant of booked MB. This gateway's share of the engine is a limit
// only while the engine is under pressure.
func (c *Controller) engineHasCapacity(r *request, e *engine, booked float64) bool {
	return !c.isUnderPressure(r, e, booked) || e.grantedMemory == 0 || e.grantedMemory+booked <= c.memoryShare(e)
}

// isUnderPressure reports whether the engine is warming up, runs slowly, was full recently, or would be overcommitted if every
// gateway granted as much as this one. Warming up does not count if slow start budgets rotate among many gateways.
func (c *Controller) isUnderPressure(r *request, e *engine, booked float64) bool {
	warmsUp := c.warmUpFactor(e) < 1 && !c.rotatesSlowStartBudget()
	wasFull := e.overloadedUntil > 0 && c.now < e.overloadedUntil+pressureAfterFull
	return warmsUp || e.slowdown > pressureSlowdown || wasFull || c.mayOvercommit(r, e, booked)
}

// mayOvercommit reports whether the grant exceeds this gateway's share of the engine and nothing indicates that the engine can
// take it: engines do not queue by priority, and no load report shows capacity or is worth requesting.
func (c *Controller) mayOvercommit(r *request, e *engine, booked float64) bool {
	return e.grantedMemory+booked > c.machineOf(e).Memory*c.capacityShare &&
		!c.enginesQueueByPriority() &&
		!c.mayHaveCapacity(r, e) &&
		!c.hasReportedMemory(r, e, booked)
}

// hasReportedMemory reports whether a fresh load report shows memory for the grant.
func (c *Controller) hasReportedMemory(r *request, e *engine, booked float64) bool {
	return c.trustsReports(r) && c.hasFreshReport(e) &&
		e.reportedMemory+(e.memorySinceReport+booked)/c.machineOf(e).Memory < maxReportedUse
}

// MemoryUse returns the share of the memory of all ready engines that is granted to this gateway's requests, and the share that
// would be granted if the queued requests ran too.
func (c *Controller) MemoryUse() (used, wanted float64) {
	memory := 0.0
	for _, e := range c.endpoints.ready {
		memory += c.machineOf(e).Memory
	}
	for _, class := range c.classes {
		used += class.grantedMemory
		for _, r := range class.queue {
			_, booked := c.grant(r, c.settings.MachineTypes[0])
			wanted += booked
		}
	}
	return used / max(memory, 1), (used + wanted) / max(memory, 1)
}
