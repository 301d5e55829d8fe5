package admission

import (
	"container/heap"
	"slices"
)

// maxQueueLength is how many requests of a class may wait before the latest is shed.
const maxQueueLength = 200

// yieldingWeight is what the priority weight of a request that yields is multiplied by.
const yieldingWeight = 0.01

// estimateBelief is how many mean requests the ratio of needed to estimated work starts with at 1.
const estimateBelief = 5

// RequestArrived takes a request.
func (c *Controller) RequestArrived(now float64, arrival Request) {
	c.now = now
	r := c.newRequest(arrival)
	c.requests[r.id] = r
	c.arrivals.add(now, 1)
	if arrival.Tenant < len(c.tenants) && !c.tenants[arrival.Tenant].take(now) {
		r.priorityWeight *= c.settings.OverQuotaWeight
	}
	if r.class.Ordered && arrival.OrderKey != 0 {
		c.orderedKeys.join(now, arrival.OrderKey, r)
		r.key.blockedUntil = max(r.key.blockedUntil, c.keysBlockedUntil)
	}
	heap.Push(&c.deadlines, r)
	c.enqueue(r)
	c.applyRules()
}

// newRequest returns the state of a request that arrives. Its work is the estimate, corrected by what answers of its class
// have needed over their estimates, or the mean of the class.
func (c *Controller) newRequest(arrival Request) *request {
	class := c.classes[arrival.Class]
	r := &request{
		id:              arrival.ID,
		class:           class,
		tables:          arrival.Tables,
		arrivedAt:       c.now - arrival.Waited,
		deadline:        min(arrival.Deadline, c.shutDownAt),
		estimatedWork:   arrival.Work,
		estimatedMemory: arrival.Memory,
		work:            class.meanWork,
		priorityWeight:  class.PriorityWeight,
		roomBeside:      arrival.MayRunConcurrently,
		yields:          arrival.Yields,
	}
	if r.yields {
		r.priorityWeight *= yieldingWeight
	}
	if r.estimatedWork > 0 {
		prior := estimateBelief * class.meanWork
		r.work = r.estimatedWork * (class.neededWork + prior) / (class.estimatedWork + prior)
	}
	for i, past := range arrival.PastAttempts {
		r.attempts = append(r.attempts, &attempt{
			request:    r,
			engine:     pastEngine(past),
			number:     i,
			startedAt:  past.StartedAt,
			mayHaveRun: true,
		})
	}
	return r
}

// enqueue has the request wait in its class's queue, or for a retry where an earlier attempt may have run.
func (c *Controller) enqueue(r *request) {
	if r.firstThatMayHaveRun() != nil {
		c.retryQueue = append(c.retryQueue, r)
		return
	}
	r.class.insert(r)
}

// insert puts a request at its place in the queue: by arrival, those that yield behind the others.
func (class *classState) insert(r *request) {
	at := len(class.queue)
	for !r.yields && at > 0 && class.queue[at-1].yields {
		at--
	}
	class.queue = slices.Insert(class.queue, at, r)
}

// isBefore tells whether the request's turn comes before another's, of whatever class.
func (r *request) isBefore(other *request) bool {
	if r.yields != other.yields {
		return other.yields
	}
	return r.arrivedAt < other.arrivedAt
}

// queuePlacement finds, of the requests that are next in their queues, the first that has an engine and has waited for the
// load report that was asked for it.
func (c *Controller) queuePlacement() (placement, bool) {
	var oldest placement
	for _, class := range c.classes {
		r := class.nextRequest(c.now)
		if r == nil || oldest.request != nil && !r.isBefore(oldest.request) || r.awaitsReport(c.now) {
			continue
		}
		if e := c.place(r); e != nil {
			oldest = placement{request: r, engine: e}
		}
	}
	return oldest, oldest.request != nil
}

// overflowingRequest finds the latest request of a queue that is too long.
func (c *Controller) overflowingRequest() (*request, bool) {
	for _, class := range c.classes {
		if n := len(class.queue); n > maxQueueLength {
			return class.queue[n-1], true
		}
	}
	return nil, false
}

// RequestCancelled tells that the client has left or has cancelled the request.
func (c *Controller) RequestCancelled(now float64, id uint32) {
	c.now = now
	if r := c.requests[id]; r != nil && !r.ended {
		c.finish(r)
	}
	c.applyRules()
}

// fail ends the request without a result.
func (c *Controller) fail(r *request) {
	c.actions.Fail(r.id)
	c.finish(r)
}

// reject ends the request and asks its client to stay away as long as it may heed. Where a repeat could do harm the
// request fails, which promises nothing.
func (c *Controller) reject(r *request) {
	if r.firstThatMayHaveRun() != nil && !r.class.repeatsAnywhere() {
		c.fail(r)
		return
	}
	c.actions.Reject(r.id, c.settings.MaxRetryAfter)
	c.finish(r)
}

// repeatsAnywhere tells whether a repeat of a request does no harm at whatever engine it runs.
func (class *Class) repeatsAnywhere() bool {
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return class.DedupScope == DedupEverywhere
	default:
		return false
	}
}

// finish closes the request: nothing more is sent for it, and its attempts in flight are cancelled.
func (c *Controller) finish(r *request) {
	r.ended = true
	r.class.queue = remove(r.class.queue, r)
	c.retryQueue = remove(c.retryQueue, r)
	if r.key != nil {
		r.key.requests = remove(r.key.requests, r)
	}
	for _, a := range r.attempts {
		if a.inFlight && c.settings.MayCancel && !r.streaming {
			c.actions.CancelAttempt(r.id, a.number)
		}
	}
	c.forgetIfDone(r)
}

// forgetIfDone drops a request that has ended once no attempt of it is in flight.
func (c *Controller) forgetIfDone(r *request) {
	if r.inFlight == 0 {
		delete(c.requests, r.id)
	}
}
