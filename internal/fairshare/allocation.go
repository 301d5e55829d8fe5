package fairshare

import "fmt"

// SetAllocation sets how much memory of a fleet-wide budget this gateway may use. A smaller allocation does not preempt
// running requests. If the fleet is unreachable, queued requests that do not fit in the allocation are rejected at once.
func (s *Scheduler) SetAllocation(now float64, teamName string, memory float64, fleetReachable bool) []Decision {
	s.beginCall(now)
	t := s.teams[teamName]
	if t == nil || !t.FleetWide {
		return nil
	}
	t.allocation, t.fleetReachable = memory, fleetReachable
	if !fleetReachable {
		s.rejectBeyondAllocation(t)
	}
	s.capacityFreedWithin(t)
	s.admitEligible()
	return s.decisions
}

// rejectBeyondAllocation reserves the free part of an allocation for queued requests, oldest first, and rejects those that
// do not fit.
func (s *Scheduler) rejectBeyondAllocation(t *team) {
	free := t.allocation - t.memoryInUse
	for _, r := range s.queuedWithin(t) {
		if r.memory > free {
			s.rejectQueued(r, "fleet unreachable, and the request does not fit in the allocation of its team")
			continue
		}
		free -= r.memory
	}
}

// Usage returns the memory that a team uses, and its demand: the memory that it would use if all queued requests ran.
func (s *Scheduler) Usage(teamName string) (used, demand float64) {
	t := s.teams[teamName]
	if t == nil {
		return 0, 0
	}
	demand = t.memoryInUse
	for _, r := range s.queuedWithin(t) {
		demand += r.memory
	}
	return t.memoryInUse, demand
}

// CountsFleetWide reports whether a request of the team counts against a fleet-wide budget.
func (s *Scheduler) CountsFleetWide(teamName string) bool {
	for t := s.leafTeam(teamName); t != nil; t = t.parent {
		if t.FleetWide {
			return true
		}
	}
	return false
}

// OverrideLimit replaces the limit of a team's budget if active is set, and restores the configured limit otherwise. It does
// not preempt running requests. Configure drops the override, so the caller has to set it again afterwards.
func (s *Scheduler) OverrideLimit(now float64, teamName string, limit float64, active bool) []Decision {
	s.beginCall(now)
	t := s.teams[teamName]
	if t == nil {
		return nil
	}
	t.Limit = t.configuredLimit
	if active {
		t.Limit = limit
	}
	s.rejectOversized()
	s.capacityFreedWithin(t)
	s.admitEligible()
	return s.decisions
}

// rejectOversized rejects the queued requests that need more memory than the whole limit of their team or of a team above
// it. With the present budgets they would only wait until their deadline.
func (s *Scheduler) rejectOversized() {
	for _, r := range s.queuedWithin(s.root) {
		for t := r.team; t != nil; t = t.parent {
			if t.Limit > 0 && r.memory > t.Limit {
				s.rejectQueued(r, fmt.Sprintf("needs %.0f MB, more than the whole budget that team %s has now", r.memory, t.Name))
				break
			}
		}
	}
}
