package fairshare

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A team that sends a hundred times its share must not affect the others.
func TestFlood(t *testing.T) {
	sim := newSimulation(t, Options{}, 4, 1e9, Budget{Name: "flood", Weight: 1}, Budget{Name: "quiet", Weight: 1})
	id := uint32(0)
	worst := 0.0
	for at := 0.0; at < 60; at += 0.01 {
		sim.advanceTo(at)
		id++
		sim.arrive(id, "flood", 0, 1, 10, 1000)
		if int(at*100)%100 == 0 {
			id++
			sim.arrive(id, "quiet", 0, 1, 10, 1000)
		}
		worst = max(worst, sim.longestUnserved["quiet"])
	}
	lines := []string{fmt.Sprintf("flood done %.0f, quiet done %.0f of 60; longest quiet waited for a turn %.1f s", sim.completedWork["flood"], sim.completedWork["quiet"], worst)}
	testutil.CheckTrace(t, lines)
	if sim.completedWork["quiet"] < 55 || worst > 2 {
		t.Errorf("quiet team: got %.0f requests completed and %.1f s without service, want at least 55 and at most 2 s", sim.completedWork["quiet"], worst)
	}
}

// Alternating bursts of two teams, and a team whose requests take ten times their estimate: how much work each team
// completes, and how long each goes without service.
func TestBurstsAndWrongEstimates(t *testing.T) {
	var lines []string
	run := func(name string, workFactor float64, team func(at float64) string, rate float64) {
		sim := newSimulation(t, Options{}, 4, 1e9, Budget{Name: "a", Weight: 1}, Budget{Name: "b", Weight: 1})
		sim.actualWork = func(x *task) float64 {
			if x.team == "a" {
				return workFactor
			}
			return 1
		}
		id := uint32(0)
		for at := 0.0; at < 120; at += 1 / rate {
			sim.advanceTo(at)
			id++
			sim.arrive(id, team(at), 0, 0.5, 10, 30)
		}
		lines = append(lines, fmt.Sprintf("%s: a done %.0f, b done %.0f; longest without a turn a %.1f s, b %.1f s; refused a %d, b %d", name, sim.completedWork["a"], sim.completedWork["b"],
			sim.longestUnserved["a"], sim.longestUnserved["b"], sim.rejected["a"], sim.rejected["b"]))
		if max(sim.longestUnserved["a"], sim.longestUnserved["b"]) > 60 {
			t.Errorf("%s: longest time without service a %.1f s, b %.1f s, want at most 60 s", name, sim.longestUnserved["a"], sim.longestUnserved["b"])
		}
		sim.advanceTo(1e4)
		if err := sim.checkEmpty(); err != nil {
			t.Error(err)
		}
	}
	mirrored := func(at float64) string {
		if int(at/5)%2 == 0 {
			return "a"
		}
		return "b"
	}
	alternating := func(at float64) string {
		if int(at*100)%2 == 0 {
			return "a"
		}
		return "b"
	}
	run("mirrored bursts of 5 s", 1, mirrored, 16)
	run("both all the time", 1, alternating, 16)
	run("a's jobs take ten times what they say", 10, alternating, 16)
	testutil.CheckTrace(t, lines)
}

// The decisions in a series of difficult cases.
func TestCases(t *testing.T) {
	var all []string
	addSection := func(title string, lines *[]string) { all = append(all, append([]string{title}, *lines...)...) }

	sim := newSimulation(t, Options{MaxRetryAfter: 5}, 2, 1000, Budget{Name: "small", Weight: 1, Limit: 100, MaxQueued: 2, MaxRunning: 1}, Budget{Name: "big", Weight: 1})
	trace := traceOf(sim)
	sim.arrive(1, "small", 0, 1, 101, 10) // more than the whole budget
	sim.arrive(2, "small", 0, 1, 60, 10)
	sim.arrive(3, "small", 0, 1, 60, 10) // waits for its budget although the engines have room
	sim.arrive(4, "big", 0, 1, 60, 10)
	sim.arrive(5, "small", 0, 1, 60, 10)
	sim.arrive(6, "small", 0, 1, 60, 10) // beyond MaxQueued
	sim.advanceTo(10)
	addSection("budgets of a team", trace)
	if err := sim.checkEmpty(); err != nil {
		t.Error(err)
	}

	sim = newSimulation(t, Options{}, 1, 1000, Budget{Name: "house", Weight: 1, Limit: 200}, Budget{Name: "a", Parent: "house", Weight: 3, Limit: 200},
		Budget{Name: "b", Parent: "house", Weight: 1, Limit: 200}, Budget{Name: "c", Weight: 1})
	trace = traceOf(sim)
	for id := uint32(1); id <= 24; id++ {
		sim.arrive(id, []string{"a", "b", "c"}[id%3], 0, 1, 100, 100)
	}
	sim.advanceTo(100)
	addSection("a team of teams: a has three parts of the house's half", trace)

	sim = newSimulation(t, Options{}, 1, 1000, Budget{Name: "a", Weight: 1}, Budget{Name: "idle", Weight: 0})
	trace = traceOf(sim)
	for id := uint32(1); id <= 6; id++ {
		sim.arrive(id, []string{"a", "idle"}[id%2], 0, 1, 100, 100)
	}
	sim.advanceTo(100)
	addSection("a team of weight 0", trace)

	sim = newSimulation(t, Options{StarvationTimeout: 3}, 1, 1000, Budget{Name: "a", Weight: 1000}, Budget{Name: "b", Weight: 0.001}, Budget{Name: "idle", Weight: 0})
	trace = traceOf(sim)
	for id := uint32(1); id <= 30; id++ {
		sim.arrive(id, []string{"a", "a", "a", "b", "idle"}[id%5], 0, 1, 100, 100)
	}
	sim.advanceTo(15)
	addSection("nobody goes unserved for long", trace)

	classes := []Class{{Idempotent: true, PriorityWeight: 1, Threads: 1}, {MayPreempt: true, PriorityWeight: 50, Threads: 1}, {PriorityWeight: 1, Threads: 1}}
	sim = newSimulation(t, Options{Classes: classes, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 2, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1, Guaranteed: 500})
	trace = traceOf(sim)
	sim.arrive(1, "analysts", 0, 5, 400, 100)
	sim.arrive(2, "analysts", 2, 5, 400, 100) // not idempotent: never a victim
	sim.advanceTo(1)
	sim.arrive(3, "members", 1, 2, 400, 100)
	sim.advanceTo(3.5)
	sim.arrive(4, "members", 1, 2, 400, 100) // the first victim has been preempted as often as allowed
	sim.advanceTo(60)
	addSection("a load has a report called off, once", trace)

	sim = newSimulation(t, Options{Classes: classes, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 2, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1})
	trace = traceOf(sim)
	sim.arrive(1, "analysts", 0, 5, 400, 100)
	sim.arrive(2, "analysts", 0, 6, 400, 100)
	sim.arrive(3, "members", 1, 2, 400, 100)
	for range 2 {
		sim.advanceTo(sim.clock + 0.09)
		sim.clock += 0.1
		for _, d := range sim.Tick(sim.clock) { // the controller declines the first, then the second is proposed
			sim.logf("-> yield job %d for job %d, not carried out", d.Request, d.Beneficiary)
			sim.PreemptionDeclined(d.Request)
		}
	}
	sim.advanceTo(30)
	addSection("what the module keeps is not asked for again", trace)

	sim2 := newSimulation(t, Options{Classes: classes, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 1, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1})
	trace = traceOf(sim2)
	sim2.arrive(1, "analysts", 0, 5, 400, 100)
	sim2.arrive(2, "members", 1, 2, 400, 100)
	sim2.advanceTo(0.05)
	sim2.arrive(3, "members", 1, 2, 400, 100)
	sim2.advanceTo(0.3)
	sim2.logf("the client of job 2 leaves as job 1 has been called off for it")
	sim2.tasks[2].ended = true
	sim2.carryOut(sim2.Finished(sim2.clock, 2, 0))
	sim2.advanceTo(60)
	addSection("a client leaves while its victim is being called off", trace)
	if err := sim2.checkEmpty(); err != nil {
		t.Error(err)
	}
	if err := sim.checkEmpty(); err != nil {
		t.Error(err)
	}

	sim = newSimulation(t, Options{}, 1, 1000, Budget{Name: "a", Weight: 1, MaxWait: 2})
	trace = traceOf(sim)
	sim.arrive(1, "a", 0, 5, 100, 100)
	for id := uint32(2); id < 8; id++ {
		sim.arrive(id, "a", 0, 5, 100, 100)
	}
	sim.advanceTo(1)
	sim.carryOut(sim.Finished(sim.clock, 6, 0)) // the client leaves while the request is queued
	sim.advanceTo(100)
	addSection("the longest wait", trace)
	if err := sim.checkEmpty(); err != nil {
		t.Error(err)
	}

	sim = newSimulation(t, Options{DefaultTeam: "rest"}, 1, 1000, Budget{Name: "rest", Weight: 1}, Budget{Name: "a", Weight: 1, Limit: 500}, Budget{Name: "b", Weight: 1})
	trace = traceOf(sim)
	for id := uint32(1); id <= 12; id++ {
		sim.arrive(id, []string{"rest", "a", "b", "unknown"}[id%4], 0, 1, 300, 100)
	}
	sim.advanceTo(2)
	if err := sim.Configure(sim.clock, []Budget{{Name: "rest", Weight: 1}, {Name: "a", Weight: 5, Limit: 100}}); err != nil {
		t.Fatal(err)
	}
	sim.logf("a has less than it uses, b is gone")
	sim.carryOut(sim.Tick(sim.clock))
	sim.arrive(13, "b", 0, 1, 300, 100)
	sim.advanceTo(20)
	if err := sim.Configure(sim.clock, []Budget{{Name: "rest", Weight: 1}, {Name: "a", Weight: 5}}); err != nil {
		t.Fatal(err)
	}
	sim.logf("a has room again")
	sim.carryOut(sim.Tick(sim.clock))
	sim.advanceTo(60)
	addSection("other budgets in service", trace)
	if err := sim.checkEmpty(); err != nil {
		t.Error(err)
	}

	for _, b := range [][]Budget{{{Name: "a"}, {Name: "a"}}, {{Name: "a", Parent: "x"}}, {{Name: "a", Guaranteed: 2, Limit: 1}},
		{{Name: "p", Guaranteed: 5}, {Name: "a", Parent: "p", Guaranteed: 3}, {Name: "b", Parent: "p", Guaranteed: 3}},
		{{Name: "a", Parent: "a"}}, {{Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}}} {
		_, err := New(Options{}, b)
		all = append(all, fmt.Sprint(err))
	}
	_, err := New(Options{DefaultTeam: "x"}, []Budget{{Name: "a"}})
	testutil.CheckTrace(t, append(all, fmt.Sprint(err)))
}

// Random sequences of events, after each of which the invariants must hold: no team exceeds its limits (until the budgets
// are replaced, since running requests are not preempted for smaller ones), no request that fits waits while the controller
// holds none, and no count is negative. At the end all counts are zero and each request has ended. None ends twice: a
// decision on a request that has ended makes simulation.carryOut panic. How long teams go without service is not checked
// here: TestBurstsAndWrongEstimates and TestCloseOfQuarter check that it is at most a minute.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []Class{{Idempotent: true, PriorityWeight: 1, Threads: 1}, {MayPreempt: true, PriorityWeight: 30, Threads: 1}}
		options := Options{Classes: classes, DefaultTeam: "t0", StarvationTimeout: 20, AgingRate: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "ageing"), MaxRetryAfter: 5,
			PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: rapid.IntRange(0, 2).Draw(t, "preempt")}
		var budgets []Budget
		n := rapid.IntRange(1, 6).Draw(t, "teams")
		draw := func(i int) Budget {
			b := Budget{Name: fmt.Sprintf("t%d", i), Weight: rapid.SampledFrom([]float64{0, 0.5, 1, 1, 4}).Draw(t, "weight"),
				Limit: rapid.SampledFrom([]float64{0, 300, 800}).Draw(t, "most"), MaxRunning: rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "running"),
				MaxQueued: rapid.SampledFrom([]int{0, 5}).Draw(t, "waiting")}
			if i >= 3 { // below a parent team
				b.Parent = "house"
			}
			return b
		}
		all := func() []Budget {
			budgets = nil
			for i := range n {
				budgets = append(budgets, draw(i))
			}
			if n > 3 {
				budgets = append(budgets, Budget{Name: "house", Weight: 1, Limit: 900})
			}
			return budgets
		}
		sim := newSimulation(t, options, 3, 1000, all()...)
		check := func() {
			fits := false
			for _, x := range sim.active {
				for k := range x.queues {
					if len(x.queuedRequests(k)) > 0 && sim.undispatched[k] < sim.options.MaxUndispatched && sim.blockingTeam(x.queuedRequests(k)[0]) == nil {
						fits = true
					}
				}
			}
			if fits && len(sim.queue) == 0 {
				blocked := false // a request may wait behind the first one of a blocked team
				for _, x := range sim.active {
					for p := x; p != nil; p = p.parent {
						for k := range p.queues {
							blocked = blocked || p.queues[k].blocked
						}
					}
				}
				if !blocked {
					t.Fatalf("a request that fits is queued while the controller holds none")
				}
			}
			for _, x := range sim.teams {
				for p := x; p != nil; p = p.parent {
					if p.memoryInUse < 0 || p.running < 0 || p.queued < 0 {
						t.Fatalf("team %s: got %g MB, %d running, %d queued, want none negative", p.Name, p.memoryInUse, p.running, p.queued)
					}
				}
			}
		}
		shrunk := false
		for id, jobs := uint32(1), uint32(rapid.IntRange(1, 150).Draw(t, "jobs")); id <= jobs; id++ {
			sim.advanceTo(sim.clock + rapid.SampledFrom([]float64{0, 0, 0.1, 0.5, 3}).Draw(t, "time"))
			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				if err := sim.Configure(sim.clock, all()); err != nil {
					t.Fatal(err)
				}
				shrunk = true
				sim.carryOut(sim.Tick(sim.clock))
			case 1: // the client leaves
				for _, id := range slices.Sorted(maps.Keys(sim.tasks)) {
					if x := sim.tasks[id]; !x.running && x.startedAt == 0 {
						x.ended = true
						delete(sim.tasks, x.id)
						sim.carryOut(sim.Finished(sim.clock, x.id, 0))
						break
					}
				}
			case 2: // the clock jumps
				sim.clock += 3600
				sim.carryOut(sim.Tick(sim.clock))
			case 3:
				sim.carryOut(sim.SetCapacity(sim.clock, rapid.Float64Range(0, 10).Draw(t, "cores")))
			default:
				sim.arrive(id, fmt.Sprintf("t%d", rapid.IntRange(0, 7).Draw(t, "team")), rapid.IntRange(0, 1).Draw(t, "type"),
					rapid.Float64Range(0.01, 2).Draw(t, "work"), rapid.Float64Range(1, 400).Draw(t, "memory"), rapid.SampledFrom([]float64{1, 20, 1e6}).Draw(t, "allow"))
			}
			check()
			if !shrunk {
				for _, x := range sim.teams {
					for p := x; p != nil; p = p.parent {
						if p.Limit > 0 && p.memoryInUse > p.Limit+1e-6 || p.MaxRunning > 0 && p.running > p.MaxRunning {
							t.Fatalf("team %s: got %g MB and %d running, want at most %g MB and %d", p.Name, p.memoryInUse, p.running, p.Limit, p.MaxRunning)
						}
					}
				}
			}
		}
		sim.advanceTo(sim.clock + 1e5)
		if err := sim.checkEmpty(); err != nil {
			t.Fatal(err)
		}
		if len(sim.tasks) > 0 {
			t.Fatalf("got %d requests that never ended, want 0", len(sim.tasks))
		}
	})
}

// arrival returns a request of team a.
func arrival(id uint32, memory float64) Arrival {
	return Arrival{ID: id, Team: "a", Work: 1, Memory: memory, Deadline: 100}
}

// An operator's override of a limit applies to queued and later requests, but not to running ones, and ends when it is
// revoked. Replacing the budgets is not tested: Configure drops the override, and Gateway.UpdateBudgets sets it again.
func TestOverriddenLimit(t *testing.T) {
	s, err := New(Options{Classes: []Class{{Idempotent: true, Threads: 1}}, DefaultTeam: "a", MaxUndispatched: 8}, []Budget{{Name: "a", Weight: 1, Limit: 100}})
	if err != nil {
		t.Fatal(err)
	}
	countAdmitted := func(all []Decision) (n int) {
		for _, d := range all {
			if d.Action == Admit {
				n++
			}
		}
		return n
	}
	n := countAdmitted(s.Enqueue(0, arrival(1, 60))) + countAdmitted(s.Enqueue(0, arrival(2, 60)))
	if n != 1 {
		t.Errorf("limit 100 MB: got %d requests of 60 MB admitted, want 1", n)
	}
	if n := countAdmitted(s.OverrideLimit(1, "a", 200, true)); n != 1 {
		t.Errorf("limit 200 MB: got %d more admitted, want 1", n)
	}
	s.OverrideLimit(2, "a", 50, true)
	s.Started(2, 1, 60)
	if n := countAdmitted(s.Enqueue(2, arrival(3, 30))) + countAdmitted(s.Finished(3, 1, 1)); n != 0 {
		t.Errorf("60 of 50 MB in use: got %d admitted, want 0", n)
	}
	if n := countAdmitted(s.Finished(4, 2, 1)); n != 1 {
		t.Errorf("0 of 50 MB in use: got %d admitted, want 1", n)
	}
	if n := countAdmitted(s.Enqueue(5, arrival(4, 60))); n != 0 {
		t.Errorf("limit overridden to 50 MB: got %d requests of 60 MB admitted, want 0", n)
	}
	s.OverrideLimit(6, "a", 0, false)
	if n := countAdmitted(s.Enqueue(6, arrival(5, 60))); n != 1 {
		t.Errorf("override revoked: got %d admitted, want 1", n)
	}
	s.OverrideLimit(7, "a", 150, true)
	s.Enqueue(7, arrival(6, 120))
	if all := s.OverrideLimit(8, "a", 100, true); len(all) != 1 || all[0].Action != Reject || all[0].Request != 6 {
		t.Errorf("queued request of 120 MB, limit overridden to 100 MB: got %v, want request 6 rejected", all)
	}
	s.OverrideLimit(9, "a", 0, false)
	if s.OverrideLimit(10, "nobody", 1, true) != nil {
		t.Error("OverrideLimit of an unknown team returned decisions")
	}
}

// Each attempt of a request, including hedges, counts against the budgets while it is in flight. Otherwise second attempts
// would exceed a budget.
func TestEachAttemptCounts(t *testing.T) {
	s, err := New(Options{Classes: []Class{{Idempotent: true, Threads: 1}}, DefaultTeam: "a", MaxUndispatched: 8},
		[]Budget{{Name: "a", Weight: 1, Limit: 100}, {Name: "free", Weight: 1}})
	if err != nil {
		t.Fatal(err)
	}
	checkInUse := func(step string, want float64) {
		t.Helper()
		if got, _ := s.Usage("a"); got != want {
			t.Errorf("%s: got %g MB in use, want %g", step, got, want)
		}
	}
	s.Enqueue(0, arrival(1, 40))
	if s.HasRoomForAttempt(2, 1) {
		t.Error("HasRoomForAttempt of an unknown request = true, want false")
	}
	s.Started(0, 1, 40)
	if !s.HasRoomForAttempt(1, 60) || s.HasRoomForAttempt(1, 61) {
		t.Error("40 of 100 MB in use: want room for an attempt of 60 MB and not of 61 MB")
	}
	s.AttemptAdded(1, 50)
	checkInUse("two attempts", 90)
	if s.Enqueue(1, arrival(2, 30)); s.requests[2].booked {
		t.Error("90 of 100 MB in use: request of 30 MB admitted, want it queued")
	}
	if admitted := s.AttemptEnded(2, 1, 40); len(admitted) != 1 || admitted[0].Request != 2 {
		t.Errorf("first attempt ended: got %v, want request 2 admitted", admitted)
	}
	checkInUse("the second attempt and a request", 80)
	s.Finished(3, 1, 1)
	checkInUse("the request", 30)
	s.Finished(4, 2, 1)
	if !s.Idle() {
		t.Error("Idle() = false with no open requests")
	}
	if !s.IsBounded("a") || s.IsBounded("free") {
		t.Errorf("IsBounded: got a %v, free %v, want true, false", s.IsBounded("a"), s.IsBounded("free"))
	}
}
