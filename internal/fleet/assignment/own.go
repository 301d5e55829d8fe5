package assignment

import "math"

// Slot names a slice.
type Slot struct {
	Duty string
	At   int
}

// Grant is a slice that the fleet says is this controller's.
type Grant struct {
	Slot
	Fence  uint64
	Recall bool // it is to be given back once nothing of it is under way
}

// Kind is what became of a slice here.
type Kind int

const (
	Gained Kind = iota
	Recalled
	Lost
)

// Change tells what became of a slice.
type Change struct {
	Kind Kind
	Grant
}

// Own is the owner's side of one life of a controller: which slices are its own now, and what is under way in them.
type Own struct {
	margin float64 // before its lease ends nothing is begun any more
	still  float64 // a gap between beats beyond which the controller stood still
	held   map[Slot]*holding
	until  float64
	beat   float64
	stood  float64 // when it stood still last
}

type holding struct {
	Grant
	busy int
	told bool // that it is given back
}

// NewOwn starts with nothing. margin is by how much an owner stops before its lease ends; still is the longest gap
// between beats that is no standstill. Both are seconds.
func NewOwn(margin, still float64) *Own {
	return &Own{margin: margin, still: still, held: map[Slot]*holding{}, until: math.Inf(-1), beat: math.Inf(-1), stood: math.Inf(-1)}
}

// Beat tells that the controller runs. After a standstill it believes nothing it knew until an answer to an ask that was
// made after it.
func (o *Own) Beat(now float64) (stood bool) {
	if stood = o.beat > math.Inf(-1) && now > o.beat+o.still; stood {
		o.stood, o.until = now, math.Inf(-1)
	}
	o.beat = max(o.beat, now)
	return stood
}

// Update takes what an answer says, to an ask made at a time, which holds up to another. It gives what has changed.
func (o *Own) Update(now, asked, until float64, grants []Grant) (changes []Change) {
	o.Beat(now)
	if asked < o.stood { // it was asked before the controller stood still
		return nil
	}
	o.until = until
	named := map[Slot]bool{}
	for _, g := range grants {
		named[g.Slot] = true
		h := o.held[g.Slot]
		switch {
		case h == nil || g.Fence > h.Fence: // also one that was lost and given again between two answers
			if h != nil {
				changes = append(changes, Change{Lost, h.Grant})
			}
			o.held[g.Slot] = &holding{Grant: g}
			changes = append(changes, Change{Gained, g})
			if g.Recall {
				changes = append(changes, Change{Recalled, g})
			}
		case g.Fence < h.Fence: // an older answer
		case g.Recall && !h.Recall:
			h.Recall = true
			changes = append(changes, Change{Recalled, g})
		}
	}
	for slot, h := range o.held {
		if !named[slot] {
			delete(o.held, slot)
			changes = append(changes, Change{Lost, h.Grant})
		}
	}
	return changes
}

// live tells whether leases hold now.
func (o *Own) live(now float64) bool {
	return now < o.until-o.margin && now <= o.beat+o.still
}

// Rest is for how long what is begun now may still go on under the lease, 0 where it is over.
func (o *Own) Rest(now float64) float64 {
	if !o.live(now) {
		return 0
	}
	return o.until - o.margin - now
}

// May tells whether something new may be begun in a slice, and under which fence.
func (o *Own) May(now float64, s Slot) (fence uint64, ok bool) {
	h := o.held[s]
	if h == nil || h.Recall || h.told || !o.live(now) {
		return 0, false
	}
	return h.Fence, true
}

// Begin counts something as under way in a slice.
func (o *Own) Begin(now float64, s Slot) (fence uint64, ok bool) {
	if fence, ok = o.May(now, s); ok {
		o.held[s].busy++
	}
	return fence, ok
}

// Still tells, at the last moment before an effect, whether the slice is still this controller's under that fence. One
// that is asked back may finish what it has begun.
func (o *Own) Still(now float64, s Slot, fence uint64) bool {
	h := o.held[s]
	return h != nil && h.Fence == fence && !h.told && o.live(now)
}

// End tells that something that Begin counted is over.
func (o *Own) End(s Slot, fence uint64) {
	if h := o.held[s]; h != nil && h.Fence == fence && h.busy > 0 {
		h.busy--
	}
}

// Back gives the slices that were asked back and in which nothing is under way. From here on nothing is begun in them,
// so each is told again until the fleet has taken it.
func (o *Own) Back() (grants []Grant) {
	for _, h := range o.held {
		if h.Recall && h.busy == 0 {
			h.told = true
		}
		if h.told {
			grants = append(grants, h.Grant)
		}
	}
	return grants
}

// Has gives the fence of a slice that is held by the latest answer, whether or not the lease still holds.
func (o *Own) Has(s Slot) (fence uint64, ok bool) {
	h := o.held[s]
	if h == nil {
		return 0, false
	}
	return h.Fence, true
}

// Holds lists what is held by the latest answer, whether or not the lease still holds.
func (o *Own) Holds() (grants []Grant) {
	for _, h := range o.held {
		grants = append(grants, h.Grant)
	}
	return grants
}
