package state

import "fmt"

// roundingError is the tolerance for sums of allocations, as a fraction of the total.
const roundingError = 1e-6

// CheckInvariants returns a description of a violated invariant, "" if there is none. previous is the state before the last
// command; if it is nil, only the invariants of a single state are checked. It is meant for tests.
func (m *Machine) CheckInvariants(previous *Machine) string {
	if violation := m.checkCommitted(previous); violation != "" {
		return violation
	}
	if previous == nil {
		return ""
	}
	if violation := m.checkShards(previous); violation != "" {
		return violation
	}
	if violation := m.checkRuns(previous); violation != "" {
		return violation
	}
	return m.checkRevisions(previous)
}

// checkCommitted verifies L1 and L2.
func (m *Machine) checkCommitted(previous *Machine) string {
	for name, quantity := range m.Quantities {
		committed := m.TotalCommitted(name)
		for _, controller := range m.Controllers {
			if allocation := controller.Allocations[name]; allocation.Amount > allocation.Committed+roundingError {
				return fmt.Sprintf("L2: %s may use %g of %q, but only %g are committed", controller.Name, allocation.Amount, name, allocation.Committed)
			}
		}
		hasNotGrown := previous != nil && committed <= previous.TotalCommitted(name)+roundingError
		total := m.effectiveTotal(name)
		if committed > total-quantity.FloorReserve+roundingError*max(total, 1) && !hasNotGrown {
			return fmt.Sprintf("L1: %g of %q are committed, the total is %g with a floor reserve of %g", committed, name, total, quantity.FloorReserve)
		}
	}
	return ""
}

// checkRevisions verifies L3 and L4.
func (m *Machine) checkRevisions(previous *Machine) string {
	for id, controller := range m.Controllers {
		old := previous.Controllers[id]
		if old == nil {
			continue
		}
		for name, allocation := range controller.Allocations {
			if allocation.Revision < old.Allocations[name].Revision {
				return fmt.Sprintf("L3: %q of %s went from revision %d to %d", name, controller.Name, old.Allocations[name].Revision, allocation.Revision)
			}
		}
	}
	for name, incarnation := range previous.LatestIncarnation {
		if latest, exists := m.LatestIncarnation[name]; exists && latest < incarnation {
			return fmt.Sprintf("L4: %s went from incarnation %d to %d", name, incarnation, latest)
		}
	}
	return ""
}

// checkShards verifies L5 and L6.
func (m *Machine) checkShards(previous *Machine) string {
	for task, shards := range m.Shards {
		for i, shard := range shards {
			old := previous.shard(task, i)
			switch {
			case old == nil:
			case shard.Fence < old.Fence:
				return fmt.Sprintf("L5: shard %d of %q went from fencing token %d to %d", i, task, old.Fence, shard.Fence)
			case shard.Owner != old.Owner && shard.Owner.Name != "" && old.Owner.Name != "" && m.AppliedCommands == previous.AppliedCommands+1:
				return fmt.Sprintf("L6: shard %d of %q went from %s to %s", i, task, old.Owner.Name, shard.Owner.Name)
			}
		}
	}
	return ""
}

// checkRuns verifies L7.
func (m *Machine) checkRuns(previous *Machine) string {
	for name, job := range m.ScheduledJobs {
		for _, run := range job.Runs {
			if run.NonIdempotent && run.Executions > 1 {
				return fmt.Sprintf("L7: run of %q due at %d was sent %d times", name, run.Due, run.Executions)
			}
		}
		if old := previous.ScheduledJobs[name]; old != nil && job.LastDue < old.LastDue {
			return fmt.Sprintf("L7: %q went from due time %d to %d", name, old.LastDue, job.LastDue)
		}
	}
	for name := range previous.ScheduledJobs {
		if m.ScheduledJobs[name] == nil && len(previous.ScheduledJobs) <= retainedRemovedJobs {
			return fmt.Sprintf("L7: the latest due time of %q was dropped", name)
		}
	}
	return ""
}
