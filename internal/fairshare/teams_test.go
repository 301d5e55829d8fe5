package fairshare

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// farm plays the module and its engines in virtual time: a job that is handed on runs when cores and memory are
// free, in the order in which it came.
type farm struct {
	*Scheduler
	at            float64
	cores, memory float64
	used          float64
	queue         []*task
	ends          ends
	tasks         map[uint32]*task
	done          map[string]float64 // work by team
	refused       map[string]int
	served        map[string]float64 // when a job of the team was dispatched last, or began to wait
	unserved      map[string]float64 // the longest
	told          []told
	pace          float64 // of a core
	say           func(format string, args ...any)
	work          func(t *task) float64 // true work over the estimate
}

type task struct {
	id           uint32
	team         string
	kind         int
	work, memory float64
	taken, sent  float64
	first        Estimate
	out, ended   bool
	restarts     int
	yield        uint32
}

type told struct{ estimated, actual float64 }

type end struct {
	at float64
	t  *task
	n  int
}

type ends []end

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, k int) bool { return h[i].at < h[k].at }
func (h ends) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *ends) Push(x any)        { *h = append(*h, x.(end)) }
func (h *ends) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func newFarm(t interface{ Fatal(...any) }, rules Options, cores, memory float64, budgets ...Budget) *farm {
	if rules.Classes == nil {
		rules.Classes = []Class{{Idempotent: true, PriorityWeight: 1, Threads: 1}}
	}
	if rules.MaxUndispatched == 0 {
		rules.MaxUndispatched = 4
	}
	rules.StarvationTimeout = max(rules.StarvationTimeout, 0)
	if rules.StarvationTimeout == 0 {
		rules.StarvationTimeout = 30
	}
	s, err := New(rules, budgets)
	if err != nil {
		t.Fatal(err)
	}
	f := &farm{Scheduler: s, cores: cores, memory: memory, tasks: map[uint32]*task{}, done: map[string]float64{}, refused: map[string]int{},
		served: map[string]float64{}, unserved: map[string]float64{}, pace: 1, say: func(string, ...any) {}}
	f.do(f.SetCapacity(0, cores))
	return f
}

func (f *farm) do(all []Decision) {
	for _, d := range all {
		t := f.tasks[d.Request]
		switch d.Action {
		case Admit:
			f.say("-> hand job %d of %s", t.id, t.team)
			f.queue = append(f.queue, t)
		case Reject:
			f.say("-> refuse job %d of %s, come back in %.2f s: %s", t.id, t.team, d.RetryAfter, d.Reason)
			f.refused[t.team]++
			t.ended = true
			delete(f.tasks, t.id)
		case ReportWait:
			if !t.first.valid {
				t.first = d.Estimate
			}
		case Preempt:
			f.say("-> yield job %d of %s for job %d", t.id, t.team, d.Beneficiary)
			if t.out && t.restarts < 2 { // as the module would, within the dispatches of its type
				t.out = false
				t.restarts++
				f.used -= t.memory
				t.yield = d.Beneficiary
				f.queue = append(f.queue, t)
			}
		}
	}
	f.run()
}

// run starts what fits, in order; one that yielded waits until the other has gone.
func (f *farm) run() {
	for i := 0; i < len(f.queue); i++ {
		t := f.queue[i]
		if t.ended {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			i--
			continue
		}
		if o := f.tasks[t.yield]; o != nil && !o.out && !o.ended && t.yield > 0 {
			continue
		}
		if float64(f.running1()) >= f.cores || f.used+t.memory > f.memory && f.used > 0 {
			return
		}
		f.queue = append(f.queue[:i], f.queue[i+1:]...)
		i--
		t.out, t.yield = true, 0
		f.used += t.memory
		work := t.work
		if f.work != nil {
			work *= f.work(t)
		}
		heap.Push(&f.ends, end{f.at + work/f.pace, t, t.restarts})
		if t.sent == 0 {
			t.sent = f.at
			f.unserved[t.team] = max(f.unserved[t.team], f.at-f.served[t.team])
			f.served[t.team] = f.at
			if t.first.valid {
				f.told = append(f.told, told{t.first.Start, f.at - t.taken})
			}
			f.do(f.Started(f.at, t.id, t.memory))
		}
	}
}

func (f *farm) running1() (n int) {
	for _, e := range f.ends {
		if e.t.out && e.n == e.t.restarts {
			n++
		}
	}
	return n
}

// pass lets time go by with all that falls due.
func (f *farm) pass(to float64) {
	for {
		next := f.NextTick()
		if len(f.ends) > 0 {
			next = min(next, f.ends[0].at)
		}
		if next > to {
			f.at = to
			return
		}
		f.at = max(f.at, next)
		if len(f.ends) > 0 && f.ends[0].at <= f.at {
			e := heap.Pop(&f.ends).(end)
			if t := e.t; t.out && e.n == t.restarts {
				t.out, t.ended = false, true
				f.used -= t.memory
				f.done[t.team] += t.work
				delete(f.tasks, t.id)
				f.do(f.Finished(f.at, t.id, t.work))
			}
			continue
		}
		f.do(f.Tick(f.at))
	}
}

func (f *farm) arrive(id uint32, team string, kind int, work, memory, allow float64) {
	t := &task{id: id, team: team, kind: kind, work: work, memory: memory, taken: f.at}
	f.tasks[id] = t
	if n := f.Scheduler.leafTeam(team); n.queued == 0 {
		f.served[team] = f.at
	}
	f.do(f.Enqueue(f.at, id, team, kind, work, memory, f.at+allow, true))
}

// empty tells whether every tally is back at zero.
func (f *farm) empty() error {
	for name, n := range f.Scheduler.teams {
		for p := n; p != nil; p = p.parent {
			if p.memoryInUse != 0 || p.running != 0 || p.queued != 0 || p.queuedWork != 0 || p.activeWeight > 1e-9 {
				return fmt.Errorf("team %q: %g MB, %d running, %d waiting, %g of work, weights %g", name, p.memoryInUse, p.running, p.queued, p.queuedWork, p.activeWeight)
			}
			for k := range p.queues {
				if l := &p.queues[k]; l.count != 0 || l.eligibleIndex >= 0 || l.starvingIndex >= 0 || len(p.requests(k)) > 0 {
					return fmt.Errorf("team %q still stands in a list", name)
				}
			}
		}
	}
	if len(f.Scheduler.requests)+len(f.deadlines)+len(f.Scheduler.preemptible)+len(f.preemptors)+len(f.active) > 0 || f.undispatched[0] != 0 {
		return fmt.Errorf("%d jobs, %d deadlines, %d running, %d pending, open %v", len(f.Scheduler.requests), len(f.deadlines), len(f.Scheduler.preemptible), len(f.preemptors), f.undispatched)
	}
	return nil
}

func trace(t *testing.T, f *farm) *[]string {
	lines := &[]string{}
	f.say = func(format string, args ...any) {
		*lines = append(*lines, fmt.Sprintf("%7.2f ", f.at)+fmt.Sprintf(format, args...))
	}
	return lines
}

// One team floods with a hundred times its part: the others go on as if it were not there.
func TestFlood(t *testing.T) {
	f := newFarm(t, Options{}, 4, 1e9, Budget{Name: "flood", Weight: 1}, Budget{Name: "quiet", Weight: 1})
	id := uint32(0)
	worst := 0.0
	for at := 0.0; at < 60; at += 0.01 {
		f.pass(at)
		id++
		f.arrive(id, "flood", 0, 1, 10, 1000)
		if int(at*100)%100 == 0 {
			id++
			f.arrive(id, "quiet", 0, 1, 10, 1000)
		}
		worst = max(worst, f.unserved["quiet"])
	}
	lines := []string{fmt.Sprintf("flood done %.0f, quiet done %.0f of 60; longest quiet waited for a turn %.1f s", f.done["flood"], f.done["quiet"], worst)}
	testutil.Check(t, lines)
	if f.done["quiet"] < 55 || worst > 2 {
		t.Error("the flood drowns the others")
	}
}

// Bursts that mirror each other, and a team whose jobs take ten times what they say: who gets what, and how long the
// other had to wait for a turn.
func TestBurstsAndWrongEstimates(t *testing.T) {
	var lines []string
	day := func(what string, wrong float64, team func(at float64) string, rate float64) {
		f := newFarm(t, Options{}, 4, 1e9, Budget{Name: "a", Weight: 1}, Budget{Name: "b", Weight: 1})
		f.work = func(x *task) float64 {
			if x.team == "a" {
				return wrong
			}
			return 1
		}
		id := uint32(0)
		for at := 0.0; at < 120; at += 1 / rate {
			f.pass(at)
			id++
			f.arrive(id, team(at), 0, 0.5, 10, 30)
		}
		lines = append(lines, fmt.Sprintf("%s: a done %.0f, b done %.0f; longest without a turn a %.1f s, b %.1f s; refused a %d, b %d", what, f.done["a"], f.done["b"],
			f.unserved["a"], f.unserved["b"], f.refused["a"], f.refused["b"]))
		if max(f.unserved["a"], f.unserved["b"]) > 60 {
			t.Error("over a minute")
		}
		f.pass(1e4)
		if err := f.empty(); err != nil {
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
	testutil.Check(t, lines)
}

// Hard cases, one after the other, by their decisions.
func TestCases(t *testing.T) {
	var all []string
	part := func(title string, lines *[]string) { all = append(all, append([]string{title}, *lines...)...) }

	f := newFarm(t, Options{MaxRetryAfter: 5}, 2, 1000, Budget{Name: "small", Weight: 1, Limit: 100, MaxQueued: 2, MaxRunning: 1}, Budget{Name: "big", Weight: 1})
	l := trace(t, f)
	f.arrive(1, "small", 0, 1, 101, 10) // more than the whole budget
	f.arrive(2, "small", 0, 1, 60, 10)
	f.arrive(3, "small", 0, 1, 60, 10) // waits for its budget, though there is room
	f.arrive(4, "big", 0, 1, 60, 10)
	f.arrive(5, "small", 0, 1, 60, 10)
	f.arrive(6, "small", 0, 1, 60, 10) // one too many
	f.pass(10)
	part("budgets of a team", l)
	if err := f.empty(); err != nil {
		t.Error(err)
	}

	f = newFarm(t, Options{}, 1, 1000, Budget{Name: "house", Weight: 1, Limit: 200}, Budget{Name: "a", Parent: "house", Weight: 3, Limit: 200},
		Budget{Name: "b", Parent: "house", Weight: 1, Limit: 200}, Budget{Name: "c", Weight: 1})
	l = trace(t, f)
	for id := uint32(1); id <= 24; id++ {
		f.arrive(id, []string{"a", "b", "c"}[id%3], 0, 1, 100, 100)
	}
	f.pass(100)
	part("a team of teams: a has three parts of the house's half", l)

	f = newFarm(t, Options{}, 1, 1000, Budget{Name: "a", Weight: 1}, Budget{Name: "idle", Weight: 0})
	l = trace(t, f)
	for id := uint32(1); id <= 6; id++ {
		f.arrive(id, []string{"a", "idle"}[id%2], 0, 1, 100, 100)
	}
	f.pass(100)
	part("a team of weight 0", l)

	f = newFarm(t, Options{StarvationTimeout: 3}, 1, 1000, Budget{Name: "a", Weight: 1000}, Budget{Name: "b", Weight: 0.001}, Budget{Name: "idle", Weight: 0})
	l = trace(t, f)
	for id := uint32(1); id <= 30; id++ {
		f.arrive(id, []string{"a", "a", "a", "b", "idle"}[id%5], 0, 1, 100, 100)
	}
	f.pass(15)
	part("nobody goes unserved for long", l)

	types := []Class{{Idempotent: true, PriorityWeight: 1, Threads: 1}, {MayPreempt: true, PriorityWeight: 50, Threads: 1}, {PriorityWeight: 1, Threads: 1}}
	f = newFarm(t, Options{Classes: types, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 2, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1, Guaranteed: 500})
	l = trace(t, f)
	f.arrive(1, "analysts", 0, 5, 400, 100)
	f.arrive(2, "analysts", 2, 5, 400, 100) // run-once: never a victim
	f.pass(1)
	f.arrive(3, "members", 1, 2, 400, 100)
	f.pass(3.5)
	f.arrive(4, "members", 1, 2, 400, 100) // the first victim has had its turn
	f.pass(60)
	part("a load has a report called off, once", l)

	f = newFarm(t, Options{Classes: types, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 2, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1})
	l = trace(t, f)
	f.arrive(1, "analysts", 0, 5, 400, 100)
	f.arrive(2, "analysts", 0, 6, 400, 100)
	f.arrive(3, "members", 1, 2, 400, 100)
	for range 2 {
		f.pass(f.at + 0.09)
		f.at += 0.1
		for _, d := range f.Tick(f.at) { // the module says no to the first, then the second is asked for
			f.say("-> yield job %d for job %d, not carried out", d.Request, d.Beneficiary)
			f.PreemptionDeclined(d.Request)
		}
	}
	f.pass(30)
	part("what the module keeps is not asked for again", l)

	f2 := newFarm(t, Options{Classes: types, PreemptAfter: 0.1, PreemptWeightRatio: 2, MaxPreemptions: 1}, 1, 1000, Budget{Name: "analysts", Weight: 1}, Budget{Name: "members", Weight: 1})
	l = trace(t, f2)
	f2.arrive(1, "analysts", 0, 5, 400, 100)
	f2.arrive(2, "members", 1, 2, 400, 100)
	f2.pass(0.05)
	f2.arrive(3, "members", 1, 2, 400, 100)
	f2.pass(0.3)
	f2.say("the client of job 2 leaves as job 1 has been called off for it")
	f2.tasks[2].ended = true
	f2.do(f2.Finished(f2.at, 2, 0))
	f2.pass(60)
	part("a client leaves while its victim is being called off", l)
	if err := f2.empty(); err != nil {
		t.Error(err)
	}
	if err := f.empty(); err != nil {
		t.Error(err)
	}

	f = newFarm(t, Options{}, 1, 1000, Budget{Name: "a", Weight: 1, MaxWait: 2})
	l = trace(t, f)
	f.arrive(1, "a", 0, 5, 100, 100)
	for id := uint32(2); id < 8; id++ {
		f.arrive(id, "a", 0, 5, 100, 100)
	}
	f.pass(1)
	f.do(f.Finished(f.at, 6, 0)) // a client that leaves while it waits
	f.pass(100)
	part("the longest wait", l)
	if err := f.empty(); err != nil {
		t.Error(err)
	}

	f = newFarm(t, Options{DefaultTeam: "rest"}, 1, 1000, Budget{Name: "rest", Weight: 1}, Budget{Name: "a", Weight: 1, Limit: 500}, Budget{Name: "b", Weight: 1})
	l = trace(t, f)
	for id := uint32(1); id <= 12; id++ {
		f.arrive(id, []string{"rest", "a", "b", "unknown"}[id%4], 0, 1, 300, 100)
	}
	f.pass(2)
	if err := f.Configure(f.at, []Budget{{Name: "rest", Weight: 1}, {Name: "a", Weight: 5, Limit: 100}}); err != nil {
		t.Fatal(err)
	}
	f.say("a has less than it uses, b is gone")
	f.do(f.Tick(f.at))
	f.arrive(13, "b", 0, 1, 300, 100)
	f.pass(20)
	if err := f.Configure(f.at, []Budget{{Name: "rest", Weight: 1}, {Name: "a", Weight: 5}}); err != nil {
		t.Fatal(err)
	}
	f.say("a has room again")
	f.do(f.Tick(f.at))
	f.pass(60)
	part("other budgets in service", l)
	if err := f.empty(); err != nil {
		t.Error(err)
	}

	for _, b := range [][]Budget{{{Name: "a"}, {Name: "a"}}, {{Name: "a", Parent: "x"}}, {{Name: "a", Guaranteed: 2, Limit: 1}},
		{{Name: "p", Guaranteed: 5}, {Name: "a", Parent: "p", Guaranteed: 3}, {Name: "b", Parent: "p", Guaranteed: 3}},
		{{Name: "a", Parent: "a"}}, {{Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}}} {
		_, err := New(Options{}, b)
		all = append(all, fmt.Sprint(err))
	}
	_, err := New(Options{DefaultTeam: "x"}, []Budget{{Name: "a"}})
	testutil.Check(t, append(all, fmt.Sprint(err)))
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
		f := newFarm(t, rules, 3, 1000, all()...)
		check := func() {
			fits := false
			for _, x := range f.Scheduler.active {
				for k := range x.queues {
					if len(x.requests(k)) > 0 && f.undispatched[k] < f.options.MaxUndispatched && f.Scheduler.blockingTeam(x.requests(k)[0]) == nil {
						fits = true
					}
				}
			}
			if fits && len(f.queue) == 0 {
				blocked := false // a team that may not pass over its first job keeps those behind it
				for _, x := range f.Scheduler.active {
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
			for _, x := range f.Scheduler.teams {
				for p := x; p != nil; p = p.parent {
					if p.memoryInUse < 0 || p.running < 0 || p.queued < 0 {
						t.Fatalf("%s: %g MB, %d running, %d waiting", p.Name, p.memoryInUse, p.running, p.queued)
					}
				}
			}
		}
		shrunk := false
		for id, jobs := uint32(1), uint32(rapid.IntRange(1, 150).Draw(t, "jobs")); id <= jobs; id++ {
			f.pass(f.at + rapid.SampledFrom([]float64{0, 0, 0.1, 0.5, 3}).Draw(t, "time"))
			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				if err := f.Configure(f.at, all()); err != nil {
					t.Fatal(err)
				}
				shrunk = true
				f.do(f.Tick(f.at))
			case 1: // a client leaves
				for _, id := range slices.Sorted(maps.Keys(f.tasks)) {
					if x := f.tasks[id]; !x.out && x.sent == 0 {
						x.ended = true
						delete(f.tasks, x.id)
						f.do(f.Finished(f.at, x.id, 0))
						break
					}
				}
			case 2: // the clock jumps
				f.at += 3600
				f.do(f.Tick(f.at))
			case 3:
				f.do(f.SetCapacity(f.at, rapid.Float64Range(0, 10).Draw(t, "cores")))
			default:
				f.arrive(id, fmt.Sprintf("t%d", rapid.IntRange(0, 7).Draw(t, "team")), rapid.IntRange(0, 1).Draw(t, "type"),
					rapid.Float64Range(0.01, 2).Draw(t, "work"), rapid.Float64Range(1, 400).Draw(t, "memory"), rapid.SampledFrom([]float64{1, 20, 1e6}).Draw(t, "allow"))
			}
			check()
			if !shrunk {
				for _, x := range f.Scheduler.teams {
					for p := x; p != nil; p = p.parent {
						if p.Limit > 0 && p.memoryInUse > p.Limit+1e-6 || p.MaxRunning > 0 && p.running > p.MaxRunning {
							t.Fatalf("%s has %g MB and %d running, may have %g and %d", p.Name, p.memoryInUse, p.running, p.Limit, p.MaxRunning)
						}
					}
				}
			}
		}
		f.pass(f.at + 1e5)
		if err := f.empty(); err != nil {
			t.Fatal(err)
		}
		if len(f.tasks) > 0 {
			t.Fatalf("%d jobs never ended", len(f.tasks))
		}
	})
}

// An operator's order stands over a budget, for what comes, and is taken back; another configuration does not undo it.
func TestOrderedBudget(t *testing.T) {
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
	n := hands(s.Enqueue(0, 1, "a", 0, 1, 60, 100, false)) + hands(s.Enqueue(0, 2, "a", 0, 1, 60, 100, false))
	if n != 1 {
		t.Errorf("%d of 60 MB each went within 100 MB", n)
	}
	if n := hands(s.OverrideLimit(1, "a", 200, true)); n != 1 {
		t.Errorf("%d went with 200 MB", n)
	}
	s.OverrideLimit(2, "a", 50, true)
	s.Started(2, 1, 60)
	if n := hands(s.Enqueue(2, 3, "a", 0, 1, 30, 100, false)) + hands(s.Finished(3, 1, 1)); n != 0 {
		t.Errorf("%d went while 60 of 50 MB are in use", n)
	}
	if n := hands(s.Finished(4, 2, 1)); n != 1 {
		t.Errorf("%d went with nothing in use of 50 MB", n)
	}
	if n := hands(s.Enqueue(5, 4, "a", 0, 1, 60, 100, false)); n != 0 {
		t.Error("60 MB went within an ordered 50")
	}
	s.OverrideLimit(6, "a", 0, false)
	if n := hands(s.Enqueue(6, 5, "a", 0, 1, 60, 100, false)); n != 1 {
		t.Errorf("%d went once the order was taken back", n)
	}
	s.OverrideLimit(7, "a", 150, true)
	s.Enqueue(7, 6, "a", 0, 1, 120, 100, false)
	if all := s.OverrideLimit(8, "a", 100, true); len(all) != 1 || all[0].Action != Reject || all[0].Request != 6 {
		t.Errorf("120 MB wait under an order of 100: %v", all)
	}
	s.OverrideLimit(9, "a", 0, false)
	if s.OverrideLimit(10, "nobody", 1, true) != nil {
		t.Error("an order for no team did something")
	}
}
