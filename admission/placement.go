package admission

import (
	"cmp"
	"slices"
)

const (
	placementRetryPause = 0.05 // seconds before a class tries again after a failed placement if no attempt has ended since
	minCandidates       = 2    // number of engines that are compared for a request
	randomDraws         = 6    // random draws after the first, before the engines are tried in turn

	crossZoneFactor  = 1.5 // factor on the load score of an engine in another zone
	crossZoneCost    = 0.3 // cost of crossing zones, in seconds of work, regardless of the request's own work
	minCrossZoneWork = 0.2 // seconds of work below which the relative cost of crossing zones grows no further
	busySlackFactor  = 2.5 // multiple of the slack that prefersWeighted deducts from the queue of the engine drawn by weight
)

// isAvailable reports whether requests may be sent to the engine other than as trials.
func (c *Controller) isAvailable(e *engine) bool { return !e.suspected && c.now >= e.overloadedUntil }

// mayRunOn reports whether the settings of the request's class, its other attempts and the engine's slow start budget allow it
// to run on this engine now.
func (c *Controller) mayRunOn(r *request, e *engine) bool {
	return r.class.allowsEngine(e) && !r.isInFlightAt(e) && r.mayRepeatAt(e) && c.withinSlowStartBudget(r, e)
}

// allowsEngine reports whether the class's zones and machine types allow its requests to run on the engine.
func (class *Class) allowsEngine(e *engine) bool {
	return (class.AllowedZones == nil || slices.Contains(class.AllowedZones, e.zone)) &&
		(class.AllowedMachineTypes == nil || slices.Contains(class.AllowedMachineTypes, e.listedMachineType))
}

// mayRepeatAt reports whether the engine recognizes the idempotency key of a request that may have run elsewhere. It returns
// true for all other requests.
func (r *request) mayRepeatAt(e *engine) bool {
	first := r.firstPossibleRun()
	if first == nil || r.class.Idempotency != IdempotentWithKey {
		return true
	}
	switch r.class.DedupScope {
	case DedupInZone:
		return e.zone == first.engine.zone
	case DedupInCell:
		return e.cell == first.engine.cell
	default:
		return true
	}
}

// place returns the engine for a request, or nil if the request has to wait. The candidates are some random engines with
// capacity, those preferred by affinity and one that is warming up. The one with the least load is chosen unless
// prefersWeighted decides otherwise.
func (c *Controller) place(r *request) *engine {
	class := r.class
	if class.placementFailedAt > c.capacityFreedAt && c.now < class.placementFailedAt+placementRetryPause {
		return nil
	}
	c.drawCandidates(r)
	if len(r.candidates) == 0 {
		class.placementFailedAt = c.now
		c.growPool(class)
		return nil
	}
	preferred := c.preferredEngines(r)
	best := slices.MinFunc(r.candidates, func(x, y *engine) int {
		return cmp.Compare(c.loadScore(x, r, preferred), c.loadScore(y, r, preferred))
	})
	if weighted := r.weightedCandidate(preferred); c.prefersWeighted(weighted, best, r) {
		return weighted
	}
	return best
}

// weightedCandidate returns the candidate that was chosen by weight: the first in the affinity order, or otherwise the first
// one drawn.
func (r *request) weightedCandidate(preferred []*engine) *engine {
	if r.tables > 0 && len(preferred) > 0 && slices.Contains(r.candidates, preferred[0]) {
		return preferred[0]
	}
	return r.candidates[0]
}

// prefersWeighted reports whether the request goes to the engine drawn by weight rather than to the one with the least load.
// Between engines of unequal weight it does, unless the engine drawn by weight is fuller or busier. The more the weights
// differ, the busier it may be. Without this rule, the larger engine would get all requests while few are open.
func (c *Controller) prefersWeighted(weighted, best *engine, r *request) bool {
	slack := r.work * (1 - min(weighted.relativeWeight, best.relativeWeight)/max(weighted.relativeWeight, best.relativeWeight))
	isFuller := c.mayHaveCapacity(r, best) && !c.mayHaveCapacity(r, weighted)
	isLessBusy := weighted.queueTime(r.work-busySlackFactor*slack) <= best.queueTime(r.work+slack)
	return slack > 0 && weighted.zone == best.zone && !isFuller && isLessBusy
}

// drawCandidates draws the engines that are compared for the request. Those of an earlier call are kept while they fit.
func (c *Controller) drawCandidates(r *request) {
	pool := c.poolCapacity(r.class)
	fits := func(e *engine) bool { return c.fits(r, e, pool) }
	r.candidates = slices.DeleteFunc(r.candidates, func(e *engine) bool { return !fits(e) })
	if c.hasEnoughCandidates(r) || len(c.endpoints.ready) == 0 || r.class.grantedMemory > pool {
		return
	}
	isNew := func(e *engine) bool { return fits(e) && !slices.Contains(r.candidates, e) }
	isSeparate := c.writeSeparationFilter(r)
	c.drawRandomCandidates(r, isNew, isSeparate)
	if c.rotatesSlowStartBudget() { // and one that is warming up, in this gateway's slot
		warmingUp := func(e *engine) bool { return c.warmUpFactor(e) < 1 && isSeparate(e) && isNew(e) }
		if i := slices.IndexFunc(c.endpoints.ready, warmingUp); i >= 0 {
			r.candidates = append(r.candidates, c.endpoints.ready[i])
		}
	}
	preferred := c.preferredEngines(r)
	r.candidates = append(r.candidates, slices.DeleteFunc(preferred, func(e *engine) bool { return !isNew(e) })...)
}

// fits reports whether the request may start at the engine now.
func (c *Controller) fits(r *request, e *engine, pool float64) bool {
	return (c.isAvailable(e) || c.mayStartTrial(e, r)) && c.mayRunOn(r, e) && c.hasCapacity(r, e, pool)
}

// hasEnoughCandidates reports whether there are enough candidates to compare. Affinity gives a request several engines to poll.
// Without it, another engine is drawn while the ones that were polled are full.
func (c *Controller) hasEnoughCandidates(r *request) bool {
	if len(r.candidates) == 0 {
		return false
	}
	return r.tables > 0 || !c.isWorthPolling(r) ||
		slices.ContainsFunc(r.candidates, func(e *engine) bool { return c.mayHaveCapacity(r, e) })
}

// drawRandomCandidates draws engines at random and then tries all of them in turn. If none is found, a last round also accepts
// engines that do not keep the request apart from writes.
func (c *Controller) drawRandomCandidates(r *request, isNew, isSeparate func(*engine) bool) {
	ready := c.endpoints.ready
	minCount := max(len(r.candidates)+1, minCandidates)
	start := 0
	for i := 0; i < 2*len(ready)+randomDraws && len(r.candidates) < minCount; i++ {
		isLastRound := i >= len(ready)+randomDraws
		if isLastRound && len(r.candidates) > 0 {
			return
		}
		if i <= randomDraws {
			start = c.endpoints.pickByWeight(c.random.next(), i)
		}
		e := ready[(start+i)%len(ready)]
		if (isLastRound || isSeparate(e)) && isNew(e) {
			r.candidates = append(r.candidates, e)
		}
	}
}

// loadScore returns the pending work at the engine, including the request's, divided by the speed of the engine. Memory granted
// by all gateways counts as work; a full engine counts as one second of work per core.
func (c *Controller) loadScore(e *engine, r *request, preferred []*engine) float64 {
	machine, work := c.machineOf(e), r.work
	if slices.Contains(preferred, e) {
		work *= cachedWorkShare
	}
	score := (e.pendingWork + work + c.assumedMemoryUse(r, e)*machine.Cores) * e.slowdown /
		(machine.Cores * c.warmUpFactor(e) * e.relativeWeight)
	if e.zone != c.settings.Zone {
		score *= crossZoneFactor + crossZoneCost/max(r.work, minCrossZoneWork)
	}
	return score
}

// assumedMemoryUse returns the share of the engine's memory that counts against it: none if it may have capacity, otherwise what
// a fresh report shows, or the average share if there is no such report.
func (c *Controller) assumedMemoryUse(r *request, e *engine) float64 {
	switch {
	case c.mayHaveCapacity(r, e):
		return 0
	case c.warmUpFactor(e) < 1 && c.rotatesSlowStartBudget(): // its slow start budget limits what all gateways send there
		return 0
	case c.trustsReports(r) && c.hasFreshReport(e):
		return e.reportedMemory + e.memorySinceReport/c.machineOf(e).Memory
	default:
		return c.averageGrantedShare
	}
}
