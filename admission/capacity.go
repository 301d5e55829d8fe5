package admission

const (
	pressureSlowdown  = 2    // of an engine over its class's, past which it is under pressure
	pressureAfterFull = 2    // seconds for which an engine that rejected an attempt as full stays under pressure
	maxReportedUse    = 0.75 // of an engine's memory as reported, up to which it bears more than this gateway's share
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

// isUnderPressure tells whether the engine warms up, runs slowly, was full of late, or would be filled if every gateway
// granted as this one would.
func (c *Controller) isUnderPressure(r *request, e *engine, counted float64) bool {
	warmsUp := c.pace(e) < 1 && !c.rotatesSlowStartBudget()
	wasFull := e.overloadedUntil > 0 && c.now < e.overloadedUntil+pressureAfterFull
	return warmsUp || e.slowdown > pressureSlowdown || wasFull || c.overfills(r, e, counted)
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
