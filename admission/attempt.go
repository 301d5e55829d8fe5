package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	priorityNormal = 1
	priorityShort  = 3 // for short requests, which cost long ones little
)

const (
	answerDecay       = 0.98  // kept of sums over answers at each further one: about the last fifty count
	minMeasuredWork   = 0.001 // CPU seconds
	maxPace           = 5     // run time over work alone that one answer counts for at most
	maxEngineSlowdown = 10    // run time over the class's that one answer counts for at most
	classPaceWeight   = 0.05  // of a new answer in a class's slowdown
	enginePaceWeight  = 0.1   // of a new answer in an engine's slowdown

	overloadBackoff = 0.2 // seconds, long enough for a few answers
	overdueTimeout  = 3   // expected durations after which a timeout counts as a failure
	recentAnswer    = 1   // seconds since its last answer within which a failed connect is one failure

	oneFailure      = 1 // an error, a timeout or a lost connection: one connection may be lost alone
	connectFailures = 3 // a connect that failed: the process is gone
)

// startAttempt sends the request to the engine and books its grant.
func (c *Controller) startAttempt(p placement) {
	r, e := p.request, p.engine
	named, counted := c.grant(r, c.machineOf(e))
	if len(r.attempts) > 0 {
		c.retries.add(c.now, 1)
	}
	r.class.queue = remove(r.class.queue, r)
	c.retryQueue = remove(c.retryQueue, r)
	r.candidates = nil
	e.memorySinceReport += counted
	e.threadsSinceReport += r.class.Threads
	e.recentWork.add(c.now, r.work)
	e.slowStartSlotWork += r.work
	a := &attempt{
		request:             r,
		engine:              e,
		startedAt:           c.now,
		expectedDuration:    r.expectedDuration() * e.slowdown,
		memory:              counted,
		hadReportedCapacity: c.hasReportedCapacity(r, e),
	}
	a.book()
	c.setTerms(r, named)
	c.actions.StartAttempt(r.id, e.id)
}

// setTerms tells the priority and the grant of the attempt where engines heed either.
func (c *Controller) setTerms(r *request, grant float64) {
	heedsGrant := c.settings.EnginesTakeGrants && grant > 0
	if !heedsGrant && !c.settings.EnginesTakePriorities {
		return
	}
	priority := uint8(priorityNormal)
	if r.work < longWork {
		priority = priorityShort
	}
	c.actions.SetAttemptTerms(r.id, priority, grant)
}

// inFlightAttempt returns an attempt without a result, nil where it is not known or has ended.
func (c *Controller) inFlightAttempt(id uint32, number int) *attempt {
	r := c.requests[id]
	if r == nil || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return r.attempts[number]
}

// AttemptEnded tells how an attempt ended.
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

// mayHaveRun tells whether the status leaves it open that the request ran.
func (s Status) mayHaveRun() bool {
	return s != Overloaded && s != ConnectFailed && s != NotStarted
}

// isAnswer tells whether the engine itself said something.
func (s Status) isAnswer() bool {
	return s == Succeeded || s == Overloaded || s == Failed
}

// recordResult learns from a result, for the class and the engine.
func (c *Controller) recordResult(a *attempt, result AttemptResult) {
	e := a.engine
	if result.Status.isAnswer() {
		c.longestSilences.raiseTo(c.now, e.overdueAnswers(c.now))
		e.lastAnswerAt = c.now
	}
	successes, failures := 0.0, 0.0
	switch result.Status {
	case Succeeded:
		successes = 1
		c.recordSuccess(a, result)
	case Overloaded:
		e.shareFactor = shareFactorAtRest
		c.halvePool()
		e.overloadedUntil = c.now + overloadBackoff
	case Failed, ConnectionReset:
		failures = oneFailure
	case TimedOut: // no failure where little time was left
		e.shareFactor = shareFactorAtRest
		failures = min(math.Floor(result.Duration/(overdueTimeout*a.expectedDuration)), oneFailure)
	case ConnectFailed:
		failures = connectFailures
		if e.lastAnswerAt > 0 && c.now < e.lastAnswerAt+recentAnswer { // that one connection came up late
			failures = oneFailure
		}
	}
	e.answers.add(c.now, successes, failures)
	if failures < connectFailures {
		c.answers.add(c.now, successes, failures)
	}
}

// recordSuccess learns from a complete answer what requests of the class need and how fast the engine is.
func (c *Controller) recordSuccess(a *attempt, result AttemptResult) {
	e, class := a.engine, a.request.class
	e.trialsPassed++
	e.suspected = e.suspected && e.trialsPassed < trialsToRecover
	if result.Work > 0 {
		class.recordNeed(a.request, result)
	}
	work := cmp.Or(result.Work, a.request.work)
	class.completedWork.add(c.now, work)
	pace := result.Duration * class.Threads / max(work, minMeasuredWork)
	if a.hadReportedCapacity {
		misled := min(math.Floor(pace/misleadingSlowdown), 1)
		c.misleadingReports += misleadingWeight * (misled - c.misleadingReports)
	}
	class.slowdown += classPaceWeight * (min(pace, maxPace) - class.slowdown)
	e.slowdown += enginePaceWeight * (min(pace/class.slowdown, maxEngineSlowdown) - e.slowdown)
}

// recordNeed learns from an answer that tells the work needed.
func (class *classState) recordNeed(r *request, result AttemptResult) {
	class.answers = class.answers*answerDecay + 1
	class.neededMemory = class.neededMemory*answerDecay + result.Memory
	class.neededWork = class.neededWork*answerDecay + result.Work
	class.estimatedWork = class.estimatedWork*answerDecay + r.estimatedWork
	class.meanWork = class.neededWork / class.answers
	if r.estimatedMemory > 0 && result.Memory > 0 {
		ratio := math.Log(result.Memory / r.estimatedMemory)
		class.estimatedAnswers = class.estimatedAnswers*answerDecay + 1
		class.logRatios = class.logRatios*answerDecay + ratio
		class.squaredLogRatios = class.squaredLogRatios*answerDecay + ratio*ratio
	}
}

// attemptToCancel finds an attempt that is to be cancelled and still in flight.
func (c *Controller) attemptToCancel() (*attempt, bool) {
	c.toCancel = slices.DeleteFunc(c.toCancel, func(a *attempt) bool {
		return !a.inFlight || a.cancelRequested || a.request.ended
	})
	if len(c.toCancel) == 0 {
		return nil, false
	}
	return c.toCancel[0], true
}

// cancelAttempt cancels the attempt; its request waits for the result.
func (c *Controller) cancelAttempt(a *attempt) {
	a.cancelRequested = true
	c.actions.CancelAttempt(a.request.id, a.number)
}
