package fairshare

// minVictimShare is the minimum fraction of the beneficiary's memory that a victim must free. Without it, dozens of victims
// might be necessary.
const minVictimShare = 1.0 / 8

// preempt selects a running request to preempt for one that was admitted some time ago and still fits on no engine. The
// victim must be idempotent, have a much smaller priority weight per work, and be able to complete in time when it runs
// again. Victims of teams above their guaranteed memory are preferred, and among those the one that loses the least work
// per freed memory. Since the weights must differ by a factor, two requests cannot preempt each other in turn. The
// admission controller makes the final decision.
func (s *Scheduler) preempt() {
	if s.options.MaxPreemptions == 0 || s.now < s.lastPreemption+s.options.PreemptAfter/2 {
		return
	}
	beneficiary := s.oldestPreemptor()
	if beneficiary == nil {
		return
	}
	victim := s.cheapestVictim(beneficiary)
	if victim == nil {
		return
	}
	victim.preemptions++
	s.lastPreemption = s.now
	s.emit(Decision{Action: Preempt, Request: victim.id, Beneficiary: beneficiary.id})
}

// oldestPreemptor returns the oldest request that has waited long enough to preempt another one, nil if there is none.
func (s *Scheduler) oldestPreemptor() *request {
	var oldest *request
	for r := range s.preemptors {
		due := s.now >= r.admittedAt+s.options.PreemptAfter
		if due && (oldest == nil || byAge(r, oldest) < 0) {
			oldest = r
		}
	}
	return oldest
}

// cheapestVictim returns the preferred victim for the beneficiary, nil if there is none.
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

// mayPreempt reports whether a running request may be preempted for the beneficiary.
func (s *Scheduler) mayPreempt(r, beneficiary *request) bool {
	switch {
	case r.preemptions >= s.options.MaxPreemptions:
		return false
	case s.weightPerWork(r)*s.options.PreemptWeightRatio > s.weightPerWork(beneficiary):
		return false
	case s.now+2*s.runTime(r) > s.options.usefulUntil(r): // the beneficiary may run as long as r, before r runs again
		return false
	}
	return r.memory >= beneficiary.memory*minVictimShare
}

func (s *Scheduler) weightPerWork(r *request) float64 {
	return s.options.Classes[r.class].PriorityWeight / r.work
}

// PreemptionDeclined reports that the admission controller did not preempt the request, since its rules for retries do not
// allow that. The request is not proposed again.
func (s *Scheduler) PreemptionDeclined(id uint32) {
	if r := s.requests[id]; r != nil {
		r.preemptions--
		delete(s.preemptible, r)
	}
}
