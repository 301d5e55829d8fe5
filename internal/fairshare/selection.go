package fairshare

// Bounds on the undispatched requests at the admission controller.
const (
	// A request that the controller has held for longer than this fits nowhere at present and must not prevent the
	// admission of other classes. Unless all capacity is in use, some tens of requests end in that time.
	recentPeriod = 0.25 // seconds

	// The controller may hold as many requests as it dispatches in this time, which bounds how long the next request in
	// order waits for those before it.
	undispatchedPeriod = 0.05 // seconds

	// At least two, so that one request that fits nowhere does not block all others.
	minUndispatched = 2

	// Time after which a starving team whose first request cannot run is checked again.
	starvationRecheck = 1 // seconds
)

// admitEligible admits requests as long as the controller may be passed more and one is eligible.
func (s *Scheduler) admitEligible() {
	for s.mayAdmit() {
		r := s.nextRequest()
		if r == nil {
			break
		}
		if s.now+runTimeTolerance*s.runTime(r) > s.options.usefulUntil(r) {
			s.rejectQueued(r, "would end after its latency objective or deadline")
			continue
		}
		s.admit(r)
	}
	s.estimator.setBacklogged(s.now, s.root.queued > 0)
}

// mayAdmit reports whether one more request may be passed to the admission controller.
func (s *Scheduler) mayAdmit() bool {
	for len(s.recentlyAdmitted) > 0 {
		r := s.recentlyAdmitted[0]
		if r.recent && r.admittedAt+recentPeriod > s.now {
			break
		}
		s.clearRecent(r)
		s.recentlyAdmitted[0] = nil
		s.recentlyAdmitted = s.recentlyAdmitted[1:]
	}
	return s.recentUndispatched < s.undispatchedLimit()
}

// undispatchedLimit returns how many undispatched requests the admission controller may hold.
func (s *Scheduler) undispatchedLimit() int {
	const span = (dispatchWindowBuckets - 1) * dispatchWindowWidth // seconds
	perSecond := s.dispatches.sum(s.now, dispatchWindowBuckets-1) / span
	return min(max(int(perSecond*undispatchedPeriod), minUndispatched), s.options.MaxUndispatched)
}

// clearRecent stops counting a request as recently admitted.
func (s *Scheduler) clearRecent(r *request) {
	if r.recent {
		r.recent = false
		s.recentUndispatched--
	}
}

// leftUndispatched stops counting a request as undispatched.
func (s *Scheduler) leftUndispatched(r *request) {
	s.undispatched[r.class]--
	s.undispatchedWork -= r.work
	s.clearRecent(r)
}

// admit passes a queued request to the admission controller and books it with its team and all ancestors.
func (s *Scheduler) admit(r *request) {
	s.dequeue(r)
	r.admittedAt = s.now
	s.undispatched[r.class]++
	s.undispatchedWork += r.work
	r.recent = true
	s.recentUndispatched++
	s.recentlyAdmitted = append(s.recentlyAdmitted, r)
	for t := r.team; t != nil; t = t.parent {
		t.memoryInUse += r.memory
		t.running++
		t.unservedSince = s.now
		if parent := t.parent; parent != nil {
			parent.virtualTime = max(parent.virtualTime, t.startTag)
			t.finishTag = t.startTag + r.work/t.tagWeight()
			t.startTag = t.finishTag
		}
	}
	r.booked = true
	s.reorder(r.team)
	if s.options.Classes[r.class].MayPreempt {
		s.preemptors[r] = true
	}
	s.emit(Decision{Action: Admit, Request: r.id})
}

// nextRequest returns the request to admit next, among the classes of which the admission controller may hold more
// requests. Teams that have starved beyond the timeout go first, the longest first; otherwise start tags decide.
func (s *Scheduler) nextRequest() *request {
	var starving, next *request
	for class := range s.undispatched {
		if !s.classMayAdmit(class) {
			continue
		}
		r := s.nextStarving(class)
		if r != nil && (starving == nil || r.team.unservedSince < starving.team.unservedSince) {
			starving = r
		}
	}
	if starving != nil {
		return starving
	}
	for class := range s.undispatched {
		if !s.classMayAdmit(class) {
			continue
		}
		r := s.nextByTag(class)
		if r != nil && (next == nil || s.requestBefore(r, next)) {
			next = r
		}
	}
	return next
}

// classMayAdmit reports whether a class has queued requests and the admission controller may hold more of them.
func (s *Scheduler) classMayAdmit(class int) bool {
	return s.undispatched[class] < s.undispatchedLimit() && s.root.queues[class].count > 0
}

// nextStarving returns the first request of a class from the team that has starved longest beyond the timeout, nil if there
// is none that may run.
func (s *Scheduler) nextStarving(class int) *request {
	for s.starving[class].Len() > 0 {
		t := s.starving[class].first()
		q := &t.queues[class]
		if max(t.unservedSince, q.recheckAt)+s.options.StarvationTimeout > s.now {
			break
		}
		r := t.queuedRequests(class)[0]
		if s.blockingTeam(r) == nil {
			return r
		}
		q.recheckAt = s.now + starvationRecheck - s.options.StarvationTimeout
		s.starving[class].fix(0)
	}
	return nil
}

// nextByTag returns the next request of a class by start tags, searching from the root down. A team without capacity is
// blocked, with all teams below it, until capacity is freed.
func (s *Scheduler) nextByTag(class int) *request {
	t := s.root
	for t.queues[class].count > 0 {
		q := &t.queues[class]
		if q.eligible.Len() > 0 {
			t = q.eligible.first()
			continue
		}
		if len(t.queuedRequests(class)) == 0 {
			return nil
		}
		r := t.queuedRequests(class)[0]
		blocking := s.blockingTeam(r)
		if blocking == nil {
			return r
		}
		blocking.queues[class].blocked = true
		if blocking == s.root {
			return nil
		}
		s.updateEligibility(blocking, class)
		t = s.root
	}
	return nil
}

// blockingTeam returns the first team, from the request's own team upwards, that has no capacity for the request, nil if it
// may run.
func (s *Scheduler) blockingTeam(r *request) *team {
	for t := r.team; t != nil; t = t.parent {
		if !t.hasCapacity(r) {
			return t
		}
	}
	return nil
}
