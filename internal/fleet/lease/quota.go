package lease

// Quota is the part of one quantity.
type Quota struct {
	name            string
	isRate          bool
	window          float64
	floor           float64
	amount          float64
	revision        uint64
	settledRevision uint64 // the number that the fleet was told is kept
	used            float64
	demand          float64
	spent           []acquisition // of a paced one, within the window
}

type acquisition struct{ at, amount float64 }

// Release gives back what was spent of a held quantity.
func (h *Quota) Release(amount float64) {
	if h.isRate {
		return
	}
	if h.used -= amount; h.used < 1e-9*max(amount, 1) { // rounding leaves traces
		h.used = 0
	}
}

// SetUsage sets what is in use, where another keeps the tally, and what would be used if there were room.
func (h *Quota) SetUsage(used, wanted float64) { h.used, h.demand = used, wanted }

// SetDemand sets what would be used if there were room.
func (h *Quota) SetDemand(wanted float64) { h.demand = wanted }

// Used is what is in use: of a paced quantity what was spent within the window.
func (h *Quota) Used(now float64) float64 {
	for h.isRate && len(h.spent) > 0 && h.spent[0].at <= now-h.window {
		h.used -= h.spent[0].amount
		h.spent = h.spent[1:]
	}
	if h.isRate && len(h.spent) == 0 {
		h.used = 0
	}
	return h.used
}
