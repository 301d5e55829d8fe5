package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// revocationPending tells whether slices are being taken from a holder. Until that is done it is answered nothing: an answer that
// crossed the command would renew the lease of a slice that is another's a moment later.
func (c *Core) revocationPending(h state.ControllerID) bool {
	still := slices.DeleteFunc(c.work.revoking[h], func(s ShardAssignment) bool {
		all := c.machine.Shards[s.Task]
		return s.Shard >= len(all) || all[s.Shard].Owner != h || all[s.Shard].Fence != s.Fence
	})
	if c.work.revoking[h] = still; len(still) == 0 {
		delete(c.work.revoking, h)
	}
	return len(still) > 0
}

// assignShards decides what slices move. A leader that has just begun waits half a lease, by when all that live have asked, and
// until leases given before it are over. A duty that is new gets owners after a lease: one of its name that was there
// before may have owners still that have not heard.
func (c *Core) assignShards(now float64) {
	if now < c.work.assignedAt+c.config.RebalanceInterval || len(c.machine.Shards)+len(c.machine.Overrides) == 0 {
		return
	}
	c.work.assignedAt = now
	var seats []assignment.Candidate
	var who []state.ControllerID
	all := true // have taken up every order
	latest := uint64(0)
	for _, o := range c.machine.Overrides {
		latest = max(latest, o.Number)
	}
	for _, h := range c.machine.SortedControllers() {
		at, heard := c.lastRequestAt[h.ControllerID]
		lives := !h.Replaced && !c.expiring[h.ControllerID] && heard && now <= at+c.config.Timing.TTL
		told, said := c.work.reports[h.ControllerID]
		if !h.Replaced && told.appliedOverride < latest {
			all = false
		}
		if lives && said {
			seats, who = append(seats, assignment.Candidate{Name: h.Name, Weight: assignment.RoundCapacity(told.capacity)}), append(who, h.ControllerID)
		}
	}
	if now < max(c.leadingSince+c.config.Timing.TTL/2, c.priorLeaseBound+c.config.Timing.ExpiryBound()) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(c.machine.Overrides)) {
		if o := c.machine.Overrides[key]; o.Revoked && all {
			c.enqueue(state.Command{Op: state.OpDeleteOverride, Text: o.Kind, Subject: o.Target, Number: o.Number})
		}
	}
	for duty := range c.work.taskFirstSeen {
		if c.machine.Shards[duty] == nil {
			delete(c.work.taskFirstSeen, duty)
		}
	}
	for _, duty := range slices.Sorted(maps.Keys(c.machine.Shards)) {
		if _, known := c.work.taskFirstSeen[duty]; !known {
			c.work.taskFirstSeen[duty] = now
		}
		c.planTask(now, duty, seats, who)
	}
}

// planTask decides on the slices of one duty.
func (c *Core) planTask(now float64, duty string, seats []assignment.Candidate, who []state.ControllerID) {
	kept := c.machine.Shards[duty]
	held := make([]assignment.ShardState, len(kept))
	for i, s := range kept {
		held[i] = assignment.ShardState{Owner: slices.Index(who, s.Owner), Unowned: s.Owner.Name == "", Recalled: s.Recalled}
		if at, heard := c.lastRequestAt[s.Owner]; s.Owner.Name != "" && heard && now > at+c.config.Timing.ExpiryBound() {
			if taken := (ShardAssignment{Task: duty, Shard: i, Fence: s.Fence}); !slices.Contains(c.work.revoking[s.Owner], taken) {
				c.work.revoking[s.Owner] = append(c.work.revoking[s.Owner], taken)
			}
			c.enqueue(state.Command{Op: state.OpReleaseShard, Controller: s.Owner, Subject: duty, Shard: i, Number: s.Fence})
		}
	}
	if now < c.work.taskFirstSeen[duty]+c.config.Timing.ExpiryBound() {
		return
	}
	for _, m := range assignment.PlanSteps(duty, held, seats, max(len(kept)/8, 1)) {
		if m.Recall {
			c.enqueue(state.Command{Op: state.OpRecallShard, Controller: kept[m.Shard].Owner, Subject: duty, Shard: m.Shard, Number: kept[m.Shard].Fence})
		} else {
			c.enqueue(state.Command{Op: state.OpAssignShard, Controller: who[m.To], Subject: duty, Shard: m.Shard, Number: kept[m.Shard].Fence})
		}
	}
}
