package admission

import "slices"

const (
	reportLifetime = 1     // seconds for which a load report stands
	pollInterval   = 0.8   // seconds at least between two polls of an engine
	pollWait       = 0.015 // seconds that a request waits for the report that was asked for it
	maxPolls       = 4     // for one request

	longWork           = 0.3  // CPU seconds from which a request is worth a poll, and is no short one
	pollSlowdown       = 1.1  // of a class, past which shorter requests are worth a poll too
	maxUseWithCapacity = 0.65 // of an engine's cores and memory, up to which it has room
	maxReportedShare   = 2    // of an engine's memory; a report of more counts as this

	usualShareWeight = 0.05 // of a new report in the usual share of memory granted

	misleadingSlowdown = 2   // run time over work alone that shows that a report misled
	misleadingWeight   = 0.1 // of a new result in the share of misleading reports
	maxMisleading      = 0.2 // share of misleading reports up to which they are trusted
	misleadingTrials   = 8   // one request in so many goes by reports all the same

	shareStep         = 0.01 // by which a report without waiting requests raises the share factor
	shareStepDown     = 0.05 // by which a report lowers it while classes run slowly
	maxShareFactor    = 2.5  // of an engine where others leave capacity
	shareSlowdown     = 1.2  // of a class, past which share factors shrink
	shareFactorAtRest = 1    // without capacity left by others
)

// LoadReported takes a load report. Whoever calls it asks for decisions by another event, such as PollEnded.
func (c *Controller) LoadReported(now float64, id uint32, report LoadReport) {
	c.now = now
	e := c.endpoints.engines[id]
	if e == nil {
		return
	}
	if report.MemoryGranted.reported {
		e.takeReport(now, report)
		c.usualGrantedShare += usualShareWeight * (e.reportedMemory - c.usualGrantedShare)
		c.shrinkPoolByUse()
	}
	if report.Waiting.reported {
		e.shareFactor = c.nextShareFactor(e, report.Waiting.value)
	}
}

// takeReport keeps the memory and cores in use, from which what this gateway starts is counted anew.
func (e *engine) takeReport(now float64, report LoadReport) {
	e.reportedMemory = min(report.MemoryGranted.value, maxReportedShare)
	e.reportedCPU = max(report.CPU.value, 0)
	e.reportedAt = now
	e.memorySinceReport, e.threadsSinceReport = 0, 0
}

// PeerLoadReported takes a load report that another gateway asked for, so many seconds old. An older one than this gateway
// has is dropped.
func (c *Controller) PeerLoadReported(now, age float64, id uint32, report LoadReport) {
	reportedAt := now - age
	if e := c.endpoints.engines[id]; e != nil && reportedAt > e.reportedAt {
		c.LoadReported(now, id, report)
		e.reportedAt, e.polledAt = reportedAt, max(e.polledAt, reportedAt)
		c.applyRules()
	}
}

// PollEnded tells that a poll has ended; a report that came with it has been told by LoadReported.
func (c *Controller) PollEnded(now float64) {
	c.now = now
	c.applyRules()
}

// nextShareFactor is how far the gateway's share of an engine opens where others leave capacity: slowly on reports that
// nothing waits there, halved by each that tells of a queue, so that hundreds of gateways that read the same do not swing;
// and back soon while any class runs slowly, which shows before a queue forms.
func (c *Controller) nextShareFactor(e *engine, waiting float64) float64 {
	switch {
	case waiting > 0:
		return shareFactorAtRest + (e.shareFactor-shareFactorAtRest)/2
	case slices.ContainsFunc(c.classes, (*classState).runsSlowly):
		return max(e.shareFactor-shareStepDown, shareFactorAtRest)
	default:
		return min(e.shareFactor+shareStep, maxShareFactor)
	}
}

// runsSlowly tells whether answers of the class take longer than alone.
func (class *classState) runsSlowly() bool {
	return class.answers > 0 && class.slowdown > shareSlowdown
}

// isWorthPolling tells whether the request loses less by waiting for a load report, which all engines pay for, than by a
// poor choice: a long one does; while its class runs slowly, one over what the settings tell.
func (c *Controller) isWorthPolling(r *request) bool {
	isLong := r.work > longWork || r.class.slowdown > pollSlowdown && r.work > c.settings.MinPolledWork
	return c.settings.EnginesReportMemory && r.polls < maxPolls && isLong && c.trustsReports(r)
}

// pollNeeded finds a queued request whose best engine has no fresh report. Engines are polled one after another until the
// best is one that has told its load: each poll costs the engine, and where there is room one or two do.
func (c *Controller) pollNeeded() (placement, bool) {
	for _, class := range c.classes {
		r := class.nextRequest(c.now)
		if r == nil || !c.isWorthPolling(r) || r.awaitsReport(c.now) {
			continue
		}
		if e := c.place(r); e != nil && c.isPollDue(e) {
			return placement{request: r, engine: e}, true
		}
	}
	return placement{}, false
}

// poll asks the engine for its load on behalf of the request.
func (c *Controller) poll(p placement) {
	p.request.polls++
	p.request.polled, p.engine.polledAt = p.engine, c.now
	c.actions.PollLoad(p.engine.id)
}

// isPollDue tells whether the engine is worth a poll: none was sent of late, and it does not warm up, when little may go
// there.
func (c *Controller) isPollDue(e *engine) bool {
	return c.pace(e) == 1 && c.now > e.polledAt+pollInterval
}

// awaitsReport tells whether the load report that was asked for the request is still to come.
func (r *request) awaitsReport(now float64) bool {
	return r.polled != nil && r.polled.reportedAt < r.polled.polledAt && now < r.polled.polledAt+pollWait
}

// hasFreshReport tells whether the engine's load report still stands.
func (c *Controller) hasFreshReport(e *engine) bool { return c.now < e.reportedAt+reportLifetime }

// hasReportedCapacity tells whether a fresh report, with what this gateway started since, shows room at the engine. Up to that
// use requests run as if alone, so any such engine is as good as the best.
func (c *Controller) hasReportedCapacity(r *request, e *engine) bool {
	machine := c.machineOf(e)
	used := max(e.reportedMemory+e.memorySinceReport/machine.Memory, e.reportedCPU+e.threadsSinceReport/machine.Cores)
	return c.trustsReports(r) && c.hasFreshReport(e) && used < maxUseWithCapacity
}

// mayHaveCapacity tells whether the engine has reported room, or is worth a poll for the request.
func (c *Controller) mayHaveCapacity(r *request, e *engine) bool {
	return c.hasReportedCapacity(r, e) || c.isWorthPolling(r) && c.isPollDue(e)
}

// trustsReports tells whether the request goes by load reports: not while too many attempts at engines with reported room
// ran slowly, but for some requests that try the reports again.
func (c *Controller) trustsReports(r *request) bool {
	return c.misleadingReports < maxMisleading || r.id%misleadingTrials == 0
}
