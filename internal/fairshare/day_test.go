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

// closing is what a day of close with a hundred teams came to.
type closing struct {
	jobs, refused int
	honest        float64 // part of the waits told that came true within a fifth, or 50 ms
	told          int
	unserved      float64 // the longest of any team
	jain          float64 // over the work done by weight, of the teams that always had jobs waiting
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
func closeOfQuarter(t testing.TB, jobs int) closing {
	var budgets []Budget
	for i := range 100 {
		budgets = append(budgets, Budget{Name: fmt.Sprintf("team%02d", i), Weight: float64(1 + i%4), MaxQueued: 60, MaxWait: 50})
	}
	f := newFarm(t, Options{MaxUndispatched: 8, AgingRate: 0.05, DefaultTeam: "team99", MaxRetryAfter: 30, MinEstimateChange: 0.25}, 64, 1e9, budgets...)
	rng := chance(5)
	f.work = func(x *task) float64 { c := chance(x.id); return 0.5 + c.draw() }
	const work = 0.2
	rate := 64 / work * 1.3 // offered over what can be done
	end := float64(jobs) / rate
	for id := uint32(1); int(id) <= jobs; id++ {
		f.pass(f.at - math.Log(1-rng.draw())/rate)
		switch day := f.at / end; {
		case day > 0.8 && f.cores == 64:
			f.cores = 32
			f.do(f.SetCapacity(f.at, 32))
		case day > 0.4 && f.pace == 1 && f.at < 0.4*end+10:
			f.pace = 0.5
		case f.pace < 1 && f.at > 0.4*end+10:
			f.pace = 1
		}
		team := int(rng.draw() * 20)
		if rng.draw() < 0.3 { // the others' bursts, each its own second
			team = 20 + int(f.at)%80
		}
		f.arrive(id, budgets[team].Name, 0, work*(0.5+rng.draw()), 100, 60)
	}
	f.pass(f.at + 200)
	if err := f.empty(); err != nil {
		t.Error(err)
	}
	c := closing{jobs: jobs, told: len(f.told)}
	for _, x := range f.told {
		if math.Abs(x.actual-x.estimated) <= max(0.2*x.actual, 0.05) {
			c.honest++
		}
	}
	if dump := os.Getenv("DUMP"); dump != "" {
		file, _ := os.Create(dump)
		defer file.Close()
		for _, x := range f.told {
			fmt.Fprintf(file, "%.4f %.4f\n", x.estimated, x.actual)
		}
	}
	c.honest /= max(float64(len(f.told)), 1)
	sum, squares := 0.0, 0.0
	for i, b := range budgets {
		c.unserved = max(c.unserved, f.unserved[b.Name])
		c.refused += f.refused[b.Name]
		if i < 20 {
			x := f.done[b.Name] / b.Weight
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
	if c.unserved > 60 {
		t.Errorf("a team went unserved for %.1f s", c.unserved)
	}
	if jobs == 60000 {
		testutil.Check(t, []string{fmt.Sprintf("refused %d, told %d, true %.3f, longest unserved %.1f s, Jain %.3f", c.refused, c.told, c.honest, c.unserved, c.jain)})
	}
}

// BenchmarkStage is the stage's cost of a job, from its arrival to its end, with two jobs waiting in each team.
func BenchmarkStage(b *testing.B) {
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
				take(s.Enqueue(now, id, budgets[int(id)%n].Name, int(id)%3, 0.1, 100, now+1e6, false))
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
