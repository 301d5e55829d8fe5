package fairshare

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Validate tells what is wrong with a set of budgets, by the place of each fault.
func Validate(budgets []Budget, fallback string) (faults map[int]error) {
	faults = map[int]error{}
	at, sums := map[string]int{}, map[string]float64{}
	for i, b := range budgets {
		if _, twice := at[b.Name]; twice {
			faults[i] = fmt.Errorf("%q stands there twice", b.Name)
		}
		at[b.Name] = i
		sums[b.Parent] += b.Guaranteed
		if b.Limit > 0 && b.Guaranteed > b.Limit {
			faults[i] = fmt.Errorf("is guaranteed %g MB but may have %g at most", b.Guaranteed, b.Limit)
		}
	}
	for i, b := range budgets {
		p, there := at[b.Parent]
		switch {
		case b.Parent != "" && !there:
			faults[i] = fmt.Errorf("parent %q is no team", b.Parent)
		case b.Parent != "" && budgets[p].Parent != "" && budgets[p].Parent != budgets[p].Name && teamDepth(budgets, at, i) > maxDepth:
			faults[i] = fmt.Errorf("is over %d teams deep, or its own ancestor", maxDepth)
		case b.Parent == b.Name:
			faults[i] = errors.New("is its own parent")
		}
		if sum := sums[b.Name]; sum > b.Guaranteed && b.Name != "" {
			faults[i] = fmt.Errorf("is guaranteed %g MB, less than the %g of the teams below", b.Guaranteed, sum)
		}
	}
	if _, there := at[fallback]; !there && fallback != "" {
		faults[-1] = fmt.Errorf("%q is no team", fallback)
	}
	return faults
}

const maxDepth = 4 // of teams in teams; members, desks, offices and the house

func teamDepth(budgets []Budget, at map[string]int, i int) (depth int) {
	for depth <= maxDepth {
		p, there := at[budgets[i].Parent]
		if !there {
			return depth + 1
		}
		i = p
		depth++
	}
	return depth
}

// Configure takes a new set of budgets whole. What is in use stays; jobs of teams that are gone wait with the default
// team, at the places by age that they had. An order that stands is not changed by new weights: they count from
// each team's next job on. The next call of Due turns away what waits and is too large for any of the new ones.
func (s *Scheduler) Configure(now float64, budgets []Budget) error {
	faults := Validate(budgets, s.options.DefaultTeam)
	for _, i := range slices.Sorted(maps.Keys(faults)) {
		if i < 0 {
			return faults[i]
		}
		return fmt.Errorf("team %q: %w", budgets[i].Name, faults[i])
	}
	s.now = now
	old, root := s.teams, s.root
	if root == nil {
		root = s.newTeam(Budget{Weight: 1}, nil)
		s.root = root
	}
	s.teams = map[string]*team{}
	parents := map[string]bool{}
	byName := map[string]Budget{}
	for _, b := range budgets {
		byName[b.Name], parents[b.Parent] = b, true
	}
	var make1 func(b Budget) *team
	made := map[string]*team{}
	make1 = func(b Budget) *team {
		if n := made[b.Name]; n != nil {
			return n
		}
		above := root
		if b.Parent != "" {
			above = make1(byName[b.Parent])
		}
		n := old[b.Name]
		if n == nil || n.parent != above || (n.children > 0) != parents[b.Name] { // its place has changed: a new one
			n = s.newTeam(b, above)
		}
		n.Budget, n.configuredLimit = b, b.Limit
		made[b.Name] = n
		return n
	}
	for _, b := range budgets {
		s.teams[b.Name] = make1(b)
	}
	if len(budgets) == 0 || s.options.DefaultTeam == "" {
		if s.teams[""] == nil {
			if s.teams[""] = old[""]; s.teams[""] == nil {
				s.teams[""] = s.newTeam(Budget{Weight: 1}, root)
			}
		}
	}
	s.retireTeams(old, made)
	s.rebuildOrder()
	s.limitsTightened = true
	return nil
}

// newTeam makes a team below another.
func (s *Scheduler) newTeam(b Budget, parent *team) *team {
	n := &team{Budget: b, parent: parent, queues: make([]classQueue, len(s.options.Classes)), completed: newWindow(0.5, 13), arrived: newWindow(0.5, 13)}
	for k := range n.queues {
		n.queues[k].eligibleIndex, n.queues[k].starvingIndex = -1, -1
	}
	if parent != nil {
		n.depth = parent.depth + 1
		parent.children++
	}
	return n
}

// retireTeams moves the jobs that wait in teams that are gone to the default team, by age among those there.
func (s *Scheduler) retireTeams(old, made map[string]*team) {
	var moved []*request
	for name, n := range old {
		if s.teams[name] == n || n.retired {
			continue
		}
		n.retired = true
		if n.parent != nil {
			n.parent.children--
		}
		for k := range n.queues {
			for len(n.requests(k)) > 0 {
				j := n.requests(k)[0]
				s.dequeue(j)
				moved = append(moved, j)
			}
		}
	}
	slices.SortFunc(moved, func(x, y *request) int { return byAge(x, y) })
	for _, j := range moved {
		to := s.teams[j.team.Name] // the same name in another place
		if to == nil || to.children > 0 {
			to = s.defaultTeam()
		}
		j.team = to
		s.enqueue(j)
	}
}

func byAge(x, y *request) int {
	switch {
	case x.arrivedAt != y.arrivedAt && x.arrivedAt < y.arrivedAt:
		return -1
	case x.arrivedAt != y.arrivedAt:
		return 1
	}
	return int(int64(x.id) - int64(y.id))
}

func (s *Scheduler) defaultTeam() *team { return s.teams[s.options.DefaultTeam] }

// rebuildOrder puts every team where its new budget has it.
func (s *Scheduler) rebuildOrder() {
	inner := map[*team]bool{s.root: true}
	for _, n := range s.teams {
		for p := n.parent; p != nil; p = p.parent {
			inner[p] = true
		}
	}
	for n := range inner { // many places may have changed at once
		for k := range n.queues {
			heap.Init(&kidHeap{s, n, k})
		}
	}
	for _, n := range s.teams {
		s.unblock(n)
	}
	for n := range inner {
		s.unblock(n)
	}
	for _, n := range s.active {
		for p := n; p.parent != nil; p = p.parent {
			p.parent.activeWeight = 0
		}
	}
	counted := map[*team]bool{}
	for _, n := range s.active {
		for p := n; p.parent != nil && !counted[p]; p = p.parent {
			counted[p] = true
			p.parent.activeWeight += p.Weight
		}
	}
}
