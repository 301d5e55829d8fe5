package fairshare

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Check tells what is wrong with a set of budgets, by the place of each fault.
func Check(budgets []Budget, fallback string) (faults map[int]error) {
	faults = map[int]error{}
	at, sums := map[string]int{}, map[string]float64{}
	for i, b := range budgets {
		if _, twice := at[b.Name]; twice {
			faults[i] = fmt.Errorf("%q stands there twice", b.Name)
		}
		at[b.Name] = i
		sums[b.Parent] += b.Guaranteed
		if b.Most > 0 && b.Guaranteed > b.Most {
			faults[i] = fmt.Errorf("is guaranteed %g MB but may have %g at most", b.Guaranteed, b.Most)
		}
	}
	for i, b := range budgets {
		p, there := at[b.Parent]
		switch {
		case b.Parent != "" && !there:
			faults[i] = fmt.Errorf("parent %q is no team", b.Parent)
		case b.Parent != "" && budgets[p].Parent != "" && budgets[p].Parent != budgets[p].Name && deep(budgets, at, i) > mostDepth:
			faults[i] = fmt.Errorf("is over %d teams deep, or its own ancestor", mostDepth)
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

const mostDepth = 4 // of teams in teams; members, desks, offices and the house

func deep(budgets []Budget, at map[string]int, i int) (depth int) {
	for depth <= mostDepth {
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
func (s *Stage) Configure(now float64, budgets []Budget) error {
	faults := Check(budgets, s.rules.Default)
	for _, i := range slices.Sorted(maps.Keys(faults)) {
		if i < 0 {
			return faults[i]
		}
		return fmt.Errorf("team %q: %w", budgets[i].Name, faults[i])
	}
	s.now = now
	old, root := s.teams, s.root
	if root == nil {
		root = s.node(Budget{Weight: 1}, nil)
		s.root = root
	}
	s.teams = map[string]*node{}
	parents := map[string]bool{}
	byName := map[string]Budget{}
	for _, b := range budgets {
		byName[b.Name], parents[b.Parent] = b, true
	}
	var make1 func(b Budget) *node
	made := map[string]*node{}
	make1 = func(b Budget) *node {
		if n := made[b.Name]; n != nil {
			return n
		}
		above := root
		if b.Parent != "" {
			above = make1(byName[b.Parent])
		}
		n := old[b.Name]
		if n == nil || n.parent != above || (n.kids > 0) != parents[b.Name] { // its place has changed: a new one
			n = s.node(b, above)
		}
		n.Budget, n.settled = b, b.Most
		made[b.Name] = n
		return n
	}
	for _, b := range budgets {
		s.teams[b.Name] = make1(b)
	}
	if len(budgets) == 0 || s.rules.Default == "" {
		if s.teams[""] == nil {
			if s.teams[""] = old[""]; s.teams[""] == nil {
				s.teams[""] = s.node(Budget{Weight: 1}, root)
			}
		}
	}
	s.retire(old, made)
	s.refresh()
	s.tightened = true
	return nil
}

// node makes a team below another.
func (s *Stage) node(b Budget, parent *node) *node {
	n := &node{Budget: b, parent: parent, lines: make([]line, len(s.rules.Types)), pace: newRing(0.5, 13), coming: newRing(0.5, 13)}
	for k := range n.lines {
		n.lines[k].at, n.lines[k].late = -1, -1
	}
	if parent != nil {
		n.depth = parent.depth + 1
		parent.kids++
	}
	return n
}

// retire moves the jobs that wait in teams that are gone to the default team, by age among those there.
func (s *Stage) retire(old, made map[string]*node) {
	var moved []*job
	for name, n := range old {
		if s.teams[name] == n || n.gone {
			continue
		}
		n.gone = true
		if n.parent != nil {
			n.parent.kids--
		}
		for k := range n.lines {
			for len(n.queue(k)) > 0 {
				j := n.queue(k)[0]
				s.leaveLine(j)
				moved = append(moved, j)
			}
		}
	}
	slices.SortFunc(moved, func(x, y *job) int { return byAge(x, y) })
	for _, j := range moved {
		to := s.teams[j.team.Name] // the same name in another place
		if to == nil || to.kids > 0 {
			to = s.fallback()
		}
		j.team = to
		s.joinLine(j)
	}
}

func byAge(x, y *job) int {
	switch {
	case x.taken != y.taken && x.taken < y.taken:
		return -1
	case x.taken != y.taken:
		return 1
	}
	return int(int64(x.id) - int64(y.id))
}

func (s *Stage) fallback() *node { return s.teams[s.rules.Default] }

// refresh puts every team where its new budget has it.
func (s *Stage) refresh() {
	inner := map[*node]bool{s.root: true}
	for _, n := range s.teams {
		for p := n.parent; p != nil; p = p.parent {
			inner[p] = true
		}
	}
	for n := range inner { // many places may have changed at once
		for k := range n.lines {
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
			p.parent.weights = 0
		}
	}
	counted := map[*node]bool{}
	for _, n := range s.active {
		for p := n; p.parent != nil && !counted[p]; p = p.parent {
			counted[p] = true
			p.parent.weights += p.Weight
		}
	}
}
