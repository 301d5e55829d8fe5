package admission

import (
	"container/heap"
	"slices"
)

// maxQueueLength is the number of requests that may wait in the queue of a class. Beyond it, the last one is shed.
const maxQueueLength = 200

// yieldingWeight is the factor on the priority weight of a request that yields.
const yieldingWeight = 0.01

// estimatePriorWeight is the weight, in mean requests, of the assumption that estimates of work are right. The correction of
// estimates starts from it and moves to what answers needed.
const estimatePriorWeight = 5

// RequestArrived handles the arrival of a request.
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

// newRequest returns the state of an arriving request. Its work is the client's estimate, corrected by the ratio of needed to
// estimated work in past answers of its class, or the class's mean if there is no estimate.
func (c *Controller) newRequest(arrival Request) *request {
	class := c.classes[arrival.Class]
	r := &request{
		id:                 arrival.ID,
		class:              class,
		tables:             arrival.Tables,
		arrivedAt:          c.now - arrival.Waited,
		deadline:           min(arrival.Deadline, c.shutDownAt),
		estimatedWork:      arrival.Work,
		estimatedMemory:    arrival.Memory,
		work:               class.meanWork,
		priorityWeight:     class.PriorityWeight,
		mayRunConcurrently: arrival.MayRunConcurrently,
		yields:             arrival.Yields,
	}
	if r.yields {
		r.priorityWeight *= yieldingWeight
	}
	if r.estimatedWork > 0 {
		priorWork := estimatePriorWeight * class.meanWork
		r.work = r.estimatedWork * (class.neededWork + priorWork) / (class.estimatedWork + priorWork)
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

// enqueue adds the request to the queue of its class, or to the retry queue if an earlier attempt may have run.
func (c *Controller) enqueue(r *request) {
	if r.firstPossibleRun() != nil {
		c.retryQueue = append(c.retryQueue, r)
		return
	}
	r.class.insert(r)
}

// insert adds a request to the queue: in order of arrival, with those that yield behind the others.
func (class *classState) insert(r *request) {
	position := len(class.queue)
	for !r.yields && position > 0 && class.queue[position-1].yields {
		position--
	}
	class.queue = slices.Insert(class.queue, position, r)
}

// startsBefore reports whether the request's turn comes before that of other, which may be of another class.
func (r *request) startsBefore(other *request) bool {
	if r.yields != other.yields {
		return other.yields
	}
	return r.arrivedAt < other.arrivedAt
}

// queuePlacement looks at the next request of each queue. Among those that have an engine and no longer wait for a load report,
// it returns the one whose turn comes first, with its engine.
func (c *Controller) queuePlacement() (placement, bool) {
	var first placement
	for _, class := range c.classes {
		r := class.nextRequest(c.now)
		if r == nil || first.request != nil && !r.startsBefore(first.request) || r.awaitsReport(c.now) {
			continue
		}
		if e := c.place(r); e != nil {
			first = placement{request: r, engine: e}
		}
	}
	return first, first.request != nil
}

// overflowingRequest returns the last request of a queue that is too long.
func (c *Controller) overflowingRequest() (*request, bool) {
	for _, class := range c.classes {
		if n := len(class.queue); n > maxQueueLength {
			return class.queue[n-1], true
		}
	}
	return nil, false
}

// RequestCancelled handles a request whose client has disconnected or has cancelled it.
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

// reject ends the request and asks its client to wait for MaxRetryAfter before it sends the request again. If a repeat could do
// harm, the request fails instead, which promises nothing about repeats.
func (c *Controller) reject(r *request) {
	if r.firstPossibleRun() != nil && !r.class.isRepeatableAnywhere() {
		c.fail(r)
		return
	}
	c.actions.Reject(r.id, c.settings.MaxRetryAfter)
	c.finish(r)
}

// isRepeatableAnywhere reports whether a repeat of a request does no harm on any engine.
func (class *Class) isRepeatableAnywhere() bool {
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return class.DedupScope == DedupEverywhere
	default:
		return false
	}
}

// finish closes the request: nothing more is sent for it, and its attempts in flight are cancelled if that is allowed.
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

// forgetIfDone removes a request that has ended once no attempt of it is in flight.
func (c *Controller) forgetIfDone(r *request) {
	if r.inFlight == 0 {
		delete(c.requests, r.id)
	}
}
