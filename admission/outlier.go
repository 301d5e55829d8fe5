package admission

import (
	"cmp"
	"slices"
)

const (
	silenceCheckInterval = 0.1 // seconds between scans for silent engines
	silenceHistory       = 10  // seconds over which the longest silence is kept
	minSilence           = 1   // seconds below which an engine is not silent: a pause may take as long
	minOverdueAnswers    = 4   // number of overdue answers that is not unusual
	silentRatio          = 2   // multiple of the longest recent silence, above which a silence is abnormal
	silentOverMedian     = 3   // multiple of the median of all engines, above which a silence is abnormal

	maxFailureShare   = 0.25 // share of failures among an engine's answers, above which it may be failing
	failureOverUsual  = 3    // multiple of the failure share of all engines, above which it is failing
	trialsToRecover   = 3    // successful answers after its ejection that clear an engine; a single one may be luck
	minEjection       = 1    // seconds
	maxEjection       = 8    // seconds
	ejectionFreeReset = 10   // seconds without an ejection after which the next one is short again
)

// silenceRatio returns how unusual the engine's silence is: its overdue answers over the most that were overdue recently, at
// any engine, in a silence that ended with an answer.
func (c *Controller) silenceRatio(e *engine) float64 {
	if len(e.inFlight) == 0 || c.now-max(e.lastAnswerAt, e.inFlight[0].startedAt) < minSilence {
		return 0
	}
	return e.overdueAnswers(c.now) / max(c.longestSilences.maxBucket(), minOverdueAnswers)
}

// mayEject reports whether another engine may be ejected. At least half of the engines stay in use whatever their state: when
// all are slow at once, no single one is at fault.
func (c *Controller) mayEject() bool {
	healthy := 0
	for _, e := range c.endpoints.ready {
		if !e.suspected {
			healthy++
		}
	}
	return 2*(healthy-1) >= len(c.endpoints.ready)
}

// mayEjectAgain reports whether the ejection of a suspected engine is over and it may be ejected once more.
func (c *Controller) mayEjectAgain(e *engine) bool { return e.suspected && c.now >= e.ejectedUntil }

// silentEngine returns an engine whose silence is abnormal compared with recent silences and with the other engines. This
// detects engines that hang and machines that disappear without notice. A long pause looks the same, and then costs the work
// that is cancelled.
func (c *Controller) silentEngine() (*engine, bool) {
	if c.now < c.silenceCheckedAt+silenceCheckInterval {
		return nil, false
	}
	median := c.medianSilence()
	for _, e := range c.endpoints.ready {
		ratio := c.silenceRatio(e)
		isSilent := ratio > silentRatio && ratio > silentOverMedian*median
		if isSilent && (!e.suspected && c.mayEject() || c.mayEjectAgain(e)) {
			return e, true
		}
	}
	c.silenceCheckedAt = c.now
	return nil, false
}

// medianSilence returns the median silence ratio of the engines with attempts in flight, with a zero added to them.
func (c *Controller) medianSilence() float64 {
	silences := []float64{0}
	for _, e := range c.endpoints.ready {
		if len(e.inFlight) > 0 {
			silences = append(silences, c.silenceRatio(e))
		}
	}
	slices.Sort(silences)
	return silences[(len(silences)-1)/2]
}

// ejectAndMigrate ejects the engine and moves its requests elsewhere, if the rules allow a request that may have run to run
// again.
func (c *Controller) ejectAndMigrate(e *engine) {
	c.eject(e)
	for _, a := range e.inFlight {
		switch {
		case a.request.inFlight > 1 || !c.mayRetry(a.request):
		case c.settings.MayCancel:
			c.toCancel = append(c.toCancel, a)
		case c.settings.MayHedge && !slices.Contains(c.retryQueue, a.request):
			c.retryQueue = append(c.retryQueue, a.request)
		}
	}
}

// isFailing reports whether the engine's failure share is high, both in itself and compared with that of all engines. Quick
// failures make an engine look idle, so that it would attract more requests; slow ones are timeouts. If all engines fail alike,
// no single one is at fault. For a suspected engine whose ejection is over, any failure is enough.
func (c *Controller) isFailing(e *engine) bool {
	share := e.answers.failureShare(c.now)
	exceedsUsual := share > max(maxFailureShare, failureOverUsual*c.answers.failureShare(c.now))
	return !e.suspected && exceedsUsual && c.mayEject() || share > 0 && c.mayEjectAgain(e)
}

// eject keeps requests from the engine, twice as long at each relapse.
func (c *Controller) eject(e *engine) {
	if c.now > e.ejectedUntil+ejectionFreeReset {
		e.ejectionLength = 0
	}
	e.ejectionLength = min(max(2*e.ejectionLength, minEjection), maxEjection)
	e.ejectedUntil = c.now + e.ejectionLength
	e.suspected, e.trialsPassed = true, 0
	e.answers = newAnswerCounts()
}

// mayStartTrial reports whether the request may run as a trial on a suspected engine whose ejection is over. Trials run one at
// a time, and only with idempotent requests of the lightest class.
func (c *Controller) mayStartTrial(e *engine, r *request) bool {
	return e.suspected && c.now >= max(e.ejectedUntil, e.overloadedUntil) && len(e.inFlight) == 0 &&
		r.class.Idempotency == Idempotent && r.class == c.lightestClass()
}

// lightestClass returns the class whose requests need the least work.
func (c *Controller) lightestClass() *classState {
	return slices.MinFunc(c.classes, func(x, y *classState) int { return cmp.Compare(x.meanWork, y.meanWork) })
}
