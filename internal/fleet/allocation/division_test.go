package allocation

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Never over the whole; nobody who wants less than an even part gets less than it wants; whoever gets less than it
// wants has by its weight no less than anyone else beyond their guaranteed parts.
func TestFair(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		whole := rapid.Float64Range(0, 100).Draw(r, "whole")
		rules := Rules{Reserve: rapid.Float64Range(0, 0.5).Draw(r, "reserve")}
		var holders []Holder
		for range rapid.IntRange(1, 12).Draw(r, "holders") {
			holders = append(holders, Holder{Weight: rapid.Float64Range(0.1, 5).Draw(r, "weight"), Want: rapid.Float64Range(0, 40).Draw(r, "want"),
				Has: rapid.Float64Range(0, 20).Draw(r, "has")})
		}
		targets := Divide(whole, holders, rules)
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
			if even := room * h.Weight / weights; targets[i] < min(h.Want, even)-1e-6 {
				r.Fatalf("holder %d wants %g, its even part is %g, and it gets %g", i, h.Want, even, targets[i])
			}
			for k, o := range holders {
				if targets[i] < h.Want-1e-6 && targets[k]/o.Weight > targets[i]/h.Weight+1e-6 {
					r.Fatalf("holder %d gets %g of %g, holder %d gets %g", i, targets[i], h.Want, k, targets[k])
				}
			}
		}
	})
}

func TestDivide(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		what    string
		whole   float64
		holders []Holder
		rules   Rules
	}{
		{"nobody wants any: evenly", 12, []Holder{{}, {}, {}}, Rules{}},
		{"a reserve for newcomers", 12, []Holder{{}, {}}, Rules{Reserve: 0.25}},
		{"one wants little, two want all", 12, []Holder{{Want: 1}, {Want: 20}, {Want: 20}}, Rules{}},
		{"by weight", 12, []Holder{{Want: 20, Weight: 1}, {Want: 20, Weight: 3}}, Rules{}},
		{"a guaranteed part goes first", 12, []Holder{{Want: 20, Least: 8}, {Want: 20}}, Rules{}},
		{"but not more than it wants", 12, []Holder{{Want: 2, Least: 8}, {Want: 20}}, Rules{}},
		{"guaranteed parts beyond the whole shrink alike", 12, []Holder{{Want: 20, Least: 12}, {Want: 20, Least: 24}}, Rules{}},
		{"hardly a difference: as it was", 12, []Holder{{Want: 3, Has: 5.9}, {Want: 3, Has: 6}}, Rules{Still: 0.1}},
		{"none of the whole", 0, []Holder{{Want: 3}}, Rules{}},
	} {
		lines = append(lines, fmt.Sprintf("%s: %.2f", c.what, Divide(c.whole, c.holders, c.rules)))
	}
	testutil.Check(t, lines)
}
