package discovery

import (
	"fmt"

	"pgregory.net/rapid"
)

// listText returns the text of a list with endpoints of the given names.
func listText(generation int64, names ...string) string {
	l := List{Generation: generation}
	for _, n := range names {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: n, Address: fmt.Sprintf("10.0.0.%d:9000", n[0]), Zone: "east", Kind: "std", Weight: 1,
			State: InService})
	}
	return string(l.Format())
}

// drawList draws a random list.
func drawList(t *rapid.T, label string) List {
	l := List{Generation: rapid.Int64Range(1, 1<<40).Draw(t, label+" generation")}
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-zé/#*-]{1,8}`), 0, 20, rapid.ID[string]).Draw(t, label)
	for i, n := range names {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: n, Address: fmt.Sprintf("10.0.%d.%d:9000", len(n), i), Zone: rapid.SampledFrom(testBounds.Zones).
			Draw(t, "zone"), Kind: "std", Cell: rapid.IntRange(0, 5).Draw(t, "cell"),
			Weight:    rapid.Float64Range(0, maxWeight).Draw(t, "weight"),
			State:     rapid.SampledFrom([]State{InService, Terminating}).Draw(t, "state"),
			StartedAt: float64(rapid.Int64Range(0, 1<<42).Draw(t, "born")) / 1000})
	}
	return Difference{Added: l.Endpoints}.Apply(List{}, l.Generation)
}

// listOf returns a list of n endpoints.
func listOf(n int) List {
	l := List{Generation: 1}
	for i := range n {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
			Zone: "east", Kind: "std", Cell: i % 16, Weight: 1, State: InService})
	}
	return l
}
