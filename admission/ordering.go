package admission

import (
	"maps"
	"slices"
)

// orderedKey holds the open requests of one key. They run one after another, in order of arrival.
type orderedKey struct {
	requests     []*request // in order of arrival
	inFlight     int        // attempts without a result, those of requests that have ended included
	blockedUntil float64    // time before which no further request starts; set where an attempt may still run
}

// isIdle tells whether nothing of the key is open and no wait binds it.
func (k *orderedKey) isIdle(now float64) bool {
	return len(k.requests) == 0 && k.inFlight == 0 && now >= k.blockedUntil
}

// orderedKeys holds the keys with an open request, and idle ones until the next sweep.
type orderedKeys struct {
	byKey     map[uint64]*orderedKey
	sweepSize int // number of keys at which idle ones are forgotten
}

// minSweepSize is the least number of new keys between two sweeps.
const minSweepSize = 64

// join puts the request behind those of its key.
func (o *orderedKeys) join(now float64, key uint64, r *request) {
	if len(o.byKey) >= o.sweepSize {
		maps.DeleteFunc(o.byKey, func(_ uint64, k *orderedKey) bool { return k.isIdle(now) })
		o.sweepSize = 2*len(o.byKey) + minSweepSize
	}
	if o.byKey[key] == nil {
		o.byKey[key] = &orderedKey{}
	}
	r.key = o.byKey[key]
	r.key.requests = append(r.key.requests, r)
}

// isNextOfItsKey tells whether no other request of the key has to run or to be waited for first. A request that was sent
// before does not wait for its key again.
func (r *request) isNextOfItsKey(now float64) bool {
	k := r.key
	if k == nil || len(r.attempts) > 0 {
		return true
	}
	return k.requests[0] == r && k.inFlight == 0 && now >= k.blockedUntil
}

// waitForKey is how many seconds the requests before it with its key will take.
func (r *request) waitForKey(now float64) float64 {
	if r.key == nil {
		return 0
	}
	sum := 0.0
	for _, before := range r.key.requests[:slices.Index(r.key.requests, r)] {
		sum += before.expectedDuration()
		if before.inFlight > 0 {
			sum -= min(now-before.attempts[0].startedAt, before.expectedDuration())
		}
	}
	return sum
}

// blockKey keeps the requests behind back after an attempt that may still run.
func (c *Controller) blockKey(r *request, status Status) {
	if r.key == nil {
		return
	}
	switch status {
	case TimedOut, ConnectionReset, Cancelled:
		r.key.blockedUntil = c.now + c.settings.OrderedKeyBackoff
	}
}
