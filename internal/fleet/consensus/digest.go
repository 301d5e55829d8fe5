package consensus

import (
	"cmp"
	"fmt"
	"slices"

	"copperrock.example/copperrock/internal/fleet/state"
)

// ConfigDigest is the same for the same quantities and duties, in any order.
func ConfigDigest(all []state.Quantity, duties []state.Task) uint64 {
	quantities := slices.SortedFunc(slices.Values(all), func(x, y state.Quantity) int { return cmp.Compare(x.Name, y.Name) })
	parts := slices.SortedFunc(slices.Values(duties), func(x, y state.Task) int { return cmp.Compare(x.Name, y.Name) })
	sum := uint64(14695981039346656037)
	add := func(text string) {
		for _, b := range []byte(text) {
			sum = (sum ^ uint64(b)) * 1099511628211
		}
	}
	for _, q := range quantities {
		add(fmt.Sprintf("%s %d %g %g %g;", q.Name, q.Kind, q.Total, q.FloorReserve, q.Window))
	}
	for _, d := range parts {
		add(fmt.Sprintf("%s %d;", d.Name, d.Shards))
	}
	return sum
}
