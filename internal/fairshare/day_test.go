package fairshare

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// dayResult is the result of a simulated quarter-close day with a hundred teams.
type dayResult struct {
	jobs, rejected  int
	accurate        float64 // fraction of the reported waits that were within 20%, or 50 ms, of the actual wait
	estimates       int
	longestUnserved float64 // longest time without service of any team, in seconds
	jain            float64 // Jain's fairness index of completed work per weight, for the teams that always had requests queued
}

// splitMix64 is a seeded random number generator (SplitMix64).
type splitMix64 uint64

// float64 returns a random number in [0, 1).
func (c *splitMix64) float64() float64 {
	*c += 0x9e3779b97f4a7c15
	x := uint64(*c)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// simulateQuarterClose simulates a day in which twenty teams send more than their share all the time and the others send in
// bursts. The engines run at half speed for ten seconds and lose half of their cores near the end. Estimates of work are
// wrong by up to 50% either way.
func simulateQuarterClose(t testing.TB, jobs int) dayResult {
	var budgets []Budget
	for i := range 100 {
		budgets = append(budgets, Budget{Name: fmt.Sprintf("team%02d", i), Weight: float64(1 + i%4), MaxQueued: 60, MaxWait: 50})
	}
	sim := newSimulation(t, Options{MaxUndispatched: 8, AgingRate: 0.05, DefaultTeam: "team99", MaxRetryAfter: 30, MinEstimateChange: 0.25}, 64, 1e9, budgets...)
	rng := splitMix64(5)
	sim.actualWork = func(x *task) float64 { c := splitMix64(x.id); return 0.5 + c.float64() }
	const work = 0.2
	rate := 64 / work * 1.3 // 1.3 times the capacity
	end := float64(jobs) / rate
	for id := uint32(1); int(id) <= jobs; id++ {
		sim.advanceTo(sim.clock - math.Log(1-rng.float64())/rate)
		switch day := sim.clock / end; {
		case day > 0.8 && sim.cores == 64:
			sim.cores = 32
			sim.carryOut(sim.SetCapacity(sim.clock, 32))
		case day > 0.4 && sim.coreSpeed == 1 && sim.clock < 0.4*end+10:
			sim.coreSpeed = 0.5
		case sim.coreSpeed < 1 && sim.clock > 0.4*end+10:
			sim.coreSpeed = 1
		}
		team := int(rng.float64() * 20)
		if rng.float64() < 0.3 { // a burst of another team; each of them has a second of its own
			team = 20 + int(sim.clock)%80
		}
		sim.arrive(id, budgets[team].Name, 0, work*(0.5+rng.float64()), 100, 60)
	}
	sim.advanceTo(sim.clock + 200)
	if err := sim.checkEmpty(); err != nil {
		t.Error(err)
	}
	c := dayResult{jobs: jobs, estimates: len(sim.estimates)}
	for _, x := range sim.estimates {
		if math.Abs(x.actual-x.estimated) <= max(0.2*x.actual, 0.05) {
			c.accurate++
		}
	}
	if dump := os.Getenv("DUMP"); dump != "" {
		file, err := os.Create(dump)
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := file.Close(); err != nil {
				t.Error(err)
			}
		}()
		for _, x := range sim.estimates {
			fmt.Fprintf(file, "%.4f %.4f\n", x.estimated, x.actual)
		}
	}
	c.accurate /= max(float64(len(sim.estimates)), 1)
	sum, squares := 0.0, 0.0
	for i, b := range budgets {
		c.longestUnserved = max(c.longestUnserved, sim.longestUnserved[b.Name])
		c.rejected += sim.rejected[b.Name]
		if i < 20 {
			x := sim.completedWork[b.Name] / b.Weight
			sum, squares = sum+x, squares+x*x
		}
	}
	c.jain = sum * sum / (20 * squares)
	return c
}

// A simulated quarter-close day with 100 teams. DAY_JOBS sets the number of requests, 60,000 by default.
func TestCloseOfQuarter(t *testing.T) {
	jobs := 60000
	if n, err := strconv.Atoi(os.Getenv("DAY_JOBS")); err == nil {
		jobs = n
	}
	began := time.Now()
	c := simulateQuarterClose(t, jobs)
	t.Logf("%d requests in %.1f s of real time: %+v", jobs, time.Since(began).Seconds(), c)
	if c.longestUnserved > 60 {
		t.Errorf("a team was not served for %.1f s, want at most 60 s", c.longestUnserved)
	}
	if jobs == 60000 {
		testutil.CheckTrace(t, []string{fmt.Sprintf("refused %d, told %d, true %.3f, longest unserved %.1f s, Jain %.3f", c.rejected, c.estimates, c.accurate, c.longestUnserved, c.jain)})
	}
}

// BenchmarkScheduler measures the cost of one request from arrival to completion, with two requests queued in each team.
func BenchmarkScheduler(b *testing.B) {
	for _, n := range []int{1, 100, 5000} {
		b.Run(fmt.Sprintf("teams%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var budgets []Budget
			for i := range n {
				budgets = append(budgets, Budget{Name: fmt.Sprintf("team%d", i), Weight: float64(1 + i%4), Limit: 1e6})
			}
			s, err := New(Options{Classes: []Class{{Idempotent: true, PriorityWeight: 1}, {PriorityWeight: 5}, {PriorityWeight: 9}}, MaxUndispatched: 8, StarvationTimeout: 30, AgingRate: 0.05, DefaultTeam: "team0", MaxRetryAfter: 5, MinEstimateChange: 0.25}, budgets)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			var admitted []uint32
			now, id := 0.0, uint32(0)
			freeSlots := 64
			handle := func(all []Decision) {
				for len(all) > 0 {
					d := all[0]
					all = all[1:]
					if d.Action == Admit && freeSlots > 0 {
						freeSlots--
						admitted = append(admitted, d.Request)
						all = append(all, s.Started(now, d.Request, 100)...)
					} else if d.Action == Admit {
						admitted = append(admitted, d.Request)
					}
				}
			}
			arrive := func() {
				id++
				now += 0.001
				handle(s.Enqueue(now, Arrival{ID: id, Team: budgets[int(id)%n].Name, Class: int(id) % 3, Work: 0.1, Memory: 100, Deadline: now + 1e6}))
			}
			for range 2*n + 100 {
				arrive()
			}
			b.ResetTimer()
			for b.Loop() {
				arrive()
				done := admitted[0]
				admitted = admitted[1:]
				handle(s.Started(now, done, 100))
				handle(s.Finished(now, done, 0.1))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/team")
		})
	}
}
