package admission

import "slices"

const (
	queueWakeUp     = 0.01  // seconds between wake-ups while requests wait
	maxWakeUp       = 0.1   // seconds to the next wake-up otherwise, for silences
	wakeUpTolerance = 0.001 // seconds by which a wake-up may come early
	stallThreshold  = 0.1   // seconds by which a wake-up comes late where the gateway itself stood still
)

// WakeUp tells that a wake-up asked for is due.
func (c *Controller) WakeUp(now float64) {
	c.now = now
	c.applyRules()
}

// hasStalled tells, by a wake-up far behind its time, that the gateway itself stood still.
func (c *Controller) hasStalled() bool {
	return c.wakeUpAt > 0 && c.now > c.wakeUpAt+stallThreshold
}

// resetSilences has silences count from now: while the gateway stood still no engine was silent.
func (c *Controller) resetSilences() {
	c.wakeUpAt = c.now
	for _, e := range c.endpoints.ready {
		e.lastAnswerAt = c.now
	}
}

// neededWakeUp finds the delay of a wake-up that has to be asked for: none is to come, or only one too late.
func (c *Controller) neededWakeUp() (delay float64, needed bool) {
	delay = c.wakeUpDelay()
	isDue := c.now > c.wakeUpAt-wakeUpTolerance || c.wakeUpAt > c.now+delay+wakeUpTolerance
	return delay, isDue && (len(c.deadlines) > 0 || c.isUnwatched())
}

// askForWakeUp asks for a wake-up after so many seconds.
func (c *Controller) askForWakeUp(delay float64) {
	c.wakeUpAt = c.now + delay
	c.actions.WakeAfter(delay)
}

// wakeUpDelay is short while requests wait, for the queues; else it is for silences, or up to the next deadline.
func (c *Controller) wakeUpDelay() float64 {
	isQueued := slices.ContainsFunc(c.classes, func(class *classState) bool { return len(class.queue) > 0 })
	if next := c.deadlines.earliest(); next != nil && !isQueued && len(c.retryQueue) == 0 {
		return min(max(next.deadline-c.now, queueWakeUp), maxWakeUp)
	}
	return queueWakeUp
}
