package fairshare

import "container/heap"

// admitEligible hands on what may go.
func (s *Scheduler) admitEligible() {
	for s.mayAdmit() {
		j := s.nextRequest()
		if j == nil {
			break
		}
		if s.now+0.8*s.runTime(j) > s.options.usefulUntil(j) { // runs vary by that; what can't be worth anything takes no room
			s.rejectQueued(j, "would end past its SLA time")
			continue
		}
		s.admit(j)
	}
	s.estimator.setBacklogged(s.now, s.root.queued > 0)
}

// mayAdmit tells whether the module may be handed one more job. What it has held for long fits nowhere now and shall
// not keep jobs of other types from it.
func (s *Scheduler) mayAdmit() bool {
	const long = 0.25 // some tens of jobs end meanwhile where the module is not stuck
	for len(s.recentlyAdmitted) > 0 && (!s.recentlyAdmitted[0].recent || s.recentlyAdmitted[0].admittedAt+long <= s.now) {
		if j := s.recentlyAdmitted[0]; j.recent {
			j.recent = false
			s.recentUndispatched--
		}
		s.recentlyAdmitted[0] = nil
		s.recentlyAdmitted = s.recentlyAdmitted[1:]
	}
	return s.recentUndispatched < s.undispatchedLimit()
}

// undispatchedLimit is how many jobs the module may hold: what it dispatches in a twentieth of a second, so that whoever comes
// next waits no longer for those before, and two at least, so that one that fits nowhere does not stop all.
func (s *Scheduler) undispatchedLimit() int {
	return min(max(int(s.dispatches.sum(s.now, 8)/2*0.05), 2), s.options.MaxUndispatched)
}

// leftUndispatched counts a job no more among those that the module holds.
func (s *Scheduler) leftUndispatched(j *request) {
	s.undispatched[j.class]--
	s.undispatchedWork -= j.work
	if j.recent {
		j.recent = false
		s.recentUndispatched--
	}
}

// nextRequest finds the job whose turn it is, among the types of which the module does not hold too many: of the team
// unserved for too long, longest first; else by the tags.
func (s *Scheduler) nextRequest() *request {
	var best *request
	late := false
	for k := range s.undispatched {
		if s.undispatched[k] >= s.undispatchedLimit() || s.root.queues[k].count == 0 {
			continue
		}
		if j := s.nextStarving(k); j != nil && (!late || j.team.unservedSince < best.team.unservedSince) {
			best, late = j, true
		}
	}
	for k := range s.undispatched {
		if late || s.undispatched[k] >= s.undispatchedLimit() || s.root.queues[k].count == 0 {
			continue
		}
		if j := s.nextByTag(k); j != nil && (best == nil || s.requestBefore(j, best)) {
			best = j
		}
	}
	return best
}

// nextStarving finds a type's job of the team that has waited without a dispatch for too long.
func (s *Scheduler) nextStarving(k int) *request {
	for len(s.starving[k]) > 0 {
		n := s.starving[k][0]
		if max(n.unservedSince, n.queues[k].recheckAt)+s.options.StarvationTimeout > s.now {
			break
		}
		j := n.requests(k)[0]
		if s.blockingTeam(j) == nil {
			return j
		}
		n.queues[k].recheckAt = s.now + 1 - s.options.StarvationTimeout // it could not run; looked at again in a second
		heap.Fix(&lateHeap{s, k}, 0)
	}
	return nil
}

// nextByTag finds a type's job by the tags, from the root down. A team without room is passed over with all below it
// until something of it ends.
func (s *Scheduler) nextByTag(k int) *request {
	for n := s.root; n.queues[k].count > 0; {
		if len(n.queues[k].eligible) > 0 {
			n = n.queues[k].eligible[0]
			continue
		}
		if len(n.requests(k)) == 0 {
			return nil
		}
		j := n.requests(k)[0]
		full := s.blockingTeam(j)
		if full == nil {
			return j
		}
		if full.queues[k].blocked = true; full == s.root {
			return nil
		}
		s.updateEligibility(full, k)
		n = s.root
	}
	return nil
}

// requestBefore orders two first jobs of different types: where their teams part, by those; inside a team by age.
func (s *Scheduler) requestBefore(x, y *request) bool {
	a, b := x.team, y.team
	if a == b {
		return byAge(x, y) < 0
	}
	for a.depth > b.depth {
		a = a.parent
	}
	for b.depth > a.depth {
		b = b.parent
	}
	for a.parent != b.parent {
		a, b = a.parent, b.parent
	}
	return s.teamBefore(a, b)
}

// blockingTeam gives the first team, upwards, that has no room for the job.
func (s *Scheduler) blockingTeam(j *request) *team {
	for n := j.team; n != nil; n = n.parent {
		if !n.hasCapacity(j) {
			return n
		}
	}
	return nil
}
