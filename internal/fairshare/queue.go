package fairshare

import "slices"

// enqueue adds a request to its team's queue.
func (s *Scheduler) enqueue(r *request) {
	t := r.team
	t.queues[r.class].push(r)
	r.queued = true
	r.workBefore = t.admittedWork + t.queuedWork
	t.queuedWork += r.work
	t.arrived.add(s.now, r.work)
	if s.root != t {
		s.root.queuedWork += r.work
		s.root.arrived.add(s.now, r.work)
	}
	if r.deadlineIndex < 0 {
		s.deadlines.add(r)
	}
	if t.queued == 0 {
		s.activeIndex[t] = len(s.active)
		s.active = append(s.active, t)
	}
	s.countQueued(r)
	s.reorder(t)
	s.updateStarving(t, r.class)
}

// countQueued counts a queued request with its team and all ancestors.
func (s *Scheduler) countQueued(r *request) {
	for t := r.team; t != nil; t = t.parent {
		if t.queued == 0 && t.parent != nil { // the team becomes active among its siblings, without credit for its idle time
			t.startTag = max(t.finishTag, t.parent.virtualTime)
			t.parent.activeWeight += t.Weight
		}
		if t.queued == 0 {
			t.unservedSince = max(s.now, t.unservedSince)
		}
		t.queued++
		t.queues[r.class].count++
		s.updateEligibility(t, r.class)
	}
}

// dequeue removes a request from its team's queue.
func (s *Scheduler) dequeue(r *request) {
	t := r.team
	t.queues[r.class].remove(r)
	r.queued = false
	t.admittedWork += r.work
	t.removeQueuedWork(r.work)
	s.root.removeQueuedWork(r.work)
	for p := t; p != nil; p = p.parent {
		p.queued--
		p.queues[r.class].count--
		if p.queued == 0 && p.parent != nil {
			p.parent.activeWeight = max(p.parent.activeWeight-p.Weight, 0)
		}
		s.updateEligibility(p, r.class)
	}
	if t.queued == 0 {
		s.deactivate(t)
	}
	s.updateStarving(t, r.class)
}

// removeQueuedWork subtracts the work of a request that leaves the queue. It must be called before t.queued is decremented:
// with the last request it sets the sum to zero, since rounding errors leave a remainder.
func (t *team) removeQueuedWork(work float64) {
	t.queuedWork -= work
	if t.queued == 1 {
		t.queuedWork = 0
	}
}

// deactivate removes a team from the list of teams with queued requests.
func (s *Scheduler) deactivate(t *team) {
	index := s.activeIndex[t]
	last := len(s.active) - 1
	moved := s.active[last]
	s.active[index], s.activeIndex[moved] = moved, index
	s.active = s.active[:last]
	delete(s.activeIndex, t)
}

// queuedWithin returns the queued requests of a team and the teams below it, oldest first.
func (s *Scheduler) queuedWithin(ancestor *team) []*request {
	var queued []*request
	for _, t := range s.active {
		if !t.isWithin(ancestor) {
			continue
		}
		for class := range t.queues {
			queued = append(queued, t.queuedRequests(class)...)
		}
	}
	slices.SortFunc(queued, byAge)
	return queued
}
