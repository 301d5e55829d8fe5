package assignment

import "math"

// ShardID names a slice.
type ShardID struct {
	Task  string
	Index int
}

// Assignment is a slice that the fleet says is this controller's.
type Assignment struct {
	ShardID
	Fence    uint64
	Recalled bool // it is to be given back once nothing of it is under way
}

// ChangeKind is what became of a slice here.
type ChangeKind int

const (
	ShardGained ChangeKind = iota
	ShardRecalled
	ShardLost
)

// Change tells what became of a slice.
type Change struct {
	Kind ChangeKind
	Assignment
}

// Owner is the owner's side of one life of a controller: which slices are its own now, and what is under way in them.
type Owner struct {
	safetyMargin    float64 // before its lease ends nothing is begun any more
	maxHeartbeatGap float64 // a gap between beats beyond which the controller stood still
	shards          map[ShardID]*ownedShard
	expiresAt       float64
	lastHeartbeat   float64
	stalledAt       float64 // when it stood still last
}

type ownedShard struct {
	Assignment
	inProgress int
	returned   bool // that it is given back
}

// NewOwner starts with nothing. margin is by how much an owner stops before its lease ends; still is the longest gap
// between beats that is no standstill. Both are seconds.
func NewOwner(margin, still float64) *Owner {
	return &Owner{safetyMargin: margin, maxHeartbeatGap: still, shards: map[ShardID]*ownedShard{}, expiresAt: math.Inf(-1), lastHeartbeat: math.Inf(-1), stalledAt: math.Inf(-1)}
}

// Heartbeat tells that the controller runs. After a standstill it believes nothing it knew until an answer to an ask that was
// made after it.
func (o *Owner) Heartbeat(now float64) (stood bool) {
	if stood = o.lastHeartbeat > math.Inf(-1) && now > o.lastHeartbeat+o.maxHeartbeatGap; stood {
		o.stalledAt, o.expiresAt = now, math.Inf(-1)
	}
	o.lastHeartbeat = max(o.lastHeartbeat, now)
	return stood
}

// Update takes what an answer says, to an ask made at a time, which holds up to another. It gives what has changed.
func (o *Owner) Update(now, asked, until float64, grants []Assignment) (changes []Change) {
	o.Heartbeat(now)
	if asked < o.stalledAt { // it was asked before the controller stood still
		return nil
	}
	o.expiresAt = until
	named := map[ShardID]bool{}
	for _, g := range grants {
		named[g.ShardID] = true
		h := o.shards[g.ShardID]
		switch {
		case h == nil || g.Fence > h.Fence: // also one that was lost and given again between two answers
			if h != nil {
				changes = append(changes, Change{ShardLost, h.Assignment})
			}
			o.shards[g.ShardID] = &ownedShard{Assignment: g}
			changes = append(changes, Change{ShardGained, g})
			if g.Recalled {
				changes = append(changes, Change{ShardRecalled, g})
			}
		case g.Fence < h.Fence: // an older answer
		case g.Recalled && !h.Recalled:
			h.Recalled = true
			changes = append(changes, Change{ShardRecalled, g})
		}
	}
	for slot, h := range o.shards {
		if !named[slot] {
			delete(o.shards, slot)
			changes = append(changes, Change{ShardLost, h.Assignment})
		}
	}
	return changes
}

// leaseValid tells whether leases hold now.
func (o *Owner) leaseValid(now float64) bool {
	return now < o.expiresAt-o.safetyMargin && now <= o.lastHeartbeat+o.maxHeartbeatGap
}

// RemainingLease is for how long what is begun now may still go on under the lease, 0 where it is over.
func (o *Owner) RemainingLease(now float64) float64 {
	if !o.leaseValid(now) {
		return 0
	}
	return o.expiresAt - o.safetyMargin - now
}

// CanBegin tells whether something new may be begun in a slice, and under which fence.
func (o *Owner) CanBegin(now float64, s ShardID) (fence uint64, ok bool) {
	h := o.shards[s]
	if h == nil || h.Recalled || h.returned || !o.leaseValid(now) {
		return 0, false
	}
	return h.Fence, true
}

// Begin counts something as under way in a slice.
func (o *Owner) Begin(now float64, s ShardID) (fence uint64, ok bool) {
	if fence, ok = o.CanBegin(now, s); ok {
		o.shards[s].inProgress++
	}
	return fence, ok
}

// Owns tells, at the last moment before an effect, whether the slice is still this controller's under that fence. One
// that is asked back may finish what it has begun.
func (o *Owner) Owns(now float64, s ShardID, fence uint64) bool {
	h := o.shards[s]
	return h != nil && h.Fence == fence && !h.returned && o.leaseValid(now)
}

// End tells that something that Begin counted is over.
func (o *Owner) End(s ShardID, fence uint64) {
	if h := o.shards[s]; h != nil && h.Fence == fence && h.inProgress > 0 {
		h.inProgress--
	}
}

// Returned gives the slices that were asked back and in which nothing is under way. From here on nothing is begun in them,
// so each is told again until the fleet has taken it.
func (o *Owner) Returned() (grants []Assignment) {
	for _, h := range o.shards {
		if h.Recalled && h.inProgress == 0 {
			h.returned = true
		}
		if h.returned {
			grants = append(grants, h.Assignment)
		}
	}
	return grants
}

// Fence gives the fence of a slice that is held by the latest answer, whether or not the lease still holds.
func (o *Owner) Fence(s ShardID) (fence uint64, ok bool) {
	h := o.shards[s]
	if h == nil {
		return 0, false
	}
	return h.Fence, true
}

// Assignments lists what is held by the latest answer, whether or not the lease still holds.
func (o *Owner) Assignments() (grants []Assignment) {
	for _, h := range o.shards {
		grants = append(grants, h.Assignment)
	}
	return grants
}
