package fairshare

// teamBefore orders sibling teams. Teams of weight 0 come after all others. Among teams that this does not order, those
// within their guaranteed memory come first. Otherwise the order is by start tag, which aging lowers for each second without
// service.
func (s *Scheduler) teamBefore(x, y *team) bool {
	if x.Weight > 0 != (y.Weight > 0) {
		return x.Weight > 0
	}
	if within := x.withinGuarantee(); within != y.withinGuarantee() {
		return within
	}
	a := x.startTag + s.options.AgingRate*x.unservedSince
	b := y.startTag + s.options.AgingRate*y.unservedSince
	if a != b {
		return a < b
	}
	return x.Name < y.Name
}

// requestBefore orders the first requests of two classes. Requests of the same team are ordered by age, others by the order
// of their ancestors that are siblings.
func (s *Scheduler) requestBefore(x, y *request) bool {
	a, b := x.team, y.team
	if a == b {
		return byAge(x, y) < 0
	}
	for a.depth > b.depth {
		a = a.parent
	}
	for b.depth > a.depth {
		b = b.parent
	}
	for a.parent != b.parent {
		a, b = a.parent, b.parent
	}
	return s.teamBefore(a, b)
}

// eligibleOrder returns the order of a parent's teams with eligible requests of a class.
func (s *Scheduler) eligibleOrder(class int) *heapOrder[*team] {
	return &heapOrder[*team]{
		less:     s.teamBefore,
		setIndex: func(t *team, index int) { t.queues[class].eligibleIndex = index },
	}
}

// starvingOrder returns the order of the teams with queued requests of a class: the longest without service first.
func starvingOrder(class int) *heapOrder[*team] {
	return &heapOrder[*team]{
		less: func(x, y *team) bool {
			return max(x.unservedSince, x.queues[class].recheckAt) < max(y.unservedSince, y.queues[class].recheckAt)
		},
		setIndex: func(t *team, index int) { t.queues[class].starvingIndex = index },
	}
}

// deadlineOrder returns the order of requests by queue deadline.
func deadlineOrder() *heapOrder[*request] {
	return &heapOrder[*request]{
		less:     func(x, y *request) bool { return x.queueDeadline < y.queueDeadline },
		setIndex: func(r *request, index int) { r.deadlineIndex = index },
	}
}

// reorder restores the order of a team and its ancestors after a change of their tags or counts.
func (s *Scheduler) reorder(leaf *team) {
	for t := leaf; t != nil; t = t.parent {
		for class := range t.queues {
			q := &t.queues[class]
			if q.eligibleIndex >= 0 {
				t.parent.queues[class].eligible.fix(q.eligibleIndex)
			}
			if q.starvingIndex >= 0 {
				s.starving[class].fix(q.starvingIndex)
			}
		}
	}
}

// updateEligibility adds a team to its parent's eligible teams of a class, or removes it. A team is eligible while it or a
// team below it has queued requests of that class and it is not blocked.
func (s *Scheduler) updateEligibility(t *team, class int) {
	if t.parent == nil {
		return
	}
	q := &t.queues[class]
	siblings := &t.parent.queues[class].eligible
	hasNext := t.children == 0 || q.eligible.Len() > 0 || len(t.queuedRequests(class)) > 0
	eligible := q.count > 0 && !q.blocked && hasNext
	switch {
	case eligible && q.eligibleIndex < 0:
		siblings.add(t)
		s.updateEligibility(t.parent, class)
	case !eligible && q.eligibleIndex >= 0:
		siblings.remove(q.eligibleIndex)
		s.updateEligibility(t.parent, class)
	}
}

// updateStarving adds a team to the starvation heap of a class, or removes it. The heap holds the teams with queued requests
// of that class.
func (s *Scheduler) updateStarving(t *team, class int) {
	queued := len(t.queuedRequests(class)) > 0
	index := t.queues[class].starvingIndex
	switch {
	case queued && index < 0:
		s.starving[class].add(t)
	case !queued && index >= 0:
		s.starving[class].remove(index)
	}
}

// unblock lets a team be considered again for all classes.
func (s *Scheduler) unblock(t *team) {
	for class := range t.queues {
		if t.queues[class].blocked {
			t.queues[class].blocked = false
			s.updateEligibility(t, class)
		}
	}
}

// capacityFreed lets a team and its ancestors be considered again after capacity has been freed.
func (s *Scheduler) capacityFreed(leaf *team) {
	for t := leaf; t != nil; t = t.parent {
		s.unblock(t)
	}
	s.reorder(leaf)
}

// capacityFreedWithin lets a team, its ancestors and all active teams below it be considered again.
func (s *Scheduler) capacityFreedWithin(ancestor *team) {
	s.capacityFreed(ancestor)
	for _, leaf := range s.active { // they may have been blocked because of it
		if leaf.isWithin(ancestor) {
			s.capacityFreed(leaf)
		}
	}
}
