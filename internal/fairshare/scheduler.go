package fairshare

import (
	"fmt"
	"math"
)

// Parameters of the scheduler, in seconds unless stated otherwise.
const (
	tickInterval       = 0.25 // interval of checks for starvation and changed estimates while requests are queued
	minPreemptInterval = 0.02 // minimum interval between searches for a victim

	dispatchWindowWidth   = 0.25
	dispatchWindowBuckets = 9 // number of buckets

	// Fraction of the expected run time that must fit before a request is due. Run times vary, so a request that would be
	// late by up to a fifth of its run time is still admitted.
	runTimeTolerance = 0.8

	minWork   = 0.001 // minimum work of a request, in seconds on one core
	minMemory = 1     // minimum memory of a request, in MB
)

// Scheduler holds all teams of one gateway and their requests. Use New to create one. The caller reports each event by
// calling a method and carries out the decisions that the method returns, which are valid until the next call.
type Scheduler struct {
	options  Options
	root     *team
	teams    map[string]*team    // configured teams by name
	active   []*team             // leaves with queued requests, unordered
	requests map[uint32]*request // all requests that have not ended
	now      float64             // time of the current call

	activeIndex    map[*team]int // index of a team in active
	eligibleOrders []*heapOrder[*team]
	starving       []indexedHeap[*team]  // teams by class, the longest without service first
	deadlines      indexedHeap[*request] // queue deadlines of queued and admitted requests

	undispatched       []int      // number of requests admitted and not started, by class
	undispatchedWork   float64    // work of those requests
	recentUndispatched int        // number of those requests that were admitted recently
	recentlyAdmitted   []*request // requests admitted recently, in order of admission
	dispatches         window     // number of first attempts

	preemptible    map[*request]bool // running idempotent requests
	preemptors     map[*request]bool // requests admitted and not started, of classes that may preempt
	lastPreemption float64

	estimator   estimator
	subscribers []*request // queued requests whose clients get changed estimates; the first is checked next

	limitsTightened bool    // a limit may have become smaller than a queued request
	shutdownAt      float64 // time by which all requests end
	decisions       []Decision
}

// New returns a scheduler. It returns an error if Validate finds a fault in the budgets.
func New(options Options, budgets []Budget) (*Scheduler, error) {
	classes := len(options.Classes)
	s := &Scheduler{
		options:      options,
		requests:     map[uint32]*request{},
		activeIndex:  map[*team]int{},
		starving:     make([]indexedHeap[*team], classes),
		undispatched: make([]int, classes),
		dispatches:   newWindow(dispatchWindowWidth, dispatchWindowBuckets),
		preemptible:  map[*request]bool{},
		preemptors:   map[*request]bool{},
		estimator:    newEstimator(classes),
		shutdownAt:   math.Inf(1),
	}
	s.deadlines.heapOrder = deadlineOrder()
	for class := range classes {
		s.eligibleOrders = append(s.eligibleOrders, s.eligibleOrder(class))
		s.starving[class].heapOrder = starvingOrder(class)
	}
	return s, s.Configure(0, budgets)
}

// TeamCount returns the number of configured teams. Team names sent by clients do not change it.
func (s *Scheduler) TeamCount() int { return len(s.teams) }

// Idle reports whether there is no request and nothing is booked.
func (s *Scheduler) Idle() bool {
	open := len(s.requests) + s.deadlines.Len() + len(s.active) + s.root.running + s.root.queued
	return open == 0 && s.root.memoryInUse == 0
}

// beginCall starts a call at the given time and discards the decisions of the previous call.
func (s *Scheduler) beginCall(now float64) {
	s.now = now
	s.decisions = nil
}

func (s *Scheduler) emit(d Decision) { s.decisions = append(s.decisions, d) }

// Arrival describes a request to schedule. Work, in seconds on one core, and Memory, in MB, are estimates.
type Arrival struct {
	ID            uint32
	Team          string // an unknown team, or one that is not a leaf, is replaced by the default team
	Class         int
	Work, Memory  float64
	Deadline      float64 // deadline of the client
	WantsEstimate bool    // the client wants to be notified how long the request will wait
}

// Enqueue accepts a request, or rejects it at once.
func (s *Scheduler) Enqueue(now float64, a Arrival) []Decision {
	s.beginCall(now)
	r := &request{
		id:            a.ID,
		team:          s.leafTeam(a.Team),
		class:         a.Class,
		work:          max(a.Work, minWork),
		memory:        max(a.Memory, minMemory),
		arrivedAt:     now,
		deadline:      a.Deadline,
		wantsEstimate: a.WantsEstimate,
		deadlineIndex: -1,
	}
	if reason := quotaViolation(r); reason != "" {
		s.reject(r, reason)
		return s.decisions
	}
	r.deadline = min(r.deadline, s.shutdownAt)
	r.queueDeadline = r.deadline
	if maxWait := r.team.MaxWait; maxWait > 0 {
		r.queueDeadline = min(r.queueDeadline, now+maxWait)
	}
	s.requests[r.id] = r
	s.enqueue(r)
	s.admitEligible()
	if r.queued {
		s.estimateArrival(r)
	}
	return s.decisions
}

// quotaViolation returns the reason why a request cannot be queued, "" if it can.
func quotaViolation(r *request) string {
	for t := r.team; t != nil; t = t.parent {
		switch {
		case t.Limit > 0 && r.memory > t.Limit:
			return fmt.Sprintf("needs %.0f MB, more than the whole budget of team %s", r.memory, t.Name)
		case t.MaxQueued > 0 && t.queued >= t.MaxQueued:
			return fmt.Sprintf("team %s has %d jobs waiting, its most", t.Name, t.MaxQueued)
		case t.FleetWide && !t.fleetReachable && t.memoryInUse+r.memory > t.allocation:
			return fmt.Sprintf("fleet unreachable, and the request does not fit in the allocation of team %s", t.Name)
		}
	}
	return ""
}

// estimateArrival estimates the queue time of a request that has just been queued. It rejects the request if the estimates
// are backed by enough samples and the request would not complete in time.
func (s *Scheduler) estimateArrival(r *request) {
	r.rawEstimate = s.estimate(r)
	r.reportedEstimate = s.correct(r, r.rawEstimate)
	start := r.reportedEstimate.StartLow
	trusted := s.estimator.errorsFor(r.class, r.wantsEstimate, r.rawEstimate.Start).significant()
	late := s.now+start+runTimeTolerance*s.runTime(r) > s.options.usefulUntil(r)
	switch {
	case trusted && start > 0 && late:
		s.rejectQueued(r, "would not complete in time")
	case r.wantsEstimate:
		s.subscribers = append(s.subscribers, r)
		s.emit(Decision{Action: ReportWait, Request: r.id, Estimate: r.reportedEstimate})
	}
}

// reject emits the rejection of a request.
func (s *Scheduler) reject(r *request, reason string) {
	s.emit(Decision{Action: Reject, Request: r.id, Reason: reason, RetryAfter: s.retryAfter(r)})
}

// rejectQueued rejects a queued request and removes it.
func (s *Scheduler) rejectQueued(r *request, reason string) {
	s.reject(r, reason)
	s.dequeue(r)
	s.forget(r)
}

// forget removes all state of a request.
func (s *Scheduler) forget(r *request) {
	delete(s.requests, r.id)
	delete(s.preemptible, r)
	delete(s.preemptors, r)
	if r.deadlineIndex >= 0 {
		s.deadlines.remove(r.deadlineIndex)
	}
}

// Started reports that an attempt of the request was started with the given grant in MB, 0 if there is none.
func (s *Scheduler) Started(now float64, id uint32, grant float64) []Decision {
	s.beginCall(now)
	r := s.requests[id]
	if r == nil || !r.booked {
		return nil
	}
	if grant > 0 && grant != r.memory {
		s.rebook(r, grant)
	}
	if !r.started {
		s.dispatches.add(now, 1)
		r.started, r.startedAt = true, now
		s.leftUndispatched(r)
		s.estimator.recordWait(r, now-r.arrivedAt)
		if s.options.Classes[r.class].Idempotent {
			s.preemptible[r] = true
		}
		delete(s.preemptors, r)
	}
	s.admitEligible()
	return s.decisions
}

// rebook replaces the booked memory of a request, in MB.
func (s *Scheduler) rebook(r *request, memory float64) {
	for t := r.team; t != nil; t = t.parent {
		t.memoryInUse += memory - r.memory
	}
	smaller := memory < r.memory
	r.memory = memory
	s.reorder(r.team)
	if smaller {
		s.capacityFreed(r.team)
	}
}

// Finished reports that the request has been answered and none of its attempts is in flight. work is the work that it used,
// 0 if it was not completed.
func (s *Scheduler) Finished(now float64, id uint32, work float64) []Decision {
	s.beginCall(now)
	r := s.requests[id]
	if r == nil {
		return nil
	}
	switch {
	case r.queued:
		s.dequeue(r)
	case r.booked:
		s.release(r, work)
	}
	s.forget(r)
	s.admitEligible()
	return s.decisions
}

// release removes an admitted request from the counts of its teams.
func (s *Scheduler) release(r *request, work float64) {
	if !r.started {
		s.leftUndispatched(r)
	}
	for t := r.team; t != nil; t = t.parent {
		t.memoryInUse -= r.memory
		t.running--
		if t.running == 0 {
			t.memoryInUse = 0 // rounding errors leave a remainder
		}
	}
	if work > 0 {
		s.estimator.workCompleted(s.now, work)
		r.team.completed.add(s.now, work)
		s.estimator.recordRun(r.class, s.now-r.startedAt, r.work)
	}
	s.capacityFreed(r.team)
}

// ShutDownAt announces that the gateway stops at the given time. No request waits beyond it.
func (s *Scheduler) ShutDownAt(now, at float64) []Decision {
	s.beginCall(now)
	s.shutdownAt = at
	for _, r := range s.deadlines.items {
		r.deadline = min(r.deadline, at)
		r.queueDeadline = min(r.queueDeadline, at)
	}
	s.deadlines.rebuild()
	return s.decisions
}

// NextTick returns when Tick is to be called next, infinity for never.
func (s *Scheduler) NextTick() float64 {
	next := math.Inf(1)
	if s.deadlines.Len() > 0 {
		next = s.deadlines.first().queueDeadline
	}
	if s.limitsTightened {
		next = s.now
	}
	if s.root.queued > 0 {
		next = min(next, s.now+tickInterval)
	}
	if len(s.preemptors) > 0 && s.options.MaxPreemptions > 0 {
		next = min(next, s.now+max(s.options.PreemptAfter/2, minPreemptInterval))
	}
	return next
}

// Tick rejects the requests that have waited too long, admits and preempts requests, and reports changed estimates.
func (s *Scheduler) Tick(now float64) []Decision {
	s.beginCall(now)
	for s.deadlines.Len() > 0 && s.deadlines.first().queueDeadline <= now {
		r := s.deadlines.first()
		if !r.queued { // admitted: the admission controller handles its deadline
			s.deadlines.remove(0)
			continue
		}
		s.rejectQueued(r, "waited for its longest")
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
