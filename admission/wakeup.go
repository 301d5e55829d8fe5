package admission

import "slices"

const (
	queueWakeUp     = 0.01  // seconds between wake-ups while requests wait
	maxWakeUp       = 0.1   // maximum seconds until the next wake-up otherwise, so that silent engines are noticed
	wakeUpTolerance = 0.001 // seconds by which a wake-up may come early
	stallThreshold  = 0.1   // delay of a wake-up, in seconds, above which this gateway itself is taken to have stalled
)

// WakeUp handles a wake-up that was requested with WakeAfter.
func (c *Controller) WakeUp(now float64) {
	c.now = now
	c.applyRules()
}

// hasStalled reports whether this gateway itself has stalled, which shows in a wake-up far behind its time.
func (c *Controller) hasStalled() bool {
	return c.wakeUpAt > 0 && c.now > c.wakeUpAt+stallThreshold
}

// resetSilences restarts the silences of all engines at the current time, since this gateway could not read their answers while
// it was stalled.
func (c *Controller) resetSilences() {
	c.wakeUpAt = c.now
	for _, e := range c.endpoints.ready {
		e.lastAnswerAt = c.now
	}
}

// neededWakeUp returns the delay of a wake-up that has to be requested because none is pending, or only one that is too late.
// None is needed while no request has a deadline and the endpoint list is not waited for.
func (c *Controller) neededWakeUp() (delay float64, needed bool) {
	delay = c.wakeUpDelay()
	isNeeded := c.now > c.wakeUpAt-wakeUpTolerance || c.wakeUpAt > c.now+delay+wakeUpTolerance
	return delay, isNeeded && (len(c.deadlines) > 0 || c.isUnwatched())
}

// askForWakeUp requests a wake-up after delay seconds.
func (c *Controller) askForWakeUp(delay float64) {
	c.wakeUpAt = c.now + delay
	c.actions.WakeAfter(delay)
}

// wakeUpDelay returns a short delay while requests wait in a queue or none has a deadline. Otherwise it returns the time until
// the next deadline, at most maxWakeUp, so that silent engines are noticed.
func (c *Controller) wakeUpDelay() float64 {
	isQueued := slices.ContainsFunc(c.classes, func(class *classState) bool { return len(class.queue) > 0 })
	if next := c.deadlines.earliest(); next != nil && !isQueued && len(c.retryQueue) == 0 {
		return min(max(next.deadline-c.now, queueWakeUp), maxWakeUp)
	}
	return queueWakeUp
}
