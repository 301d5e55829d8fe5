package fairshare

import (
	"container/heap"
	"fmt"
)

// simulation simulates the admission controller and its engines in virtual time. Admitted requests run in order of
// admission as cores and memory become free.
type simulation struct {
	*Scheduler
	clock           float64
	cores, memory   float64
	memoryInUse     float64
	queue           []*task
	completions     completionHeap
	tasks           map[uint32]*task
	completedWork   map[string]float64 // by team
	rejected        map[string]int     // by team
	lastServed      map[string]float64 // time of the latest start of a request, or of the start of the wait, by team
	longestUnserved map[string]float64 // longest time without service in seconds, by team
	estimates       []estimateError
	coreSpeed       float64 // work per second
	logf            func(format string, args ...any)
	actualWork      func(t *task) float64 // ratio of actual to estimated work
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

// estimateError is a queue time as first estimated and as measured.
type estimateError struct{ estimated, actual float64 }

// completion is the time at which a task will be complete, unless it is restarted before.
type completion struct {
	at       float64
	task     *task
	restarts int
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

func newSimulation(t interface{ Fatal(...any) }, options Options, cores, memory float64, budgets ...Budget) *simulation {
	if options.Classes == nil {
		options.Classes = []Class{{Idempotent: true, PriorityWeight: 1, Threads: 1}}
	}
	if options.MaxUndispatched == 0 {
		options.MaxUndispatched = 4
	}
	options.StarvationTimeout = max(options.StarvationTimeout, 0)
	if options.StarvationTimeout == 0 {
		options.StarvationTimeout = 30
	}
	s, err := New(options, budgets)
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{Scheduler: s, cores: cores, memory: memory, tasks: map[uint32]*task{}, completedWork: map[string]float64{}, rejected: map[string]int{},
		lastServed: map[string]float64{}, longestUnserved: map[string]float64{}, coreSpeed: 1, logf: func(string, ...any) {}}
	sim.carryOut(sim.SetCapacity(0, cores))
	return sim
}

func (sim *simulation) carryOut(all []Decision) {
	for _, d := range all {
		t := sim.tasks[d.Request]
		switch d.Action {
		case Admit:
			sim.logf("-> hand job %d of %s", t.id, t.team)
			sim.queue = append(sim.queue, t)
		case Reject:
			sim.logf("-> refuse job %d of %s, come back in %.2f s: %s", t.id, t.team, d.RetryAfter, d.Reason)
			sim.rejected[t.team]++
			t.ended = true
			delete(sim.tasks, t.id)
		case ReportWait:
			if !t.firstEstimate.valid {
				t.firstEstimate = d.Estimate
			}
		case Preempt:
			sim.logf("-> yield job %d of %s for job %d", t.id, t.team, d.Beneficiary)
			if t.running && t.restarts < 2 { // as the admission controller would, within the attempts allowed for the class
				t.running = false
				t.restarts++
				sim.memoryInUse -= t.memory
				t.waitsFor = d.Beneficiary
				sim.queue = append(sim.queue, t)
			}
		}
	}
	sim.startQueued()
}

// startQueued starts the tasks that fit, in order. A preempted task waits until the beneficiary has started or ended.
func (sim *simulation) startQueued() {
	for i := 0; i < len(sim.queue); i++ {
		t := sim.queue[i]
		if t.ended {
			sim.queue = append(sim.queue[:i], sim.queue[i+1:]...)
			i--
			continue
		}
		if o := sim.tasks[t.waitsFor]; o != nil && !o.running && !o.ended && t.waitsFor > 0 {
			continue
		}
		if float64(sim.runningCount()) >= sim.cores || sim.memoryInUse+t.memory > sim.memory && sim.memoryInUse > 0 {
			return
		}
		sim.queue = append(sim.queue[:i], sim.queue[i+1:]...)
		i--
		t.running, t.waitsFor = true, 0
		sim.memoryInUse += t.memory
		work := t.work
		if sim.actualWork != nil {
			work *= sim.actualWork(t)
		}
		heap.Push(&sim.completions, completion{sim.clock + work/sim.coreSpeed, t, t.restarts})
		if t.startedAt == 0 {
			t.startedAt = sim.clock
			sim.longestUnserved[t.team] = max(sim.longestUnserved[t.team], sim.clock-sim.lastServed[t.team])
			sim.lastServed[t.team] = sim.clock
			if t.firstEstimate.valid {
				sim.estimates = append(sim.estimates, estimateError{t.firstEstimate.Start, sim.clock - t.arrivedAt})
			}
			sim.carryOut(sim.Started(sim.clock, t.id, t.memory))
		}
	}
}

func (sim *simulation) runningCount() (n int) {
	for _, e := range sim.completions {
		if e.task.running && e.restarts == e.task.restarts {
			n++
		}
	}
	return n
}

// advanceTo advances the clock and handles all ticks and completions that are due.
func (sim *simulation) advanceTo(end float64) {
	for {
		next := sim.NextTick()
		if len(sim.completions) > 0 {
			next = min(next, sim.completions[0].at)
		}
		if next > end {
			sim.clock = end
			return
		}
		sim.clock = max(sim.clock, next)
		if len(sim.completions) > 0 && sim.completions[0].at <= sim.clock {
			e := heap.Pop(&sim.completions).(completion)
			if t := e.task; t.running && e.restarts == t.restarts {
				t.running, t.ended = false, true
				sim.memoryInUse -= t.memory
				sim.completedWork[t.team] += t.work
				delete(sim.tasks, t.id)
				sim.carryOut(sim.Finished(sim.clock, t.id, t.work))
			}
			continue
		}
		sim.carryOut(sim.Tick(sim.clock))
	}
}

func (sim *simulation) arrive(id uint32, team string, class int, work, memory, timeout float64) {
	t := &task{id: id, team: team, class: class, work: work, memory: memory, arrivedAt: sim.clock}
	sim.tasks[id] = t
	if n := sim.leafTeam(team); n.queued == 0 {
		sim.lastServed[team] = sim.clock
	}
	sim.carryOut(sim.Enqueue(sim.clock, Arrival{ID: id, Team: team, Class: class, Work: work, Memory: memory, Deadline: sim.clock + timeout, WantsEstimate: true}))
}

// checkEmpty returns an error unless all counts are zero and all lists are empty.
func (sim *simulation) checkEmpty() error {
	for name, n := range sim.teams {
		for p := n; p != nil; p = p.parent {
			if p.memoryInUse != 0 || p.running != 0 || p.queued != 0 || p.queuedWork != 0 || p.activeWeight > 1e-9 {
				return fmt.Errorf("team %q: got %g MB, %d running, %d queued, %g queued work, active weight %g, want 0 of each", name, p.memoryInUse, p.running, p.queued, p.queuedWork, p.activeWeight)
			}
			for k := range p.queues {
				if l := &p.queues[k]; l.count != 0 || l.eligibleIndex >= 0 || l.starvingIndex >= 0 || len(p.queuedRequests(k)) > 0 {
					return fmt.Errorf("team %q is still in a queue or heap", name)
				}
			}
		}
	}
	if len(sim.requests)+sim.deadlines.Len()+len(sim.preemptible)+len(sim.preemptors)+len(sim.active) > 0 || sim.undispatched[0] != 0 {
		return fmt.Errorf("got %d requests, %d deadlines, %d preemptible, %d preemptors, undispatched %v, want none", len(sim.requests), sim.deadlines.Len(), len(sim.preemptible), len(sim.preemptors), sim.undispatched)
	}
	return nil
}

// traceOf records the events of a simulation, one line per event.
func traceOf(sim *simulation) *[]string {
	lines := &[]string{}
	sim.logf = func(format string, args ...any) {
		*lines = append(*lines, fmt.Sprintf("%7.2f ", sim.clock)+fmt.Sprintf(format, args...))
	}
	return lines
}
