package admission

import "slices"

const (
	hedgeCheckInterval = 0.02 // seconds between scans for lagging attempts
	lagFactor          = 3    // multiple of the expected duration within which nine in ten attempts end
	runawayDivisor     = 2    // an attempt is not a runaway before its expected duration divided by this
	runawayFactor      = 5    // a runaway has taken more than this multiple of the expected duration of the share that is done
)

// laggingRequest returns a short request that has been in flight at an engine for long while the engine answered others: it is
// blocked by a write to its tables, or its answer was lost. A hedge costs little, but is wasted if estimates are poor.
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

// isLagging reports whether the attempt is the only one of a short request and is far behind although its engine has answered
// others since.
func (c *Controller) isLagging(a *attempt) bool {
	r := a.request
	return r.work < longWork && len(r.attempts) == 1 && a.engine.lastAnswerAt > a.startedAt &&
		c.now > a.startedAt+lagFactor*max(a.expectedDuration, r.class.meanWork)
}

// mayStartConcurrently reports whether another attempt of the request may start while others are in flight. If none is in
// flight, it returns true without asking the request's budget.
func (c *Controller) mayStartConcurrently(r *request) bool {
	return r.inFlight == 0 || c.settings.MayHedge && (r.mayRunConcurrently == nil || r.mayRunConcurrently())
}

// hedge adds the request to the retry queue for a second attempt, concurrent with the one in flight.
func (c *Controller) hedge(r *request) { c.retryQueue = append(c.retryQueue, r) }

// isRunaway reports whether the attempt, with shareDone of its work done, is far behind its expected progress.
func (c *Controller) isRunaway(a *attempt, shareDone float64) bool {
	return c.now-a.startedAt > max(a.expectedDuration/runawayDivisor, runawayFactor*shareDone*a.expectedDuration)
}
