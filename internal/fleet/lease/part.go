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

// Rules are what all controllers of a fleet hold alike. Times are seconds.
type Rules struct {
	Lease  float64
	Drift  float64 // how far one clock may run ahead of another, as a part
	Linger float64 // the longest that what was begun may go on
}

// Over is how long after an ask its lease has surely ended by any clock within the bound.
func (r Rules) Over() float64 { return r.Lease * (1 + r.Drift) / (1 - r.Drift) }

// Holding is the part of one quantity.
type Holding struct {
	name    string
	paced   bool
	window  float64
	floor   float64
	amount  float64
	number  uint64
	settled uint64 // the number that the fleet was told is kept
	used    float64
	wanted  float64
	spent   []spend // of a paced one, within the window
}

type spend struct{ at, amount float64 }

// Parts are all parts of one life of a controller.
type Parts struct {
	rules Rules
	began float64
	until float64 // by the latest lease; spending ends before it
	asked uint64
	heard uint64
	sent  map[uint64]float64 // asks without an answer, by their number
	holds map[string]*Holding
	ended bool // another life has taken the name
}

// New starts without any part, and without floors until what an earlier life began has surely ended.
func New(now float64, rules Rules) *Parts {
	return &Parts{rules: rules, began: now, until: math.Inf(-1), sent: map[uint64]float64{}, holds: map[string]*Holding{}}
}

// Holding names a quantity and its floor. window is 0 for one that is held.
func (p *Parts) Holding(name string, floor, window float64) *Holding {
	h := p.holds[name]
	if h == nil {
		h = &Holding{name: name}
		p.holds[name] = h
	}
	h.floor, h.window, h.paced = floor, window, window > 0
	return h
}

// Forget lets a quantity go.
func (p *Parts) Forget(name string) { delete(p.holds, name) }

// Hungry tells whether the fleet should hear soon: more is wanted than may be used, or what was given up is to be settled.
func (p *Parts) Hungry(now float64) bool {
	for _, h := range p.holds {
		if h.wanted > p.Limit(now, h)+1e-9 || h.number > h.settled {
			return true
		}
	}
	return false
}

// Report is what the fleet is told of one holding with an ask.
type Report struct {
	Name         string
	Number       uint64 // that is kept to; 0 where nothing new is
	Used, Wanted float64
}

// Ask numbers an ask and gives what goes with it.
func (p *Parts) Ask(now float64) (number uint64, reports []Report) {
	p.asked++
	p.sent[p.asked] = now
	for n, at := range p.sent { // an answer to an older one would give nothing any more
		if now > at+p.rules.Lease {
			delete(p.sent, n)
		}
	}
	for _, h := range p.holds {
		r := Report{Name: h.name, Used: h.Used(now), Wanted: h.wanted}
		if h.number > h.settled {
			r.Number = h.number
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(x, y Report) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return p.asked, reports
}

// Grant is what an answer gives of one quantity.
type Grant struct {
	Name   string  `msgpack:"Name"`
	Amount float64 `msgpack:"Amount"`
	Number uint64  `msgpack:"Number"`
	Bound  bool    `msgpack:"Bound"` // the fleet still counts more against this holder than Amount
}

// Asked tells when an ask was made that has not been answered yet.
func (p *Parts) Asked(number uint64) (at float64, waits bool) {
	at, waits = p.sent[number]
	return at, waits
}

// Answer takes the answer to an ask. One that is not the latest heard gives nothing; what is not in it is no more
// held. It tells whether the answer counted.
func (p *Parts) Answer(now float64, number uint64, grants []Grant) bool {
	at, waits := p.sent[number]
	if !waits || number <= p.heard || p.ended {
		return false
	}
	p.heard = number
	for n := range p.sent {
		if n <= number {
			delete(p.sent, n)
		}
	}
	p.until = max(p.until, at+p.rules.Lease*(1-p.rules.Drift))
	given := map[string]bool{}
	for _, g := range grants {
		h := p.holds[g.Name]
		if h == nil {
			continue
		}
		given[g.Name] = true
		if g.Number < h.number { // which no quorum would say; the stricter of the two holds
			h.amount = min(h.amount, g.Amount)
			continue
		}
		if !g.Bound {
			h.settled = g.Number
		}
		h.amount, h.number = g.Amount, g.Number
	}
	for name, h := range p.holds {
		if !given[name] {
			h.amount = 0
		}
	}
	return true
}

// Replaced tells that another life has taken the name: nothing but what runs is left to this one.
func (p *Parts) Replaced() {
	p.ended = true
	p.until = math.Inf(-1)
	for _, h := range p.holds {
		h.amount, h.floor = 0, 0
	}
}

// Leased tells whether the parts hold now.
func (p *Parts) Leased(now float64) bool { return now < p.until }

// Until is when they cease to hold, unless an answer comes.
func (p *Parts) Until() float64 { return p.until }

// Limit is what may be in use of a quantity now. Floors hold for good, but for the first time of a life, in which one
// before it under the name may use them still.
func (p *Parts) Limit(now float64, h *Holding) (limit float64) {
	if now >= p.began+p.rules.Over()+p.rules.Linger {
		limit = h.floor
	}
	if p.Leased(now) {
		limit += h.amount
	}
	return limit
}

// Spend takes an amount if there is room for it.
func (p *Parts) Spend(now float64, h *Holding, amount float64) bool {
	if h.Used(now)+amount > p.Limit(now, h)+1e-9 {
		return false
	}
	h.used += amount
	if h.paced {
		h.spent = append(h.spent, spend{now, amount})
	}
	return true
}

// Back gives back what was spent of a held quantity.
func (h *Holding) Back(amount float64) {
	if h.paced {
		return
	}
	if h.used -= amount; h.used < 1e-9*max(amount, 1) { // rounding leaves traces
		h.used = 0
	}
}

// Use sets what is in use, where another keeps the tally, and what would be used if there were room.
func (h *Holding) Use(used, wanted float64) { h.used, h.wanted = used, wanted }

// Want sets what would be used if there were room.
func (h *Holding) Want(wanted float64) { h.wanted = wanted }

// Used is what is in use: of a paced quantity what was spent within the window.
func (h *Holding) Used(now float64) float64 {
	for h.paced && len(h.spent) > 0 && h.spent[0].at <= now-h.window {
		h.used -= h.spent[0].amount
		h.spent = h.spent[1:]
	}
	if h.paced && len(h.spent) == 0 {
		h.used = 0
	}
	return h.used
}
