package state

import (
	"fmt"
)

// CheckInvariants finds what breaks an invariant, "" where none is. was is the state before the last command, nil for none.
func (l *Machine) CheckInvariants(was *Machine) string {
	const hair = 1e-6 // sums of parts
	for name, q := range l.Quantities {
		bound := l.TotalCommitted(name)
		for _, c := range l.Controllers {
			if h := c.Allocations[name]; h.Amount > h.Committed+hair {
				return fmt.Sprintf("L2: %s may spend %g of %q, bound to %g", c.Name, h.Amount, name, h.Committed)
			}
		}
		fell := was != nil && bound <= was.TotalCommitted(name)+hair
		if whole := l.effectiveTotal(name); bound > whole-q.FloorReserve+hair*max(whole, 1) && !fell {
			return fmt.Sprintf("L1: %g of %q are bound, the whole is %g less %g", bound, name, whole, q.FloorReserve)
		}
	}
	if was == nil {
		return ""
	}
	if wrong := l.checkSharedWork(was); wrong != "" {
		return wrong
	}
	for holder, c := range l.Controllers {
		old := was.Controllers[holder]
		if old == nil {
			continue
		}
		for name, h := range c.Allocations {
			if h.Revision < old.Allocations[name].Revision {
				return fmt.Sprintf("L3: %q of %s went from number %d to %d", name, c.Name, old.Allocations[name].Revision, h.Revision)
			}
		}
	}
	for name, inc := range was.LatestIncarnation {
		if now, there := l.LatestIncarnation[name]; there && now < inc {
			return fmt.Sprintf("L4: %s went from incarnation %d to %d", name, inc, now)
		}
	}
	return ""
}

// checkSharedWork finds what breaks L5 to L7.
func (l *Machine) checkSharedWork(was *Machine) string {
	if was == nil {
		return ""
	}
	for name, all := range l.Shards {
		for i, s := range all {
			old := was.shard(name, i)
			switch {
			case old == nil:
			case s.Fence < old.Fence:
				return fmt.Sprintf("L5: slice %d of %q went from fence %d to %d", i, name, old.Fence, s.Fence)
			case s.Owner != old.Owner && s.Owner.Name != "" && old.Owner.Name != "" && l.AppliedCommands == was.AppliedCommands+1:
				return fmt.Sprintf("L6: slice %d of %q went from %s to %s", i, name, old.Owner.Name, s.Owner.Name)
			}
		}
	}
	for name, j := range l.ScheduledJobs {
		for _, r := range j.Runs {
			if r.NonIdempotent && r.Executions > 1 {
				return fmt.Sprintf("L7: the occurrence %d of %q was sent %d times", r.Due, name, r.Executions)
			}
		}
		if old := was.ScheduledJobs[name]; old != nil && j.LastDue < old.LastDue {
			return fmt.Sprintf("L7: %q went from occurrence %d to %d", name, old.LastDue, j.LastDue)
		}
	}
	return ""
}
