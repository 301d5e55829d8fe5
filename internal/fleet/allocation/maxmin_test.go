package allocation

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// The targets never sum to more than the total less the reserve. A claim that demands less than its even share gets its
// whole demand. Guaranteed minimums aside, a claim whose demand isn't met gets, per unit of weight, no less than any other.
func TestWeightedMaxMinIsFair(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		total := rapid.Float64Range(0, 100).Draw(r, "total")
		config := Config{Reserve: rapid.Float64Range(0, 0.5).Draw(r, "reserve")}
		var claims []Claim
		for range rapid.IntRange(1, 12).Draw(r, "claims") {
			claims = append(claims, Claim{Weight: rapid.Float64Range(0.1, 5).Draw(r, "weight"), Demand: rapid.Float64Range(0, 40).Draw(r, "demand"),
				Current: rapid.Float64Range(0, 20).Draw(r, "current")})
		}
		targets := WeightedMaxMin(total, claims, config)
		sum, available, weights := 0.0, total*(1-config.Reserve), 0.0
		for i := range targets {
			sum += targets[i]
			weights += claims[i].Weight
			if targets[i] < 0 {
				r.Fatalf("got targets %v, want none below 0", targets)
			}
		}
		if sum > available+1e-6 {
			r.Fatalf("targets %v sum to %g, want at most %g", targets, sum, available)
		}
		for i, claim := range claims {
			if even := available * claim.Weight / weights; targets[i] < min(claim.Demand, even)-1e-6 {
				r.Fatalf("claim %d: got target %g, want at least its demand %g or its even share %g", i, targets[i], claim.Demand, even)
			}
			for k, other := range claims {
				if targets[i] < claim.Demand-1e-6 && targets[k]/other.Weight > targets[i]/claim.Weight+1e-6 {
					r.Fatalf("claim %d: got target %g with demand %g, although claim %d gets %g", i, targets[i], claim.Demand, k, targets[k])
				}
			}
		}
	})
}

func TestWeightedMaxMin(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name   string
		total  float64
		claims []Claim
		config Config
	}{
		{"nobody wants any: evenly", 12, []Claim{{}, {}, {}}, Config{}},
		{"a reserve for newcomers", 12, []Claim{{}, {}}, Config{Reserve: 0.25}},
		{"one wants little, two want all", 12, []Claim{{Demand: 1}, {Demand: 20}, {Demand: 20}}, Config{}},
		{"by weight", 12, []Claim{{Demand: 20, Weight: 1}, {Demand: 20, Weight: 3}}, Config{}},
		{"a guaranteed part goes first", 12, []Claim{{Demand: 20, Guaranteed: 8}, {Demand: 20}}, Config{}},
		{"but not more than it wants", 12, []Claim{{Demand: 2, Guaranteed: 8}, {Demand: 20}}, Config{}},
		{"guaranteed parts beyond the whole shrink alike", 12, []Claim{{Demand: 20, Guaranteed: 12}, {Demand: 20, Guaranteed: 24}}, Config{}},
		{"hardly a difference: as it was", 12, []Claim{{Demand: 3, Current: 5.9}, {Demand: 3, Current: 6}}, Config{Hysteresis: 0.1}},
		{"none of the whole", 0, []Claim{{Demand: 3}}, Config{}},
	} {
		lines = append(lines, fmt.Sprintf("%s: %.2f", c.name, WeightedMaxMin(c.total, c.claims, c.config)))
	}
	testutil.CheckTrace(t, lines)
}
