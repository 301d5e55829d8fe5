package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Holder has the leases of one incarnation of a controller. Times are seconds of its clock.
type Holder struct {
	timing       Timing
	startedAt    float64
	expiresAt    float64 // of the latest lease; all quotas share it
	lastRequest  uint64
	lastAnswered uint64
	unanswered   map[uint64]float64 // when requests without an answer were made, by number
	quotas       map[string]*Quota  // by quantity
	revoked      bool               // a later incarnation has joined under the name; never reset
}

// New starts without any lease, and without floors until everything that an earlier incarnation began has ended.
func New(now float64, timing Timing) *Holder {
	return &Holder{
		timing:     timing,
		startedAt:  now,
		expiresAt:  math.Inf(-1),
		unanswered: map[uint64]float64{},
		quotas:     map[string]*Quota{},
	}
}

// SetQuota adds a quantity, or changes its floor and its window in seconds. A window of 0 is for one that is in use until
// it is released.
func (h *Holder) SetQuota(name string, floor, window float64) *Quota {
	quota := h.quotas[name]
	if quota == nil {
		quota = &Quota{name: name}
		h.quotas[name] = quota
	}
	quota.floor, quota.window, quota.isRate = floor, window, window > 0
	return quota
}

// NeedsRenewal tells whether the next request should be made soon: more is wanted than may be used, or an allocation that
// was lowered has to be settled.
func (h *Holder) NeedsRenewal(now float64) bool {
	for _, quota := range h.quotas {
		if quota.demand > h.Limit(now, quota)+tolerance || quota.revision > quota.settledRevision {
			return true
		}
	}
	return false
}

// UsageReport is what a request says about one quantity.
type UsageReport struct {
	Quantity     string
	Revision     uint64 // of the allocation that is kept to, 0 where that was reported before
	Used, Demand float64
}

// NewRequest numbers a request and gives the reports, by quantity, that go with it.
func (h *Holder) NewRequest(now float64) (number uint64, reports []UsageReport) {
	h.lastRequest++
	h.unanswered[h.lastRequest] = now
	for earlier, at := range h.unanswered { // an answer to it would grant nothing any more
		if now > at+h.timing.TTL {
			delete(h.unanswered, earlier)
		}
	}
	for _, quota := range h.quotas {
		report := UsageReport{Quantity: quota.name, Used: quota.Used(now), Demand: quota.demand}
		if quota.revision > quota.settledRevision {
			report.Revision = quota.revision
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(x, y UsageReport) int { return cmp.Compare(x.Quantity, y.Quantity) })
	return h.lastRequest, reports
}

// Grant is the leader's answer about one quantity.
type Grant struct {
	Quantity  string  `msgpack:"Name"`
	Amount    float64 `msgpack:"Amount"`
	Revision  uint64  `msgpack:"Number"`
	Unsettled bool    `msgpack:"Bound"` // more than Amount is still counted against this controller
}

// RequestedAt tells when a request was made that has not been answered yet.
func (h *Holder) RequestedAt(number uint64) (at float64, waiting bool) {
	at, waiting = h.unanswered[number]
	return at, waiting
}

// Renew takes the grants that answer a request, and tells whether they count. They don't when a later request was answered
// before, the request is older than a lease, or the holder was revoked. A quantity without a grant has no amount.
func (h *Holder) Renew(number uint64, grants []Grant) bool {
	requestedAt, waiting := h.unanswered[number]
	if !waiting || number <= h.lastAnswered || h.revoked {
		return false
	}
	h.lastAnswered = number
	maps.DeleteFunc(h.unanswered, func(earlier uint64, _ float64) bool { return earlier <= number })
	h.expiresAt = max(h.expiresAt, requestedAt+h.timing.TTL*(1-h.timing.MaxDrift))
	granted := map[string]bool{}
	for _, grant := range grants {
		if quota := h.quotas[grant.Quantity]; quota != nil {
			granted[grant.Quantity] = true
			quota.take(grant)
		}
	}
	for name, quota := range h.quotas {
		if !granted[name] {
			quota.amount = 0
		}
	}
	return true
}

// Revoke tells that a later incarnation has joined under the name: this one may begin nothing any more.
func (h *Holder) Revoke() {
	h.revoked = true
	h.expiresAt = math.Inf(-1)
	for _, quota := range h.quotas {
		quota.amount, quota.floor = 0, 0
	}
}

// Valid tells whether the lease holds now.
func (h *Holder) Valid(now float64) bool { return now < h.expiresAt }

// ExpiresAt is when the lease expires unless it is renewed, minus infinity before the first one.
func (h *Holder) ExpiresAt() float64 { return h.expiresAt }

// Limit is how much of a quantity may be in use now. The floor holds without a lease, except at the start of an
// incarnation, while an earlier one of the name may still use it.
func (h *Holder) Limit(now float64, quota *Quota) (limit float64) {
	if now >= h.startedAt+h.timing.ExpiryBound()+h.timing.Linger {
		limit = quota.floor
	}
	if h.Valid(now) {
		limit += quota.amount
	}
	return limit
}

// Acquire takes an amount into use if the limit leaves room for it.
func (h *Holder) Acquire(now float64, quota *Quota, amount float64) bool {
	if quota.Used(now)+amount > h.Limit(now, quota)+tolerance {
		return false
	}
	quota.used += amount
	if quota.isRate {
		quota.recent = append(quota.recent, acquisition{now, amount})
	}
	return true
}
