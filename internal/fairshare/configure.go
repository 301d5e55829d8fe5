package fairshare

import (
	"fmt"
	"maps"
	"slices"
)

// Configure replaces the whole set of budgets. On an error the old set stays in effect. Memory in use stays booked. Queued
// requests of removed teams move to the default team, where they are queued by age. A new weight takes effect with the
// team's next request. The next Tick rejects queued requests that are larger than a new limit.
func (s *Scheduler) Configure(now float64, budgets []Budget) error {
	if err := firstFault(budgets, s.options.DefaultTeam); err != nil {
		return err
	}
	s.now = now
	if s.root == nil {
		s.root = s.newTeam(Budget{Weight: 1}, nil)
	}
	old := s.teams
	s.teams = s.buildTeams(budgets, old)
	if (len(budgets) == 0 || s.options.DefaultTeam == "") && s.teams[""] == nil {
		s.teams[""] = old[""]
		if s.teams[""] == nil {
			s.teams[""] = s.newTeam(Budget{Weight: 1}, s.root)
		}
	}
	s.retireTeams(old)
	s.rebuildOrder()
	s.limitsTightened = true
	return nil
}

// firstFault returns the first fault that Validate finds, with the name of its team.
func firstFault(budgets []Budget, defaultTeam string) error {
	faults := Validate(budgets, defaultTeam)
	if len(faults) == 0 {
		return nil
	}
	index := slices.Min(slices.Collect(maps.Keys(faults)))
	if index == DefaultTeamFault {
		return faults[index]
	}
	return fmt.Errorf("team %q: %w", budgets[index].Name, faults[index])
}

// buildTeams builds the tree of teams. It reuses the old teams whose position has not changed.
func (s *Scheduler) buildTeams(budgets []Budget, old map[string]*team) map[string]*team {
	byName := map[string]Budget{}
	isParent := map[string]bool{}
	for _, b := range budgets {
		byName[b.Name] = b
		isParent[b.Parent] = true
	}
	built := map[string]*team{}
	var build func(b Budget) *team
	build = func(b Budget) *team {
		if t := built[b.Name]; t != nil {
			return t
		}
		parent := s.root
		if b.Parent != "" {
			parent = build(byName[b.Parent])
		}
		t := old[b.Name]
		if t == nil || t.parent != parent || (t.children > 0) != isParent[b.Name] {
			t = s.newTeam(b, parent)
		}
		t.Budget, t.configuredLimit = b, b.Limit
		built[b.Name] = t
		return t
	}
	for _, b := range budgets {
		build(b)
	}
	return built
}

// retireTeams moves the queued requests of removed teams, ordered by age, to the team of the same name at its new position,
// or to the default team.
func (s *Scheduler) retireTeams(old map[string]*team) {
	var moved []*request
	for name, t := range old {
		if s.teams[name] == t || t.retired {
			continue
		}
		t.retired = true
		if t.parent != nil {
			t.parent.children--
		}
		for class := range t.queues {
			for len(t.queuedRequests(class)) > 0 {
				r := t.queuedRequests(class)[0]
				s.dequeue(r)
				moved = append(moved, r)
			}
		}
	}
	slices.SortFunc(moved, byAge)
	for _, r := range moved {
		r.team = s.leafTeam(r.team.Name)
		s.enqueue(r)
	}
}

// leafTeam returns the team that a request belongs to: the default team if the name is unknown or not that of a leaf.
func (s *Scheduler) leafTeam(name string) *team {
	if t := s.teams[name]; t != nil && t.children == 0 {
		return t
	}
	return s.teams[s.options.DefaultTeam]
}

// rebuildOrder restores the order of all teams after their budgets have changed.
func (s *Scheduler) rebuildOrder() {
	inner := map[*team]bool{s.root: true}
	for _, t := range s.teams {
		for p := t.parent; p != nil; p = p.parent {
			inner[p] = true
		}
	}
	for t := range inner {
		for class := range t.queues {
			t.queues[class].eligible.rebuild()
		}
	}
	for _, t := range s.teams {
		s.unblock(t)
	}
	for t := range inner {
		s.unblock(t)
	}
	s.recountActiveWeights()
}

// recountActiveWeights recomputes activeWeight for all teams that have active children.
func (s *Scheduler) recountActiveWeights() {
	for _, leaf := range s.active {
		for t := leaf; t.parent != nil; t = t.parent {
			t.parent.activeWeight = 0
		}
	}
	counted := map[*team]bool{}
	for _, leaf := range s.active {
		for t := leaf; t.parent != nil && !counted[t]; t = t.parent {
			counted[t] = true
			t.parent.activeWeight += t.Weight
		}
	}
}
