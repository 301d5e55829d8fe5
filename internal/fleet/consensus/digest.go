package consensus

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"copperrock.example/copperrock/internal/fleet/state"
)

// ConfigDigest returns a digest of quantities and tasks that does not depend on their order. Comparing digests shows whether
// two configurations with the same generation differ.
func ConfigDigest(quantities []state.Quantity, tasks []state.Task) uint64 {
	quantities = slices.SortedFunc(slices.Values(quantities), func(x, y state.Quantity) int { return cmp.Compare(x.Name, y.Name) })
	tasks = slices.SortedFunc(slices.Values(tasks), func(x, y state.Task) int { return cmp.Compare(x.Name, y.Name) })
	hash := fnv.New64a()
	for _, q := range quantities {
		fmt.Fprintf(hash, "%s %d %g %g %g;", q.Name, q.Kind, q.Total, q.FloorReserve, q.Window)
	}
	for _, task := range tasks {
		fmt.Fprintf(hash, "%s %d;", task.Name, task.Shards)
	}
	return hash.Sum64()
}
