// Package allocation decides who should have how much of a quantity: weighted max-min over what holders want, guaranteed
// parts first, a reserve for newcomers, and what nobody wants spread as headroom, so that a burst finds some at hand.
// It has no I/O, no clock and no state; the ledger sees to it that nothing is given twice on the way there.
package allocation

import (
	"cmp"
	"slices"
)

// Claim is one that asks.
type Claim struct {
	Weight     float64 // 1 where it is 0
	Demand     float64 // what it would use now
	Guaranteed float64 // guaranteed, as far as the whole goes
	Current    float64
}

// Config bound the division.
type Config struct {
	Reserve    float64 // part of the whole kept for newcomers
	Hysteresis float64 // part of an even part by which a target must differ from what is held to be moved
}

// WeightedMaxMin gives each holder's target, in their order. The targets sum to at most the whole less the reserve.
func WeightedMaxMin(whole float64, holders []Claim, r Config) []float64 {
	targets := make([]float64, len(holders))
	if len(holders) == 0 || !(whole > 0) {
		return targets
	}
	room := whole * (1 - min(max(r.Reserve, 0), 1))
	weight := func(h Claim) float64 { return cmp.Or(max(h.Weight, 0), 1) }
	least := 0.0
	for _, h := range holders {
		least += min(h.Guaranteed, h.Demand)
	}
	scale := 1.0
	if least > room {
		scale = room / least
	}
	for i, h := range holders {
		targets[i] = min(h.Guaranteed, h.Demand) * scale
		room -= targets[i]
	}
	room = distribute(targets, holders, room, weight)
	// What nobody wants: to each by weight, beyond its want.
	sum := 0.0
	for _, h := range holders {
		sum += weight(h)
	}
	for i, h := range holders {
		targets[i] += max(room, 0) * weight(h) / sum
	}
	return applyHysteresis(targets, holders, whole*(1-min(max(r.Reserve, 0), 1)), r.Hysteresis)
}

// distribute pours the room over the holders' wants, each to the same level by weight, and gives what is left.
func distribute(targets []float64, holders []Claim, room float64, weight func(Claim) float64) float64 {
	order := make([]int, len(holders))
	for i := range order {
		order[i] = i
	}
	need := func(i int) float64 { return max(holders[i].Demand-targets[i], 0) }
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(need(x)/weight(holders[x]), need(y)/weight(holders[y])), cmp.Compare(x, y))
	})
	sum := 0.0
	for _, i := range order {
		sum += weight(holders[i])
	}
	for _, i := range order { // the least wanting first: what it leaves raises the level of the others
		w := weight(holders[i])
		got := min(need(i), max(room, 0)*w/sum)
		targets[i] += got
		room -= got
		sum -= w
	}
	return max(room, 0)
}

// applyHysteresis leaves what a holder has where the target hardly differs, as long as all together stay within the room.
func applyHysteresis(targets []float64, holders []Claim, room, still float64) []float64 {
	band := still * room / float64(len(holders))
	sum := 0.0
	kept := slices.Clone(targets)
	for i, h := range holders {
		if d := targets[i] - h.Current; d < band && d > -band && h.Current >= min(h.Demand, targets[i]) {
			kept[i] = h.Current
		}
		sum += kept[i]
	}
	if sum > room*(1+1e-12) {
		return targets
	}
	return kept
}
