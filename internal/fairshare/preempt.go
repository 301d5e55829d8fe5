package fairshare

// preempt has a job called off for one that has fitted nowhere for a while. The victim is restartable, of far less
// billed value for its work, and would still end in its time; of those the one with the least work lost for the
// room gained, over its guaranteed part before within. Since the value must be higher by a factor, no two jobs can
// make each other yield in turn. Whether it may be called off is the module's word.
func (s *Stage) preempt() {
	r := &s.rules
	if r.PreemptTimes == 0 || s.now < s.yieldAt+r.PreemptAfter/2 {
		return
	}
	var need *job
	for j := range s.pending {
		if s.now >= j.handed+r.PreemptAfter && (need == nil || byAge(j, need) < 0) {
			need = j
		}
	}
	if need == nil {
		return
	}
	worth := func(j *job) float64 { return r.Types[j.kind].Value / j.work }
	var victim *job
	least, over := 0.0, false
	for j := range s.running {
		lost := min(s.now-j.sent, j.work) / j.memory
		beyond := j.team.used > j.team.Guaranteed
		switch again := s.now + 2*s.run(j); {
		case j.yielded >= r.PreemptTimes || worth(j)*r.PreemptValue > worth(need) || again > r.inTime(j):
		case j.memory < need.memory/8: // dozens would have to go
		case victim == nil, beyond && !over, beyond == over && (lost < least || lost == least && byAge(j, victim) < 0):
			victim, least, over = j, lost, beyond
		}
	}
	if victim == nil {
		return
	}
	victim.yielded++
	s.yieldAt = s.now
	s.out = append(s.out, Decision{Do: Yield, Job: victim.id, For: need.id})
}

// Kept tells that the module did not call the job off: by its rules it is no victim, and is not asked for again.
func (s *Stage) Kept(id uint32) {
	if j := s.jobs[id]; j != nil {
		j.yielded--
		delete(s.running, j)
	}
}
