package fairshare

import (
	"fmt"
	"slices"
)

// Part tells how much of a fleet's budget this gateway may use now. Nothing that runs is called off for a smaller one: it
// is used up first. Where the fleet is not reached, open is false, and what waits beyond the part is turned away at once.
func (s *Stage) Part(now float64, team string, part float64, open bool) []Decision {
	s.begin(now)
	n := s.teams[team]
	if n == nil || !n.Fleet {
		return nil
	}
	n.part, n.open = part, open
	if !open {
		left := part - n.used // for those that wait, in their order
		for _, j := range s.below(n) {
			if j.memory > left {
				s.drop(j, "the fleet that divides its team is not reached")
				continue
			}
			left -= j.memory
		}
	}
	s.freed(n)
	for _, leaf := range s.active { // teams below were passed over on its account
		if s.within(leaf, n) {
			s.freed(leaf)
		}
	}
	s.settle()
	return s.out
}

// Use is what a team uses, and would use if its part were larger: with what waits.
func (s *Stage) Use(team string) (used, wanted float64) {
	n := s.teams[team]
	if n == nil {
		return 0, 0
	}
	wanted = n.used
	for _, j := range s.below(n) {
		wanted += j.memory
	}
	return n.used, wanted
}

// Divided tells whether a job of the team counts against a budget that a fleet divides.
func (s *Stage) Divided(team string) bool {
	for n := s.team(team); n != nil; n = n.parent {
		if n.Fleet {
			return true
		}
	}
	return false
}

// within tells whether a team is another or below it.
func (s *Stage) within(n, above *node) bool {
	for ; n != nil; n = n.parent {
		if n == above {
			return true
		}
	}
	return false
}

// below lists the jobs that wait in a team and those below it, oldest first.
func (s *Stage) below(above *node) (jobs []*job) {
	for _, n := range s.active {
		if s.within(n, above) {
			for k := range n.lines {
				jobs = append(jobs, n.queue(k)...)
			}
		}
	}
	slices.SortFunc(jobs, byAge)
	return jobs
}

// Order sets the most that a team may have over its budget's own, or takes that back. Nothing that runs is called off.
func (s *Stage) Order(now float64, team string, most float64, holds bool) []Decision {
	s.begin(now)
	n := s.teams[team]
	if n == nil {
		return nil
	}
	if n.Most = n.settled; holds {
		n.Most = most
	}
	s.dropMisfits()
	s.freed(n)
	for _, leaf := range s.active {
		if s.within(leaf, n) {
			s.freed(leaf)
		}
	}
	s.settle()
	return s.out
}

// dropMisfits turns away the waiting jobs that need more than all that a team above them may have now: under these budgets
// they would wait for their whole time.
func (s *Stage) dropMisfits() {
	for _, j := range s.below(s.root) {
		for n := j.team; n != nil; n = n.parent {
			if n.Most > 0 && j.memory > n.Most {
				s.drop(j, fmt.Sprintf("needs %.0f MB, more than the whole budget that team %s has now", j.memory, n.Name))
				break
			}
		}
	}
}
