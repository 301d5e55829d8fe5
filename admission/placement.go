package admission

import (
	"cmp"
	"slices"
)

const (
	unplacedPause = 0.05 // seconds before a class tries again where nothing has ended since
	minCandidates = 2    // engines that are compared for a request
	randomDraws   = 6    // beyond the first, before the engines are gone through in turn

	crossZoneFactor  = 1.5 // on the load of an engine in another zone
	crossZonePrice   = 0.3 // seconds of work that crossing costs a request, whatever its own work
	minCrossZoneWork = 0.2 // seconds of work for which that price is taken at most
	busySlackFactor  = 2.5 // slacks that the engine drawn by weight is taken to be less busy
)

// isAvailable tells whether requests may go to the engine without a trial.
func (c *Controller) isAvailable(e *engine) bool { return !e.suspected && c.now >= e.overloadedUntil }

// mayRunOn tells whether the rules of the request's class let it go to this engine now.
func (c *Controller) mayRunOn(r *request, e *engine) bool {
	return r.class.isBoundTo(e) && !r.isOpenAt(e) && r.mayRepeatAt(e) && c.withinSlowStartBudget(r, e)
}

// isBoundTo tells whether the class's zones and machine types let its requests go to the engine.
func (class *Class) isBoundTo(e *engine) bool {
	return (class.AllowedZones == nil || slices.Contains(class.AllowedZones, e.zone)) &&
		(class.AllowedMachineTypes == nil || slices.Contains(class.AllowedMachineTypes, e.listedMachineType))
}

// mayRepeatAt tells whether the engine recognizes the key of a request that may have run elsewhere.
func (r *request) mayRepeatAt(e *engine) bool {
	first := r.firstThatMayHaveRun()
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

// place finds the engine for a request: of some random ones with capacity, those that an affinity prefers and one that warms
// up, the one with the least load. It returns nil where the request has to wait.
func (c *Controller) place(r *request) *engine {
	class := r.class
	if class.unplacedAt > c.capacityFreedAt && c.now < class.unplacedAt+unplacedPause {
		return nil
	}
	c.drawCandidates(r)
	if len(r.candidates) == 0 {
		class.unplacedAt = c.now
		c.growPool(class)
		return nil
	}
	preferred := c.preferredEngines(r)
	best := slices.MinFunc(r.candidates, func(x, y *engine) int {
		return cmp.Compare(c.loadScore(x, r, preferred), c.loadScore(y, r, preferred))
	})
	if drawn := r.drawnByWeight(preferred); c.standsAgainst(drawn, best, r) {
		return drawn
	}
	return best
}

// drawnByWeight is the candidate that came by its weight: the first one drawn, or the first by affinity.
func (r *request) drawnByWeight(preferred []*engine) *engine {
	if r.tables > 0 && len(preferred) > 0 && slices.Contains(r.candidates, preferred[0]) {
		return preferred[0]
	}
	return r.candidates[0]
}

// standsAgainst tells whether the engine drawn by weight keeps the request from the one with the least load. Of engines of
// unequal weight it does unless it is fuller or busier, by more the less alike the two are: else the larger one would have
// all requests while few are open.
func (c *Controller) standsAgainst(drawn, best *engine, r *request) bool {
	slack := r.work * (1 - min(drawn.relativeWeight, best.relativeWeight)/max(drawn.relativeWeight, best.relativeWeight))
	isFuller := c.mayHaveCapacity(r, best) && !c.mayHaveCapacity(r, drawn)
	isLessBusy := drawn.queueTime(r.work-busySlackFactor*slack) <= best.queueTime(r.work+slack)
	return slack > 0 && drawn.zone == best.zone && !isFuller && isLessBusy
}

// drawCandidates draws the engines that are compared for the request, and keeps those of an earlier call while they fit.
func (c *Controller) drawCandidates(r *request) {
	pool := c.poolCapacity(r.class)
	fits := func(e *engine) bool { return c.fits(r, e, pool) }
	r.candidates = slices.DeleteFunc(r.candidates, func(e *engine) bool { return !fits(e) })
	if c.hasCandidates(r) || len(c.endpoints.ready) == 0 || r.class.grantedMemory > pool {
		return
	}
	isNew := func(e *engine) bool { return fits(e) && !slices.Contains(r.candidates, e) }
	separate := c.separateFromWrites(r)
	c.drawRandomCandidates(r, isNew, separate)
	if c.rotatesSlowStartBudget() { // and one that warms up, in this gateway's slot
		warmingUp := func(e *engine) bool { return c.pace(e) < 1 && separate(e) && isNew(e) }
		if i := slices.IndexFunc(c.endpoints.ready, warmingUp); i >= 0 {
			r.candidates = append(r.candidates, c.endpoints.ready[i])
		}
	}
	preferred := c.preferredEngines(r)
	r.candidates = append(r.candidates, slices.DeleteFunc(preferred, func(e *engine) bool { return !isNew(e) })...)
}

// fits tells whether the request may start at the engine now.
func (c *Controller) fits(r *request, e *engine, pool float64) bool {
	return (c.isAvailable(e) || c.mayTry(e, r)) && c.mayRunOn(r, e) && c.hasCapacity(r, e, pool)
}

// hasCandidates tells whether the candidates are enough to compare. An affinity gives a request several engines to poll;
// without one a further engine is drawn while those that were polled are full.
func (c *Controller) hasCandidates(r *request) bool {
	if len(r.candidates) == 0 {
		return false
	}
	return r.tables > 0 || !c.isWorthPolling(r) ||
		slices.ContainsFunc(r.candidates, func(e *engine) bool { return c.mayHaveCapacity(r, e) })
}

// drawRandomCandidates draws engines at random and then goes through all of them in turn; while none is found, those that
// should be kept separate from writes count in the end too.
func (c *Controller) drawRandomCandidates(r *request, isNew, separate func(*engine) bool) {
	ready := c.endpoints.ready
	wanted := max(len(r.candidates)+1, minCandidates)
	start := 0
	for i := 0; i < 2*len(ready)+randomDraws && len(r.candidates) < wanted; i++ {
		isLastRound := i >= len(ready)+randomDraws
		if isLastRound && len(r.candidates) > 0 {
			return
		}
		if i <= randomDraws {
			start = c.endpoints.pickByWeight(c.random.next(), i)
		}
		e := ready[(start+i)%len(ready)]
		if (isLastRound || separate(e)) && isNew(e) {
			r.candidates = append(r.candidates, e)
		}
	}
}

// loadScore is the pending work at the engine, the request's with it, over the pace at which the engine works. The memory
// granted by all gateways counts as work, a full engine as a second for each core.
func (c *Controller) loadScore(e *engine, r *request, preferred []*engine) float64 {
	machine, work := c.machineOf(e), r.work
	if slices.Contains(preferred, e) {
		work *= cachedWorkShare
	}
	score := (e.pendingWork + work + c.assumedUse(r, e)*machine.Cores) * e.slowdown / (machine.Cores * c.pace(e) * e.relativeWeight)
	if e.zone != c.settings.Zone {
		score *= crossZoneFactor + crossZonePrice/max(r.work, minCrossZoneWork)
	}
	return score
}

// assumedUse is the share of the engine's memory that counts against it: what a fresh report shows, else the usual share.
func (c *Controller) assumedUse(r *request, e *engine) float64 {
	switch {
	case c.mayHaveCapacity(r, e):
		return 0
	case c.pace(e) < 1 && c.rotatesSlowStartBudget(): // its budget bounds what all gateways have there
		return 0
	case c.trustsReports(r) && c.hasFreshReport(e):
		return e.reportedMemory + e.memorySinceReport/c.machineOf(e).Memory
	default:
		return c.usualGrantedShare
	}
}
