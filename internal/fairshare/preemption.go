package fairshare

// minVictimShare is the part of the waiting request's memory that one victim has to free; below it dozens would have to go.
const minVictimShare = 1.0 / 8

// preempt has a running request preempted for one that has been admitted for a while and fits nowhere. The victim is
// idempotent, of far less priority weight for its work, and would still end in time when it runs again. Of those the one
// that loses the least work for the memory it frees is taken, teams over their guaranteed memory first. Since the ratio of
// weights is a factor, no two requests can preempt each other in turn. The admission controller has the last word.
func (s *Scheduler) preempt() {
	if s.options.MaxPreemptions == 0 || s.now < s.lastPreemption+s.options.PreemptAfter/2 {
		return
	}
	beneficiary := s.longestUnplaced()
	if beneficiary == nil {
		return
	}
	victim := s.cheapestVictim(beneficiary)
	if victim == nil {
		return
	}
	victim.preemptions++
	s.lastPreemption = s.now
	s.decide(Decision{Action: Preempt, Request: victim.id, Beneficiary: beneficiary.id})
}

// longestUnplaced is the oldest request that may preempt others by now.
func (s *Scheduler) longestUnplaced() *request {
	var oldest *request
	for r := range s.preemptors {
		due := s.now >= r.admittedAt+s.options.PreemptAfter
		if due && (oldest == nil || byAge(r, oldest) < 0) {
			oldest = r
		}
	}
	return oldest
}

func (s *Scheduler) cheapestVictim(beneficiary *request) *request {
	var victim *request
	victimCost, victimOverGuarantee := 0.0, false
	for r := range s.preemptible {
		if !s.mayPreempt(r, beneficiary) {
			continue
		}
		cost := min(s.now-r.startedAt, r.work) / r.memory
		overGuarantee := r.team.memoryInUse > r.team.Guaranteed
		cheaper := cost < victimCost || cost == victimCost && victim != nil && byAge(r, victim) < 0
		if victim == nil || overGuarantee && !victimOverGuarantee || overGuarantee == victimOverGuarantee && cheaper {
			victim, victimCost, victimOverGuarantee = r, cost, overGuarantee
		}
	}
	return victim
}

// mayPreempt reports whether a running request may make way for another.
func (s *Scheduler) mayPreempt(r, beneficiary *request) bool {
	switch {
	case r.preemptions >= s.options.MaxPreemptions:
		return false
	case s.weightForWork(r)*s.options.PreemptWeightRatio > s.weightForWork(beneficiary):
		return false
	case s.now+2*s.runTime(r) > s.options.usefulUntil(r): // the beneficiary's time may be as long as its own
		return false
	}
	return r.memory >= beneficiary.memory*minVictimShare
}

func (s *Scheduler) weightForWork(r *request) float64 {
	return s.options.Classes[r.class].PriorityWeight / r.work
}

// PreemptionDeclined reports that the admission controller did not preempt the request: by its rules on retries it is no
// victim, and is not proposed again.
func (s *Scheduler) PreemptionDeclined(id uint32) {
	if r := s.requests[id]; r != nil {
		r.preemptions--
		delete(s.preemptible, r)
	}
}
