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

// closingDay is what a day of close with a hundred teams came to.
type closingDay struct {
	jobs, rejected  int
	accurate        float64 // part of the waits told that came true within a fifth, or 50 ms
	estimates       int
	longestUnserved float64 // the longest of any team
	jain            float64 // over the work done by weight, of the teams that always had jobs waiting
}

// chance draws numbers from 0 to 1 from a seed.
type chance uint64

func (c *chance) draw() float64 {
	*c += 0x9e3779b97f4a7c15
	x := uint64(*c)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// closeOfQuarter plays it: twenty teams flood all day, the others send in bursts; the farm slows to half for ten
// seconds and loses half of its cores near the end; estimates of work are wrong by a half either way.
func closeOfQuarter(t testing.TB, jobs int) closingDay {
	var budgets []Budget
	for i := range 100 {
		budgets = append(budgets, Budget{Name: fmt.Sprintf("team%02d", i), Weight: float64(1 + i%4), MaxQueued: 60, MaxWait: 50})
	}
	f := newSimulation(t, Options{MaxUndispatched: 8, AgingRate: 0.05, DefaultTeam: "team99", MaxRetryAfter: 30, MinEstimateChange: 0.25}, 64, 1e9, budgets...)
	rng := chance(5)
	f.actualWork = func(x *task) float64 { c := chance(x.id); return 0.5 + c.draw() }
	const work = 0.2
	rate := 64 / work * 1.3 // offered over what can be done
	end := float64(jobs) / rate
	for id := uint32(1); int(id) <= jobs; id++ {
		f.advanceTo(f.clock - math.Log(1-rng.draw())/rate)
		switch day := f.clock / end; {
		case day > 0.8 && f.cores == 64:
			f.cores = 32
			f.carryOut(f.SetCapacity(f.clock, 32))
		case day > 0.4 && f.coreSpeed == 1 && f.clock < 0.4*end+10:
			f.coreSpeed = 0.5
		case f.coreSpeed < 1 && f.clock > 0.4*end+10:
			f.coreSpeed = 1
		}
		team := int(rng.draw() * 20)
		if rng.draw() < 0.3 { // the others' bursts, each its own second
			team = 20 + int(f.clock)%80
		}
		f.arrive(id, budgets[team].Name, 0, work*(0.5+rng.draw()), 100, 60)
	}
	f.advanceTo(f.clock + 200)
	if err := f.checkEmpty(); err != nil {
		t.Error(err)
	}
	c := closingDay{jobs: jobs, estimates: len(f.estimates)}
	for _, x := range f.estimates {
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
		for _, x := range f.estimates {
			fmt.Fprintf(file, "%.4f %.4f\n", x.estimated, x.actual)
		}
	}
	c.accurate /= max(float64(len(f.estimates)), 1)
	sum, squares := 0.0, 0.0
	for i, b := range budgets {
		c.longestUnserved = max(c.longestUnserved, f.longestUnserved[b.Name])
		c.rejected += f.rejected[b.Name]
		if i < 20 {
			x := f.completedWork[b.Name] / b.Weight
			sum, squares = sum+x, squares+x*x
		}
	}
	c.jain = sum * sum / (20 * squares)
	return c
}

// A day of close with 100 teams. DAY_JOBS sets another number of jobs than 60,000.
func TestCloseOfQuarter(t *testing.T) {
	jobs := 60000
	if n, err := strconv.Atoi(os.Getenv("DAY_JOBS")); err == nil {
		jobs = n
	}
	began := time.Now()
	c := closeOfQuarter(t, jobs)
	t.Logf("%d jobs in %.1f s of real time: %+v", jobs, time.Since(began).Seconds(), c)
	if c.longestUnserved > 60 {
		t.Errorf("a team went unserved for %.1f s", c.longestUnserved)
	}
	if jobs == 60000 {
		testutil.CheckTrace(t, []string{fmt.Sprintf("refused %d, told %d, true %.3f, longest unserved %.1f s, Jain %.3f", c.rejected, c.estimates, c.accurate, c.longestUnserved, c.jain)})
	}
}

// BenchmarkScheduler is the stage's cost of a job, from its arrival to its end, with two jobs waiting in each team.
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
			var out []uint32
			now, id := 0.0, uint32(0)
			room := 64
			take := func(all []Decision) {
				for len(all) > 0 {
					d := all[0]
					all = all[1:]
					if d.Action == Admit && room > 0 {
						room--
						out = append(out, d.Request)
						all = append(all, s.Started(now, d.Request, 100)...)
					} else if d.Action == Admit {
						out = append(out, d.Request)
					}
				}
			}
			arrive := func() {
				id++
				now += 0.001
				take(s.Enqueue(now, Arrival{ID: id, Team: budgets[int(id)%n].Name, Class: int(id) % 3, Work: 0.1, Memory: 100, Deadline: now + 1e6}))
			}
			for range 2*n + 100 {
				arrive()
			}
			b.ResetTimer()
			for b.Loop() {
				arrive()
				done := out[0]
				out = out[1:]
				take(s.Started(now, done, 100))
				take(s.Finished(now, done, 0.1))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/team")
		})
	}
}
