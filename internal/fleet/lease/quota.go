package lease

// tolerance bounds the rounding error of a sum of amounts.
const tolerance = 1e-9

// Quota is a controller's share of one quantity, and how much of it is in use. It is created by Holder.SetQuota and shares
// that holder's lock or goroutine.
type Quota struct {
	name            string
	isRate          bool          // use ends when the window has passed, not by Release
	window          float64       // seconds for which an acquisition of a rate counts as use
	floor           float64       // amount usable without a lease
	amount          float64       // amount usable in addition under a valid lease
	revision        uint64        // revision of amount
	settledRevision uint64        // latest revision that the leader has settled
	used            float64       // amount in use
	demand          float64       // amount that would be in use without a limit
	recent          []acquisition // acquisitions of a rate within the window, oldest first
}

// acquisition is an amount of a rate that was acquired at a time in seconds.
type acquisition struct{ at, amount float64 }

// applyGrant sets the amount to a grant's. A leader with a quorum never grants an earlier revision than before; if such a
// grant arrives, the lower of both amounts applies.
func (q *Quota) applyGrant(grant Grant) {
	if grant.Revision < q.revision {
		q.amount = min(q.amount, grant.Amount)
		return
	}
	if !grant.Unsettled {
		q.settledRevision = grant.Revision
	}
	q.amount, q.revision = grant.Amount, grant.Revision
}

// Release ends the use of an amount that was acquired. It does nothing for a rate, whose use ends when the window has passed.
func (q *Quota) Release(amount float64) {
	if q.isRate {
		return
	}
	q.used -= amount
	if q.used < tolerance*max(amount, 1) {
		q.used = 0
	}
}

// SetUsage sets the amount in use and the demand. It is for callers that count the use themselves instead of by Acquire and
// Release.
func (q *Quota) SetUsage(used, demand float64) { q.used, q.demand = used, demand }

// SetDemand sets the amount that would be in use without a limit.
func (q *Quota) SetDemand(demand float64) { q.demand = demand }

// Used returns the amount in use. For a rate this is what was acquired within the window.
func (q *Quota) Used(now float64) float64 {
	for q.isRate && len(q.recent) > 0 && q.recent[0].at <= now-q.window {
		q.used -= q.recent[0].amount
		q.recent = q.recent[1:]
	}
	if q.isRate && len(q.recent) == 0 {
		q.used = 0
	}
	return q.used
}
