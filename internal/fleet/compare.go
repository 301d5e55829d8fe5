package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"copperrock.example/copperrock/internal/fleet/state"
)

// CompareOptions tells in what the settings of two controllers disagree that all of a fleet must hold alike. The addresses of
// voters may differ: each controller names them as it reaches them.
func CompareOptions(x, y *Options) (wrong []string) {
	differ := func(name string, a, b any) {
		if fmt.Sprint(a) != fmt.Sprint(b) {
			wrong = append(wrong, fmt.Sprintf("fleet.%s: %v and %v", name, a, b))
		}
	}
	names := func(f *Options) (all []string) {
		for _, v := range f.Voters {
			all = append(all, fmt.Sprintf("%s as %d", v.Name, v.Number))
		}
		return all
	}
	differ("name", x.Name, y.Name)
	differ("voters", names(x), names(y))
	differ("voting", x.VoterGeneration, y.VoterGeneration)
	differ("lease", x.Lease, y.Lease)
	differ("drift", x.MaxDrift, y.MaxDrift)
	differ("linger", x.Linger, y.Linger)
	differ("floors", x.FloorFraction, y.FloorFraction)
	differ("controllers", x.MaxControllers, y.MaxControllers)
	differ("generation", x.Generation, y.Generation)
	differ("duties", x.Tasks, y.Tasks)
	differ("jobs", x.ScheduledJobs, y.ScheduledJobs)
	if x.Self == y.Self {
		wrong = append(wrong, fmt.Sprintf("name: both are %s", x.Self))
	}
	byName := func(a, b state.Quantity) int { return cmp.Compare(a.Name, b.Name) }
	a, b := slices.SortedFunc(slices.Values(x.Quantities), byName), slices.SortedFunc(slices.Values(y.Quantities), byName)
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Name < b[0].Name:
			wrong = append(wrong, fmt.Sprintf("%s: %g, and not divided", a[0].Name, a[0].Total))
			a = a[1:]
		case len(a) == 0 || b[0].Name < a[0].Name:
			wrong = append(wrong, fmt.Sprintf("%s: not divided, and %g", b[0].Name, b[0].Total))
			b = b[1:]
		default:
			if a[0].Total != b[0].Total {
				wrong = append(wrong, fmt.Sprintf("%s: %g and %g", a[0].Name, a[0].Total, b[0].Total))
			}
			a, b = a[1:], b[1:]
		}
	}
	return wrong
}
