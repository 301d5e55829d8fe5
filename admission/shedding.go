package admission

// queueCheckInterval is the time between scans of the queues for requests to shed, in seconds.
const queueCheckInterval = 0.02

// requestToShed returns a request to reject because it, or one behind it in the queue, would miss its latency objective. A
// request would miss it if the time left is shorter than its expected duration, or will be by its turn in the queue. In the
// latter case, as in the Moore-Hodgson algorithm, the request to reject is the one with the least priority weight for its work
// among those up to and including the late one. A wrong estimate of the rate at which work completes sheds too many requests.
func (c *Controller) requestToShed() (*request, bool) {
	if c.now < c.queuesCheckedAt+queueCheckInterval {
		return nil, false
	}
	for _, class := range c.classes {
		if r := c.requestToShedFrom(class); r != nil {
			return r, true
		}
	}
	c.queuesCheckedAt = c.now
	return nil, false
}

// requestToShedFrom scans the queue of one class. It returns nil if no request would be late.
func (c *Controller) requestToShedFrom(class *classState) *request {
	rate, workAhead := class.completedWork.maxRate(), 0.0
	for i, r := range class.queue {
		wait := r.waitForKey(c.now)
		if r.key == nil && rate > 0 {
			wait = workAhead / rate
		}
		slack := r.objectiveDeadline() - c.now - r.expectedDuration()
		if slack < wait {
			if slack < 0 { // shedding another request would not help
				return r
			}
			return class.leastValuableUpTo(i)
		}
		workAhead += r.work
	}
	return nil
}

// leastValuableUpTo returns the request with the least priority weight for its work among the i-th in the queue and those
// before it. Only requests with the same ordered key as the i-th one are considered, since no others make room for it; if it has
// no key, only those without one.
func (class *classState) leastValuableUpTo(i int) *request {
	late := class.queue[i]
	leastValuable := late
	for _, r := range class.queue[:i] {
		if r.key == late.key && r.priorityWeight/r.work < leastValuable.priorityWeight/leastValuable.work {
			leastValuable = r
		}
	}
	return leastValuable
}
