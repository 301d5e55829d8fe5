package state

import "fmt"

// roundingError is by how much sums of allocations may be off, by part of a total.
const roundingError = 1e-6

// CheckInvariants names an invariant that is broken, "" for none. previous is the state before the last command, nil where
// only what holds for a single state is to be checked. It is for tests.
func (m *Machine) CheckInvariants(previous *Machine) string {
	if wrong := m.checkCommitted(previous); wrong != "" {
		return wrong
	}
	if previous == nil {
		return ""
	}
	if wrong := m.checkShards(previous); wrong != "" {
		return wrong
	}
	if wrong := m.checkRuns(previous); wrong != "" {
		return wrong
	}
	return m.checkRevisions(previous)
}

// checkCommitted verifies L1 and L2.
func (m *Machine) checkCommitted(previous *Machine) string {
	for name, quantity := range m.Quantities {
		committed := m.TotalCommitted(name)
		for _, controller := range m.Controllers {
			if held := controller.Allocations[name]; held.Amount > held.Committed+roundingError {
				return fmt.Sprintf("L2: %s may use %g of %q, %g are committed", controller.Name, held.Amount, name, held.Committed)
			}
		}
		fell := previous != nil && committed <= previous.TotalCommitted(name)+roundingError
		total := m.effectiveTotal(name)
		if committed > total-quantity.FloorReserve+roundingError*max(total, 1) && !fell {
			return fmt.Sprintf("L1: %g of %q are committed, the total is %g less %g", committed, name, total, quantity.FloorReserve)
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
		for name, held := range controller.Allocations {
			if held.Revision < old.Allocations[name].Revision {
				return fmt.Sprintf("L3: %q of %s went from revision %d to %d", name, controller.Name, old.Allocations[name].Revision, held.Revision)
			}
		}
	}
	for name, incarnation := range previous.LatestIncarnation {
		if now, known := m.LatestIncarnation[name]; known && now < incarnation {
			return fmt.Sprintf("L4: %s went from incarnation %d to %d", name, incarnation, now)
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
				return fmt.Sprintf("L5: shard %d of %q went from fence %d to %d", i, task, old.Fence, shard.Fence)
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
				return fmt.Sprintf("L7: run %d of %q was sent %d times", run.Due, name, run.Executions)
			}
		}
		if old := previous.ScheduledJobs[name]; old != nil && job.LastDue < old.LastDue {
			return fmt.Sprintf("L7: %q went from due time %d to %d", name, old.LastDue, job.LastDue)
		}
	}
	return ""
}
