package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// recalledDivisor: of so many shards of a task, one may be recalled at a time.
const recalledDivisor = 8

// candidates are the controllers that may own shards, beside their ids.
type candidates struct {
	seats []assignment.Candidate
	ids   []state.ControllerID
}

// revocationPending tells whether shards are being taken from a controller. Until that is done it is granted nothing: a
// response that crossed the command would renew the lease of a shard that is another's a moment later.
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

// assignShards decides which shards move. A leader that has just begun waits for half a lease, by when every live
// controller has been heard, and until all leases granted before it have expired.
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
	able := c.findCandidates(now)
	for _, task := range slices.Sorted(maps.Keys(c.machine.Shards)) {
		if _, known := c.work.taskFirstSeen[task]; !known {
			c.work.taskFirstSeen[task] = now
		}
		c.planTask(now, task, able)
	}
}

// findCandidates lists the controllers that are live and have reported their capacity to this leader.
func (c *Core) findCandidates(now float64) (able candidates) {
	for _, controller := range c.machine.SortedControllers() {
		id := controller.ControllerID
		lastRequest, heard := c.lastRequestAt[id]
		isLive := !controller.Replaced && !c.expiring[id] && heard && now <= lastRequest+c.config.Timing.TTL
		report, reported := c.work.reports[id]
		if isLive && reported {
			able.seats = append(able.seats, assignment.Candidate{Name: id.Name, Weight: assignment.RoundCapacity(report.capacity)})
			able.ids = append(able.ids, id)
		}
	}
	return able
}

// deleteRevokedOverrides proposes to forget revoked overrides once every controller has applied all overrides.
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

// planTask decides about the shards of one task. A task that is new gets owners only after a lease: an earlier one of its
// name may still have owners that have not heard of the change.
func (c *Core) planTask(now float64, task string, able candidates) {
	shards := c.machine.Shards[task]
	states := make([]assignment.ShardState, len(shards))
	for i, shard := range shards {
		states[i] = assignment.ShardState{Owner: slices.Index(able.ids, shard.Owner), Unowned: shard.Owner.Name == "", Recalled: shard.Recalled}
		c.revokeIfExpired(now, task, i, shard)
	}
	if now < c.work.taskFirstSeen[task]+c.config.Timing.ExpiryBound() {
		return
	}
	for _, step := range assignment.PlanSteps(task, states, able.seats, max(len(shards)/recalledDivisor, 1)) {
		shard := shards[step.Shard]
		if step.Recall {
			c.enqueue(state.RecallShard{Owner: shard.Owner, Task: task, Shard: step.Shard, Fence: shard.Fence}.Command())
		} else {
			c.enqueue(state.AssignShard{Owner: able.ids[step.To], Task: task, Shard: step.Shard, Fence: shard.Fence}.Command())
		}
	}
}

// revokeIfExpired takes a shard from an owner whose lease has expired by any clock within the drift bound.
func (c *Core) revokeIfExpired(now float64, task string, index int, shard state.Shard) {
	lastRequest, heard := c.lastRequestAt[shard.Owner]
	if shard.Owner.Name == "" || !heard || now <= lastRequest+c.config.Timing.ExpiryBound() {
		return
	}
	revoked := ShardAssignment{Task: task, Shard: index, Fence: shard.Fence}
	if !slices.Contains(c.work.revoking[shard.Owner], revoked) {
		c.work.revoking[shard.Owner] = append(c.work.revoking[shard.Owner], revoked)
	}
	c.enqueue(state.ReleaseShard{Owner: shard.Owner, Task: task, Shard: index, Fence: shard.Fence}.Command())
}
