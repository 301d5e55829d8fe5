package fairshare

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

const (
	estimateRounds     = 3  // what arrives meanwhile depends on the wait, and the wait on that
	maxDetailedTeams   = 64 // up to which the work of each team is summed for one estimate
	maxReportsPerTick  = 50 // so that thousands of subscribers cost no more
	minReportedChange  = 0.05
	minRetryAfter      = 0.05
	minRetryAfterScale = 0.8 // Retry-After is spread by a fifth either way, so that clients do not come back at once
	retryAfterSpread   = 0.4
)

// SetCapacity tells how many cores the engines in use have.
func (s *Scheduler) SetCapacity(now, cores float64) []Decision {
	s.begin(now)
	s.estimator.setCores(cores)
	s.admitEligible()
	s.reportChangedWaits()
	return s.decisions
}

// runTime is how long the request will take once it is started.
func (s *Scheduler) runTime(r *request) float64 { return r.work * s.estimator.slowdown[r.class] }

// estimate tells how long a request at its place in the order will wait, as if the tags alone ordered: until its team has
// been given the work ahead of it, every other team gets its share meanwhile, or all that it has queued.
func (s *Scheduler) estimate(r *request) Estimate {
	ahead := max(r.workBefore-r.team.admittedWork, 0)
	share, rate := r.team.share(), s.estimator.rate(s.now)
	start := 0.0
	for range estimateRounds {
		var before float64
		if r.wantsEstimate && len(s.active) <= maxDetailedTeams {
			before = s.workAheadByTeam(r, ahead, share, start)
		} else {
			all := s.root.queuedWork + s.root.arrivedRate(s.now)*start
			before = min(all, (ahead+r.work/2)/share)
		}
		start = (s.undispatchedWork + before + r.work/2) / rate
	}
	if s.blockingTeam(r) != nil { // its own budget limits it: the pace of its own team counts
		if rate := r.team.completedRate(s.now); rate > 0 {
			start = max(start, (ahead+r.work/2)/rate)
		}
	}
	return Estimate{Start: start, valid: true}
}

// workAheadByTeam sums the work that will be admitted before a request, team by team, if it waits for so long.
func (s *Scheduler) workAheadByTeam(r *request, ahead, share, wait float64) float64 {
	sum := ahead
	for _, t := range s.active {
		if t != r.team {
			sum += min(t.queuedWork+t.arrivedRate(s.now)*wait, (ahead+r.work/2)*t.share()/share)
		}
	}
	return sum
}

// correct moves an estimate by the median of how earlier ones turned out, and gives it an interval.
func (s *Scheduler) correct(r *request, e Estimate) Estimate {
	low, middle, high := s.estimator.errorsFor(r.class, r.wantsEstimate, e.Start).quantiles()
	e.StartLow, e.StartHigh = e.Start*low, e.Start*high
	e.Start *= middle
	e.Completion = e.Start + s.runTime(r)
	return e
}

// reportChangedWaits reports the queue times that have changed to clients who want to know them. A few are looked at in
// each call.
func (s *Scheduler) reportChangedWaits() {
	for range min(len(s.subscribers), maxReportsPerTick) {
		r := s.subscribers[0]
		s.subscribers[0] = nil
		s.subscribers = s.subscribers[1:]
		if !r.queued || s.requests[r.id] != r {
			continue
		}
		s.subscribers = append(s.subscribers, r)
		current := s.correct(r, s.estimate(r))
		remaining := r.reportedEstimate.Start - (s.now - max(r.reportedAt, r.arrivedAt))
		change := math.Abs(current.Start - remaining)
		if change > max(s.options.MinEstimateChange*max(remaining, 0), minReportedChange) {
			r.reportedEstimate, r.reportedAt = current, s.now
			s.decide(Decision{Action: ReportWait, Request: r.id, Estimate: current})
		}
	}
}

// retryAfter is when such a request would be admitted.
func (s *Scheduler) retryAfter(r *request) float64 {
	if s.options.MaxRetryAfter == 0 {
		return 0
	}
	workBefore := r.workBefore
	if !r.queued {
		r.workBefore = r.team.admittedWork + r.team.queuedWork
	}
	wait := s.estimate(r).Start
	r.workBefore = workBefore
	hash := fnv.New32a()
	var id [4]byte
	binary.BigEndian.PutUint32(id[:], r.id)
	_, _ = hash.Write(id[:]) // a hash takes all
	scale := minRetryAfterScale + retryAfterSpread*float64(hash.Sum32())/math.MaxUint32
	return min(max(wait, minRetryAfter)*scale, s.options.MaxRetryAfter)
}
