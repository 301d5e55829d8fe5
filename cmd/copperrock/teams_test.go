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

// teamsTest is a trafficTest that records, by team, what became of its requests.
type teamsTest struct {
	*trafficTest
	mu              sync.Mutex
	estimates       map[string]fakeengine.WaitEstimate // the first one, by request ID
	sentAt          map[string]float64                 // by request ID
	dispatchedAt    map[string]float64                 // by request ID; infinite if it was answered without an attempt
	teamOf          map[string]string                  // by request ID
	waiting         map[string]int                     // requests without an attempt, by team
	unservedSince   map[string]float64                 // last first attempt, or start of waiting, by team
	longestUnserved map[string]float64                 // seconds, by team
	valueInTime     map[string]float64                 // value of requests completed within their latency objective, by team
	completedWork   map[string]float64                 // seconds of CPU, by team
	startedAt       time.Time
	workBySecond    map[string][]float64 // seconds of CPU completed in each second, by team
}

// start starts the controller with the given budgets and returns the path of the list file; change, which may be nil,
// adjusts the settings.
func (c *teamsTest) start(budgets []fairshare.Budget, change func(*operator.Settings)) string {
	file := filepath.Join(c.t.TempDir(), "engines.jsonc")
	if err := os.WriteFile(file, discovery.List{Generation: 1, Endpoints: c.endpoints}.Format(), 0o644); err != nil {
		c.t.Fatal(err)
	}
	c.trafficTest.start(file, func(s *operator.Settings) {
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
	c.nextDecision()
	return file
}

func newTeamsTest(t testing.TB, engines int, cores float64) *teamsTest {
	c := &teamsTest{trafficTest: newTrafficTest(t, engines, nil), estimates: map[string]fakeengine.WaitEstimate{}, sentAt: map[string]float64{}, dispatchedAt: map[string]float64{},
		teamOf: map[string]string{}, waiting: map[string]int{}, unservedSince: map[string]float64{}, longestUnserved: map[string]float64{},
		valueInTime: map[string]float64{}, completedWork: map[string]float64{}, startedAt: time.Now(), workBySecond: map[string][]float64{}}
	for _, e := range c.engines {
		e.Cores = cores
	}
	c.onEvent = func(s fakeengine.Event) {
		if s.Kind != "asked" {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if _, again := c.dispatchedAt[s.RequestID]; !again {
			c.dispatchedAt[s.RequestID] = s.At
			c.leaveQueue(s.RequestID, s.At)
			c.unservedSince[c.teamOf[s.RequestID]] = s.At
		}
	}
	return c
}

// leaveQueue records the first attempt of a request. Its team was unserved since the previous first attempt, or since it
// began to wait.
func (c *teamsTest) leaveQueue(id string, at float64) {
	team := c.teamOf[id]
	c.longestUnserved[team] = max(c.longestUnserved[team], at-c.unservedSince[team])
	c.waiting[team]--
}

func (c *teamsTest) loadMix(seed uint64, types ...loadgen.WorkloadClass) *loadgen.Mix {
	value := map[string]float64{"lookup": 1, "report": 5, "load": 20}
	objective := map[string]float64{"lookup": 0.5, "report": 2, "load": 4}
	return &loadgen.Mix{Clients: 40, Seed: seed, DataSets: 20, Classes: types, OnUnexpectedAnswer: c.checker.UnexpectedAnswer,
		OnSend: func(now float64, j fakeengine.Request, t loadgen.WorkloadClass) {
			c.checker.RequestSent(now, j, t.Idempotency, t.Pages)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sentAt[j.ID], c.teamOf[j.ID] = now, t.Team
			if c.waiting[t.Team] == 0 {
				c.unservedSince[t.Team] = now
			}
			c.waiting[t.Team]++
		},
		OnAnswer: func(j fakeengine.Request, t loadgen.WorkloadClass, a fakeengine.Answer) {
			c.checker.RequestAnswered(j.ID, a)
			c.mu.Lock()
			defer c.mu.Unlock()
			if _, dispatched := c.dispatchedAt[j.ID]; !dispatched {
				c.dispatchedAt[j.ID] = math.Inf(1)
				c.waiting[t.Team]--
			}
			if len(a.Estimates) > 0 {
				c.estimates[j.ID] = a.Estimates[0]
			}
			if a.Outcome == fakeengine.Completed {
				c.completedWork[t.Team] += j.Work
				if c.workBySecond[t.Team] == nil {
					c.workBySecond[t.Team] = make([]float64, 40)
				}
				c.workBySecond[t.Team][min(int(time.Since(c.startedAt).Seconds()), 39)] += j.Work
				if a.Latency <= objective[t.Name] {
					c.valueInTime[t.Team] += value[t.Name]
				}
			}
		}}
}

// accurateEstimates returns the share of wait estimates that proved right within 20% or 50 ms, and the number of
// estimates.
func (c *teamsTest) accurateEstimates() (share float64, n int) {
	accurate := 0
	for id, estimate := range c.estimates {
		at := c.dispatchedAt[id]
		if math.IsInf(at, 1) {
			continue // answered without an attempt
		}
		n++
		actual := at - estimate.ReceivedAt
		if math.Abs(actual-estimate.Start) <= max(0.2*actual, 0.05) {
			accurate++
		}
	}
	return float64(accurate) / max(float64(n), 1), n
}

// plot writes plots of a run: estimated and actual waits, and the teams' shares of the work over time.
func (c *teamsTest) plot(folder, kind string) {
	var points []plots.Point
	for id, estimate := range c.estimates {
		if at := c.dispatchedAt[id]; !math.IsInf(at, 1) {
			points = append(points, plots.Point{Estimated: estimate.Start, Actual: at - estimate.ReceivedAt})
		}
	}
	names := slices.Sorted(maps.Keys(c.completedWork))
	work := make([][]float64, len(names))
	for i, name := range names {
		work[i] = c.workBySecond[name]
	}
	for _, err := range []error{plots.WaitEstimates(filepath.Join(folder, "waits-"+kind+".png"), "estimated and actual waits, "+kind, points),
		plots.Shares(filepath.Join(folder, "shares-"+kind+".svg"), "shares of the work, "+kind, names, work)} {
		if err != nil {
			c.t.Error(err)
		}
	}
}

// Two teams compete over real connections and one floods the gateway. Guards against the flood exceeding its queue limit
// or keeping the other team from being served, against wait estimates that are missing or sent after the answer, and
// against budget usage that is not released.
func TestTeamsOverNetwork(t *testing.T) {
	testutil.NewTrace(t)
	c := newTeamsTest(t, 2, 2)
	c.start([]fairshare.Budget{{Name: "rest", Weight: 1}, {Name: "flood", Weight: 1, MaxQueued: 30}, {Name: "quiet", Weight: 1}}, nil)
	mix := c.loadMix(3, loadgen.WorkloadClass{Name: "report", Team: "flood", WantsEstimates: true, Rate: 120, Work: 0.1, Memory: 64, Timeout: 4, Pages: 2, Idempotency: admission.Idempotent},
		loadgen.WorkloadClass{Name: "load", Team: "quiet", WantsEstimates: true, Rate: 4, Work: 0.1, Memory: 64, Timeout: 6, Pages: 1, Idempotency: admission.NonIdempotent},
		loadgen.WorkloadClass{Name: "lookup", Team: "unknown", Rate: 4, Work: 0.02, Memory: 32, Timeout: 2, Pages: 1, Idempotency: admission.Idempotent})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := mix.Run(ctx, c.address); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(testTimeout); !c.gateway.BudgetsIdle() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if !c.gateway.BudgetsIdle() || c.gateway.OpenRequests() > 0 {
		t.Error("budget usage or requests left at the end")
	}
	c.stop()
	for _, violation := range c.checker.Violations() {
		t.Error(violation)
	}
	results := mix.Results()
	t.Logf("\n%s", loadgen.FormatTable(results))
	if results[0].Rejected == 0 || results[1].Completed == 0 || results[1].Rejected > 0 || len(c.estimates) == 0 {
		t.Error("want rejections of the flood only, completed requests of the other team and estimates")
	}
}

// Estimated against actual waits, the longest time a team went unserved, value in time and Jain's index, for normal load,
// a flood and the loss of half of the engines, with budgets and with the plain queue in turn. Run by make bench-teams.
func TestMeasureTeams(t *testing.T) {
	skipUnlessMeasuring(t)
	budgets := []fairshare.Budget{{Name: "rest", Weight: 1}, {Name: "members", Weight: 2, Guaranteed: 4000}, {Name: "analysts", Weight: 1}, {Name: "audit", Weight: 1}}
	recordings := t.TempDir()
	run := func(kind string, seed uint64, withBudgets bool) {
		c := newTeamsTest(t, 6, 4)
		used := budgets
		if !withBudgets {
			used = nil
		}
		file := c.start(used, func(s *operator.Settings) {
			s.Teams.Options.Classes[3].MayPreempt = true
			s.Teams.Options.PreemptAfter, s.Teams.Options.PreemptWeightRatio, s.Teams.Options.MaxPreemptions = 0.1, 3, 1
		})
		flood := 1.0
		if kind == "flooded" {
			flood = 4
		}
		mix := c.loadMix(seed, loadgen.WorkloadClass{Name: "lookup", Team: "members", WantsEstimates: true, Rate: 150, Work: 0.03, Memory: 32, Timeout: 1, Pages: 1, Idempotency: admission.Idempotent},
			loadgen.WorkloadClass{Name: "load", Team: "members", WantsEstimates: true, Rate: 12, Work: 0.4, Memory: 256, Timeout: 6, Pages: 1, Idempotency: admission.NonIdempotent},
			loadgen.WorkloadClass{Name: "report", Team: "analysts", WantsEstimates: true, Rate: 70 * flood, Work: 0.15, Memory: 128, Timeout: 4, Pages: 2, Idempotency: admission.Idempotent},
			loadgen.WorkloadClass{Name: "lookup", Team: "audit", WantsEstimates: true, Rate: 100, Work: 0.03, Memory: 32, Timeout: 1, Pages: 1, Idempotency: admission.Idempotent})
		// Both queues get the same requests at the same times: the first run of a kind records them.
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
				writeFile(t, file, discovery.List{Generation: 2, Endpoints: slices.Clone(c.endpoints[:3])}.Format())
			})
		}
		if err := mix.Run(ctx, c.address); err != nil {
			t.Fatal(err)
		}
		c.stop()
		for _, violation := range c.checker.Violations() {
			t.Error(violation)
		}
		share, n := c.accurateEstimates()
		sum, squares, value, longest := 0.0, 0.0, 0.0, 0.0
		for _, b := range budgets[1:] {
			x := c.completedWork[b.Name] / b.Weight
			sum, squares = sum+x, squares+x*x
			value += c.valueInTime[b.Name]
			longest = max(longest, c.longestUnserved[b.Name])
		}
		t.Logf("%s, seed %d, budgets %v: %.0f%% of %d estimates accurate; longest unserved %.2f s; value in time %.0f (members %.0f, analysts %.0f, audit %.0f); Jain %.3f\n%s",
			kind, seed, withBudgets, 100*share, n, longest, value, c.valueInTime["members"], c.valueInTime["analysts"], c.valueInTime["audit"], sum*sum/(3*squares), loadgen.FormatTable(mix.Results()))
		if folder := os.Getenv("PLOTS"); folder != "" && withBudgets {
			c.plot(folder, kind)
		}
	}
	for _, kind := range []string{"calm", "flooded", "half-lost"} {
		for _, withBudgets := range []bool{false, true} {
			run(kind, 1, withBudgets)
		}
	}
}
