package fairshare

import "container/heap"

// The order among siblings, and the heaps that keep it.

// teamBefore orders siblings: those within their guaranteed part first, those of no weight last, else by tag, which a
// second unserved betters.
func (s *Scheduler) teamBefore(x, y *team) bool {
	if x.Weight > 0 != (y.Weight > 0) {
		return x.Weight > 0
	}
	if within := x.memoryInUse < x.Guaranteed; within != (y.memoryInUse < y.Guaranteed) {
		return within
	}
	a, b := x.startTag+s.options.AgingRate*x.unservedSince, y.startTag+s.options.AgingRate*y.unservedSince
	if a != b {
		return a < b
	}
	return x.Name < y.Name
}

// reorder puts a team and those above at their places after a change of their tags or tallies.
func (s *Scheduler) reorder(n *team) {
	for p := n; p != nil; p = p.parent {
		for k := range p.queues {
			if p.queues[k].eligibleIndex >= 0 {
				heap.Fix(&kidHeap{s, p.parent, k}, p.queues[k].eligibleIndex)
			}
			if p.queues[k].starvingIndex >= 0 {
				heap.Fix(&lateHeap{s, k}, p.queues[k].starvingIndex)
			}
		}
	}
}

// updateEligibility has the team stand among its parent's children of a type while jobs of it wait and it is not passed over.
func (s *Scheduler) updateEligibility(n *team, k int) {
	l := &n.queues[k]
	if n.parent == nil {
		return
	}
	switch stands := l.count > 0 && !l.blocked && (n.children == 0 || len(l.eligible) > 0 || len(n.requests(k)) > 0); {
	case stands && l.eligibleIndex < 0:
		heap.Push(&kidHeap{s, n.parent, k}, n)
		s.updateEligibility(n.parent, k)
	case !stands && l.eligibleIndex >= 0:
		heap.Remove(&kidHeap{s, n.parent, k}, l.eligibleIndex)
		s.updateEligibility(n.parent, k)
	}
}

// updateStarving has a team with jobs of a type waiting stand in the list of the unserved.
func (s *Scheduler) updateStarving(n *team, k int) {
	switch l := &n.queues[k]; {
	case len(n.requests(k)) > 0 && l.starvingIndex < 0:
		heap.Push(&lateHeap{s, k}, n)
	case len(n.requests(k)) == 0 && l.starvingIndex >= 0:
		heap.Remove(&lateHeap{s, k}, l.starvingIndex)
	}
}

// kidHeap is a parent's children with jobs of a type waiting.
type kidHeap struct {
	*Scheduler
	parent *team
	kind   int
}

func (h *kidHeap) list() []*team      { return h.parent.queues[h.kind].eligible }
func (h *kidHeap) Len() int           { return len(h.list()) }
func (h *kidHeap) Less(i, k int) bool { return h.teamBefore(h.list()[i], h.list()[k]) }
func (h *kidHeap) Swap(i, k int) {
	l := h.list()
	l[i], l[k] = l[k], l[i]
	l[i].queues[h.kind].eligibleIndex, l[k].queues[h.kind].eligibleIndex = i, k
}
func (h *kidHeap) Push(x any) {
	n := x.(*team)
	n.queues[h.kind].eligibleIndex = h.Len()
	h.parent.queues[h.kind].eligible = append(h.list(), n)
}
func (h *kidHeap) Pop() any {
	l := h.list()
	n := l[len(l)-1]
	l[len(l)-1] = nil
	h.parent.queues[h.kind].eligible = l[:len(l)-1]
	n.queues[h.kind].eligibleIndex = -1
	return n
}

// lateHeap is all teams with jobs of a type waiting, the longest unserved first.
type lateHeap struct {
	*Scheduler
	kind int
}

func (h *lateHeap) Len() int { return len(h.starving[h.kind]) }
func (h *lateHeap) Less(i, k int) bool {
	x, y := h.starving[h.kind][i], h.starving[h.kind][k]
	return max(x.unservedSince, x.queues[h.kind].recheckAt) < max(y.unservedSince, y.queues[h.kind].recheckAt)
}
func (h *lateHeap) Swap(i, k int) {
	l := h.starving[h.kind]
	l[i], l[k] = l[k], l[i]
	l[i].queues[h.kind].starvingIndex, l[k].queues[h.kind].starvingIndex = i, k
}
func (h *lateHeap) Push(x any) {
	n := x.(*team)
	n.queues[h.kind].starvingIndex = h.Len()
	h.starving[h.kind] = append(h.starving[h.kind], n)
}
func (h *lateHeap) Pop() any {
	l := h.starving[h.kind]
	n := l[len(l)-1]
	l[len(l)-1] = nil
	h.starving[h.kind] = l[:len(l)-1]
	n.queues[h.kind].starvingIndex = -1
	return n
}

// deadlines orders jobs by when they wait no more.
type deadlines []*request

func (h deadlines) Len() int           { return len(h) }
func (h deadlines) Less(i, k int) bool { return h[i].queueDeadline < h[k].queueDeadline }
func (h deadlines) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].deadlineIndex, h[k].deadlineIndex = i, k
}
func (h *deadlines) Push(x any) { j := x.(*request); j.deadlineIndex = len(*h); *h = append(*h, j) }
func (h *deadlines) Pop() any {
	l := *h
	j := l[len(l)-1]
	l[len(l)-1] = nil
	*h = l[:len(l)-1]
	j.deadlineIndex = -1
	return j
}
