package main

import (
	"context"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/loadgen"
	"copperrock.example/copperrock/internal/harness/plots"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// quarter is a day at its close: what became of it, by team.
type quarter struct {
	*alone
	mu       sync.Mutex
	told     map[string]fakeengine.WaitEstimate // the first, by ref
	sent     map[string]float64
	asked    map[string]float64 // dispatched
	teamOf   map[string]string
	waiting  map[string]int // by team
	since    map[string]float64
	unserved map[string]float64
	value    map[string]float64 // in time
	work     map[string]float64
	began    time.Time
	bySecond map[string][]float64 // work done
}

func (c *quarter) serve(budgets []fairshare.Budget, change func(*operator.Settings)) string {
	file := filepath.Join(c.t.TempDir(), "engines.jsonc")
	if err := os.WriteFile(file, discovery.List{Generation: 1, Endpoints: c.all}.Format(), 0o644); err != nil {
		c.t.Fatal(err)
	}
	c.alone.serve(file, func(s *operator.Settings) {
		s.Settings.Admission.MachineTypes[0].Cores = c.engines[0].Cores
		s.Settings.Admission.MachineTypes[0].Memory = c.engines[0].Memory
		s.EngineFile.MaxRemovedFraction = 1
		s.RequestFields.Team, s.RequestFields.WaitEstimate = "team", "wait"
		s.Teams.Budgets = budgets
		s.Teams.Options.DefaultTeam = "rest"
		if change != nil {
			change(s)
		}
	})
	c.next()
	return file
}

func newQuarter(t testing.TB, engines int, cores float64) *quarter {
	c := &quarter{alone: newFleet(t, engines, nil), told: map[string]fakeengine.WaitEstimate{}, sent: map[string]float64{}, asked: map[string]float64{},
		teamOf: map[string]string{}, waiting: map[string]int{}, since: map[string]float64{}, unserved: map[string]float64{},
		value: map[string]float64{}, work: map[string]float64{}, began: time.Now(), bySecond: map[string][]float64{}}
	for _, e := range c.engines {
		e.Cores = cores
	}
	c.seen = func(s fakeengine.Event) {
		if s.Kind != "asked" {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if _, again := c.asked[s.RequestID]; !again {
			c.asked[s.RequestID] = s.At
			c.leaves(s.RequestID, s.At)
			c.since[c.teamOf[s.RequestID]] = s.At
		}
	}
	return c
}

// leaves counts a job that waits no more; the team was unserved since its last dispatch, or since it began to wait.
func (c *quarter) leaves(ref string, at float64) {
	team := c.teamOf[ref]
	c.unserved[team] = max(c.unserved[team], at-c.since[team])
	c.waiting[team]--
}

func (c *quarter) mix(seed uint64, types ...loadgen.WorkloadClass) *loadgen.Mix {
	worth := map[string]float64{"lookup": 1, "report": 5, "load": 20}
	sla := map[string]float64{"lookup": 0.5, "report": 2, "load": 4}
	return &loadgen.Mix{Clients: 40, Seed: seed, DataSets: 20, Classes: types, OnUnexpectedAnswer: c.rules.UnexpectedAnswer,
		OnSend: func(now float64, j fakeengine.Request, t loadgen.WorkloadClass) {
			c.rules.RequestSent(now, j, t.Idempotency, t.Pages)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sent[j.ID], c.teamOf[j.ID] = now, t.Team
			if c.waiting[t.Team] == 0 {
				c.since[t.Team] = now
			}
			c.waiting[t.Team]++
		},
		OnAnswer: func(j fakeengine.Request, t loadgen.WorkloadClass, a fakeengine.Answer) {
			c.rules.RequestAnswered(j.ID, a)
			c.mu.Lock()
			defer c.mu.Unlock()
			if _, dispatched := c.asked[j.ID]; !dispatched {
				c.asked[j.ID] = math.Inf(1)
				c.waiting[t.Team]--
			}
			if len(a.Estimates) > 0 {
				c.told[j.ID] = a.Estimates[0]
			}
			if a.Outcome == fakeengine.Completed {
				c.work[t.Team] += j.Work
				if c.bySecond[t.Team] == nil {
					c.bySecond[t.Team] = make([]float64, 40)
				}
				c.bySecond[t.Team][min(int(time.Since(c.began).Seconds()), 39)] += j.Work
				if a.Latency <= sla[t.Name] {
					c.value[t.Team] += worth[t.Name]
				}
			}
		}}
}

// honest gives the part of the estimates that came true: within a fifth, or 50 ms.
func (c *quarter) honest() (part float64, n int) {
	good := 0
	for ref, told := range c.told {
		at := c.asked[ref]
		if math.IsInf(at, 1) {
			continue // never dispatched: it was turned away
		}
		n++
		actual := at - told.ReceivedAt
		if math.Abs(actual-told.Start) <= max(0.2*actual, 0.05) {
			good++
		}
	}
	return float64(good) / max(float64(n), 1), n
}

// draw leaves the pictures of a day: waits told and had, and the teams' parts of the work over time.
func (c *quarter) draw(folder, kind string) {
	var points []plots.Point
	for ref, told := range c.told {
		if at := c.asked[ref]; !math.IsInf(at, 1) {
			points = append(points, plots.Point{Estimated: told.Start, Actual: at - told.ReceivedAt})
		}
	}
	names := slices.Sorted(maps.Keys(c.work))
	work := make([][]float64, len(names))
	for i, name := range names {
		work[i] = c.bySecond[name]
	}
	for _, err := range []error{plots.WaitEstimates(filepath.Join(folder, "waits-"+kind+".png"), "waits told and had, "+kind, points),
		plots.Shares(filepath.Join(folder, "shares-"+kind+".svg"), "parts of the work, "+kind, names, work)} {
		if err != nil {
			c.t.Error(err)
		}
	}
}

// Two teams at odds on sockets: the flood is refused at its bound, the other goes on, waits are told to those who ask
// and never after the answer, and every tally comes back to nothing.
func TestTeamsOnSockets(t *testing.T) {
	testutil.NewTrace(t)
	c := newQuarter(t, 2, 2)
	c.serve([]fairshare.Budget{{Name: "rest", Weight: 1}, {Name: "flood", Weight: 1, MaxQueued: 30}, {Name: "quiet", Weight: 1}}, nil)
	mix := c.mix(3, loadgen.WorkloadClass{Name: "report", Team: "flood", WantsEstimates: true, Rate: 120, Work: 0.1, Memory: 64, Timeout: 4, Pages: 2, Idempotency: admission.Idempotent},
		loadgen.WorkloadClass{Name: "load", Team: "quiet", WantsEstimates: true, Rate: 4, Work: 0.1, Memory: 64, Timeout: 6, Pages: 1, Idempotency: admission.NonIdempotent},
		loadgen.WorkloadClass{Name: "lookup", Team: "unknown", Rate: 4, Work: 0.02, Memory: 32, Timeout: 2, Pages: 1, Idempotency: admission.Idempotent})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := mix.Run(ctx, c.address); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(patience); !c.gateway.BudgetsIdle() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if !c.gateway.BudgetsIdle() || c.gateway.OpenRequests() > 0 {
		t.Error("something is still booked")
	}
	c.stop()
	for _, w := range c.rules.Violations() {
		t.Error(w)
	}
	results := mix.Results()
	t.Logf("\n%s", loadgen.FormatTable(results))
	if results[0].Rejected == 0 || results[1].Completed == 0 || results[1].Rejected > 0 || len(c.told) == 0 {
		t.Error("not what was to be tried")
	}
}

// Waits told against waits had, the longest a team went unserved, value in time and Jain's index, on calm, flooded and
// half-lost fleets, with budgets and with the plain queue by turns. make bench-teams.
func TestMeasureTeams(t *testing.T) {
	measuring(t)
	budgets := []fairshare.Budget{{Name: "rest", Weight: 1}, {Name: "members", Weight: 2, Guaranteed: 4000}, {Name: "analysts", Weight: 1}, {Name: "audit", Weight: 1}}
	recordings := t.TempDir()
	day := func(kind string, seed uint64, with bool) {
		c := newQuarter(t, 6, 4)
		set := budgets
		if !with {
			set = nil
		}
		file := c.serve(set, func(s *operator.Settings) {
			s.Teams.Options.Classes[3].MayPreempt = true
			s.Teams.Options.PreemptAfter, s.Teams.Options.PreemptWeightRatio, s.Teams.Options.MaxPreemptions = 0.1, 3, 1
		})
		flood := 1.0
		if kind == "flooded" {
			flood = 4
		}
		mix := c.mix(seed, loadgen.WorkloadClass{Name: "lookup", Team: "members", WantsEstimates: true, Rate: 150, Work: 0.03, Memory: 32, Timeout: 1, Pages: 1, Idempotency: admission.Idempotent},
			loadgen.WorkloadClass{Name: "load", Team: "members", WantsEstimates: true, Rate: 12, Work: 0.4, Memory: 256, Timeout: 6, Pages: 1, Idempotency: admission.NonIdempotent},
			loadgen.WorkloadClass{Name: "report", Team: "analysts", WantsEstimates: true, Rate: 70 * flood, Work: 0.15, Memory: 128, Timeout: 4, Pages: 2, Idempotency: admission.Idempotent},
			loadgen.WorkloadClass{Name: "lookup", Team: "audit", WantsEstimates: true, Rate: 100, Work: 0.03, Memory: 32, Timeout: 1, Pages: 1, Idempotency: admission.Idempotent})
		// Both queues get the same jobs at the same times: the first run of a kind records them.
		recording := filepath.Join(recordings, kind+".jsonl")
		if _, err := os.Stat(recording); err != nil {
			if err := mix.Record(recording, 20); err != nil {
				t.Fatal(err)
			}
		}
		if err := mix.Replay(recording); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if kind == "half-lost" {
			time.AfterFunc(8*time.Second, func() {
				writeFile(t, file, discovery.List{Generation: 2, Endpoints: slices.Clone(c.all[:3])}.Format())
			})
		}
		if err := mix.Run(ctx, c.address); err != nil {
			t.Fatal(err)
		}
		c.stop()
		for _, w := range c.rules.Violations() {
			t.Error(w)
		}
		part, n := c.honest()
		sum, squares, value, longest := 0.0, 0.0, 0.0, 0.0
		for _, b := range budgets[1:] {
			x := c.work[b.Name] / b.Weight
			sum, squares = sum+x, squares+x*x
			value += c.value[b.Name]
			longest = max(longest, c.unserved[b.Name])
		}
		t.Logf("%s, seed %d, budgets %v: %.0f%% of %d waits true; longest unserved %.2f s; value in time %.0f (members %.0f, analysts %.0f, audit %.0f); Jain %.3f\n%s",
			kind, seed, with, 100*part, n, longest, value, c.value["members"], c.value["analysts"], c.value["audit"], sum*sum/(3*squares), loadgen.FormatTable(mix.Results()))
		if folder := os.Getenv("PLOTS"); folder != "" && with {
			c.draw(folder, kind)
		}
	}
	for _, kind := range []string{"calm", "flooded", "half-lost"} {
		for _, with := range []bool{false, true} {
			day(kind, 1, with)
		}
	}
}
