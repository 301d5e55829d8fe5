package fairshare

import "container/heap"

// settle hands on what may go.
func (s *Stage) settle() {
	for s.roomAhead() {
		j := s.next()
		if j == nil {
			break
		}
		if s.now+0.8*s.run(j) > s.rules.inTime(j) { // runs vary by that; what can't be worth anything takes no room
			s.drop(j, "would end past its SLA time")
			continue
		}
		s.hand(j)
	}
	s.waits.backlog(s.now, s.root.waiting > 0)
}

// roomAhead tells whether the module may be handed one more job. What it has held for long fits nowhere now and shall
// not keep jobs of other types from it.
func (s *Stage) roomAhead() bool {
	const long = 0.25 // some tens of jobs end meanwhile where the module is not stuck
	for len(s.recent) > 0 && (!s.recent[0].fresh || s.recent[0].handed+long <= s.now) {
		if j := s.recent[0]; j.fresh {
			j.fresh = false
			s.fresh--
		}
		s.recent[0] = nil
		s.recent = s.recent[1:]
	}
	return s.fresh < s.window()
}

// window is how many jobs the module may hold: what it dispatches in a twentieth of a second, so that whoever comes
// next waits no longer for those before, and two at least, so that one that fits nowhere does not stop all.
func (s *Stage) window() int {
	return min(max(int(s.dispatched.sum(s.now, 8)/2*0.05), 2), s.rules.Window)
}

// taken counts a job no more among those that the module holds.
func (s *Stage) taken(j *job) {
	s.open[j.kind]--
	s.held -= j.work
	if j.fresh {
		j.fresh = false
		s.fresh--
	}
}

// next finds the job whose turn it is, among the types of which the module does not hold too many: of the team
// unserved for too long, longest first; else by the tags.
func (s *Stage) next() *job {
	var best *job
	late := false
	for k := range s.open {
		if s.open[k] >= s.window() || s.root.lines[k].count == 0 {
			continue
		}
		if j := s.unserved(k); j != nil && (!late || j.team.since < best.team.since) {
			best, late = j, true
		}
	}
	for k := range s.open {
		if late || s.open[k] >= s.window() || s.root.lines[k].count == 0 {
			continue
		}
		if j := s.first(k); j != nil && (best == nil || s.earlier(j, best)) {
			best = j
		}
	}
	return best
}

// unserved finds a type's job of the team that has waited without a dispatch for too long.
func (s *Stage) unserved(k int) *job {
	for len(s.late[k]) > 0 {
		n := s.late[k][0]
		if max(n.since, n.lines[k].look)+s.rules.Unserved > s.now {
			break
		}
		j := n.queue(k)[0]
		if s.fits(j) == nil {
			return j
		}
		n.lines[k].look = s.now + 1 - s.rules.Unserved // it could not run; looked at again in a second
		heap.Fix(&lateHeap{s, k}, 0)
	}
	return nil
}

// first finds a type's job by the tags, from the root down. A team without room is passed over with all below it
// until something of it ends.
func (s *Stage) first(k int) *job {
	for n := s.root; n.lines[k].count > 0; {
		if len(n.lines[k].kids) > 0 {
			n = n.lines[k].kids[0]
			continue
		}
		if len(n.queue(k)) == 0 {
			return nil
		}
		j := n.queue(k)[0]
		full := s.fits(j)
		if full == nil {
			return j
		}
		if full.lines[k].blocked = true; full == s.root {
			return nil
		}
		s.fixLine(full, k)
		n = s.root
	}
	return nil
}

// earlier orders two first jobs of different types: where their teams part, by those; inside a team by age.
func (s *Stage) earlier(x, y *job) bool {
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
	return s.before(a, b)
}

// fits gives the first team, upwards, that has no room for the job.
func (s *Stage) fits(j *job) *node {
	for n := j.team; n != nil; n = n.parent {
		if !n.room(j) {
			return n
		}
	}
	return nil
}
