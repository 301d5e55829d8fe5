package admission

import "slices"

const (
	reportLifetime = 1     // seconds for which a load report is fresh
	pollInterval   = 0.8   // minimum seconds between two polls of an engine
	pollWait       = 0.015 // seconds that a request waits for the load report that was requested for it
	maxPolls       = 4     // maximum number of polls for one request

	longWork           = 0.3  // CPU seconds above which a request counts as long and is worth a poll
	pollSlowdown       = 1.1  // slowdown of a class, above which its shorter requests are worth a poll too
	maxUseWithCapacity = 0.65 // use of an engine's cores and memory, below which it has capacity
	maxReportedShare   = 2    // share of memory granted; a report of more counts as this

	grantedShareWeight = 0.05 // weight of a new report in the average share of memory granted

	misleadingSlowdown      = 2   // run time over the time that the work takes alone, from which a report counts as misleading
	misleadingWeight        = 0.1 // weight of a new result in the share of misleading reports
	maxMisleadingShare      = 0.2 // share of misleading reports, below which they are trusted
	misleadingTrialInterval = 8   // one request in this many uses reports although they are not trusted

	shareStepUp    = 0.01 // increase of the share factor by a report without waiting requests
	shareStepDown  = 0.05 // decrease of the share factor by a report while classes run slowly
	maxShareFactor = 2.5  // maximum for an engine where others leave capacity
	shareSlowdown  = 1.2  // slowdown of a class, above which share factors shrink
	minShareFactor = 1    // share factor where others leave no capacity
)

// LoadReported handles a load report. It takes no decisions: the caller has to send another event that does, such as PollEnded.
func (c *Controller) LoadReported(now float64, id uint32, report LoadReport) {
	c.now = now
	e := c.endpoints.engines[id]
	if e == nil {
		return
	}
	if report.MemoryGranted.reported {
		e.recordReport(now, report)
		c.averageGrantedShare += grantedShareWeight * (e.reportedMemory - c.averageGrantedShare)
		c.shrinkPoolByUse()
	}
	if report.Waiting.reported {
		e.shareFactor = c.nextShareFactor(e, report.Waiting.value)
	}
}

// recordReport stores the reported use of memory and cores, and resets the totals of what this gateway started since the previous
// report.
func (e *engine) recordReport(now float64, report LoadReport) {
	e.reportedMemory = min(report.MemoryGranted.value, maxReportedShare)
	e.reportedCPU = max(report.CPU.value, 0)
	e.reportedAt = now
	e.memorySinceReport, e.threadsSinceReport = 0, 0
}

// PeerLoadReported handles a load report that another gateway requested and that is age seconds old. It is dropped unless it is
// newer than this gateway's latest report.
func (c *Controller) PeerLoadReported(now, age float64, id uint32, report LoadReport) {
	reportedAt := now - age
	if e := c.endpoints.engines[id]; e != nil && reportedAt > e.reportedAt {
		c.LoadReported(now, id, report)
		e.reportedAt, e.polledAt = reportedAt, max(e.polledAt, reportedAt)
		c.applyRules()
	}
}

// PollEnded handles the end of a poll. If the poll returned a report, LoadReported has been called before.
func (c *Controller) PollEnded(now float64) {
	c.now = now
	c.applyRules()
}

// nextShareFactor returns the multiplier on the gateway's share of an engine after a report of the given number of waiting
// requests. It grows slowly with each report of an empty queue, and its excess over 1 is halved by each report of waiting
// requests, so that hundreds of gateways that read the same reports do not oscillate. It shrinks quickly while any class runs
// slowly, which shows before a queue forms.
func (c *Controller) nextShareFactor(e *engine, waiting float64) float64 {
	switch {
	case waiting > 0:
		return minShareFactor + (e.shareFactor-minShareFactor)/2
	case slices.ContainsFunc(c.classes, (*classState).runsSlowly):
		return max(e.shareFactor-shareStepDown, minShareFactor)
	default:
		return min(e.shareFactor+shareStepUp, maxShareFactor)
	}
}

// runsSlowly reports whether requests of the class run longer than they would alone.
func (class *classState) runsSlowly() bool {
	return class.answers > 0 && class.slowdown > shareSlowdown
}

// isWorthPolling reports whether the request loses less by waiting for a load report, a cost that all engines share, than by a
// poor choice of engine. This holds for long requests and, while the class runs slowly, for requests with more work than
// Settings.MinPolledWork.
func (c *Controller) isWorthPolling(r *request) bool {
	isLong := r.work > longWork || r.class.slowdown > pollSlowdown && r.work > c.settings.MinPolledWork
	return c.settings.EnginesReportMemory && r.pollCount < maxPolls && isLong && c.trustsReports(r)
}

// pollNeeded returns a queued request and its best engine if a poll of that engine is due. Engines are polled one after another
// until the best one is an engine that has reported its load: each poll is a cost to the engine, and one or two are enough where
// there is capacity.
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

// poll requests the engine's load on behalf of the request.
func (c *Controller) poll(p placement) {
	p.request.pollCount++
	p.request.polledEngine, p.engine.polledAt = p.engine, c.now
	c.actions.PollLoad(p.engine.id)
}

// isPollDue reports whether the engine is worth a poll: it was not polled recently, and it is not warming up, since little may
// be sent to it then.
func (c *Controller) isPollDue(e *engine) bool {
	return c.warmUpFactor(e) == 1 && c.now > e.polledAt+pollInterval
}

// awaitsReport reports whether the load report that was requested for the request may still arrive in time.
func (r *request) awaitsReport(now float64) bool {
	return r.polledEngine != nil && r.polledEngine.reportedAt < r.polledEngine.polledAt && now < r.polledEngine.polledAt+pollWait
}

// hasFreshReport reports whether the engine's latest load report is still valid.
func (c *Controller) hasFreshReport(e *engine) bool { return c.now < e.reportedAt+reportLifetime }

// hasReportedCapacity reports whether a fresh report, together with what this gateway started since, shows capacity at the
// engine. Below maxUseWithCapacity, requests run as if alone, so any such engine is as good as the best.
func (c *Controller) hasReportedCapacity(r *request, e *engine) bool {
	machine := c.machineOf(e)
	used := max(e.reportedMemory+e.memorySinceReport/machine.Memory, e.reportedCPU+e.threadsSinceReport/machine.Cores)
	return c.trustsReports(r) && c.hasFreshReport(e) && used < maxUseWithCapacity
}

// mayHaveCapacity reports whether the engine has reported capacity, or is worth a poll for the request.
func (c *Controller) mayHaveCapacity(r *request, e *engine) bool {
	return c.hasReportedCapacity(r, e) || c.isWorthPolling(r) && c.isPollDue(e)
}

// trustsReports reports whether load reports are used for the request. They are not while too many attempts ran slowly at
// engines with reported capacity, except for some requests that test the reports again.
func (c *Controller) trustsReports(r *request) bool {
	return c.misleadingReports < maxMisleadingShare || r.id%misleadingTrialInterval == 0
}
