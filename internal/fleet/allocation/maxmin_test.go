package allocation

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Never above the total; nobody who wants less than an even share gets less than it wants; whoever gets less than it
// wants has by its weight no less than anyone else beyond their guaranteed minimums.
func TestWeightedMaxMinIsFair(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		whole := rapid.Float64Range(0, 100).Draw(r, "whole")
		rules := Config{Reserve: rapid.Float64Range(0, 0.5).Draw(r, "reserve")}
		var holders []Claim
		for range rapid.IntRange(1, 12).Draw(r, "holders") {
			holders = append(holders, Claim{Weight: rapid.Float64Range(0.1, 5).Draw(r, "weight"), Demand: rapid.Float64Range(0, 40).Draw(r, "want"),
				Current: rapid.Float64Range(0, 20).Draw(r, "has")})
		}
		targets := WeightedMaxMin(whole, holders, rules)
		sum, room, weights := 0.0, whole*(1-rules.Reserve), 0.0
		for i := range targets {
			sum += targets[i]
			weights += holders[i].Weight
			if targets[i] < 0 {
				r.Fatalf("%v under 0", targets)
			}
		}
		if sum > room+1e-6 {
			r.Fatalf("%v sum to %g of %g", targets, sum, room)
		}
		for i, h := range holders {
			if even := room * h.Weight / weights; targets[i] < min(h.Demand, even)-1e-6 {
				r.Fatalf("holder %d wants %g, its even part is %g, and it gets %g", i, h.Demand, even, targets[i])
			}
			for k, o := range holders {
				if targets[i] < h.Demand-1e-6 && targets[k]/o.Weight > targets[i]/h.Weight+1e-6 {
					r.Fatalf("holder %d gets %g of %g, holder %d gets %g", i, targets[i], h.Demand, k, targets[k])
				}
			}
		}
	})
}

func TestWeightedMaxMin(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		what    string
		whole   float64
		holders []Claim
		rules   Config
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
		lines = append(lines, fmt.Sprintf("%s: %.2f", c.what, WeightedMaxMin(c.whole, c.holders, c.rules)))
	}
	testutil.CheckTrace(t, lines)
}
