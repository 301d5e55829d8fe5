package admission

// queueCheckInterval is how often the queues are looked through for requests to shed, in seconds.
const queueCheckInterval = 0.02

// requestToShed finds a request to reject because it, or one behind it in the queue, would end past its latency objective:
// the time left is under its expected duration, or will be by its turn. Then, as in the Moore-Hodgson algorithm, the one of
// least priority weight for its work gives way among those up to there. A wrong estimate of the rate sheds too much.
func (c *Controller) requestToShed() (*request, bool) {
	if c.now < c.queuesCheckedAt+queueCheckInterval {
		return nil, false
	}
	for _, class := range c.classes {
		if r := c.requestToShedOf(class); r != nil {
			return r, true
		}
	}
	c.queuesCheckedAt = c.now
	return nil, false
}

// requestToShedOf looks through the queue of one class, nil where none would end late.
func (c *Controller) requestToShedOf(class *classState) *request {
	rate, workAhead := class.completedWork.maxRate(), 0.0
	for i, r := range class.queue {
		wait := r.waitForKey(c.now)
		if r.key == nil && rate > 0 {
			wait = workAhead / rate
		}
		left := r.objectiveTime() - c.now - r.expectedDuration()
		if left < wait {
			if left < 0 { // no other's place would help
				return r
			}
			return class.leastValuableUpTo(i)
		}
		workAhead += r.work
	}
	return nil
}

// leastValuableUpTo returns the request of least priority weight for its work among the i-th in the queue and those before it.
// Of requests in order only those with the same key make room.
func (class *classState) leastValuableUpTo(i int) *request {
	late := class.queue[i]
	least := late
	for _, r := range class.queue[:i] {
		if r.key == late.key && r.priorityWeight/r.work < least.priorityWeight/least.work {
			least = r
		}
	}
	return least
}
