package fairshare

import (
	"fmt"
	"math"
)

// Times of the scheduler itself, in seconds.
const (
	tickInterval       = 0.25 // while requests are queued: starvation, changed estimates
	minPreemptInterval = 0.02 // between looks for a victim

	dispatchWindowWidth   = 0.25
	dispatchWindowBuckets = 9

	// Run times vary: a request that would be late by up to a fifth of its run time is still given a chance.
	runTimeTolerance = 0.8

	minWork   = 0.001 // seconds on one core, where a request names less
	minMemory = 1     // MB, where a request names less
)

// Scheduler holds all teams of one gateway and their requests. New makes one; the caller reports each event by a method
// and carries out the decisions that it returns, which are valid until the next call.
type Scheduler struct {
	options  Options
	root     *team
	teams    map[string]*team    // as configured, by name
	active   []*team             // leaves with queued requests, in no order
	requests map[uint32]*request // all that have not ended
	now      float64             // of the running call

	activeIndex    map[*team]int // in active
	eligibleOrders []*heapOrder[*team]
	starving       []indexedHeap[*team]  // by class, the longest without service first
	deadlines      indexedHeap[*request] // of all requests, queued or admitted

	undispatched       []int      // by class: admitted and not started
	undispatchedWork   float64    // of those
	recentUndispatched int        // those that were admitted a short while ago
	recentlyAdmitted   []*request // in order of admission
	dispatches         window     // first attempts

	preemptible    map[*request]bool // running idempotent requests
	preemptors     map[*request]bool // admitted and not started, of classes that may preempt
	lastPreemption float64

	estimator   estimator
	subscribers []*request // queued, to be told of changed estimates; the first is looked at next

	limitsTightened bool    // limits may have become smaller than a queued request
	shutdownAt      float64 // no request outlives it
	decisions       []Decision
}

// New makes a scheduler; the error is of budgets that Validate rejects.
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

// TeamCount is the number of configured teams; it does not grow by what clients name.
func (s *Scheduler) TeamCount() int { return len(s.teams) }

// Idle reports whether there is no request and nothing is booked.
func (s *Scheduler) Idle() bool {
	open := len(s.requests) + s.deadlines.Len() + len(s.active) + s.root.running + s.root.queued
	return open == 0 && s.root.memoryInUse == 0
}

// begin opens a call: the decisions of the call before are no longer valid.
func (s *Scheduler) begin(now float64) {
	s.now = now
	s.decisions = nil
}

func (s *Scheduler) decide(d Decision) { s.decisions = append(s.decisions, d) }

// Arrival is a request that is to be scheduled. Work, in seconds on one core, and Memory, in MB, are estimates.
type Arrival struct {
	ID            uint32
	Team          string // one that is not known, or not a leaf, counts as the default team
	Class         int
	Work, Memory  float64
	Deadline      float64 // of the client
	WantsEstimate bool    // its client is told how long it will wait
}

// Enqueue takes a request, or rejects it at once.
func (s *Scheduler) Enqueue(now float64, a Arrival) []Decision {
	s.begin(now)
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
	if reason := overQuota(r); reason != "" {
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

// overQuota tells why a request can't be queued, "" where it can.
func overQuota(r *request) string {
	for t := r.team; t != nil; t = t.parent {
		switch {
		case t.Limit > 0 && r.memory > t.Limit:
			return fmt.Sprintf("needs %.0f MB, more than the whole budget of team %s", r.memory, t.Name)
		case t.MaxQueued > 0 && t.queued >= t.MaxQueued:
			return fmt.Sprintf("team %s has %d jobs waiting, its most", t.Name, t.MaxQueued)
		case t.FleetWide && !t.fleetReachable && t.memoryInUse+r.memory > t.allocation:
			return fmt.Sprintf("the fleet that divides team %s is not reached, and what is left here is in use", t.Name)
		}
	}
	return ""
}

// estimateArrival estimates the queue time of a request that has just been queued. It is rejected where estimates have
// proved good and it would not be done in time.
func (s *Scheduler) estimateArrival(r *request) {
	r.rawEstimate = s.estimate(r)
	r.reportedEstimate = s.correct(r, r.rawEstimate)
	start := r.reportedEstimate.StartLow
	trusted := s.estimator.errorsFor(r.class, r.wantsEstimate, r.rawEstimate.Start).significant()
	late := s.now+start+runTimeTolerance*s.runTime(r) > s.options.usefulUntil(r)
	switch {
	case trusted && start > 0 && late:
		s.rejectQueued(r, "would not be done in its time")
	case r.wantsEstimate:
		s.subscribers = append(s.subscribers, r)
		s.decide(Decision{Action: ReportWait, Request: r.id, Estimate: r.reportedEstimate})
	}
}

// reject decides on a request that is not queued.
func (s *Scheduler) reject(r *request, reason string) {
	s.decide(Decision{Action: Reject, Request: r.id, Reason: reason, RetryAfter: s.retryAfter(r)})
}

// rejectQueued rejects a queued request and forgets it.
func (s *Scheduler) rejectQueued(r *request, reason string) {
	s.reject(r, reason)
	s.dequeue(r)
	s.forget(r)
}

// forget drops all that is stored of a request.
func (s *Scheduler) forget(r *request) {
	delete(s.requests, r.id)
	delete(s.preemptible, r)
	delete(s.preemptors, r)
	if r.deadlineIndex >= 0 {
		s.deadlines.remove(r.deadlineIndex)
	}
}

// Started reports that an attempt of the request was started with that grant, 0 where none was named.
func (s *Scheduler) Started(now float64, id uint32, grant float64) []Decision {
	s.begin(now)
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

// rebook replaces what a request is booked with, in MB.
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

// Finished reports that the request has had its final answer and no attempt of it is in flight. work is what it took, 0
// where it was not completed.
func (s *Scheduler) Finished(now float64, id uint32, work float64) []Decision {
	s.begin(now)
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

// release takes an admitted request out of the tallies of its teams.
func (s *Scheduler) release(r *request, work float64) {
	if !r.started {
		s.leftUndispatched(r)
	}
	for t := r.team; t != nil; t = t.parent {
		t.memoryInUse -= r.memory
		t.running--
		if t.running == 0 {
			t.memoryInUse = 0 // rounding leaves a remainder
		}
	}
	if work > 0 {
		s.estimator.workCompleted(s.now, work)
		r.team.completed.add(s.now, work)
		s.estimator.recordRun(r.class, s.now-r.startedAt, r.work)
	}
	s.capacityFreed(r.team)
}

// ShutDownAt tells that the gateway ends then: no request waits beyond it.
func (s *Scheduler) ShutDownAt(now, at float64) []Decision {
	s.begin(now)
	s.shutdownAt = at
	for _, r := range s.deadlines.items {
		r.deadline = min(r.deadline, at)
		r.queueDeadline = min(r.queueDeadline, at)
	}
	s.deadlines.rebuild()
	return s.decisions
}

// NextTick is when Tick is to be called, infinity for never.
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

// Tick rejects the requests that have waited too long, preempts, and reports changed estimates.
func (s *Scheduler) Tick(now float64) []Decision {
	s.begin(now)
	for s.deadlines.Len() > 0 && s.deadlines.first().queueDeadline <= now {
		r := s.deadlines.first()
		if !r.queued { // admitted: its time is the admission controller's concern
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
