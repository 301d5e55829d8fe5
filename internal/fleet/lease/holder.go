package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Holder holds the leases of one incarnation of a controller. Times are seconds of the controller's clock.
type Holder struct {
	timing       Timing
	startedAt    float64
	expiresAt    float64            // expiry of the latest lease, shared by all quotas
	lastRequest  uint64             // number of the latest request
	lastAnswered uint64             // number of the latest request that was answered
	unanswered   map[uint64]float64 // time of each request without an answer, by number
	quotas       map[string]*Quota  // by quantity
	revoked      bool               // a later incarnation has joined under the same name; never reset
}

// New returns a holder without a lease. Its floors may not be used until everything that an earlier incarnation began has
// ended.
func New(now float64, timing Timing) *Holder {
	return &Holder{
		timing:     timing,
		startedAt:  now,
		expiresAt:  math.Inf(-1),
		unanswered: map[uint64]float64{},
		quotas:     map[string]*Quota{},
	}
}

// SetQuota adds a quantity, or changes its floor and its window in seconds. The use of a quantity with a window ends when
// the window has passed; with a window of 0 it ends when it is released.
func (h *Holder) SetQuota(name string, floor, window float64) *Quota {
	quota := h.quotas[name]
	if quota == nil {
		quota = &Quota{name: name}
		h.quotas[name] = quota
	}
	quota.floor, quota.window, quota.isRate = floor, window, window > 0
	return quota
}

// NeedsRenewal reports whether the next request should be made early, because the demand for a quantity exceeds its limit
// or because the leader doesn't know yet that this controller keeps to its latest allocation.
func (h *Holder) NeedsRenewal(now float64) bool {
	for _, quota := range h.quotas {
		if quota.demand > h.Limit(now, quota)+tolerance || quota.revision > quota.settledRevision {
			return true
		}
	}
	return false
}

// UsageReport is the part of a request that concerns one quantity.
type UsageReport struct {
	Quantity     string
	Revision     uint64 // revision of the allocation that the controller keeps to; 0 if the leader has settled it already
	Used, Demand float64
}

// NewRequest returns the number of a new request and the reports that go with it, sorted by quantity.
func (h *Holder) NewRequest(now float64) (number uint64, reports []UsageReport) {
	h.lastRequest++
	h.unanswered[h.lastRequest] = now
	for earlier, requestedAt := range h.unanswered {
		if now > requestedAt+h.timing.TTL { // a lease that was requested then would have expired by now
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

// Grant is the part of the leader's answer that concerns one quantity.
type Grant struct {
	Quantity  string  `msgpack:"Name"`
	Amount    float64 `msgpack:"Amount"`
	Revision  uint64  `msgpack:"Number"`
	Unsettled bool    `msgpack:"Bound"` // more than Amount is still committed to this controller
}

// RequestedAt returns when a request was made. pending is false if it is unknown, answered or too old.
func (h *Holder) RequestedAt(number uint64) (requestedAt float64, pending bool) {
	requestedAt, pending = h.unanswered[number]
	return requestedAt, pending
}

// Renew applies the grants that answer a request, and reports whether it did. Grants are ignored if a later request was
// answered before, if the request was forgotten because its lease would have expired, or if the holder was revoked. The
// amount of a quantity without a grant becomes 0.
func (h *Holder) Renew(number uint64, grants []Grant) bool {
	requestedAt, pending := h.unanswered[number]
	if !pending || number <= h.lastAnswered || h.revoked {
		return false
	}
	h.lastAnswered = number
	maps.DeleteFunc(h.unanswered, func(earlier uint64, _ float64) bool { return earlier <= number })
	h.expiresAt = max(h.expiresAt, requestedAt+h.timing.TTL*(1-h.timing.MaxDrift))
	granted := map[string]bool{}
	for _, grant := range grants {
		if quota := h.quotas[grant.Quantity]; quota != nil {
			granted[grant.Quantity] = true
			quota.applyGrant(grant)
		}
	}
	for name, quota := range h.quotas {
		if !granted[name] {
			quota.amount = 0
		}
	}
	return true
}

// Revoke is called when a later incarnation has joined under the same name. Nothing more can be acquired afterwards,
// not even within the floors.
func (h *Holder) Revoke() {
	h.revoked = true
	h.expiresAt = math.Inf(-1)
	for _, quota := range h.quotas {
		quota.amount, quota.floor = 0, 0
	}
}

// Valid reports whether the lease is valid now.
func (h *Holder) Valid(now float64) bool { return now < h.expiresAt }

// ExpiresAt returns when the lease expires unless it is renewed, and minus infinity before the first lease.
func (h *Holder) ExpiresAt() float64 { return h.expiresAt }

// Limit returns how much of a quantity may be in use now. The floor may be used without a lease, except at the start of an
// incarnation, when an earlier incarnation of the same name may still be using it.
func (h *Holder) Limit(now float64, quota *Quota) (limit float64) {
	if now >= h.startedAt+h.timing.ExpiryBound()+h.timing.Linger {
		limit = quota.floor
	}
	if h.Valid(now) {
		limit += quota.amount
	}
	return limit
}

// Acquire adds an amount to what is in use and returns true, if the sum stays within the limit.
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
