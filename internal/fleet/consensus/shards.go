package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// recalledDivisor limits recalls: at most one in recalledDivisor of a task's shards, but at least one, may be recalled at a
// time.
const recalledDivisor = 8

// eligibleControllers are the controllers that may own shards. Both lists have the same order.
type eligibleControllers struct {
	candidates []assignment.Candidate
	ids        []state.ControllerID
}

// revocationPending reports whether a command that takes shards from a controller has not been applied yet. Until then the
// controller is granted nothing: a grant made before the command is applied would renew the lease on a shard that another
// controller may get as soon as it is applied.
func (c *Core) revocationPending(id state.ControllerID) bool {
	pending := slices.DeleteFunc(c.work.revoking[id], func(revoked ShardAssignment) bool {
		shards := c.machine.Shards[revoked.Task]
		return revoked.Shard >= len(shards) || shards[revoked.Shard].Owner != id || shards[revoked.Shard].Fence != revoked.Fence
	})
	c.work.revoking[id] = pending
	if len(pending) == 0 {
		delete(c.work.revoking, id)
	}
	return len(pending) > 0
}

// assignShards decides which shards are assigned, recalled or revoked. A new leader first waits for half a lease, in which
// every live controller sends a request, and until all leases that earlier leaders granted have expired.
func (c *Core) assignShards(now float64) {
	if now < c.work.assignedAt+c.config.RebalanceInterval || len(c.machine.Shards)+len(c.machine.Overrides) == 0 {
		return
	}
	c.work.assignedAt = now
	if now < max(c.leadingSince+c.config.Timing.TTL/2, c.priorLeaseBound+c.config.Timing.ExpiryBound()) {
		return
	}
	c.deleteRevokedOverrides()
	for task := range c.work.taskFirstSeen {
		if c.machine.Shards[task] == nil {
			delete(c.work.taskFirstSeen, task)
		}
	}
	eligible := c.findCandidates(now)
	for _, task := range slices.Sorted(maps.Keys(c.machine.Shards)) {
		if _, seen := c.work.taskFirstSeen[task]; !seen {
			c.work.taskFirstSeen[task] = now
		}
		c.planTask(now, task, eligible)
	}
}

// findCandidates returns the controllers that are live and have reported their capacity to this leader.
func (c *Core) findCandidates(now float64) (eligible eligibleControllers) {
	for _, controller := range c.machine.SortedControllers() {
		id := controller.ControllerID
		lastRequest, recorded := c.lastRequestAt[id]
		isLive := !controller.Replaced && !c.expiring[id] && recorded && now <= lastRequest+c.config.Timing.TTL
		report, reported := c.work.reports[id]
		if isLive && reported {
			eligible.candidates = append(eligible.candidates, assignment.Candidate{Name: id.Name, Weight: assignment.RoundCapacity(report.capacity)})
			eligible.ids = append(eligible.ids, id)
		}
	}
	return eligible
}

// deleteRevokedOverrides proposes to delete revoked overrides once every controller has applied all overrides.
func (c *Core) deleteRevokedOverrides() {
	latest := uint64(0)
	for _, override := range c.machine.Overrides {
		latest = max(latest, override.Number)
	}
	for id, controller := range c.machine.Controllers {
		if !controller.Replaced && c.work.reports[id].appliedOverride < latest {
			return
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.machine.Overrides)) {
		if override := c.machine.Overrides[key]; override.Revoked {
			c.enqueue(state.DeleteOverride{Kind: override.Kind, Target: override.Target, Number: override.Number}.Command())
		}
	}
}

// planTask decides about the shards of one task. The shards of a new task get owners only after the leases granted before it
// have expired: an earlier task with the same name may still have owners that have not learned of its removal.
func (c *Core) planTask(now float64, task string, eligible eligibleControllers) {
	shards := c.machine.Shards[task]
	states := make([]assignment.ShardState, len(shards))
	for i, shard := range shards {
		states[i] = assignment.ShardState{Owner: slices.Index(eligible.ids, shard.Owner), Unowned: shard.Owner.Name == "", Recalled: shard.Recalled}
		c.revokeIfExpired(now, task, i, shard)
	}
	if now < c.work.taskFirstSeen[task]+c.config.Timing.ExpiryBound() {
		return
	}
	for _, step := range assignment.PlanSteps(task, states, eligible.candidates, max(len(shards)/recalledDivisor, 1)) {
		shard := shards[step.Shard]
		if step.Recall {
			c.enqueue(state.RecallShard{Owner: shard.Owner, Task: task, Shard: step.Shard, Fence: shard.Fence}.Command())
		} else {
			c.enqueue(state.AssignShard{Owner: eligible.ids[step.To], Task: task, Shard: step.Shard, Fence: shard.Fence}.Command())
		}
	}
}

// revokeIfExpired proposes to take a shard from its owner if the owner's lease has expired by any clock within the drift
// bound.
func (c *Core) revokeIfExpired(now float64, task string, index int, shard state.Shard) {
	lastRequest, recorded := c.lastRequestAt[shard.Owner]
	if shard.Owner.Name == "" || !recorded || now <= lastRequest+c.config.Timing.ExpiryBound() {
		return
	}
	revoked := ShardAssignment{Task: task, Shard: index, Fence: shard.Fence}
	if !slices.Contains(c.work.revoking[shard.Owner], revoked) {
		c.work.revoking[shard.Owner] = append(c.work.revoking[shard.Owner], revoked)
	}
	c.enqueue(state.ReleaseShard{Owner: shard.Owner, Task: task, Shard: index, Fence: shard.Fence}.Command())
}
