package fairshare

import (
	"fmt"
	"maps"
	"slices"
)

// Configure replaces the set of budgets as a whole; an error leaves the old one. What is in use stays booked. Requests of
// teams that are gone wait with the default team, at their places by age. New weights count from each team's next request
// on. The next Tick rejects what is queued and too large for every new limit.
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

// firstFault is the first of the faults that Validate finds, with the name of its team.
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

// buildTeams makes the tree of teams, with those of the old one whose place has not changed.
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

// retireTeams moves the requests that are queued in teams that are gone, by age, to the team of the same name in its new
// place, or to the default team.
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

// leafTeam finds the team that a request belongs to: the default team for a name that is not known or not a leaf.
func (s *Scheduler) leafTeam(name string) *team {
	if t := s.teams[name]; t != nil && t.children == 0 {
		return t
	}
	return s.teams[s.options.DefaultTeam]
}

// rebuildOrder puts every team at the place that its new budget gives it.
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
