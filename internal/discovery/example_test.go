package discovery_test

import (
	"fmt"

	"copperrock.example/copperrock/internal/discovery"
)

// Parse two versions of a list and print what changed.
func ExampleDiff() {
	bounds := discovery.Bounds{MaxEndpoints: 100, MaxBytes: 1 << 20}
	before, err := discovery.Parse("engines.jsonc", []byte(`{"format": 1, "generation": 1, "engines": [
		{"name": "amber", "address": "10.0.0.1:9191"},
		{"name": "beryl", "address": "10.0.0.2:9191"},
	], "end": 1}`), bounds)
	if err != nil {
		fmt.Println(err)
		return
	}
	after, err := discovery.Parse("engines.jsonc", []byte(`{"format": 1, "generation": 2, "engines": [
		{"name": "amber", "address": "10.0.0.1:9191", "state": "terminating"},
		{"name": "coral", "address": "10.0.0.3:9191"},
	], "end": 2}`), bounds)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, line := range discovery.Diff(before, after).Lines() {
		fmt.Println(line)
	}
	fmt.Println(after.AvailableCount(), "available")
	// Output:
	// - beryl at 10.0.0.2:9191
	// + coral at 10.0.0.3:9191
	// ~ amber, state in_service -> terminating
	// 1 available
}
