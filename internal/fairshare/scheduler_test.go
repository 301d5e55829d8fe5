package fairshare

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// One team floods with a hundred times its part: the others go on as if it were not there.
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
		t.Error("the flood drowns the others")
	}
}

// Bursts that mirror each other, and a team whose jobs take ten times what they say: who gets what, and how long the
// other had to wait for a turn.
func TestBurstsAndWrongEstimates(t *testing.T) {
	var lines []string
	day := func(what string, wrong float64, team func(at float64) string, rate float64) {
		f := newSimulation(t, Options{}, 4, 1e9, Budget{Name: "a", Weight: 1}, Budget{Name: "b", Weight: 1})
		f.actualWork = func(x *task) float64 {
			if x.team == "a" {
				return wrong
			}
			return 1
		}
		id := uint32(0)
		for at := 0.0; at < 120; at += 1 / rate {
			f.advanceTo(at)
			id++
			f.arrive(id, team(at), 0, 0.5, 10, 30)
		}
		lines = append(lines, fmt.Sprintf("%s: a done %.0f, b done %.0f; longest without a turn a %.1f s, b %.1f s; refused a %d, b %d", what, f.completedWork["a"], f.completedWork["b"],
			f.longestUnserved["a"], f.longestUnserved["b"], f.rejected["a"], f.rejected["b"]))
		if max(f.longestUnserved["a"], f.longestUnserved["b"]) > 60 {
			t.Error("over a minute")
		}
		f.advanceTo(1e4)
		if err := f.checkEmpty(); err != nil {
			t.Error(err)
		}
	}
	mirrored := func(at float64) string {
		if int(at/5)%2 == 0 {
			return "a"
		}
		return "b"
	}
	by := func(at float64) string {
		if int(at*100)%2 == 0 {
			return "a"
		}
		return "b"
	}
	day("mirrored bursts of 5 s", 1, mirrored, 16)
	day("both all the time", 1, by, 16)
	day("a's jobs take ten times what they say", 10, by, 16)
	testutil.CheckTrace(t, lines)
}

// Hard cases, one after the other, by their decisions.
func TestCases(t *testing.T) {
	var all []string
	part := func(title string, lines *[]string) { all = append(all, append([]string{title}, *lines...)...) }

	f := newSimulation(t, Options{MaxRetryAfter: 5}, 2, 1000, Budget{Name: "small", Weight: 1, Limit: 100, MaxQueued: 2, MaxRunning: 1}, Budget{Name: "big", Weight: 1})
	l := traceOf(f)
	f.arrive(1, "small", 0, 1, 101, 10) // more than the whole budget
	f.arrive(2, "small", 0, 1, 60, 10)
	f.arrive(3, "small", 0, 1, 60, 10) // waits for its budget, though there is room
	f.arrive(4, "big", 0, 1, 60, 10)
	f.arrive(5, "small", 0, 1, 60, 10)
	f.arrive(6, "small", 0, 1, 60, 10) // one too many
	f.advanceTo(10)
	part("budgets of a team", l)
	if err := f.checkEmpty(); err != nil {
		t.Error(err)
	}

	f = newSimulation(t, Options{}, 1, 1000, Budget{Name: "house", Weight: 1, Limit: 200}, Budget{Name: "a", Parent: "house", Weight: 3, Limit: 200},
		Budget{Name: "b", Parent: "house", Weight: 1, Limit: 200}, Budget{Name: "c", Weight: 1})
	l = traceOf(f)
	for id := uint32(1); id <= 24; id++ {
		f.arrive(id, []string{"a", "b", "c"}[id%3], 0, 1, 100, 100)
	}
	f.advanceTo(100)
	part("a team of teams: a has three parts of the house's half", l)

	f = newSimulation(t, Options{}, 1, 1000, Budget{Name: "a", Weight: 1}, Budget{Name: "idle", Weight: 0})
	l = traceOf(f)
	for id := uint32(1); id <= 6; id++ {
		f.arrive(id, []string{"a", "idle"}[id%2], 0, 1, 100, 100)
	}
	f.advanceTo(100)
	part("a team of weight 0", l)

	f = newSimulation(t, Options{StarvationTimeout: 3}, 1, 1000, Budget{Name: "a", Weight: 1000}, Budget{Name: "b", Weight: 0.001}, Budget{Name: "idle", Weight: 0})
	l = traceOf(f)
	for id := uint32(1); id <= 30; id++ {
		f.arrive(id, []string{"a", "a", "a", "b", "idle"}[id%5], 0, 1, 100, 100)
	}
	f.advanceTo(15)
	part("nobody goes unserved for long", l)

	types := []Class{{Idempotent: true, PriorityWeight: 1, Threads: 1}, {MayPreempt: true, PriorityWeight: 50, Threads: 1}, {PriorityWeight: 1, Threads: 1}}
	f = newSimulation(t, Options{Classes: types, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 2, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1, Guaranteed: 500})
	l = traceOf(f)
	f.arrive(1, "analysts", 0, 5, 400, 100)
	f.arrive(2, "analysts", 2, 5, 400, 100) // run-once: never a victim
	f.advanceTo(1)
	f.arrive(3, "members", 1, 2, 400, 100)
	f.advanceTo(3.5)
	f.arrive(4, "members", 1, 2, 400, 100) // the first victim has had its turn
	f.advanceTo(60)
	part("a load has a report called off, once", l)

	f = newSimulation(t, Options{Classes: types, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 2, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1})
	l = traceOf(f)
	f.arrive(1, "analysts", 0, 5, 400, 100)
	f.arrive(2, "analysts", 0, 6, 400, 100)
	f.arrive(3, "members", 1, 2, 400, 100)
	for range 2 {
		f.advanceTo(f.clock + 0.09)
		f.clock += 0.1
		for _, d := range f.Tick(f.clock) { // the module says no to the first, then the second is asked for
			f.logf("-> yield job %d for job %d, not carried out", d.Request, d.Beneficiary)
			f.PreemptionDeclined(d.Request)
		}
	}
	f.advanceTo(30)
	part("what the module keeps is not asked for again", l)

	f2 := newSimulation(t, Options{Classes: types, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 1, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1})
	l = traceOf(f2)
	f2.arrive(1, "analysts", 0, 5, 400, 100)
	f2.arrive(2, "members", 1, 2, 400, 100)
	f2.advanceTo(0.05)
	f2.arrive(3, "members", 1, 2, 400, 100)
	f2.advanceTo(0.3)
	f2.logf("the client of job 2 leaves as job 1 has been called off for it")
	f2.tasks[2].ended = true
	f2.carryOut(f2.Finished(f2.clock, 2, 0))
	f2.advanceTo(60)
	part("a client leaves while its victim is being called off", l)
	if err := f2.checkEmpty(); err != nil {
		t.Error(err)
	}
	if err := f.checkEmpty(); err != nil {
		t.Error(err)
	}

	f = newSimulation(t, Options{}, 1, 1000, Budget{Name: "a", Weight: 1, MaxWait: 2})
	l = traceOf(f)
	f.arrive(1, "a", 0, 5, 100, 100)
	for id := uint32(2); id < 8; id++ {
		f.arrive(id, "a", 0, 5, 100, 100)
	}
	f.advanceTo(1)
	f.carryOut(f.Finished(f.clock, 6, 0)) // a client that leaves while it waits
	f.advanceTo(100)
	part("the longest wait", l)
	if err := f.checkEmpty(); err != nil {
		t.Error(err)
	}

	f = newSimulation(t, Options{DefaultTeam: "rest"}, 1, 1000, Budget{Name: "rest", Weight: 1}, Budget{Name: "a", Weight: 1, Limit: 500}, Budget{Name: "b", Weight: 1})
	l = traceOf(f)
	for id := uint32(1); id <= 12; id++ {
		f.arrive(id, []string{"rest", "a", "b", "unknown"}[id%4], 0, 1, 300, 100)
	}
	f.advanceTo(2)
	if err := f.Configure(f.clock, []Budget{{Name: "rest", Weight: 1}, {Name: "a", Weight: 5, Limit: 100}}); err != nil {
		t.Fatal(err)
	}
	f.logf("a has less than it uses, b is gone")
	f.carryOut(f.Tick(f.clock))
	f.arrive(13, "b", 0, 1, 300, 100)
	f.advanceTo(20)
	if err := f.Configure(f.clock, []Budget{{Name: "rest", Weight: 1}, {Name: "a", Weight: 5}}); err != nil {
		t.Fatal(err)
	}
	f.logf("a has room again")
	f.carryOut(f.Tick(f.clock))
	f.advanceTo(60)
	part("other budgets in service", l)
	if err := f.checkEmpty(); err != nil {
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

// Random days against the rules that hold at every moment: no team is over its most, tallies come back to zero, no
// core is idle while a job that fits waits, nobody goes unserved for over a minute, each job ends once.
func TestRandomDays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		types := []Class{{Idempotent: true, PriorityWeight: 1, Threads: 1}, {MayPreempt: true, PriorityWeight: 30, Threads: 1}}
		rules := Options{Classes: types, DefaultTeam: "t0", StarvationTimeout: 20, AgingRate: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "ageing"), MaxRetryAfter: 5,
			PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: rapid.IntRange(0, 2).Draw(t, "preempt")}
		var budgets []Budget
		n := rapid.IntRange(1, 6).Draw(t, "teams")
		draw := func(i int) Budget {
			b := Budget{Name: fmt.Sprintf("t%d", i), Weight: rapid.SampledFrom([]float64{0, 0.5, 1, 1, 4}).Draw(t, "weight"),
				Limit: rapid.SampledFrom([]float64{0, 300, 800}).Draw(t, "most"), MaxRunning: rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "running"),
				MaxQueued: rapid.SampledFrom([]int{0, 5}).Draw(t, "waiting")}
			if i >= 3 { // below a team of teams
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
		f := newSimulation(t, rules, 3, 1000, all()...)
		check := func() {
			fits := false
			for _, x := range f.active {
				for k := range x.queues {
					if len(x.queuedRequests(k)) > 0 && f.undispatched[k] < f.options.MaxUndispatched && f.blockingTeam(x.queuedRequests(k)[0]) == nil {
						fits = true
					}
				}
			}
			if fits && len(f.queue) == 0 {
				blocked := false // a team that may not pass over its first job keeps those behind it
				for _, x := range f.active {
					for p := x; p != nil; p = p.parent {
						for k := range p.queues {
							blocked = blocked || p.queues[k].blocked
						}
					}
				}
				if !blocked {
					t.Fatalf("a job that fits waits while the module has none")
				}
			}
			for _, x := range f.teams {
				for p := x; p != nil; p = p.parent {
					if p.memoryInUse < 0 || p.running < 0 || p.queued < 0 {
						t.Fatalf("%s: %g MB, %d running, %d waiting", p.Name, p.memoryInUse, p.running, p.queued)
					}
				}
			}
		}
		shrunk := false
		for id, jobs := uint32(1), uint32(rapid.IntRange(1, 150).Draw(t, "jobs")); id <= jobs; id++ {
			f.advanceTo(f.clock + rapid.SampledFrom([]float64{0, 0, 0.1, 0.5, 3}).Draw(t, "time"))
			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				if err := f.Configure(f.clock, all()); err != nil {
					t.Fatal(err)
				}
				shrunk = true
				f.carryOut(f.Tick(f.clock))
			case 1: // a client leaves
				for _, id := range slices.Sorted(maps.Keys(f.tasks)) {
					if x := f.tasks[id]; !x.running && x.startedAt == 0 {
						x.ended = true
						delete(f.tasks, x.id)
						f.carryOut(f.Finished(f.clock, x.id, 0))
						break
					}
				}
			case 2: // the clock jumps
				f.clock += 3600
				f.carryOut(f.Tick(f.clock))
			case 3:
				f.carryOut(f.SetCapacity(f.clock, rapid.Float64Range(0, 10).Draw(t, "cores")))
			default:
				f.arrive(id, fmt.Sprintf("t%d", rapid.IntRange(0, 7).Draw(t, "team")), rapid.IntRange(0, 1).Draw(t, "type"),
					rapid.Float64Range(0.01, 2).Draw(t, "work"), rapid.Float64Range(1, 400).Draw(t, "memory"), rapid.SampledFrom([]float64{1, 20, 1e6}).Draw(t, "allow"))
			}
			check()
			if !shrunk {
				for _, x := range f.teams {
					for p := x; p != nil; p = p.parent {
						if p.Limit > 0 && p.memoryInUse > p.Limit+1e-6 || p.MaxRunning > 0 && p.running > p.MaxRunning {
							t.Fatalf("%s has %g MB and %d running, may have %g and %d", p.Name, p.memoryInUse, p.running, p.Limit, p.MaxRunning)
						}
					}
				}
			}
		}
		f.advanceTo(f.clock + 1e5)
		if err := f.checkEmpty(); err != nil {
			t.Fatal(err)
		}
		if len(f.tasks) > 0 {
			t.Fatalf("%d jobs never ended", len(f.tasks))
		}
	})
}

// arrival is a request of team a.
func arrival(id uint32, memory float64) Arrival {
	return Arrival{ID: id, Team: "a", Work: 1, Memory: memory, Deadline: 100}
}

// An operator's order stands over a budget, for what comes, and is taken back; another configuration does not undo it.
func TestOverriddenLimit(t *testing.T) {
	s, err := New(Options{Classes: []Class{{Idempotent: true, Threads: 1}}, DefaultTeam: "a", MaxUndispatched: 8}, []Budget{{Name: "a", Weight: 1, Limit: 100}})
	if err != nil {
		t.Fatal(err)
	}
	hands := func(all []Decision) (n int) {
		for _, d := range all {
			if d.Action == Admit {
				n++
			}
		}
		return n
	}
	n := hands(s.Enqueue(0, arrival(1, 60))) + hands(s.Enqueue(0, arrival(2, 60)))
	if n != 1 {
		t.Errorf("%d of 60 MB each went within 100 MB", n)
	}
	if n := hands(s.OverrideLimit(1, "a", 200, true)); n != 1 {
		t.Errorf("%d went with 200 MB", n)
	}
	s.OverrideLimit(2, "a", 50, true)
	s.Started(2, 1, 60)
	if n := hands(s.Enqueue(2, arrival(3, 30))) + hands(s.Finished(3, 1, 1)); n != 0 {
		t.Errorf("%d went while 60 of 50 MB are in use", n)
	}
	if n := hands(s.Finished(4, 2, 1)); n != 1 {
		t.Errorf("%d went with nothing in use of 50 MB", n)
	}
	if n := hands(s.Enqueue(5, arrival(4, 60))); n != 0 {
		t.Error("60 MB went within an ordered 50")
	}
	s.OverrideLimit(6, "a", 0, false)
	if n := hands(s.Enqueue(6, arrival(5, 60))); n != 1 {
		t.Errorf("%d went once the order was taken back", n)
	}
	s.OverrideLimit(7, "a", 150, true)
	s.Enqueue(7, arrival(6, 120))
	if all := s.OverrideLimit(8, "a", 100, true); len(all) != 1 || all[0].Action != Reject || all[0].Request != 6 {
		t.Errorf("120 MB wait under an order of 100: %v", all)
	}
	s.OverrideLimit(9, "a", 0, false)
	if s.OverrideLimit(10, "nobody", 1, true) != nil {
		t.Error("an order for no team did something")
	}
}

// Each attempt of a request counts against the budgets while it is in flight, hedged ones too: guards against a budget that
// is exceeded by second attempts.
func TestEachAttemptCounts(t *testing.T) {
	s, err := New(Options{Classes: []Class{{Idempotent: true, Threads: 1}}, DefaultTeam: "a", MaxUndispatched: 8},
		[]Budget{{Name: "a", Weight: 1, Limit: 100}, {Name: "free", Weight: 1}})
	if err != nil {
		t.Fatal(err)
	}
	inUse := func(what string, want float64) {
		t.Helper()
		if got, _ := s.Usage("a"); got != want {
			t.Errorf("%s: %g MB in use, want %g", what, got, want)
		}
	}
	s.Enqueue(0, arrival(1, 40))
	if s.HasRoomForAttempt(2, 1) {
		t.Error("a request that is not known has room")
	}
	s.Started(0, 1, 40)
	if !s.HasRoomForAttempt(1, 60) || s.HasRoomForAttempt(1, 61) {
		t.Error("room beside 40 of 100 MB is not 60")
	}
	s.AttemptAdded(1, 50)
	inUse("two attempts", 90)
	if s.Enqueue(1, arrival(2, 30)); s.requests[2].booked {
		t.Error("30 MB went beside 90 of 100")
	}
	if admitted := s.AttemptEnded(2, 1, 40); len(admitted) != 1 || admitted[0].Request != 2 {
		t.Errorf("once the first attempt had ended: %v", admitted)
	}
	inUse("the second attempt and a request", 80)
	s.Finished(3, 1, 1)
	inUse("the request", 30)
	s.Finished(4, 2, 1)
	if !s.Idle() {
		t.Error("not idle with nothing open")
	}
	if !s.IsBounded("a") || s.IsBounded("free") {
		t.Error("a is bounded, free is not")
	}
}
