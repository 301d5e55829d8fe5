// Package lease is a holder's side of what a fleet divides: what may be spent now, by the holder's own monotonic clock. A
// controller spends from its part without asking anyone, in nanoseconds. The package does no I/O and reads no clock:
// each method is told the time, in seconds that never go back. It is used from one goroutine.
//
// A lease is counted from when it was asked for, not from when the answer came, and is taken to end earlier by the
// bound on how far clocks may run apart. After that only the floor is left, until an answer comes again.
package lease

import (
	"math"
	"slices"
)

// Timing are what all controllers of a fleet hold alike. Times are seconds.
type Timing struct {
	TTL      float64
	MaxDrift float64 // how far one clock may run ahead of another, as a part
	Linger   float64 // the longest that what was begun may go on
}

// ExpiryBound is how long after an ask its lease has surely ended by any clock within the bound.
func (r Timing) ExpiryBound() float64 { return r.TTL * (1 + r.MaxDrift) / (1 - r.MaxDrift) }

// Holder are all parts of one life of a controller.
type Holder struct {
	timing       Timing
	startedAt    float64
	expiresAt    float64 // by the latest lease; spending ends before it
	lastRequest  uint64
	lastAnswered uint64
	unanswered   map[uint64]float64 // asks without an answer, by their number
	quotas       map[string]*Quota
	revoked      bool // another life has taken the name
}

// New starts without any part, and without floors until what an earlier life began has surely ended.
func New(now float64, rules Timing) *Holder {
	return &Holder{timing: rules, startedAt: now, expiresAt: math.Inf(-1), unanswered: map[uint64]float64{}, quotas: map[string]*Quota{}}
}

// SetQuota names a quantity and its floor. window is 0 for one that is held.
func (p *Holder) SetQuota(name string, floor, window float64) *Quota {
	h := p.quotas[name]
	if h == nil {
		h = &Quota{name: name}
		p.quotas[name] = h
	}
	h.floor, h.window, h.isRate = floor, window, window > 0
	return h
}

// RemoveQuota lets a quantity go.
func (p *Holder) RemoveQuota(name string) { delete(p.quotas, name) }

// NeedsRenewal tells whether the fleet should hear soon: more is wanted than may be used, or what was given up is to be settled.
func (p *Holder) NeedsRenewal(now float64) bool {
	for _, h := range p.quotas {
		if h.demand > p.Limit(now, h)+1e-9 || h.revision > h.settledRevision {
			return true
		}
	}
	return false
}

// UsageReport is what the fleet is told of one holding with an ask.
type UsageReport struct {
	Quantity     string
	Revision     uint64 // that is kept to; 0 where nothing new is
	Used, Demand float64
}

// NewRequest numbers an ask and gives what goes with it.
func (p *Holder) NewRequest(now float64) (number uint64, reports []UsageReport) {
	p.lastRequest++
	p.unanswered[p.lastRequest] = now
	for n, at := range p.unanswered { // an answer to an older one would give nothing any more
		if now > at+p.timing.TTL {
			delete(p.unanswered, n)
		}
	}
	for _, h := range p.quotas {
		r := UsageReport{Quantity: h.name, Used: h.Used(now), Demand: h.demand}
		if h.revision > h.settledRevision {
			r.Revision = h.revision
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(x, y UsageReport) int {
		if x.Quantity < y.Quantity {
			return -1
		}
		return 1
	})
	return p.lastRequest, reports
}

// Grant is what an answer gives of one quantity.
type Grant struct {
	Quantity  string  `msgpack:"Name"`
	Amount    float64 `msgpack:"Amount"`
	Revision  uint64  `msgpack:"Number"`
	Unsettled bool    `msgpack:"Bound"` // the fleet still counts more against this holder than Amount
}

// RequestedAt tells when an ask was made that has not been answered yet.
func (p *Holder) RequestedAt(number uint64) (at float64, waits bool) {
	at, waits = p.unanswered[number]
	return at, waits
}

// Renew takes the answer to an ask. One that is not the latest heard gives nothing; what is not in it is no more
// held. It tells whether the answer counted.
func (p *Holder) Renew(now float64, number uint64, grants []Grant) bool {
	at, waits := p.unanswered[number]
	if !waits || number <= p.lastAnswered || p.revoked {
		return false
	}
	p.lastAnswered = number
	for n := range p.unanswered {
		if n <= number {
			delete(p.unanswered, n)
		}
	}
	p.expiresAt = max(p.expiresAt, at+p.timing.TTL*(1-p.timing.MaxDrift))
	given := map[string]bool{}
	for _, g := range grants {
		h := p.quotas[g.Quantity]
		if h == nil {
			continue
		}
		given[g.Quantity] = true
		if g.Revision < h.revision { // which no quorum would say; the stricter of the two holds
			h.amount = min(h.amount, g.Amount)
			continue
		}
		if !g.Unsettled {
			h.settledRevision = g.Revision
		}
		h.amount, h.revision = g.Amount, g.Revision
	}
	for name, h := range p.quotas {
		if !given[name] {
			h.amount = 0
		}
	}
	return true
}

// Revoke tells that another life has taken the name: nothing but what runs is left to this one.
func (p *Holder) Revoke() {
	p.revoked = true
	p.expiresAt = math.Inf(-1)
	for _, h := range p.quotas {
		h.amount, h.floor = 0, 0
	}
}

// Valid tells whether the parts hold now.
func (p *Holder) Valid(now float64) bool { return now < p.expiresAt }

// ExpiresAt is when they cease to hold, unless an answer comes.
func (p *Holder) ExpiresAt() float64 { return p.expiresAt }

// Limit is what may be in use of a quantity now. Floors hold for good, but for the first time of a life, in which one
// before it under the name may use them still.
func (p *Holder) Limit(now float64, h *Quota) (limit float64) {
	if now >= p.startedAt+p.timing.ExpiryBound()+p.timing.Linger {
		limit = h.floor
	}
	if p.Valid(now) {
		limit += h.amount
	}
	return limit
}

// Acquire takes an amount if there is room for it.
func (p *Holder) Acquire(now float64, h *Quota, amount float64) bool {
	if h.Used(now)+amount > p.Limit(now, h)+1e-9 {
		return false
	}
	h.used += amount
	if h.isRate {
		h.spent = append(h.spent, acquisition{now, amount})
	}
	return true
}
