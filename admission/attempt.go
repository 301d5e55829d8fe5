package admission

import "slices"

const (
	priorityNormal = 1
	priorityShort  = 3 // for short requests, which delay long ones little
)

// startAttempt sends the request to the engine and books its grant.
func (c *Controller) startAttempt(p placement) {
	r, e := p.request, p.engine
	granted, booked := c.grant(r, c.machineOf(e))
	if len(r.attempts) > 0 {
		c.retries.add(c.now, 1)
	}
	r.class.queue = remove(r.class.queue, r)
	c.retryQueue = remove(c.retryQueue, r)
	r.candidates = nil
	e.memorySinceReport += booked
	e.threadsSinceReport += r.class.Threads
	e.recentWork.add(c.now, r.work)
	e.slowStartSlotWork += r.work
	a := &attempt{
		request:             r,
		engine:              e,
		startedAt:           c.now,
		expectedDuration:    r.expectedDuration() * e.slowdown,
		memory:              booked,
		hadReportedCapacity: c.hasReportedCapacity(r, e),
	}
	a.book()
	c.setTerms(r, granted)
	c.actions.StartAttempt(r.id, e.id)
}

// setTerms passes the priority and the grant of the next attempt to Actions if engines honor either.
func (c *Controller) setTerms(r *request, grant float64) {
	sendsGrant := c.settings.EnginesTakeGrants && grant > 0
	if !sendsGrant && !c.settings.EnginesTakePriorities {
		return
	}
	priority := uint8(priorityNormal)
	if r.work < longWork {
		priority = priorityShort
	}
	c.actions.SetAttemptTerms(r.id, priority, grant)
}

// inFlightAttempt returns an attempt without a result, or nil if it is unknown or has ended.
func (c *Controller) inFlightAttempt(id uint32, number int) *attempt {
	r := c.requests[id]
	if r == nil || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return r.attempts[number]
}

// AttemptEnded handles the result of an attempt.
func (c *Controller) AttemptEnded(now float64, id uint32, number int, result AttemptResult) {
	c.now = now
	a := c.inFlightAttempt(id, number)
	if a == nil {
		return
	}
	r := a.request
	a.mayHaveRun = result.Status.mayHaveRun()
	c.recordResult(a, result)
	a.release()
	c.capacityFreedAt = now
	c.blockKey(r, result.Status)
	switch {
	case r.ended:
		c.forgetIfDone(r)
	case result.Final || result.Status == Succeeded:
		c.finish(r)
	case r.inFlight == 0 && !slices.Contains(c.retryQueue, r):
		c.retryQueue = append(c.retryQueue, r)
	}
	c.applyRulesAfter(input{answered: a.engine})
}

// mayHaveRun reports whether the request may have run in an attempt with this outcome.
func (s Status) mayHaveRun() bool {
	return s != Overloaded && s != ConnectFailed && s != NotStarted
}

// AttemptProgressed handles a progress message of an attempt. A runaway is cancelled if its request may be started again: its
// plan or its engine is bad, and a retry will end before it.
func (c *Controller) AttemptProgressed(now float64, id uint32, number int, topic ProgressTopic, amount float64) {
	c.now = now
	if a := c.inFlightAttempt(id, number); a != nil && topic == ShareDone {
		if amount > a.progress { // work continues: the engine is not silent
			a.engine.lastAnswerAt, a.progress = now, amount
		}
		if c.isRunaway(a, amount) && c.mayRestart(a.request) {
			c.toCancel = append(c.toCancel, a)
		}
	}
	c.applyRules()
}

// attemptToCancel returns an attempt that is to be cancelled and is still in flight.
func (c *Controller) attemptToCancel() (*attempt, bool) {
	c.toCancel = slices.DeleteFunc(c.toCancel, func(a *attempt) bool {
		return !a.inFlight || a.cancelRequested || a.request.ended
	})
	if len(c.toCancel) == 0 {
		return nil, false
	}
	return c.toCancel[0], true
}

// cancelAttempt cancels the attempt. Its request waits for the result.
func (c *Controller) cancelAttempt(a *attempt) {
	a.cancelRequested = true
	c.actions.CancelAttempt(a.request.id, a.number)
}
