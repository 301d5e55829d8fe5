package admission

import (
	"cmp"
	"slices"
)

const (
	silenceCheckInterval = 0.1 // seconds between looks for silent engines
	silenceHistory       = 10  // seconds over which the longest silence is kept
	minSilence           = 1   // seconds under which an engine is not silent: a pause may take as long
	minOverdueAnswers    = 4   // answers overdue that are nothing unusual
	silentRatio          = 2   // times the longest silence of late that is far out of the ordinary
	silentOverMedian     = 3   // times the median of all engines

	maxFailureShare   = 0.25 // of an engine's answers, over which it may be failing
	failureOverUsual  = 3    // times the share at all engines, over which it is failing
	trialsToRecover   = 3    // answers after its ejection that clear an engine; one may be luck
	minEjection       = 1    // seconds
	maxEjection       = 8    // seconds
	ejectionFreeReset = 10   // seconds without an ejection after which the next one is short again
)

// silenceRatio is how unusual the engine's silence is against the longest that ended with an answer of late, at any engine.
func (c *Controller) silenceRatio(e *engine) float64 {
	if len(e.inFlight) == 0 || c.now-max(e.lastAnswerAt, e.inFlight[0].startedAt) < minSilence {
		return 0
	}
	return e.overdueAnswers(c.now) / max(c.longestSilences.maxBucket(), minOverdueAnswers)
}

// mayEject keeps half of the engines in use whatever they look like: when all are slow at once none is to blame.
func (c *Controller) mayEject() bool {
	sound := 0
	for _, e := range c.endpoints.ready {
		if !e.suspected {
			sound++
		}
	}
	return 2*(sound-1) >= len(c.endpoints.ready)
}

// mayEjectAgain tells whether a suspected engine has had its ejection and may be ejected once more.
func (c *Controller) mayEjectAgain(e *engine) bool { return e.suspected && c.now >= e.ejectedUntil }

// silentEngine finds an engine whose silence is far out of the ordinary and of the others'. It answers hangs and machines
// that are gone without a word; a long pause looks the same and costs the work that is cancelled.
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

// medianSilence is the median of the silences of engines with attempts in flight, and of a zero.
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

// ejectAndMigrate ejects the engine and moves what it holds, where the rules let a request that may have run go again.
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

// isFailing tells whether the engine has a high share of failures, by itself and over the usual one: quick failures make it
// look idle, and it would draw more; slow ones are timeouts. All engines failing alike blame none.
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

// mayTry tells whether a suspected engine whose ejection is over may show with this request that it works: one at a time, of
// the lightest class, and only one that may run again.
func (c *Controller) mayTry(e *engine, r *request) bool {
	return e.suspected && c.now >= max(e.ejectedUntil, e.overloadedUntil) && len(e.inFlight) == 0 &&
		r.class.Idempotency == Idempotent && r.class == c.lightestClass()
}

// lightestClass is the class whose requests need the least work.
func (c *Controller) lightestClass() *classState {
	return slices.MinFunc(c.classes, func(x, y *classState) int { return cmp.Compare(x.meanWork, y.meanWork) })
}
