package assignment

import "math"

// ShardID identifies a shard of a task.
type ShardID struct {
	Task  string
	Index int
}

// Assignment is a shard that the leader has assigned to this controller.
type Assignment struct {
	ShardID
	Fence    uint64 // fencing token, presented with every effect of work in the shard
	Recalled bool   // the shard is to be returned once no work in it is in progress
}

// ChangeKind is a kind of change in the ownership of a shard.
type ChangeKind int

// The kinds of change.
const (
	ShardGained ChangeKind = iota
	ShardRecalled
	ShardLost
)

// Change is a change in the ownership of a shard, as this controller sees it.
type Change struct {
	Kind ChangeKind
	Assignment
}

// Owner tracks which shards one incarnation of a controller owns, and how much work is in progress in each. Times are seconds
// of the controller's clock.
type Owner struct {
	safetyMargin    float64 // time before the lease's expiry from which on no work may be begun or continued
	maxHeartbeatGap float64 // a longer gap between heartbeats is a stall
	shards          map[ShardID]*ownedShard
	lost            map[ShardID]lostShard // shards that a later response no longer listed
	expiresAt       float64               // minus infinity without a lease
	lastHeartbeat   float64
	stalledAt       float64 // end of the latest stall
}

// ownedShard is a shard that the latest response listed.
type ownedShard struct {
	Assignment
	inProgress int  // number of Begin calls without a matching End
	returned   bool // it has been reported as returned, so no work may be begun in it
}

// lostShard is a shard that a response no longer listed, in the state that it had then. Requests may overtake each other on
// their way to the leader, so a response that arrives later may have been made earlier and still list the shard.
type lostShard struct {
	*ownedShard
	at float64 // time of the loss
}

// NewOwner returns an Owner without shards. It stops all work safetyMargin seconds before its lease expires, and after a gap
// of more than maxHeartbeatGap seconds between heartbeats.
func NewOwner(safetyMargin, maxHeartbeatGap float64) *Owner {
	never := math.Inf(-1)
	return &Owner{
		safetyMargin:    safetyMargin,
		maxHeartbeatGap: maxHeartbeatGap,
		shards:          map[ShardID]*ownedShard{},
		lost:            map[ShardID]lostShard{},
		expiresAt:       never,
		lastHeartbeat:   never,
		stalledAt:       never,
	}
}

// Heartbeat records that the controller is running, and reports whether it had stalled. After a stall the lease counts as
// expired until the response to a request made after the stall arrives.
func (o *Owner) Heartbeat(now float64) (stalled bool) {
	stalled = o.lastHeartbeat > math.Inf(-1) && now > o.lastHeartbeat+o.maxHeartbeatGap
	if stalled {
		o.stalledAt, o.expiresAt = now, math.Inf(-1)
	}
	o.lastHeartbeat = max(o.lastHeartbeat, now)
	return stalled
}

// Update replaces the assignments by those in the response to a request made at requestedAt, valid until expiresAt, and
// returns the changes. The response to a request made before the end of a stall is ignored.
func (o *Owner) Update(now, requestedAt, expiresAt float64, assignments []Assignment) (changes []Change) {
	o.Heartbeat(now)
	if requestedAt < o.stalledAt {
		return nil
	}
	o.expiresAt = expiresAt
	listed := map[ShardID]bool{}
	for _, assigned := range assignments {
		listed[assigned.ShardID] = true
		changes = append(changes, o.updateShard(requestedAt, assigned)...)
	}
	for id, shard := range o.shards {
		if !listed[id] {
			delete(o.shards, id)
			o.lost[id] = lostShard{shard, now}
			changes = append(changes, Change{ShardLost, shard.Assignment})
		}
	}
	return changes
}

// updateShard applies one assignment. A higher fencing token means a new assignment: the shard was lost and assigned again
// between two responses. A lower token comes from an older response and is ignored.
func (o *Owner) updateShard(requestedAt float64, assigned Assignment) (changes []Change) {
	shard := o.shards[assigned.ShardID]
	switch {
	case shard == nil:
		return o.gainShard(requestedAt, assigned)
	case assigned.Fence > shard.Fence:
		changes = append(changes, Change{ShardLost, shard.Assignment})
		return append(changes, o.addShard(&ownedShard{Assignment: assigned})...)
	case assigned.Fence < shard.Fence:
	case assigned.Recalled && !shard.Recalled:
		shard.Recalled = true
		changes = append(changes, Change{ShardRecalled, assigned})
	}
	return changes
}

// gainShard applies an assignment of a shard that this controller does not have. If the assignment has the fencing token
// under which the shard was lost, it is accepted only from the response to a request made after the loss: only that response
// is certain to be newer than the one that did not list the shard. The shard is then restored as it was, including the work
// still in progress.
func (o *Owner) gainShard(requestedAt float64, assigned Assignment) (changes []Change) {
	lost, wasLost := o.lost[assigned.ShardID]
	if !wasLost || assigned.Fence > lost.Fence {
		delete(o.lost, assigned.ShardID)
		return o.addShard(&ownedShard{Assignment: assigned})
	}
	if assigned.Fence < lost.Fence || requestedAt <= lost.at {
		return nil
	}
	delete(o.lost, assigned.ShardID)
	lost.Recalled = lost.Recalled || assigned.Recalled
	return o.addShard(lost.ownedShard)
}

func (o *Owner) addShard(shard *ownedShard) (changes []Change) {
	o.shards[shard.ShardID] = shard
	changes = append(changes, Change{ShardGained, shard.Assignment})
	if shard.Recalled {
		changes = append(changes, Change{ShardRecalled, shard.Assignment})
	}
	return changes
}

// leaseValid reports whether work may be begun or continued now.
func (o *Owner) leaseValid(now float64) bool {
	return now < o.expiresAt-o.safetyMargin && now <= o.lastHeartbeat+o.maxHeartbeatGap
}

// RemainingLease returns for how many seconds work begun now may continue under the lease, 0 if the lease is not valid.
func (o *Owner) RemainingLease(now float64) float64 {
	if !o.leaseValid(now) {
		return 0
	}
	return o.expiresAt - o.safetyMargin - now
}

// CanBegin reports whether new work may be begun in a shard, and returns the fencing token for it.
func (o *Owner) CanBegin(now float64, id ShardID) (fence uint64, ok bool) {
	shard := o.shards[id]
	if shard == nil || shard.Recalled || shard.returned || !o.leaseValid(now) {
		return 0, false
	}
	return shard.Fence, true
}

// Begin is like CanBegin, and counts the work as in progress if it may be begun. The caller must call End when the work ends.
func (o *Owner) Begin(now float64, id ShardID) (fence uint64, ok bool) {
	fence, ok = o.CanBegin(now, id)
	if ok {
		o.shards[id].inProgress++
	}
	return fence, ok
}

// Owns reports whether this controller still owns the shard with a fencing token. It is called immediately before an effect.
// Work that was begun in a shard may continue after the shard is recalled.
func (o *Owner) Owns(now float64, id ShardID, fence uint64) bool {
	shard := o.shards[id]
	return shard != nil && shard.Fence == fence && !shard.returned && o.leaseValid(now)
}

// End records the end of work that Begin has counted. The shard may have been lost in the meantime.
func (o *Owner) End(id ShardID, fence uint64) {
	shard := o.shards[id]
	if shard == nil {
		shard = o.lost[id].ownedShard
	}
	if shard != nil && shard.Fence == fence && shard.inProgress > 0 {
		shard.inProgress--
	}
}

// Returned returns the recalled shards in which no work is in progress, and marks them as returned, so that no new work is
// begun in them. A shard is listed by each call until the leader has released it.
func (o *Owner) Returned() (returned []Assignment) {
	for _, shard := range o.shards {
		if shard.Recalled && shard.inProgress == 0 {
			shard.returned = true
		}
		if shard.returned {
			returned = append(returned, shard.Assignment)
		}
	}
	return returned
}

// Fence returns the fencing token of a shard that the latest response listed, whether or not the lease is still valid.
func (o *Owner) Fence(id ShardID) (fence uint64, ok bool) {
	shard := o.shards[id]
	if shard == nil {
		return 0, false
	}
	return shard.Fence, true
}

// Assignments returns the shards that the latest response listed, whether or not the lease is still valid.
func (o *Owner) Assignments() (assignments []Assignment) {
	for _, shard := range o.shards {
		assignments = append(assignments, shard.Assignment)
	}
	return assignments
}
