package admission

import (
	"maps"
	"slices"
)

// orderedKey holds the open requests with the same key. They run one after another, in order of arrival.
type orderedKey struct {
	requests     []*request // in order of arrival
	inFlight     int        // number of attempts without a result, including those of requests that have ended
	blockedUntil float64    // time before which no new request starts; set after a restart or an attempt that may still be running
}

// isIdle reports whether the key has no open request and no attempt in flight, and is not blocked.
func (k *orderedKey) isIdle(now float64) bool {
	return len(k.requests) == 0 && k.inFlight == 0 && now >= k.blockedUntil
}

// orderedKeys holds all keys that are not idle, and idle ones until the next sweep.
type orderedKeys struct {
	byKey     map[uint64]*orderedKey
	sweepSize int // number of keys at which a sweep removes the idle ones
}

// minSweepSize is the minimum number of new keys between two sweeps.
const minSweepSize = 64

// join adds the request behind the others with its key.
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

// isNextForKey reports whether the request need not wait for its ordered key: no earlier request is open or has an attempt in
// flight, and the key is not blocked. A request that already has an attempt does not wait for its key again.
func (r *request) isNextForKey(now float64) bool {
	k := r.key
	if k == nil || len(r.attempts) > 0 {
		return true
	}
	return k.requests[0] == r && k.inFlight == 0 && now >= k.blockedUntil
}

// waitForKey returns the expected time, in seconds, that the earlier requests with the same key will still take.
func (r *request) waitForKey(now float64) float64 {
	if r.key == nil {
		return 0
	}
	sum := 0.0
	for _, earlier := range r.key.requests[:slices.Index(r.key.requests, r)] {
		sum += earlier.expectedDuration()
		if earlier.inFlight > 0 {
			sum -= min(now-earlier.attempts[0].startedAt, earlier.expectedDuration())
		}
	}
	return sum
}

// blockKey keeps the following requests of the key from starting for a while after an attempt that may still be running.
func (c *Controller) blockKey(r *request, status Status) {
	if r.key == nil {
		return
	}
	switch status {
	case TimedOut, ConnectionReset, Cancelled:
		r.key.blockedUntil = c.now + c.settings.OrderedKeyBackoff
	}
}
