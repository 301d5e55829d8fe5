package fairshare

// HasRoomForAttempt reports whether the budgets that apply to an admitted request have room for one more attempt with the
// given memory, in MB, in addition to its attempts in flight.
func (s *Scheduler) HasRoomForAttempt(id uint32, memory float64) bool {
	r := s.requests[id]
	if r == nil || !r.booked {
		return false
	}
	for t := r.team; t != nil; t = t.parent {
		if !t.hasMemory(memory) {
			return false
		}
	}
	return true
}

// AttemptAdded reports that an attempt was started while others of its request are in flight. Each one counts against the
// budgets.
func (s *Scheduler) AttemptAdded(id uint32, memory float64) {
	if r := s.requests[id]; r != nil && r.booked {
		s.rebook(r, r.memory+memory)
	}
}

// AttemptEnded reports that one of several attempts of a request in flight has ended. The memory of the last one stays
// booked until Finished, or until the grant of a retry replaces it.
func (s *Scheduler) AttemptEnded(now float64, id uint32, memory float64) []Decision {
	s.beginCall(now)
	if r := s.requests[id]; r != nil && r.booked {
		s.rebook(r, max(r.memory-memory, 0))
	}
	s.admitEligible()
	return s.decisions
}

// IsBounded reports whether a budget limits the memory of a team's requests.
func (s *Scheduler) IsBounded(teamName string) bool {
	for t := s.leafTeam(teamName); t != nil; t = t.parent {
		if t.Limit > 0 || t.FleetWide {
			return true
		}
	}
	return false
}
