package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// With Poisson arrivals and exponentially distributed work, the mean waits agree with queueing theory.
func TestRandomAndCentralWaits(t *testing.T) {
	e, rate, mean := Fleet{Count: 20, Cores: 1, Speed: 1}, 14.0, 1.0
	var arrivals []Arrival
	at := 0.0
	for i := range uint64(20000) {
		at -= math.Log(1-random(1, 2*i)) / rate
		arrivals = append(arrivals, Arrival{at, -math.Log(1-random(1, 2*i+1)) * mean})
	}
	random, central := RandomWaits(e, arrivals, 2), CentralWaits(e, arrivals)
	// At a utilization of 0.7, the mean wait of M/M/1 is 0.7/0.3 = 2.33 times the mean work, that of M/M/20 is almost 0.
	if m := Mean(random); m < 2 || m > 2.7 {
		t.Errorf("random choice: got mean wait %.2f, want 2 to 2.7", m)
	}
	if m := Mean(central); m > 0.1 {
		t.Errorf("central choice: got mean wait %.3f, want at most 0.1", m)
	}
	lines := []string{
		fmt.Sprintf("random %.2f, p99 %.1f; central %.3f, p99 %.2f", Mean(random), Quantile(random, 0.99), Mean(central),
			Quantile(central, 0.99)),
		fmt.Sprintf("half-way: %.2f", Evenness((Mean(random)+Mean(central))/2, Mean(random), Mean(central))),
	}
	lowest, highest := LoadRange([]float64{1, 2, 3})
	lines = append(lines, fmt.Sprintf("of 1, 2, 3: least %.2f, most %.2f; of none: %v", lowest, highest, Quantile(nil, 0.5)))
	testutil.CheckTrace(t, lines)
}

// The central choice has the same mean wait as a single queue for all cores, which is the lowest possible.
func TestCentralIsOneQueue(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		e := Fleet{Count: rapid.IntRange(1, 5).Draw(r, "engines"), Cores: rapid.IntRange(1, 3).Draw(r, "cores"), Speed: 1}
		var arrivals []Arrival
		for range rapid.IntRange(1, 60).Draw(r, "requests") {
			arrivals = append(arrivals, Arrival{rapid.Float64Range(0, 10).Draw(r, "at"), rapid.Float64Range(0.01, 3).Draw(r, "work")})
		}
		oneQueue := CentralWaits(Fleet{Count: 1, Cores: e.Count * e.Cores, Speed: 1}, arrivals)
		central := CentralWaits(e, arrivals)
		if math.Abs(Mean(oneQueue)-Mean(central)) > 1e-9 {
			r.Fatalf("central choice: got mean wait %g, want that of one queue, %g", Mean(central), Mean(oneQueue))
		}
		if slices.Min(RandomWaits(e, arrivals, 3)) < 0 {
			r.Fatal("random choice: got a negative wait")
		}
	})
}
