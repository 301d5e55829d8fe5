package admission

import "slices"

const (
	hedgeCheckInterval = 0.02 // seconds between looks for lagging attempts
	lagFactor          = 3    // expected durations by which nine in ten attempts have ended
	runawayDivisor     = 2    // an attempt is no runaway before its expected duration over this
	runawayFactor      = 5    // a runaway takes so many times the expected duration of the share that is done
)

// laggingRequest finds a short request that an engine keeps for long while it answers others: it stands behind a write to
// its tables, or its answer was lost. A hedge costs little, but is wasted where estimates are poor.
func (c *Controller) laggingRequest() (*request, bool) {
	if !c.settings.MayHedge || c.now < c.hedgesCheckedAt+hedgeCheckInterval {
		return nil, false
	}
	for _, e := range c.endpoints.ready {
		for _, a := range e.inFlight {
			if c.isLagging(a) && c.mayRetry(a.request) && !slices.Contains(c.retryQueue, a.request) {
				return a.request, true
			}
		}
	}
	c.hedgesCheckedAt = c.now
	return nil, false
}

// isLagging tells whether the attempt is the only one of a short request, and far behind what its engine answers.
func (c *Controller) isLagging(a *attempt) bool {
	r := a.request
	return r.work < longWork && len(r.attempts) == 1 && a.engine.lastAnswerAt > a.startedAt &&
		c.now > a.startedAt+lagFactor*max(a.expectedDuration, r.class.meanWork)
}

// mayRunBeside tells whether a further attempt of the request may start while others are in flight; where none is there is
// nothing to ask.
func (c *Controller) mayRunBeside(r *request) bool {
	return r.inFlight == 0 || c.settings.MayHedge && (r.roomBeside == nil || r.roomBeside())
}

// hedge has the request wait for a second attempt beside the one in flight.
func (c *Controller) hedge(r *request) { c.retryQueue = append(c.retryQueue, r) }

// isRunaway tells whether the attempt, with such a share of its work done, is far behind its expected pace.
func (c *Controller) isRunaway(a *attempt, shareDone float64) bool {
	return c.now-a.startedAt > max(a.expectedDuration/runawayDivisor, runawayFactor*shareDone*a.expectedDuration)
}
