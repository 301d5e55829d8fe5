package admission

// idempotencyMargin is the time, in seconds, before the end of an idempotency window from which nothing is repeated any more.
// It allows for clock differences and late wake-ups.
const idempotencyMargin = 0.1

// mayRetry reports whether the rules allow the request another attempt, regardless of those in flight.
func (c *Controller) mayRetry(r *request) bool {
	return !r.ended && !r.streaming && len(r.attempts) < c.settings.MaxAttempts && c.mayRepeat(r)
}

// mayRepeat reports whether a repeat of the request does no harm now.
func (c *Controller) mayRepeat(r *request) bool {
	first := r.firstPossibleRun()
	if first == nil {
		return true
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return c.now < first.startedAt+r.class.IdempotencyWindow-idempotencyMargin
	default:
		return false
	}
}

// withinRetryBudget reports whether the retry budget allows another attempt. Retries are counted over one bucket more than the
// window and arrivals over one bucket less, so that no window exceeds the budget.
func (c *Controller) withinRetryBudget() bool {
	if c.settings.RetryBudgetWindow == 0 {
		return true
	}
	return c.recentRetries(c.now)+1 <= c.settings.RetryBudgetFree+c.earnedRetries(c.now)
}

// recentRetries returns the number of retries in the window.
func (c *Controller) recentRetries(now float64) float64 { return c.retries.sum(now, windowBuckets+1) }

// earnedRetries returns the number of retries that the arrivals in the window allow.
func (c *Controller) earnedRetries(now float64) float64 {
	return c.settings.RetryBudgetRatio * c.arrivals.sum(now, windowBuckets-1)
}

// SetRetryBudget sets the number of retries that this gateway may start in any window beyond those that arrivals earn.
func (c *Controller) SetRetryBudget(now, free float64) {
	c.now, c.settings.RetryBudgetFree = now, free
	c.applyRules()
}

// RetryUse returns the number of retries in the window that count against the budget of SetRetryBudget, and the number if all
// waiting retries and one more were started.
func (c *Controller) RetryUse(now float64) (used, wanted float64) {
	used = max(c.recentRetries(now)-c.earnedRetries(now), 0)
	return used, used + float64(len(c.retryQueue)) + 1
}

// unretriableRequest returns a request in the retry queue that may not be retried, or whose retry would end late.
func (c *Controller) unretriableRequest() (*request, bool) {
	for _, r := range c.retryQueue {
		if r.inFlight == 0 && (!c.mayRetry(r) || c.now+r.expectedDuration() > r.objectiveDeadline()) {
			return r, true
		}
	}
	return nil, false
}

// retryPlacement returns a request whose retry or hedge has an engine, and that engine.
func (c *Controller) retryPlacement() (placement, bool) {
	for _, r := range c.retryQueue {
		if r.waitsForBeneficiary() || !c.mayStartConcurrently(r) || !c.mayRetry(r) || !c.withinRetryBudget() {
			continue
		}
		if e := c.place(r); e != nil {
			return placement{request: r, engine: e}, true
		}
	}
	return placement{}, false
}

// waitsForBeneficiary reports whether the request was preempted for another one that is still to start.
func (r *request) waitsForBeneficiary() bool {
	return r.preemptedFor != nil && !r.preemptedFor.ended && len(r.preemptedFor.attempts) == 0
}

// Preempt cancels the attempt of a request so that another request, its beneficiary, finds capacity. The preempted request is
// retried once the beneficiary has started or ended. Preempt returns false, and cancels nothing, if either request is unknown,
// the beneficiary already has an attempt, or the rules on retries forbid it.
func (c *Controller) Preempt(now float64, id, beneficiary uint32) bool {
	c.now = now
	r, beneficiaryRequest := c.requests[id], c.requests[beneficiary]
	allowed := r != nil && beneficiaryRequest != nil && len(beneficiaryRequest.attempts) == 0 && c.mayPreempt(r)
	if allowed {
		r.preemptedFor = beneficiaryRequest
		c.toCancel = append(c.toCancel, r.attempts[len(r.attempts)-1])
	}
	c.applyRules()
	return allowed
}

// mayPreempt reports whether the request's only attempt in flight may be cancelled for another request.
func (c *Controller) mayPreempt(r *request) bool {
	return c.mayRestart(r) && c.withinRetryBudget() && !r.firstPossibleRun().cancelRequested
}

// mayRestart reports whether the request's only attempt in flight may be cancelled and started again.
func (c *Controller) mayRestart(r *request) bool {
	return c.settings.MayCancel && r.class.Idempotency == Idempotent && r.inFlight == 1 && c.mayRetry(r)
}
