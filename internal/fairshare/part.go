package fairshare

import (
	"fmt"
	"slices"
)

// SetAllocation tells how much of a fleet's budget this gateway may use now. Nothing that runs is called off for a smaller one: it
// is used up first. Where the fleet is not reached, open is false, and what waits beyond the part is turned away at once.
func (s *Scheduler) SetAllocation(now float64, team string, part float64, open bool) []Decision {
	s.begin(now)
	n := s.teams[team]
	if n == nil || !n.FleetWide {
		return nil
	}
	n.allocation, n.fleetReachable = part, open
	if !open {
		left := part - n.memoryInUse // for those that wait, in their order
		for _, j := range s.queuedBelow(n) {
			if j.memory > left {
				s.rejectQueued(j, "the fleet that divides its team is not reached")
				continue
			}
			left -= j.memory
		}
	}
	s.capacityFreed(n)
	for _, leaf := range s.active { // teams below were passed over on its account
		if s.isWithin(leaf, n) {
			s.capacityFreed(leaf)
		}
	}
	s.admitEligible()
	return s.decisions
}

// Usage is what a team uses, and would use if its part were larger: with what waits.
func (s *Scheduler) Usage(team string) (used, wanted float64) {
	n := s.teams[team]
	if n == nil {
		return 0, 0
	}
	wanted = n.memoryInUse
	for _, j := range s.queuedBelow(n) {
		wanted += j.memory
	}
	return n.memoryInUse, wanted
}

// CountsFleetWide tells whether a job of the team counts against a budget that a fleet divides.
func (s *Scheduler) CountsFleetWide(team string) bool {
	for n := s.leafTeam(team); n != nil; n = n.parent {
		if n.FleetWide {
			return true
		}
	}
	return false
}

// isWithin tells whether a team is another or below it.
func (s *Scheduler) isWithin(n, above *team) bool {
	for ; n != nil; n = n.parent {
		if n == above {
			return true
		}
	}
	return false
}

// queuedBelow lists the jobs that wait in a team and those below it, oldest first.
func (s *Scheduler) queuedBelow(above *team) (jobs []*request) {
	for _, n := range s.active {
		if s.isWithin(n, above) {
			for k := range n.queues {
				jobs = append(jobs, n.requests(k)...)
			}
		}
	}
	slices.SortFunc(jobs, byAge)
	return jobs
}

// OverrideLimit sets the most that a team may have over its budget's own, or takes that back. Nothing that runs is called off.
func (s *Scheduler) OverrideLimit(now float64, team string, most float64, holds bool) []Decision {
	s.begin(now)
	n := s.teams[team]
	if n == nil {
		return nil
	}
	if n.Limit = n.configuredLimit; holds {
		n.Limit = most
	}
	s.rejectOversized()
	s.capacityFreed(n)
	for _, leaf := range s.active {
		if s.isWithin(leaf, n) {
			s.capacityFreed(leaf)
		}
	}
	s.admitEligible()
	return s.decisions
}

// rejectOversized turns away the waiting jobs that need more than all that a team above them may have now: under these budgets
// they would wait for their whole time.
func (s *Scheduler) rejectOversized() {
	for _, j := range s.queuedBelow(s.root) {
		for n := j.team; n != nil; n = n.parent {
			if n.Limit > 0 && j.memory > n.Limit {
				s.rejectQueued(j, fmt.Sprintf("needs %.0f MB, more than the whole budget that team %s has now", j.memory, n.Name))
				break
			}
		}
	}
}
