package balance

import (
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/harness/plots"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// standardScenarios returns the scenarios for which TestEvenness requires a minimum evenness.
func standardScenarios() map[string]Scenario {
	return map[string]Scenario{
		"100x30":       {Controllers: 100, Engines: 30, MeanWork: 0.3, Utilization: 0.7, Duration: 15},
		"100x30-full":  {Controllers: 100, Engines: 30, MeanWork: 0.3, Utilization: 0.9, Duration: 15},
		"300x60":       {Controllers: 300, Engines: 60, MeanWork: 0.3, Utilization: 0.7, Duration: 15},
		"300x60-full":  {Controllers: 300, Engines: 60, MeanWork: 0.3, Utilization: 0.9, Duration: 15},
		"300x10-short": {Controllers: 300, Engines: 10, MeanWork: 0.06, Utilization: 0.7, Duration: 15},
	}
}

// slowStart are settings under which an engine starts at a fifth of its speed and has a small slow start budget.
var slowStart = admission.Settings{
	SlowStartWindow:         5,
	SlowStartInitialFactor:  0.2,
	SlowStartBudgetMultiple: 2,
	SlowStartBudgetWindow:   1,
}

// faultScenarios returns scenarios with faults, changes of the fleet or wrong estimates.
func faultScenarios() map[string]Scenario {
	base := Scenario{Controllers: 300, Engines: 60, MeanWork: 0.3, Utilization: 0.7, Duration: 15}
	with := func(change func(d *Scenario)) Scenario {
		d := base
		change(&d)
		return d
	}
	firstOnly := func(m Machine) func(int) Machine {
		return func(i int) Machine {
			if i == 0 {
				return m
			}
			return Machine{}
		}
	}
	all := func(m Machine) func(int) Machine { return func(int) Machine { return m } }
	return map[string]Scenario{
		"seven in ten controllers killed": with(func(d *Scenario) {
			d.Events = []Event{{7, func(s *Simulation) {
				for _, c := range s.Controllers[:210] {
					c.Kill()
				}
			}}}
		}),
		"half of the engines replaced": with(func(d *Scenario) {
			d.Settings, d.Utilization = slowStart, 0.5
			for i := range 30 {
				d.Events = append(d.Events, Event{4 + 7*float64(i)/30, func(s *Simulation) {
					s.AddEngine(60+i, 0)
					s.Engines[i].Crashed = true // leaves the endpoint list; its attempts are retried elsewhere
					s.Engines[i].Crash()
					s.SendEndpoints(0.3)
				}})
			}
		}),
		"half of the engines join": with(func(d *Scenario) {
			d.Engines, d.Utilization = 30, 0.7
			d.Events = []Event{{7, func(s *Simulation) {
				for i := range 30 {
					s.AddEngine(30+i, 0)
				}
				s.SendEndpoints(1)
			}}}
		}),
		"half of the engines join and warm up, the others full": with(func(d *Scenario) {
			d.Engines, d.Utilization, d.Settings = 30, 0.95, slowStart
			d.Events = []Event{{5, func(s *Simulation) {
				for i := range 30 {
					s.AddEngine(30+i, 0)
				}
				s.SendEndpoints(1)
			}}}
		}),
		"weights from 1 to 8": with(func(d *Scenario) {
			d.Machine = func(i int) Machine {
				w := 1 + float64(i%8)
				return Machine{Speed: w / 4.5, Weight: w}
			}
		}),
		"one slow by five": with(func(d *Scenario) { d.Machine = firstOnly(Machine{Speed: 0.2}) }),
		"one hangs and reports no queue": with(func(d *Scenario) {
			d.Machine = firstOnly(Machine{Fault: Hangs, ReportFault: AlwaysIdle})
		}),
		"one fails and reports no queue": with(func(d *Scenario) {
			d.Machine = firstOnly(Machine{Fault: FailsAll, ReportFault: AlwaysIdle})
		}),
		"reports that freeze":           with(func(d *Scenario) { d.Machine = all(Machine{ReportFault: Frozen}) }),
		"reports 3 s late":              with(func(d *Scenario) { d.Machine = all(Machine{ReportFault: Delayed}) }),
		"reports that are no numbers":   with(func(d *Scenario) { d.Machine = all(Machine{ReportFault: Invalid}) }),
		"only memory reported":          with(func(d *Scenario) { d.Unreported = Unreported{Waiting: true, CPU: true} }),
		"nothing reported":              with(func(d *Scenario) { d.Unreported = Unreported{Waiting: true, CPU: true, Memory: true} }),
		"estimates twice too high":      with(func(d *Scenario) { d.EstimateRatio = 2 }),
		"estimates ten times too high":  with(func(d *Scenario) { d.EstimateRatio = 10 }),
		"estimates ten times too low":   with(func(d *Scenario) { d.EstimateRatio = 0.1 }),
		"half of all at one controller": with(func(d *Scenario) { d.HalfAtFirst = true }),
		"lists that differ for 10 s": with(func(d *Scenario) {
			d.Utilization = 0.6
			d.Events = []Event{{0, func(s *Simulation) {
				for i, c := range s.Controllers {
					c.Visible = func(e *Engine) bool { return int(e.id)%2 == i%2 }
					c.sendEndpoints(s.Engines)
				}
			}}, {10, func(s *Simulation) {
				for _, c := range s.Controllers {
					c.Visible = nil
				}
				s.SendEndpoints(0.5)
			}}}
		}),
		"a zone lost and back, warming up": with(func(d *Scenario) {
			d.Settings, d.Utilization, d.Zones = slowStart, 0.5, 3
			d.Machine = func(i int) Machine { return Machine{Zone: i % 3} }
			d.Events = []Event{{5, func(s *Simulation) {
				for i := 1; i < 60; i += 3 {
					s.Engines[i].Crash()
				}
				s.SendEndpoints(1)
			}}, {8, func(s *Simulation) {
				for i := 1; i < 60; i += 3 {
					s.AddEngine(i, 0)
				}
				s.SendEndpoints(0.3)
			}}}
		}),
		"keyed and non-idempotent requests among the rest": with(func(d *Scenario) {
			d.Settings.Classes = []admission.Class{
				{LatencyObjective: 20, PriorityWeight: 1},
				{LatencyObjective: 20, PriorityWeight: 1, Idempotency: admission.IdempotentWithKey, IdempotencyWindow: 20, Ordered: true},
				{LatencyObjective: 20, PriorityWeight: 1, Idempotency: admission.NonIdempotent, WritesTables: true},
			}
			d.Machine = firstOnly(Machine{Fault: Hangs, ReportFault: AlwaysIdle})
		}),
	}
}

// The figures of hundreds of controllers meet the targets. They are the same in every run, so the diff of the trace shows the
// effect of a change to the admission module.
func TestEvenness(t *testing.T) {
	targets := map[string][2]float64{ // minimum of TotalEvenness and of MinBusy
		"100x30": {0.8, 0.85}, "100x30-full": {0.75, 0.9}, "300x60": {0.85, 0.85}, "300x60-full": {0.85, 0.9},
		"300x10-short": {0.5, 0.9},
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(standardScenarios())) {
		for seed := range uint64(2) {
			d := standardScenarios()[name]
			d.Seed = seed + 1
			f := d.Run()
			lines = append(lines, fmt.Sprintf("%s, seed %d: %v", name, d.Seed, f))
			if target := targets[name]; f.TotalEvenness < target[0] || f.MinBusy < target[1] || f.MaxBusy > 1.25 || f.Rejected+f.Lost > 0 {
				t.Errorf("%s, seed %d: got %v, want evenness of all waits at least %v, busy %v to 1.25, none rejected or lost",
					name, d.Seed, f, target[0], target[1])
			}
		}
	}
	testutil.CheckTrace(t, lines)
}

// Under all faults, no request is lost, no non-idempotent request runs twice, and no engine gets more than its slow start budget.
func TestHardCases(t *testing.T) {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(faultScenarios())) {
		d := faultScenarios()[name]
		d.Seed = 1
		f := d.Run()
		lines = append(lines, fmt.Sprintf("%s: %v", name, f))
		if f.Lost+f.Duplicates > 0 || f.SlowStartLoad > 1 || math.IsNaN(f.MeanWait) {
			t.Errorf("%s: got %v, want no lost requests or duplicates, and a slow start load of at most 1", name, f)
		}
	}
	testutil.CheckTrace(t, lines)
}

// All controllers together, few or many, keep within the slow start budget of engines that warm up: when many engines join under
// overload, when one controller has half of the traffic, and when controllers restart in the meantime, one after another or all
// at once, and so lose track of what they have sent. The last figure of a line is the highest load relative to the budget.
func TestSlowStartBudgetHolds(t *testing.T) {
	var lines []string
	for _, n := range []int{3, 25, 300} {
		for _, meanwhile := range []string{"nothing else", "most at one", "restarts in turn", "restarts at once",
			"each restarts many times"} {
			d := Scenario{Controllers: n, Engines: 8, MeanWork: 0.05, Utilization: 1.2, Duration: 12, Settings: slowStart,
				HalfAtFirst: meanwhile == "most at one"}
			joins := func(s *Simulation) {
				for i := range 8 {
					s.AddEngine(8+i, 0)
				}
				s.SendEndpoints(0.5)
			}
			d.Events = []Event{{4, joins}}
			restart := func(at float64, which func(i int) bool) {
				d.Events = append(d.Events, Event{at, func(s *Simulation) {
					for i, c := range s.Controllers {
						if which(i) {
							c.Restart()
						}
					}
				}})
			}
			switch meanwhile {
			case "restarts in turn":
				for k := range 30 {
					restart(4.2+0.1*float64(k), func(i int) bool { return i%30 == k })
				}
			case "restarts at once":
				restart(5, func(int) bool { return true })
			case "each restarts many times":
				for k := range 12 {
					restart(4.3+0.35*float64(k), func(int) bool { return true })
				}
			}
			for seed := range uint64(3) {
				d.Seed = seed + 1
				f := d.Run()
				lines = append(lines, fmt.Sprintf("%d controllers, %s, seed %d: slow start load %.2f", n, meanwhile, d.Seed, f.SlowStartLoad))
				if f.SlowStartLoad > 1 || f.SlowStartLoad == 0 {
					t.Errorf("%d controllers, %s, seed %d: got %v, want a slow start load above 0 and at most 1", n, meanwhile, d.Seed, f)
				}
			}
		}
	}
	testutil.CheckTrace(t, lines)
}

// TestPlots plots the utilization of the engines in some scenarios into the folder that PLOTS names, for make fleet-plots.
func TestPlots(t *testing.T) {
	folder := os.Getenv("PLOTS")
	if folder == "" {
		t.Skip("set PLOTS to a folder")
	}
	scenarios := faultScenarios()
	maps.Copy(scenarios, standardScenarios())
	for name, file := range map[string]string{
		"300x60-full":                   "full",
		"half of the engines join":      "join",
		"half of all at one controller": "half",
		"weights from 1 to 8":           "weights",
	} {
		d := scenarios[name]
		d.Seed = 1
		f := d.Run()
		t.Logf("%s: %v", name, f)
		if err := plots.Utilization(filepath.Join(folder, "busy-"+file+os.Getenv("PLOT")+".svg"), name, f.BusyShares); err != nil {
			t.Error(err)
		}
	}
}

// TestTry runs the scenario that TRY names, or all, and logs the figures, for make fleet-model.
func TestTry(t *testing.T) {
	only := os.Getenv("TRY")
	if only == "" {
		t.Skip("set TRY to the name of a scenario or to all")
	}
	for _, scenarios := range []map[string]Scenario{standardScenarios(), faultScenarios()} {
		for _, name := range slices.Sorted(maps.Keys(scenarios)) {
			for seed := range uint64(3) {
				if d := scenarios[name]; only == "all" || only == name {
					d.Seed = seed + 1
					t.Logf("%s, seed %d: %v", name, d.Seed, d.Run())
				}
			}
		}
	}
}
