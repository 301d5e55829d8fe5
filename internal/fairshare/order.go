package fairshare

import "container/heap"

// The order among siblings, and the heaps that keep it.

// before orders siblings: those within their guaranteed part first, those of no weight last, else by tag, which a
// second unserved betters.
func (s *Stage) before(x, y *node) bool {
	if x.Weight > 0 != (y.Weight > 0) {
		return x.Weight > 0
	}
	if within := x.used < x.Guaranteed; within != (y.used < y.Guaranteed) {
		return within
	}
	a, b := x.start+s.rules.Ageing*x.since, y.start+s.rules.Ageing*y.since
	if a != b {
		return a < b
	}
	return x.Name < y.Name
}

// fix puts a team and those above at their places after a change of their tags or tallies.
func (s *Stage) fix(n *node) {
	for p := n; p != nil; p = p.parent {
		for k := range p.lines {
			if p.lines[k].at >= 0 {
				heap.Fix(&kidHeap{s, p.parent, k}, p.lines[k].at)
			}
			if p.lines[k].late >= 0 {
				heap.Fix(&lateHeap{s, k}, p.lines[k].late)
			}
		}
	}
}

// fixLine has the team stand among its parent's children of a type while jobs of it wait and it is not passed over.
func (s *Stage) fixLine(n *node, k int) {
	l := &n.lines[k]
	if n.parent == nil {
		return
	}
	switch stands := l.count > 0 && !l.blocked && (n.kids == 0 || len(l.kids) > 0 || len(n.queue(k)) > 0); {
	case stands && l.at < 0:
		heap.Push(&kidHeap{s, n.parent, k}, n)
		s.fixLine(n.parent, k)
	case !stands && l.at >= 0:
		heap.Remove(&kidHeap{s, n.parent, k}, l.at)
		s.fixLine(n.parent, k)
	}
}

// fixLate has a team with jobs of a type waiting stand in the list of the unserved.
func (s *Stage) fixLate(n *node, k int) {
	switch l := &n.lines[k]; {
	case len(n.queue(k)) > 0 && l.late < 0:
		heap.Push(&lateHeap{s, k}, n)
	case len(n.queue(k)) == 0 && l.late >= 0:
		heap.Remove(&lateHeap{s, k}, l.late)
	}
}

// kidHeap is a parent's children with jobs of a type waiting.
type kidHeap struct {
	*Stage
	parent *node
	kind   int
}

func (h *kidHeap) list() []*node      { return h.parent.lines[h.kind].kids }
func (h *kidHeap) Len() int           { return len(h.list()) }
func (h *kidHeap) Less(i, k int) bool { return h.before(h.list()[i], h.list()[k]) }
func (h *kidHeap) Swap(i, k int) {
	l := h.list()
	l[i], l[k] = l[k], l[i]
	l[i].lines[h.kind].at, l[k].lines[h.kind].at = i, k
}
func (h *kidHeap) Push(x any) {
	n := x.(*node)
	n.lines[h.kind].at = h.Len()
	h.parent.lines[h.kind].kids = append(h.list(), n)
}
func (h *kidHeap) Pop() any {
	l := h.list()
	n := l[len(l)-1]
	l[len(l)-1] = nil
	h.parent.lines[h.kind].kids = l[:len(l)-1]
	n.lines[h.kind].at = -1
	return n
}

// lateHeap is all teams with jobs of a type waiting, the longest unserved first.
type lateHeap struct {
	*Stage
	kind int
}

func (h *lateHeap) Len() int { return len(h.late[h.kind]) }
func (h *lateHeap) Less(i, k int) bool {
	x, y := h.late[h.kind][i], h.late[h.kind][k]
	return max(x.since, x.lines[h.kind].look) < max(y.since, y.lines[h.kind].look)
}
func (h *lateHeap) Swap(i, k int) {
	l := h.late[h.kind]
	l[i], l[k] = l[k], l[i]
	l[i].lines[h.kind].late, l[k].lines[h.kind].late = i, k
}
func (h *lateHeap) Push(x any) {
	n := x.(*node)
	n.lines[h.kind].late = h.Len()
	h.late[h.kind] = append(h.late[h.kind], n)
}
func (h *lateHeap) Pop() any {
	l := h.late[h.kind]
	n := l[len(l)-1]
	l[len(l)-1] = nil
	h.late[h.kind] = l[:len(l)-1]
	n.lines[h.kind].late = -1
	return n
}

// deadlines orders jobs by when they wait no more.
type deadlines []*job

func (h deadlines) Len() int           { return len(h) }
func (h deadlines) Less(i, k int) bool { return h[i].until < h[k].until }
func (h deadlines) Swap(i, k int)      { h[i], h[k] = h[k], h[i]; h[i].at, h[k].at = i, k }
func (h *deadlines) Push(x any)        { j := x.(*job); j.at = len(*h); *h = append(*h, j) }
func (h *deadlines) Pop() any {
	l := *h
	j := l[len(l)-1]
	l[len(l)-1] = nil
	*h = l[:len(l)-1]
	j.at = -1
	return j
}
