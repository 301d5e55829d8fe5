package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"copperrock.example/copperrock/internal/fleet/state"
)

// CompareOptions lists the differences between two controllers' settings that must be the same throughout a fleet, and
// reports a name that both use. The addresses of voters may differ, because controllers may reach a voter by different
// addresses.
func CompareOptions(x, y *Options) (differences []string) {
	compare := func(name string, a, b any) {
		if fmt.Sprint(a) != fmt.Sprint(b) {
			differences = append(differences, fmt.Sprintf("fleet.%s: %v and %v", name, a, b))
		}
	}
	compare("name", x.Name, y.Name)
	compare("voters", x.voterNames(), y.voterNames())
	compare("voting", x.VoterGeneration, y.VoterGeneration)
	compare("lease", x.Lease, y.Lease)
	compare("drift", x.MaxDrift, y.MaxDrift)
	compare("linger", x.Linger, y.Linger)
	compare("floors", x.FloorFraction, y.FloorFraction)
	compare("controllers", x.MaxControllers, y.MaxControllers)
	compare("generation", x.Generation, y.Generation)
	compare("duties", x.Tasks, y.Tasks)
	compare("jobs", x.ScheduledJobs, y.ScheduledJobs)
	if x.Self == y.Self {
		differences = append(differences, fmt.Sprintf("name: both are %s", x.Self))
	}
	return append(differences, compareQuantities(x.Quantities, y.Quantities)...)
}

// voterNames returns the voters' names with their numbers.
func (o *Options) voterNames() (names []string) {
	for _, voter := range o.Voters {
		names = append(names, fmt.Sprintf("%s as %d", voter.Name, voter.Number))
	}
	return names
}

// compareQuantities lists the differences between two lists of quantities, by name.
func compareQuantities(x, y []state.Quantity) (differences []string) {
	byName := func(a, b state.Quantity) int { return cmp.Compare(a.Name, b.Name) }
	x, y = slices.SortedFunc(slices.Values(x), byName), slices.SortedFunc(slices.Values(y), byName)
	for len(x) > 0 || len(y) > 0 {
		switch {
		case len(y) == 0 || len(x) > 0 && x[0].Name < y[0].Name:
			differences = append(differences, fmt.Sprintf("%s: %g, and not divided", x[0].Name, x[0].Total))
			x = x[1:]
		case len(x) == 0 || y[0].Name < x[0].Name:
			differences = append(differences, fmt.Sprintf("%s: not divided, and %g", y[0].Name, y[0].Total))
			y = y[1:]
		default:
			if x[0].Total != y[0].Total {
				differences = append(differences, fmt.Sprintf("%s: %g and %g", x[0].Name, x[0].Total, y[0].Total))
			}
			x, y = x[1:], y[1:]
		}
	}
	return differences
}
