package admission

// idempotencyMargin is kept before the end of an idempotency window, for clocks and wake-ups, in seconds.
const idempotencyMargin = 0.1

// mayRetry tells whether the rules let the request have a further attempt, whatever is in flight.
func (c *Controller) mayRetry(r *request) bool {
	return !r.ended && !r.streaming && len(r.attempts) < c.settings.MaxAttempts && c.mayRepeat(r)
}

// mayRepeat tells whether a repeat of the request does no harm now.
func (c *Controller) mayRepeat(r *request) bool {
	first := r.firstThatMayHaveRun()
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

// withinRetryBudget tells whether the budget bears a further attempt. Retries are counted over a bucket more than the window
// and arrivals over a bucket less, so that no window holds too many.
func (c *Controller) withinRetryBudget() bool {
	if c.settings.RetryBudgetWindow == 0 {
		return true
	}
	return c.recentRetries(c.now)+1 <= c.settings.RetryBudgetFree+c.earnedRetries(c.now)
}

// recentRetries are the retries in the window.
func (c *Controller) recentRetries(now float64) float64 { return c.retries.sum(now, windowBuckets+1) }

// earnedRetries are the retries that the arrivals in the window allow.
func (c *Controller) earnedRetries(now float64) float64 {
	return c.settings.RetryBudgetRatio * c.arrivals.sum(now, windowBuckets-1)
}

// SetRetryBudget tells how many retries beyond those that arrivals earn any window may hold here.
func (c *Controller) SetRetryBudget(now, free float64) {
	c.now, c.settings.RetryBudgetFree = now, free
	c.applyRules()
}

// RetryUse tells how many retries of the window go against what SetRetryBudget told, and how many would.
func (c *Controller) RetryUse(now float64) (used, wanted float64) {
	used = max(c.recentRetries(now)-c.earnedRetries(now), 0)
	return used, used + float64(len(c.retryQueue)) + 1
}

// unretriableRequest finds a request waiting for a retry that may have none, or would end late.
func (c *Controller) unretriableRequest() (*request, bool) {
	for _, r := range c.retryQueue {
		if r.inFlight == 0 && (!c.mayRetry(r) || c.now+r.expectedDuration() > r.objectiveTime()) {
			return r, true
		}
	}
	return nil, false
}

// retryPlacement finds a request whose retry or hedge has an engine.
func (c *Controller) retryPlacement() (placement, bool) {
	for _, r := range c.retryQueue {
		if r.waitsForBeneficiary() || !c.mayRunBeside(r) || !c.mayRetry(r) || !c.withinRetryBudget() {
			continue
		}
		if e := c.place(r); e != nil {
			return placement{request: r, engine: e}, true
		}
	}
	return placement{}, false
}

// waitsForBeneficiary tells whether the request for which this one was preempted is still to start.
func (r *request) waitsForBeneficiary() bool {
	return r.preemptedFor != nil && !r.preemptedFor.ended && len(r.preemptedFor.attempts) == 0
}

// Preempt asks that the attempt of a request be cancelled so that another one, its beneficiary, finds capacity. The request
// is retried once that one has started. The rules on retries hold for it; false tells that they forbid it.
func (c *Controller) Preempt(now float64, id, beneficiary uint32) bool {
	c.now = now
	r, other := c.requests[id], c.requests[beneficiary]
	may := r != nil && other != nil && len(other.attempts) == 0 && c.mayPreempt(r)
	if may {
		r.preemptedFor = other
		c.toCancel = append(c.toCancel, r.attempts[len(r.attempts)-1])
	}
	c.applyRules()
	return may
}

// mayPreempt tells whether the request's only attempt in flight may be cancelled for another request.
func (c *Controller) mayPreempt(r *request) bool {
	return c.mayRestart(r) && c.withinRetryBudget() && !r.firstThatMayHaveRun().cancelRequested
}

// mayRestart tells whether the request's only attempt in flight may be cancelled and started anew.
func (c *Controller) mayRestart(r *request) bool {
	return c.settings.MayCancel && r.class.Idempotency == Idempotent && r.inFlight == 1 && c.mayRetry(r)
}
