package admission

import (
	"cmp"
	"math"
)

const (
	answerDecay          = 0.98  // factor on sums over answers at each further answer: about the last fifty count
	minMeasuredWork      = 0.001 // CPU seconds; less work counts as this in a slowdown
	maxClassSlowdown     = 5     // cap on the slowdown of one answer in the average of its class
	maxEngineSlowdown    = 10    // cap on the slowdown of one answer, relative to its class, in the average of its engine
	classSlowdownWeight  = 0.05  // weight of a new answer in a class's slowdown
	engineSlowdownWeight = 0.1   // weight of a new answer in an engine's slowdown

	overloadBackoff = 0.2 // seconds for which nothing is sent to an engine after an overload: long enough for a few answers
	overdueTimeout  = 3   // number of expected durations after which a timeout counts as a failure
	recentAnswer    = 1   // seconds since its last answer within which a failed connect counts as one failure

	oneFailure      = 1 // weight of an error, a timeout or a lost connection: a single connection may be lost by itself
	connectFailures = 3 // weight of a failed connect: the process is gone
)

// isAnswer reports whether the outcome is an answer of the engine itself.
func (s Status) isAnswer() bool {
	return s == Succeeded || s == Overloaded || s == Failed
}

// recordResult updates what is known about the class and the engine with a result.
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
		e.shareFactor = minShareFactor
		c.halvePool()
		e.overloadedUntil = c.now + overloadBackoff
	case Failed, ConnectionReset:
		failures = oneFailure
	case TimedOut: // not a failure if little time was left
		e.shareFactor = minShareFactor
		failures = min(math.Floor(result.Duration/(overdueTimeout*a.expectedDuration)), oneFailure)
	case ConnectFailed:
		failures = connectFailures
		if e.lastAnswerAt > 0 && c.now < e.lastAnswerAt+recentAnswer { // only this connection was slow to establish
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
	slowdown := result.Duration * class.Threads / max(work, minMeasuredWork)
	if a.hadReportedCapacity {
		misled := min(math.Floor(slowdown/misleadingSlowdown), 1)
		c.misleadingReports += misleadingWeight * (misled - c.misleadingReports)
	}
	class.slowdown += classSlowdownWeight * (min(slowdown, maxClassSlowdown) - class.slowdown)
	e.slowdown += engineSlowdownWeight * (min(slowdown/class.slowdown, maxEngineSlowdown) - e.slowdown)
}

// recordNeed learns from an answer that reports the work needed.
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
