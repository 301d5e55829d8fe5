// Package fairshare keeps budgets and tells waits. It stands ahead of the decision module: jobs wait here in a weighted
// fair order and are handed to the module as its room and the teams' budgets allow. Where a job runs, whether it goes
// again and what the module turns away is not decided here. The package does no I/O, reads no clock and starts
// nothing: each method is told the time, in seconds, and gives back what is decided. It is used from one goroutine.
package fairshare

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
)

// Budget is what a team may have. Memory is MB of grants, times are seconds.
type Budget struct {
	Name, Parent string
	Guaranteed   float64 // its part before all that others borrow
	Limit        float64 // at once, 0 for no bound
	Weight       float64 // its part of what is left; 0 gets what no other wants
	MaxRunning   int     // jobs at once, 0 for no bound
	MaxQueued    int     // jobs at once, 0 for no bound
	MaxWait      float64 // after which a job is turned away, 0 for none
	FleetWide    bool    // Most is the whole of a fleet's; this gateway may use the part that it is told
}

// Class is a reservation type as far as waits and pre-emption need it.
type Class struct {
	Idempotent       bool
	MayPreempt       bool    // its jobs may have others called off
	PriorityWeight   float64 // billed value
	LatencyObjective float64 // SLA time, 0 for none
	Threads          float64
}

// Options are the figures of the stage. Times are seconds.
type Options struct {
	Classes            []Class
	DefaultTeam        string  // the team of those that name none, or one that is not known
	MaxUndispatched    int     // jobs that the module may hold undispatched, of each type and of all but those held for long, at most
	StarvationTimeout  float64 // after so long a team's next job goes first
	AgingRate          float64 // work, in seconds, that a second unserved counts for
	MaxRetryAfter      float64 // the most that a refusal may name
	PreemptAfter       float64 // that a job fits nowhere before others make room
	PreemptWeightRatio float64 // times the victim's billed value for its work, at least
	MaxPreemptions     int     // that one job may be a victim
	MinEstimateChange  float64 // part by which a wait must have moved to be told again
}

// Action is a kind of decision.
type Action int

const (
	Admit      Action = iota // the job to the module
	Reject                   // the job, which never ran
	ReportWait               // its client how long it will wait
	Preempt                  // Job to be called off, so that For fits
)

// Decision is one thing decided.
type Decision struct {
	Action               Action
	Request, Beneficiary uint32
	Reason               string
	RetryAfter           float64
	Estimate             Estimate
}

// request is one that was taken and has not ended.
type request struct {
	id                            uint32
	team                          *team
	class                         int
	work, memory                  float64
	arrivedAt, deadline           float64
	queueDeadline                 float64 // it waits no longer
	wantsEstimate                 bool    // its client wants to be told
	workAheadTag                  float64
	admittedAt, startedAt         float64 // when, 0 for not yet
	started                       bool
	preemptions                   int
	deadlineIndex                 int // in the heap of deadlines
	rawEstimate, reportedEstimate Estimate
	reportedAt                    float64
	queued, booked                bool
	recent                        bool // held by the module, not for long
}

// team is a team, or the team of teams above it.
type team struct {
	Budget
	parent          *team
	children        int
	depth           int
	retired         bool    // out of the configuration; forgotten once it is empty
	configuredLimit float64 // Most as configured, whatever is ordered

	memoryInUse              float64
	allocation               float64 // of a fleet's budget, that may be used here now
	fleetReachable           bool    // the part may grow: the fleet is reached
	running, queued          int
	queuedWork, admittedWork float64 // waiting work, and all that was ever handed on
	completed, arrived       window  // work ended, work taken

	startTag, finishTag, virtualTime float64      // its tag among its siblings, and the time of its children
	unservedSince                    float64      // waiting unserved
	activeWeight                     float64      // of the children with jobs waiting
	queues                           []classQueue // by type
}

// classQueue is a team's jobs of one type in the order in which they came; for a team of teams, its children's.
type classQueue struct {
	requests      []*request
	head          int
	count         int // in all below
	eligible      []*team
	eligibleIndex int // in the parent's kids, -1 for not there
	starvingIndex int // in the stage's list of the unserved, -1 for not there
	blocked       bool
	recheckAt     float64 // not before
}

// Scheduler is all teams of one gateway.
type Scheduler struct {
	options            Options
	root               *team
	teams              map[string]*team // the door: names become nodes here
	requests           map[uint32]*request
	undispatched       []int      // by type, with the module and not dispatched
	undispatchedWork   float64    // the work of those
	recentUndispatched int        // those that it has not held for long
	recentlyAdmitted   []*request // as they were handed
	dispatches         window     // first dispatches
	starving           [][]*team  // by type, a heap by since
	deadlines          deadlines
	preemptible        map[*request]bool // restartable ones that are dispatched
	preemptors         map[*request]bool // handed, of types that may pre-empt
	active             []*team           // leaves with jobs waiting
	activeIndex        map[*team]int     // in active
	decisions          []Decision
	now, shutdownAt    float64
	lastPreemption     float64
	estimator          estimator
	limitsTightened    bool       // budgets may have become smaller than a job that waits
	subscribers        []*request // waiting, to be told again; the first is looked at next
}

// New makes a stage. Budgets are as Check finds them good.
func New(rules Options, budgets []Budget) (*Scheduler, error) {
	s := &Scheduler{options: rules, requests: map[uint32]*request{}, undispatched: make([]int, len(rules.Classes)), starving: make([][]*team, len(rules.Classes)),
		preemptible: map[*request]bool{}, preemptors: map[*request]bool{}, activeIndex: map[*team]int{}, estimator: newEstimator(len(rules.Classes)),
		shutdownAt: math.Inf(1), dispatches: newWindow(0.25, 9)}
	return s, s.Configure(0, budgets)
}

// TeamCount is the number of teams kept; it does not grow by what clients name.
func (s *Scheduler) TeamCount() int { return len(s.teams) }

// Idle tells whether no job is kept and nothing is booked.
func (s *Scheduler) Idle() bool {
	return len(s.requests)+len(s.deadlines)+len(s.active)+s.root.running+s.root.queued == 0 && s.root.memoryInUse == 0
}

// leafTeam finds whom a job belongs to. What is not known, and a team of teams, belongs to the default team.
func (s *Scheduler) leafTeam(name string) *team {
	if n := s.teams[name]; n != nil && n.children == 0 {
		return n
	}
	return s.defaultTeam()
}

// Enqueue takes a job. work is in seconds on one core, memory in MB; both are estimates.
func (s *Scheduler) Enqueue(now float64, id uint32, team string, kind int, work, memory, giveUp float64, asks bool) []Decision {
	s.begin(now)
	j := &request{id: id, team: s.leafTeam(team), class: kind, work: max(work, 0.001), memory: max(memory, 1), arrivedAt: now, deadline: giveUp, wantsEstimate: asks, deadlineIndex: -1}
	for n := j.team; n != nil; n = n.parent {
		why := ""
		switch {
		case n.Limit > 0 && j.memory > n.Limit:
			why = fmt.Sprintf("needs %.0f MB, more than the whole budget of team %s", j.memory, n.Name)
		case n.MaxQueued > 0 && n.queued >= n.MaxQueued:
			why = fmt.Sprintf("team %s has %d jobs waiting, its most", n.Name, n.MaxQueued)
		case n.FleetWide && !n.fleetReachable && n.memoryInUse+j.memory > n.allocation:
			why = fmt.Sprintf("the fleet that divides team %s is not reached, and what is left here is in use", n.Name)
		default:
			continue
		}
		s.reject(j, why)
		return s.decisions
	}
	j.deadline = min(j.deadline, s.shutdownAt)
	if j.queueDeadline = j.deadline; j.team.MaxWait > 0 {
		j.queueDeadline = min(j.queueDeadline, now+j.team.MaxWait)
	}
	s.requests[id] = j
	s.enqueue(j)
	s.admitEligible()
	if !j.queued {
		return s.decisions
	}
	j.rawEstimate = s.estimate(j)
	j.reportedEstimate = s.correct(j)
	switch {
	case s.estimator.errorsFor(kind, asks, j.rawEstimate.Start).significant() && j.reportedEstimate.StartLow > 0 && now+j.reportedEstimate.StartLow+0.8*s.runTime(j) > s.options.usefulUntil(j):
		s.rejectQueued(j, "would not be done in its time")
	case j.wantsEstimate:
		s.subscribers = append(s.subscribers, j)
		s.decisions = append(s.decisions, Decision{Action: ReportWait, Request: j.id, Estimate: j.reportedEstimate})
	}
	return s.decisions
}

// begin opens an entry.
func (s *Scheduler) begin(now float64) { s.now, s.decisions = now, nil }

// reject turns away a job that was not taken.
func (s *Scheduler) reject(j *request, why string) {
	s.decisions = append(s.decisions, Decision{Action: Reject, Request: j.id, Reason: why, RetryAfter: s.retryAfter(j)})
}

// rejectQueued turns away a job that waits.
func (s *Scheduler) rejectQueued(j *request, why string) {
	s.reject(j, why)
	s.dequeue(j)
	s.forget(j)
}

// enqueue puts a job at its place by age in its team's line.
func (s *Scheduler) enqueue(j *request) {
	n, k := j.team, j.class
	l := &n.queues[k]
	at := len(l.requests)
	for at > l.head && byAge(j, l.requests[at-1]) < 0 {
		at--
	}
	l.requests = slices.Insert(l.requests, at, j)
	j.queued = true
	j.workAheadTag = n.admittedWork + n.queuedWork
	n.queuedWork += j.work
	n.arrived.add(s.now, j.work)
	if s.root != n {
		s.root.queuedWork += j.work
		s.root.arrived.add(s.now, j.work)
	}
	if j.deadlineIndex < 0 {
		heap.Push(&s.deadlines, j)
	}
	if n.queued == 0 {
		s.activeIndex[n] = len(s.active)
		s.active = append(s.active, n)
	}
	for p := n; p != nil; p = p.parent {
		if p.queued == 0 && p.parent != nil { // active among its siblings from now on, with no credit for its rest
			p.startTag = max(p.finishTag, p.parent.virtualTime)
			p.parent.activeWeight += p.Weight
		}
		if p.queued == 0 {
			p.unservedSince = max(s.now, p.unservedSince) // unserved from here on
		}
		p.queued++
		p.queues[k].count++
		s.updateEligibility(p, k)
	}
	s.reorder(n)
	s.updateStarving(n, k)
}

// dequeue takes a waiting job out.
func (s *Scheduler) dequeue(j *request) {
	n, k := j.team, j.class
	l := &n.queues[k]
	if at := slices.Index(l.requests[l.head:], j); at == 0 {
		l.requests[l.head] = nil
		l.head++
		if l.head > 32 && 2*l.head > len(l.requests) {
			l.requests, l.head = slices.Clone(l.requests[l.head:]), 0
		}
	} else {
		l.requests = slices.Delete(l.requests, l.head+at, l.head+at+1)
	}
	j.queued = false
	n.admittedWork += j.work
	if n.queuedWork -= j.work; n.queued == 1 {
		n.queuedWork = 0
	}
	if s.root.queuedWork -= j.work; s.root.queued == 1 {
		s.root.queuedWork = 0
	}
	for p := n; p != nil; p = p.parent {
		p.queued--
		p.queues[k].count--
		if p.queued == 0 && p.parent != nil {
			p.parent.activeWeight = max(p.parent.activeWeight-p.Weight, 0)
		}
		s.updateEligibility(p, k)
	}
	if n.queued == 0 {
		at := s.activeIndex[n]
		last := s.active[len(s.active)-1]
		s.active[at], s.activeIndex[last] = last, at
		s.active = s.active[:len(s.active)-1]
		delete(s.activeIndex, n)
	}
	s.updateStarving(n, k)
}

func (n *team) requests(k int) []*request { return n.queues[k].requests[n.queues[k].head:] }

// forget ends what is kept by the job's number.
func (s *Scheduler) forget(j *request) {
	delete(s.requests, j.id)
	delete(s.preemptible, j)
	delete(s.preemptors, j)
	if j.deadlineIndex >= 0 {
		heap.Remove(&s.deadlines, j.deadlineIndex)
	}
}

// hasCapacity tells whether the team, or team of teams, may have the job running now.
func (n *team) hasCapacity(j *request) bool {
	return (n.Limit == 0 || n.memoryInUse+j.memory <= n.Limit) && (n.MaxRunning == 0 || n.running < n.MaxRunning) &&
		(!n.FleetWide || n.memoryInUse+j.memory <= n.allocation)
}

// admit gives the job to the module and books it with all teams above it.
func (s *Scheduler) admit(j *request) {
	s.dequeue(j)
	j.admittedAt = s.now
	s.undispatched[j.class]++
	s.undispatchedWork += j.work
	j.recent = true
	s.recentUndispatched++
	s.recentlyAdmitted = append(s.recentlyAdmitted, j)
	for n := j.team; n != nil; n = n.parent {
		n.memoryInUse += j.memory
		n.running++
		n.unservedSince = s.now
		if p := n.parent; p != nil {
			p.virtualTime = max(p.virtualTime, n.startTag)
			n.finishTag = n.startTag + j.work/weight(n)
			n.startTag = n.finishTag
		}
	}
	j.booked = true
	s.reorder(j.team)
	if s.options.Classes[j.class].MayPreempt {
		s.preemptors[j] = true
	}
	s.decisions = append(s.decisions, Decision{Action: Admit, Request: j.id})
}

// weight is what tags count with; a team of weight 0 goes behind all others by the order itself.
func weight(n *team) float64 {
	if n.Weight <= 0 {
		return 1
	}
	return n.Weight
}

// Started tells that the module dispatched the job with that grant, 0 where it named none.
func (s *Scheduler) Started(now float64, id uint32, grant float64) []Decision {
	s.begin(now)
	j := s.requests[id]
	if j == nil || !j.booked {
		return nil
	}
	if grant > 0 && grant != j.memory {
		for n := j.team; n != nil; n = n.parent {
			n.memoryInUse += grant - j.memory
		}
		smaller := grant < j.memory
		j.memory = grant
		if s.reorder(j.team); smaller {
			s.capacityFreed(j.team)
		}
	}
	if !j.started {
		s.dispatches.add(now, 1)
		j.started, j.startedAt = true, now
		s.leftUndispatched(j)
		s.estimator.recordWait(j.class, j.wantsEstimate, j.rawEstimate.Start, now-j.arrivedAt, j.rawEstimate.valid)
		if s.options.Classes[j.class].Idempotent {
			s.preemptible[j] = true
		}
		delete(s.preemptors, j)
	}
	s.admitEligible()
	return s.decisions
}

// Finished tells that the job has had its final answer and nothing of it is out any more. work is what it took, 0 where
// it was not done.
func (s *Scheduler) Finished(now float64, id uint32, work float64) []Decision {
	s.begin(now)
	j := s.requests[id]
	if j == nil {
		return nil
	}
	switch {
	case j.queued:
		s.dequeue(j)
	case j.booked:
		if !j.started {
			s.leftUndispatched(j)
		}
		for n := j.team; n != nil; n = n.parent {
			n.memoryInUse -= j.memory
			if n.running--; n.running == 0 {
				n.memoryInUse = 0 // rounding leaves traces
			}
		}
		if work > 0 {
			s.estimator.workCompleted(now, work)
			j.team.completed.add(now, work)
			s.estimator.recordRun(j.class, now-j.startedAt, j.work)
		}
		s.capacityFreed(j.team)
	}
	s.forget(j)
	s.admitEligible()
	return s.decisions
}

// capacityFreed lets all teams above that had no room be looked at again.
func (s *Scheduler) capacityFreed(n *team) {
	for p := n; p != nil; p = p.parent {
		s.unblock(p)
	}
	s.reorder(n)
}

func (s *Scheduler) unblock(n *team) {
	for k := range n.queues {
		if n.queues[k].blocked {
			n.queues[k].blocked = false
			s.updateEligibility(n, k)
		}
	}
}

// ShutDownAt tells that the gateway ends then: no job waits beyond it.
func (s *Scheduler) ShutDownAt(now, at float64) []Decision {
	s.begin(now)
	s.shutdownAt = at
	for _, j := range s.deadlines {
		j.deadline, j.queueDeadline = min(j.deadline, at), min(j.queueDeadline, at)
	}
	heap.Init(&s.deadlines)
	return s.decisions
}

// NextTick is when Due is to be called, infinity for never.
func (s *Scheduler) NextTick() float64 {
	next := math.Inf(1)
	if len(s.deadlines) > 0 {
		next = s.deadlines[0].queueDeadline
	}
	if s.limitsTightened {
		next = s.now
	}
	if s.root.queued > 0 { // the unserved, waits that have moved
		next = min(next, s.now+0.25)
	}
	if len(s.preemptors) > 0 && s.options.MaxPreemptions > 0 {
		next = min(next, s.now+max(s.options.PreemptAfter/2, 0.02))
	}
	return next
}

// Tick tells that the time has come: jobs whose time is up are turned away, waits that have moved are told.
func (s *Scheduler) Tick(now float64) []Decision {
	s.begin(now)
	for len(s.deadlines) > 0 && s.deadlines[0].queueDeadline <= now {
		j := s.deadlines[0]
		if !j.queued { // the module's by now
			heap.Remove(&s.deadlines, 0)
			continue
		}
		s.rejectQueued(j, "waited for its longest")
	}
	if s.limitsTightened {
		s.limitsTightened = false
		s.rejectOversized()
	}
	s.admitEligible()
	s.preempt()
	s.reportChangedWaits()
	return s.decisions
}

// usefulUntil is up to when the job's answer is worth anything.
func (r *Options) usefulUntil(j *request) float64 {
	if sla := r.Classes[j.class].LatencyObjective; sla > 0 {
		return min(j.arrivedAt+sla, j.deadline)
	}
	return j.deadline
}
