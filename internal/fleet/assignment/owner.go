package assignment

import "math"

// ShardID names a shard of a task.
type ShardID struct {
	Task  string
	Index int
}

// Assignment is a shard that the leader has assigned to this controller.
type Assignment struct {
	ShardID
	Fence    uint64 // fencing token, presented with everything that is done in the shard
	Recalled bool   // it is to be returned once nothing in it is in progress
}

// ChangeKind is what became of a shard here.
type ChangeKind int

// The kinds of change.
const (
	ShardGained ChangeKind = iota
	ShardRecalled
	ShardLost
)

// Change tells what became of a shard.
type Change struct {
	Kind ChangeKind
	Assignment
}

// Owner is the owner's side of one incarnation of a controller: which shards are its own now, and what is in progress in
// them. Times are seconds of the controller's clock.
type Owner struct {
	safetyMargin    float64 // before the lease expires nothing is begun any more
	maxHeartbeatGap float64 // a longer gap between heartbeats is a stall
	shards          map[ShardID]*ownedShard
	lost            map[ShardID]lostShard // what later answers did not name any more
	expiresAt       float64               // minus infinity without a lease
	lastHeartbeat   float64
	stalledAt       float64 // end of the latest stall
}

// ownedShard is a shard of the latest answer.
type ownedShard struct {
	Assignment
	inProgress int  // pieces of work between Begin and End
	returned   bool // the leader is told that it is returned; nothing is begun in it any more
}

// lostShard is a shard that an answer did not name, as it was then. Requests may overtake each other on their way to the
// leader, so an answer that comes later may have been made earlier and still name it.
type lostShard struct {
	*ownedShard
	at float64
}

// NewOwner starts without shards. An owner stops safetyMargin before its lease expires, and after a gap between heartbeats
// longer than maxHeartbeatGap; both are seconds.
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

// Heartbeat tells that the controller runs, and returns whether it stalled before. After a stall its lease counts as
// expired until a request that was made later is answered.
func (o *Owner) Heartbeat(now float64) (stalled bool) {
	stalled = o.lastHeartbeat > math.Inf(-1) && now > o.lastHeartbeat+o.maxHeartbeatGap
	if stalled {
		o.stalledAt, o.expiresAt = now, math.Inf(-1)
	}
	o.lastHeartbeat = max(o.lastHeartbeat, now)
	return stalled
}

// Update takes the assignments that answer a request made at requestedAt, valid until expiresAt, and returns what has
// changed. An answer to a request from before a stall is ignored.
func (o *Owner) Update(now, requestedAt, expiresAt float64, assignments []Assignment) (changes []Change) {
	o.Heartbeat(now)
	if requestedAt < o.stalledAt {
		return nil
	}
	o.expiresAt = expiresAt
	named := map[ShardID]bool{}
	for _, assigned := range assignments {
		named[assigned.ShardID] = true
		changes = append(changes, o.updateShard(requestedAt, assigned)...)
	}
	for id, shard := range o.shards {
		if !named[id] {
			delete(o.shards, id)
			o.lost[id] = lostShard{shard, now}
			changes = append(changes, Change{ShardLost, shard.Assignment})
		}
	}
	return changes
}

// updateShard takes one assignment. A higher fencing token is a new assignment, also of a shard that was lost and assigned
// again between two answers; a lower one is an older answer's.
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

// gainShard takes an assignment of a shard that this controller does not have. Under the fencing token under which the
// shard was lost it counts only where it answers a request made since: that answer was made later than the one that did
// not name the shard, an answer to an earlier request may not have been. The shard is then as it was, with what is still
// in progress in it.
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

// addShard adds a shard to those that this controller has.
func (o *Owner) addShard(shard *ownedShard) (changes []Change) {
	o.shards[shard.ShardID] = shard
	changes = append(changes, Change{ShardGained, shard.Assignment})
	if shard.Recalled {
		changes = append(changes, Change{ShardRecalled, shard.Assignment})
	}
	return changes
}

// leaseValid tells whether work may be begun or continued now.
func (o *Owner) leaseValid(now float64) bool {
	return now < o.expiresAt-o.safetyMargin && now <= o.lastHeartbeat+o.maxHeartbeatGap
}

// RemainingLease is for how many seconds what is begun now may go on under the lease, 0 where it has expired.
func (o *Owner) RemainingLease(now float64) float64 {
	if !o.leaseValid(now) {
		return 0
	}
	return o.expiresAt - o.safetyMargin - now
}

// CanBegin tells whether new work may be begun in a shard, and under which fencing token.
func (o *Owner) CanBegin(now float64, id ShardID) (fence uint64, ok bool) {
	shard := o.shards[id]
	if shard == nil || shard.Recalled || shard.returned || !o.leaseValid(now) {
		return 0, false
	}
	return shard.Fence, true
}

// Begin is CanBegin, and counts the work as in progress where it may be begun. End has to be called once it is over.
func (o *Owner) Begin(now float64, id ShardID) (fence uint64, ok bool) {
	fence, ok = o.CanBegin(now, id)
	if ok {
		o.shards[id].inProgress++
	}
	return fence, ok
}

// Owns tells, at the last moment before an effect, whether the shard is still this controller's under a fencing token. In
// one that is recalled, work that was begun may go on.
func (o *Owner) Owns(now float64, id ShardID, fence uint64) bool {
	shard := o.shards[id]
	return shard != nil && shard.Fence == fence && !shard.returned && o.leaseValid(now)
}

// End tells that work which Begin counted is over.
func (o *Owner) End(id ShardID, fence uint64) {
	shard := o.shards[id]
	if shard == nil {
		shard = o.lost[id].ownedShard
	}
	if shard != nil && shard.Fence == fence && shard.inProgress > 0 {
		shard.inProgress--
	}
}

// Returned gives the recalled shards in which nothing is in progress. From here on nothing is begun in them; each is given
// again until the leader has released it.
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

// Fence gives the fencing token of a shard that the latest answer named, whether or not the lease still holds.
func (o *Owner) Fence(id ShardID) (fence uint64, ok bool) {
	shard := o.shards[id]
	if shard == nil {
		return 0, false
	}
	return shard.Fence, true
}

// Assignments lists the shards that the latest answer named, whether or not the lease still holds.
func (o *Owner) Assignments() (assignments []Assignment) {
	for _, shard := range o.shards {
		assignments = append(assignments, shard.Assignment)
	}
	return assignments
}
