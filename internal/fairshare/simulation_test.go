package fairshare

import (
	"container/heap"
	"fmt"
)

// simulation plays the admission controller and its engines in virtual time: an admitted request runs when cores and
// memory are free, in order of admission.
type simulation struct {
	*Scheduler
	clock           float64
	cores, memory   float64
	memoryInUse     float64
	queue           []*task
	completions     completionHeap
	tasks           map[uint32]*task
	completedWork   map[string]float64 // by team
	rejected        map[string]int
	lastServed      map[string]float64 // by team: when a request was started last, or began to wait
	longestUnserved map[string]float64 // by team, in seconds
	estimates       []estimateError
	coreSpeed       float64 // work a second
	logf            func(format string, args ...any)
	actualWork      func(t *task) float64 // over the estimate
}

// task is a request that the simulation runs.
type task struct {
	id                   uint32
	team                 string
	class                int
	work, memory         float64
	arrivedAt, startedAt float64
	firstEstimate        Estimate
	running, ended       bool
	restarts             int
	waitsFor             uint32
}

// estimateError is a queue time as first reported, and as it turned out.
type estimateError struct{ estimated, actual float64 }

// completion is when a task will be complete, unless it has been restarted since.
type completion struct {
	at float64
	t  *task
	n  int
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, k int) bool { return h[i].at < h[k].at }
func (h completionHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func newSimulation(t interface{ Fatal(...any) }, rules Options, cores, memory float64, budgets ...Budget) *simulation {
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
	f := &simulation{Scheduler: s, cores: cores, memory: memory, tasks: map[uint32]*task{}, completedWork: map[string]float64{}, rejected: map[string]int{},
		lastServed: map[string]float64{}, longestUnserved: map[string]float64{}, coreSpeed: 1, logf: func(string, ...any) {}}
	f.carryOut(f.SetCapacity(0, cores))
	return f
}

func (f *simulation) carryOut(all []Decision) {
	for _, d := range all {
		t := f.tasks[d.Request]
		switch d.Action {
		case Admit:
			f.logf("-> hand job %d of %s", t.id, t.team)
			f.queue = append(f.queue, t)
		case Reject:
			f.logf("-> refuse job %d of %s, come back in %.2f s: %s", t.id, t.team, d.RetryAfter, d.Reason)
			f.rejected[t.team]++
			t.ended = true
			delete(f.tasks, t.id)
		case ReportWait:
			if !t.firstEstimate.valid {
				t.firstEstimate = d.Estimate
			}
		case Preempt:
			f.logf("-> yield job %d of %s for job %d", t.id, t.team, d.Beneficiary)
			if t.running && t.restarts < 2 { // as the module would, within the dispatches of its type
				t.running = false
				t.restarts++
				f.memoryInUse -= t.memory
				t.waitsFor = d.Beneficiary
				f.queue = append(f.queue, t)
			}
		}
	}
	f.startQueued()
}

// startQueued starts what fits, in order; one that yielded waits until the other has gone.
func (f *simulation) startQueued() {
	for i := 0; i < len(f.queue); i++ {
		t := f.queue[i]
		if t.ended {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			i--
			continue
		}
		if o := f.tasks[t.waitsFor]; o != nil && !o.running && !o.ended && t.waitsFor > 0 {
			continue
		}
		if float64(f.runningCount()) >= f.cores || f.memoryInUse+t.memory > f.memory && f.memoryInUse > 0 {
			return
		}
		f.queue = append(f.queue[:i], f.queue[i+1:]...)
		i--
		t.running, t.waitsFor = true, 0
		f.memoryInUse += t.memory
		work := t.work
		if f.actualWork != nil {
			work *= f.actualWork(t)
		}
		heap.Push(&f.completions, completion{f.clock + work/f.coreSpeed, t, t.restarts})
		if t.startedAt == 0 {
			t.startedAt = f.clock
			f.longestUnserved[t.team] = max(f.longestUnserved[t.team], f.clock-f.lastServed[t.team])
			f.lastServed[t.team] = f.clock
			if t.firstEstimate.valid {
				f.estimates = append(f.estimates, estimateError{t.firstEstimate.Start, f.clock - t.arrivedAt})
			}
			f.carryOut(f.Started(f.clock, t.id, t.memory))
		}
	}
}

func (f *simulation) runningCount() (n int) {
	for _, e := range f.completions {
		if e.t.running && e.n == e.t.restarts {
			n++
		}
	}
	return n
}

// advanceTo lets time go by with all that falls due.
func (f *simulation) advanceTo(to float64) {
	for {
		next := f.NextTick()
		if len(f.completions) > 0 {
			next = min(next, f.completions[0].at)
		}
		if next > to {
			f.clock = to
			return
		}
		f.clock = max(f.clock, next)
		if len(f.completions) > 0 && f.completions[0].at <= f.clock {
			e := heap.Pop(&f.completions).(completion)
			if t := e.t; t.running && e.n == t.restarts {
				t.running, t.ended = false, true
				f.memoryInUse -= t.memory
				f.completedWork[t.team] += t.work
				delete(f.tasks, t.id)
				f.carryOut(f.Finished(f.clock, t.id, t.work))
			}
			continue
		}
		f.carryOut(f.Tick(f.clock))
	}
}

func (f *simulation) arrive(id uint32, team string, kind int, work, memory, allow float64) {
	t := &task{id: id, team: team, class: kind, work: work, memory: memory, arrivedAt: f.clock}
	f.tasks[id] = t
	if n := f.leafTeam(team); n.queued == 0 {
		f.lastServed[team] = f.clock
	}
	f.carryOut(f.Enqueue(f.clock, Arrival{ID: id, Team: team, Class: kind, Work: work, Memory: memory, Deadline: f.clock + allow, WantsEstimate: true}))
}

// checkEmpty tells whether every tally is back at zero.
func (f *simulation) checkEmpty() error {
	for name, n := range f.teams {
		for p := n; p != nil; p = p.parent {
			if p.memoryInUse != 0 || p.running != 0 || p.queued != 0 || p.queuedWork != 0 || p.activeWeight > 1e-9 {
				return fmt.Errorf("team %q: %g MB, %d running, %d waiting, %g of work, weights %g", name, p.memoryInUse, p.running, p.queued, p.queuedWork, p.activeWeight)
			}
			for k := range p.queues {
				if l := &p.queues[k]; l.count != 0 || l.eligibleIndex >= 0 || l.starvingIndex >= 0 || len(p.queuedRequests(k)) > 0 {
					return fmt.Errorf("team %q still stands in a list", name)
				}
			}
		}
	}
	if len(f.requests)+f.deadlines.Len()+len(f.preemptible)+len(f.preemptors)+len(f.active) > 0 || f.undispatched[0] != 0 {
		return fmt.Errorf("%d jobs, %d deadlines, %d running, %d pending, open %v", len(f.requests), f.deadlines.Len(), len(f.preemptible), len(f.preemptors), f.undispatched)
	}
	return nil
}

// traceOf collects what happens in a simulation, a line an event.
func traceOf(f *simulation) *[]string {
	lines := &[]string{}
	f.logf = func(format string, args ...any) {
		*lines = append(*lines, fmt.Sprintf("%7.2f ", f.clock)+fmt.Sprintf(format, args...))
	}
	return lines
}
