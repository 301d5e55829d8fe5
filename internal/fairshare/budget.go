package fairshare

import (
	"errors"
	"fmt"
)

// maxDepth bounds how many teams may lie above each other.
const maxDepth = 4

// DefaultTeamFault is the key under which Validate reports a default team that does not exist.
const DefaultTeamFault = -1

// Budget is the quota of a team. Memory is MB of grants, times are seconds.
type Budget struct {
	Name, Parent string
	Guaranteed   float64 // memory that it gets before any sibling borrows
	Limit        float64 // memory at once, 0 for no bound
	Weight       float64 // its part of what is left; 0 gets what no other wants
	MaxRunning   int     // requests at once, 0 for no bound
	MaxQueued    int     // requests at once, 0 for no bound
	MaxWait      float64 // after which a queued request is rejected, 0 for none
	FleetWide    bool    // Limit holds for a whole fleet; this gateway may use the part allocated to it
}

// Validate returns what is wrong with a set of budgets, by the index of the budget at fault.
func Validate(budgets []Budget, defaultTeam string) map[int]error {
	faults := map[int]error{}
	index := map[string]int{}
	guaranteedBelow := map[string]float64{}
	for i, b := range budgets {
		if _, duplicate := index[b.Name]; duplicate {
			faults[i] = fmt.Errorf("%q stands there twice", b.Name)
		}
		index[b.Name] = i
		guaranteedBelow[b.Parent] += b.Guaranteed
		if b.Limit > 0 && b.Guaranteed > b.Limit {
			faults[i] = fmt.Errorf("is guaranteed %g MB but may have %g at most", b.Guaranteed, b.Limit)
		}
	}
	for i, b := range budgets {
		if err := validateParent(budgets, index, i); err != nil {
			faults[i] = err
		}
		if sum := guaranteedBelow[b.Name]; sum > b.Guaranteed && b.Name != "" {
			faults[i] = fmt.Errorf("is guaranteed %g MB, less than the %g of the teams below", b.Guaranteed, sum)
		}
	}
	if _, exists := index[defaultTeam]; !exists && defaultTeam != "" {
		faults[DefaultTeamFault] = fmt.Errorf("%q is no team", defaultTeam)
	}
	return faults
}

// validateParent checks the place of one budget in the tree.
func validateParent(budgets []Budget, index map[string]int, i int) error {
	b := budgets[i]
	parent, exists := index[b.Parent]
	switch {
	case b.Parent != "" && !exists:
		return fmt.Errorf("parent %q is no team", b.Parent)
	case b.Parent != "" && budgets[parent].Parent != "" && budgets[parent].Parent != budgets[parent].Name &&
		depthOf(budgets, index, i) > maxDepth:
		return fmt.Errorf("is over %d teams deep, or its own ancestor", maxDepth)
	case b.Parent == b.Name:
		return errors.New("is its own parent")
	}
	return nil
}

// depthOf counts the teams from a budget up to its root, and stops past maxDepth, since parents may form a cycle.
func depthOf(budgets []Budget, index map[string]int, i int) int {
	depth := 0
	for depth <= maxDepth {
		parent, exists := index[budgets[i].Parent]
		if !exists {
			return depth + 1
		}
		i = parent
		depth++
	}
	return depth
}
