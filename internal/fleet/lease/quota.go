package lease

// tolerance is by how much sums of amounts may be off from rounding.
const tolerance = 1e-9

// Quota is a controller's share of one quantity, and its use. The Holder that made it owns it.
type Quota struct {
	name            string
	isRate          bool
	window          float64 // seconds after which a rate's use may be repeated
	floor           float64 // usable without a lease
	amount          float64 // usable under the lease
	revision        uint64  // of amount
	settledRevision uint64  // the latest that the leader knows to be kept to
	used            float64
	demand          float64       // what would be in use without a limit
	recent          []acquisition // of a rate, within the window, oldest first
}

// acquisition is a use of a rate. at is in seconds.
type acquisition struct{ at, amount float64 }

// take takes a grant. One with an earlier revision than the last contradicts a quorum; the lower amount of both counts.
func (q *Quota) take(grant Grant) {
	if grant.Revision < q.revision {
		q.amount = min(q.amount, grant.Amount)
		return
	}
	if !grant.Unsettled {
		q.settledRevision = grant.Revision
	}
	q.amount, q.revision = grant.Amount, grant.Revision
}

// Release ends the use of an amount that was acquired. A rate's use ends by itself.
func (q *Quota) Release(amount float64) {
	if q.isRate {
		return
	}
	q.used -= amount
	if q.used < tolerance*max(amount, 1) {
		q.used = 0
	}
}

// SetUsage sets what is in use, where the caller counts it, and the demand.
func (q *Quota) SetUsage(used, demand float64) { q.used, q.demand = used, demand }

// SetDemand sets what would be in use without a limit.
func (q *Quota) SetDemand(demand float64) { q.demand = demand }

// Used is what is in use: of a rate, what was acquired within the window.
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
