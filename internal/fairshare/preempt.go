package fairshare

// preempt has a job called off for one that has fitted nowhere for a while. The victim is restartable, of far less
// billed value for its work, and would still end in its time; of those the one with the least work lost for the
// room gained, over its guaranteed part before within. Since the value must be higher by a factor, no two jobs can
// make each other yield in turn. Whether it may be called off is the module's word.
func (s *Scheduler) preempt() {
	r := &s.options
	if r.MaxPreemptions == 0 || s.now < s.lastPreemption+r.PreemptAfter/2 {
		return
	}
	var need *request
	for j := range s.preemptors {
		if s.now >= j.admittedAt+r.PreemptAfter && (need == nil || byAge(j, need) < 0) {
			need = j
		}
	}
	if need == nil {
		return
	}
	worth := func(j *request) float64 { return r.Classes[j.class].PriorityWeight / j.work }
	var victim *request
	least, over := 0.0, false
	for j := range s.preemptible {
		lost := min(s.now-j.startedAt, j.work) / j.memory
		beyond := j.team.memoryInUse > j.team.Guaranteed
		switch again := s.now + 2*s.runTime(j); {
		case j.preemptions >= r.MaxPreemptions || worth(j)*r.PreemptWeightRatio > worth(need) || again > r.usefulUntil(j):
		case j.memory < need.memory/8: // dozens would have to go
		case victim == nil, beyond && !over, beyond == over && (lost < least || lost == least && byAge(j, victim) < 0):
			victim, least, over = j, lost, beyond
		}
	}
	if victim == nil {
		return
	}
	victim.preemptions++
	s.lastPreemption = s.now
	s.decisions = append(s.decisions, Decision{Action: Preempt, Request: victim.id, Beneficiary: need.id})
}

// PreemptionDeclined tells that the module did not call the job off: by its rules it is no victim, and is not asked for again.
func (s *Scheduler) PreemptionDeclined(id uint32) {
	if j := s.requests[id]; j != nil {
		j.preemptions--
		delete(s.preemptible, j)
	}
}
