package fairshare

import "slices"

// enqueue puts a request into its team's queue.
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

// countQueued counts a request with its team and all teams above.
func (s *Scheduler) countQueued(r *request) {
	for t := r.team; t != nil; t = t.parent {
		if t.queued == 0 && t.parent != nil { // active among its siblings from now on, without credit for its idle time
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

// dequeue takes a queued request out.
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

// removeQueuedWork is called before the request itself is counted out. With the last one the sum is set to zero, since
// rounding leaves a remainder.
func (t *team) removeQueuedWork(work float64) {
	t.queuedWork -= work
	if t.queued == 1 {
		t.queuedWork = 0
	}
}

// deactivate takes a team out of the list of those with queued requests.
func (s *Scheduler) deactivate(t *team) {
	index := s.activeIndex[t]
	last := len(s.active) - 1
	moved := s.active[last]
	s.active[index], s.activeIndex[moved] = moved, index
	s.active = s.active[:last]
	delete(s.activeIndex, t)
}

// queuedBelow lists the requests that are queued in a team and those below it, oldest first.
func (s *Scheduler) queuedBelow(above *team) []*request {
	var queued []*request
	for _, t := range s.active {
		if !t.isWithin(above) {
			continue
		}
		for class := range t.queues {
			queued = append(queued, t.queuedRequests(class)...)
		}
	}
	slices.SortFunc(queued, byAge)
	return queued
}
