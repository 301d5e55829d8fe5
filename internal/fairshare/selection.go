package fairshare

// Bounds on what the admission controller holds undispatched.
const (
	// What it has held for longer fits nowhere now and shall not keep requests of other classes from it; some tens of
	// requests end in that time unless all capacity is in use. Seconds.
	recentPeriod = 0.25

	// It may hold what it dispatches in this time, so that the next one in order waits no longer for those before.
	undispatchedPeriod = 0.05 // seconds

	// One that fits nowhere must not stop all.
	minUndispatched = 2

	// A starving team whose first request can't run now is looked at again after so many seconds.
	starvationRecheck = 1
)

// admitEligible admits what may be admitted now.
func (s *Scheduler) admitEligible() {
	for s.mayAdmit() {
		r := s.nextRequest()
		if r == nil {
			break
		}
		if s.now+runTimeTolerance*s.runTime(r) > s.options.usefulUntil(r) {
			s.rejectQueued(r, "would end past its SLA time")
			continue
		}
		s.admit(r)
	}
	s.estimator.setBacklogged(s.now, s.root.queued > 0)
}

// mayAdmit reports whether the admission controller may be handed one more request.
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

// undispatchedLimit is how many requests the admission controller may hold undispatched.
func (s *Scheduler) undispatchedLimit() int {
	const span = (dispatchWindowBuckets - 1) * dispatchWindowWidth // seconds
	perSecond := s.dispatches.sum(s.now, dispatchWindowBuckets-1) / span
	return min(max(int(perSecond*undispatchedPeriod), minUndispatched), s.options.MaxUndispatched)
}

func (s *Scheduler) clearRecent(r *request) {
	if r.recent {
		r.recent = false
		s.recentUndispatched--
	}
}

// leftUndispatched counts a request out of those that the admission controller holds undispatched.
func (s *Scheduler) leftUndispatched(r *request) {
	s.undispatched[r.class]--
	s.undispatchedWork -= r.work
	s.clearRecent(r)
}

// admit hands a queued request to the admission controller and books it with its team and all teams above.
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
	s.decide(Decision{Action: Admit, Request: r.id})
}

// nextRequest finds the request whose turn it is, among the classes of which the admission controller does not hold too
// many: of the team that has starved longest past the timeout; else by the tags.
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

func (s *Scheduler) classMayAdmit(class int) bool {
	return s.undispatched[class] < s.undispatchedLimit() && s.root.queues[class].count > 0
}

// nextStarving finds a class's request of the team that has been without service past the timeout.
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

// nextByTag finds a class's request by the tags, from the root down. A team without capacity is passed over with all
// below it until some is freed.
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
		full := s.blockingTeam(r)
		if full == nil {
			return r
		}
		full.queues[class].blocked = true
		if full == s.root {
			return nil
		}
		s.updateEligibility(full, class)
		t = s.root
	}
	return nil
}

// blockingTeam is the first team, upwards, that has no capacity for the request, nil where it may run.
func (s *Scheduler) blockingTeam(r *request) *team {
	for t := r.team; t != nil; t = t.parent {
		if !t.hasCapacity(r) {
			return t
		}
	}
	return nil
}
