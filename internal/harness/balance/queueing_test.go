package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Poisson arrivals of exponential work on many engines: the waits lie where queueing theory has them.
func TestRandomAndCentralWaits(t *testing.T) {
	e, rate, mean := Fleet{Count: 20, Cores: 1, Speed: 1}, 14.0, 1.0
	var arrivals []Arrival
	at := 0.0
	for i := range uint64(20000) {
		at -= math.Log(1-random(1, 2*i)) / rate
		arrivals = append(arrivals, Arrival{at, -math.Log(1-random(1, 2*i+1)) * mean})
	}
	random, central := RandomWaits(e, arrivals, 2), CentralWaits(e, arrivals)
	// M/M/1 at 0.7 waits 0.7/0.3 = 2.33 of the mean work; M/M/20 at 0.7 next to nothing.
	if m := Mean(random); m < 2 || m > 2.7 {
		t.Errorf("random waits %.2f", m)
	}
	if m := Mean(central); m > 0.1 {
		t.Errorf("central waits %.3f", m)
	}
	lines := []string{
		fmt.Sprintf("random %.2f, p99 %.1f; central %.3f, p99 %.2f", Mean(random), Quantile(random, 0.99), Mean(central), Quantile(central, 0.99)),
		fmt.Sprintf("half-way: %.2f", Evenness((Mean(random)+Mean(central))/2, Mean(random), Mean(central))),
	}
	least, most := LoadRange([]float64{1, 2, 3})
	lines = append(lines, fmt.Sprintf("of 1, 2, 3: least %.2f, most %.2f; of none: %v", least, most, Quantile(nil, 0.5)))
	testutil.CheckTrace(t, lines)
}

// No choice waits less in the mean than one queue for all cores would; the central choice is that queue.
func TestCentralIsOneQueue(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		e := Fleet{Count: rapid.IntRange(1, 5).Draw(r, "engines"), Cores: rapid.IntRange(1, 3).Draw(r, "cores"), Speed: 1}
		var arrivals []Arrival
		for range rapid.IntRange(1, 60).Draw(r, "requests") {
			arrivals = append(arrivals, Arrival{rapid.Float64Range(0, 10).Draw(r, "at"), rapid.Float64Range(0.01, 3).Draw(r, "work")})
		}
		one := CentralWaits(Fleet{Count: 1, Cores: e.Count * e.Cores, Speed: 1}, arrivals)
		central := CentralWaits(e, arrivals)
		if math.Abs(Mean(one)-Mean(central)) > 1e-9 {
			r.Fatalf("central waits %g, one queue %g", Mean(central), Mean(one))
		}
		if slices.Min(RandomWaits(e, arrivals, 3)) < 0 {
			r.Fatal("a wait under 0")
		}
	})
}
