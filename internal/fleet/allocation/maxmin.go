package allocation

import (
	"cmp"
	"slices"
)

// Claim is one controller's claim on a quantity. Amounts are in the quantity's unit.
type Claim struct {
	Weight     float64 // weight relative to the other claims; 0 means 1
	Demand     float64 // amount that the controller would use now if it could
	Guaranteed float64 // minimum that is met first, up to Demand and as far as the total suffices
	Current    float64 // amount that the controller has now
}

// Config holds the parameters of a division.
type Config struct {
	Reserve    float64 // fraction of the total that is held back for controllers that join later
	Hysteresis float64 // fraction of an even share; a target that differs by less from the current amount doesn't replace it
}

// roundingTolerance is the fraction by which a sum of amounts may exceed the available amount because of rounding.
const roundingTolerance = 1e-12

// WeightedMaxMin returns the target amount of each claim, in the order of the claims. The targets sum to at most the total
// less the reserve.
func WeightedMaxMin(total float64, claims []Claim, config Config) []float64 {
	targets := make([]float64, len(claims))
	if len(claims) == 0 || !(total > 0) {
		return targets
	}
	available := total * (1 - min(max(config.Reserve, 0), 1))
	remaining := allocateGuaranteed(targets, claims, available)
	remaining = allocateDemand(targets, claims, remaining)
	spreadHeadroom(targets, claims, remaining)
	return applyHysteresis(targets, claims, available, config.Hysteresis)
}

func (c Claim) weight() float64 { return cmp.Or(max(c.Weight, 0), 1) }

// allocateGuaranteed gives each claim its guaranteed minimum, but no more than its demand, and returns the amount that
// remains. If the minimums sum to more than is available, all are scaled down by the same factor.
func allocateGuaranteed(targets []float64, claims []Claim, available float64) (remaining float64) {
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

// allocateDemand raises all targets that are below their demand by the same amount per unit of weight, none beyond its
// demand, and returns the amount that remains.
func allocateDemand(targets []float64, claims []Claim, available float64) (remaining float64) {
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
	for _, i := range order { // in order of unmet demand per weight: what a claim doesn't need raises the share of those after it
		weight := claims[i].weight()
		granted := min(unmet(i), max(available, 0)*weight/weights)
		targets[i] += granted
		available -= granted
		weights -= weight
	}
	return max(available, 0)
}

// spreadHeadroom divides the amount that exceeds all demands among all claims, in proportion to their weights.
func spreadHeadroom(targets []float64, claims []Claim, available float64) {
	weights := 0.0
	for _, claim := range claims {
		weights += claim.weight()
	}
	for i, claim := range claims {
		targets[i] += max(available, 0) * claim.weight() / weights
	}
}

// applyHysteresis replaces targets by the current amounts that hardly differ from them, so that small changes move nothing.
// It returns the targets unchanged if the result would sum to more than is available.
func applyHysteresis(targets []float64, claims []Claim, available, hysteresis float64) []float64 {
	band := hysteresis * available / float64(len(claims))
	adjusted := slices.Clone(targets)
	sum := 0.0
	for i, claim := range claims {
		difference := targets[i] - claim.Current
		if difference < band && difference > -band && claim.Current >= min(claim.Demand, targets[i]) {
			adjusted[i] = claim.Current
		}
		sum += adjusted[i]
	}
	if sum > available*(1+roundingTolerance) {
		return targets
	}
	return adjusted
}
