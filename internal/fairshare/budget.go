package fairshare

import (
	"errors"
	"fmt"
)

// maxDepth is the maximum depth of the tree of teams.
const maxDepth = 4

// DefaultTeamFault is the key under which Validate reports a default team that does not exist.
const DefaultTeamFault = -1

// Budget is the quota of a team. Memory is the sum of grants in MB, times are in seconds.
type Budget struct {
	Name, Parent string
	Guaranteed   float64 // memory up to which the team goes before its siblings
	Limit        float64 // maximum memory in use, 0 for no limit
	Weight       float64 // relative share of the remaining capacity; 0 gets only what no sibling uses
	MaxRunning   int     // maximum number of running requests, 0 for no limit
	MaxQueued    int     // maximum number of queued requests, 0 for no limit
	MaxWait      float64 // time after which a queued request is rejected, 0 for no limit
	FleetWide    bool    // Limit applies to the whole fleet, and this gateway may use the part allocated to it
}

// Validate returns the faults of a set of budgets, by the index of the faulty budget.
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

// validateParent checks the position of one budget in the tree.
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

// depthOf counts the teams from a budget up to its root. It stops beyond maxDepth, since the parents may form a cycle.
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
