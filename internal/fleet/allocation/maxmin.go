package allocation

import (
	"cmp"
	"slices"
)

// Claim is what one controller claims of a quantity. Amounts are in the quantity's unit.
type Claim struct {
	Weight     float64 // 1 where it is 0
	Demand     float64 // what it would use now
	Guaranteed float64 // minimum that it gets as far as it demands it and the total suffices
	Current    float64 // its present amount
}

// Config is how a quantity is divided.
type Config struct {
	Reserve    float64 // fraction of the total that is kept for newcomers
	Hysteresis float64 // fraction of an even share by which a target must differ from the present amount to replace it
}

// rounding is by how much a sum of targets may pass the total, as a fraction.
const rounding = 1e-12

// WeightedMaxMin gives each claim's target, in their order. The targets sum to at most the total less the reserve.
func WeightedMaxMin(total float64, claims []Claim, config Config) []float64 {
	targets := make([]float64, len(claims))
	if len(claims) == 0 || !(total > 0) {
		return targets
	}
	available := total * (1 - min(max(config.Reserve, 0), 1))
	remaining := giveGuaranteed(targets, claims, available)
	remaining = giveDemanded(targets, claims, remaining)
	spreadHeadroom(targets, claims, remaining)
	return applyHysteresis(targets, claims, available, config.Hysteresis)
}

func (c Claim) weight() float64 { return cmp.Or(max(c.Weight, 0), 1) }

// giveGuaranteed gives everyone the guaranteed minimum that it demands, and returns what remains. Minimums that sum to
// more than there is shrink alike.
func giveGuaranteed(targets []float64, claims []Claim, available float64) (remaining float64) {
	sum := 0.0
	for _, claim := range claims {
		sum += min(claim.Guaranteed, claim.Demand)
	}
	scale := 1.0
	if sum > available {
		scale = available / sum
	}
	for i, claim := range claims {
		targets[i] = min(claim.Guaranteed, claim.Demand) * scale
		available -= targets[i]
	}
	return available
}

// giveDemanded raises all targets that are below their demand to the same level by weight, and returns what remains.
func giveDemanded(targets []float64, claims []Claim, available float64) (remaining float64) {
	unmet := func(i int) float64 { return max(claims[i].Demand-targets[i], 0) }
	order := make([]int, len(claims))
	weights := 0.0
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(unmet(x)/claims[x].weight(), unmet(y)/claims[y].weight()), cmp.Compare(x, y))
	})
	for _, i := range order {
		weights += claims[i].weight()
	}
	for _, i := range order { // the least demanding first: what it leaves raises the level of the others
		weight := claims[i].weight()
		given := min(unmet(i), max(available, 0)*weight/weights)
		targets[i] += given
		available -= given
		weights -= weight
	}
	return max(available, 0)
}

// spreadHeadroom gives what nobody demands to all by weight.
func spreadHeadroom(targets []float64, claims []Claim, available float64) {
	weights := 0.0
	for _, claim := range claims {
		weights += claim.weight()
	}
	for i, claim := range claims {
		targets[i] += max(available, 0) * claim.weight() / weights
	}
}

// applyHysteresis keeps present amounts that hardly differ from their targets, if all together stay within what is
// available.
func applyHysteresis(targets []float64, claims []Claim, available, hysteresis float64) []float64 {
	band := hysteresis * available / float64(len(claims))
	kept := slices.Clone(targets)
	sum := 0.0
	for i, claim := range claims {
		difference := targets[i] - claim.Current
		if difference < band && difference > -band && claim.Current >= min(claim.Demand, targets[i]) {
			kept[i] = claim.Current
		}
		sum += kept[i]
	}
	if sum > available*(1+rounding) {
		return targets
	}
	return kept
}
