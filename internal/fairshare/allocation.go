package fairshare

import "fmt"

// SetAllocation tells how much memory of a fleet-wide budget this gateway may use now. Nothing that runs is preempted for
// a smaller one. Where the fleet can't be reached, what is queued beyond the allocation is rejected at once.
func (s *Scheduler) SetAllocation(now float64, teamName string, memory float64, fleetReachable bool) []Decision {
	s.begin(now)
	t := s.teams[teamName]
	if t == nil || !t.FleetWide {
		return nil
	}
	t.allocation, t.fleetReachable = memory, fleetReachable
	if !fleetReachable {
		s.rejectBeyondAllocation(t)
	}
	s.capacityFreedBelow(t)
	s.admitEligible()
	return s.decisions
}

// rejectBeyondAllocation leaves what is free of an allocation to queued requests, oldest first, and rejects the others.
func (s *Scheduler) rejectBeyondAllocation(t *team) {
	free := t.allocation - t.memoryInUse
	for _, r := range s.queuedBelow(t) {
		if r.memory > free {
			s.rejectQueued(r, "the fleet that divides its team is not reached")
			continue
		}
		free -= r.memory
	}
}

// Usage is the memory that a team uses, and what it would use with all that is queued.
func (s *Scheduler) Usage(teamName string) (used, wanted float64) {
	t := s.teams[teamName]
	if t == nil {
		return 0, 0
	}
	wanted = t.memoryInUse
	for _, r := range s.queuedBelow(t) {
		wanted += r.memory
	}
	return t.memoryInUse, wanted
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

// OverrideLimit replaces the limit of a team's budget while active is set, and restores the configured one otherwise.
// Nothing that runs is preempted.
func (s *Scheduler) OverrideLimit(now float64, teamName string, limit float64, active bool) []Decision {
	s.begin(now)
	t := s.teams[teamName]
	if t == nil {
		return nil
	}
	t.Limit = t.configuredLimit
	if active {
		t.Limit = limit
	}
	s.rejectOversized()
	s.capacityFreedBelow(t)
	s.admitEligible()
	return s.decisions
}

// rejectOversized rejects the queued requests that need more than the whole limit of a team above them: under these
// budgets they would wait until their deadline.
func (s *Scheduler) rejectOversized() {
	for _, r := range s.queuedBelow(s.root) {
		for t := r.team; t != nil; t = t.parent {
			if t.Limit > 0 && r.memory > t.Limit {
				s.rejectQueued(r, fmt.Sprintf("needs %.0f MB, more than the whole budget that team %s has now", r.memory, t.Name))
				break
			}
		}
	}
}
