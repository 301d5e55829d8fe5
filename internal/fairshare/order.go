package fairshare

// teamBefore orders sibling teams: those within their guaranteed memory first, those of no weight last, else by start
// tag, which each second without service betters.
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

// requestBefore orders two first requests of different classes: where their teams part, by those; inside a team by age.
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

// eligibleOrder is the order of a parent's teams with eligible requests of a class.
func (s *Scheduler) eligibleOrder(class int) *heapOrder[*team] {
	return &heapOrder[*team]{
		less:     s.teamBefore,
		setIndex: func(t *team, index int) { t.queues[class].eligibleIndex = index },
	}
}

// starvingOrder orders the teams with queued requests of a class: the longest without service first.
func starvingOrder(class int) *heapOrder[*team] {
	return &heapOrder[*team]{
		less: func(x, y *team) bool {
			return max(x.unservedSince, x.queues[class].recheckAt) < max(y.unservedSince, y.queues[class].recheckAt)
		},
		setIndex: func(t *team, index int) { t.queues[class].starvingIndex = index },
	}
}

// deadlineOrder orders requests by when they stop waiting.
func deadlineOrder() *heapOrder[*request] {
	return &heapOrder[*request]{
		less:     func(x, y *request) bool { return x.queueDeadline < y.queueDeadline },
		setIndex: func(r *request, index int) { r.deadlineIndex = index },
	}
}

// reorder puts a team and those above it at their places after a change of their tags or tallies.
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

// updateEligibility keeps a team among its parent's eligible teams of a class while requests of that class are queued in
// it or below and it is not blocked.
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

// updateStarving keeps a team in the starvation heap of a class while it has requests of that class queued.
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

// capacityFreed lets a team and all above it be considered again.
func (s *Scheduler) capacityFreed(leaf *team) {
	for t := leaf; t != nil; t = t.parent {
		s.unblock(t)
	}
	s.reorder(leaf)
}

// capacityFreedBelow lets a team, all above it and all active teams below it be considered again.
func (s *Scheduler) capacityFreedBelow(above *team) {
	s.capacityFreed(above)
	for _, leaf := range s.active { // they were passed over on its account
		if leaf.isWithin(above) {
			s.capacityFreed(leaf)
		}
	}
}
