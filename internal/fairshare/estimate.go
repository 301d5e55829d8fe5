package fairshare

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

const (
	estimateRounds     = 3    // iterations, as the work that arrives meanwhile depends on the wait and the wait on that work
	maxDetailedTeams   = 64   // number of teams up to which an estimate sums the work of each team
	maxReportsPerTick  = 50   // bounds the cost of a tick with thousands of subscribers
	minReportedChange  = 0.05 // seconds
	minRetryAfter      = 0.05 // seconds
	minRetryAfterScale = 0.8  // Retry-After varies by 20% either way, so that clients do not all retry at the same time
	retryAfterSpread   = 0.4
)

// SetCapacity sets the number of cores of the engines in use.
func (s *Scheduler) SetCapacity(now, cores float64) []Decision {
	s.beginCall(now)
	s.estimator.setCores(cores)
	s.admitEligible()
	s.reportChangedWaits()
	return s.decisions
}

// runTime returns the expected run time of a request.
func (s *Scheduler) runTime(r *request) float64 { return r.work * s.estimator.slowdown[r.class] }

// estimate returns the expected wait of a request, assuming that start tags alone determine the order: until the work
// ahead of the request in its own team has been admitted, each other team is served its share of work, or all of its
// queued work if that is less.
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
	if s.blockingTeam(r) != nil { // a budget delays the request, so the rate of its own team counts
		if rate := r.team.completedRate(s.now); rate > 0 {
			start = max(start, (ahead+r.work/2)/rate)
		}
	}
	return Estimate{Start: start, valid: true}
}

// workAheadByTeam sums, team by team, the work that will be admitted before a request if the request waits for wait
// seconds.
func (s *Scheduler) workAheadByTeam(r *request, ahead, share, wait float64) float64 {
	sum := ahead
	for _, t := range s.active {
		if t != r.team {
			sum += min(t.queuedWork+t.arrivedRate(s.now)*wait, (ahead+r.work/2)*t.share()/share)
		}
	}
	return sum
}

// correct multiplies an estimate by the median error ratio of earlier estimates, and adds the interval.
func (s *Scheduler) correct(r *request, e Estimate) Estimate {
	low, median, high := s.estimator.errorsFor(r.class, r.wantsEstimate, e.Start).quantiles()
	e.StartLow, e.StartHigh = e.Start*low, e.Start*high
	e.Start *= median
	e.Completion = e.Start + s.runTime(r)
	return e
}

// reportChangedWaits reports changed queue times to the clients that want estimates. Each call checks a limited number of
// requests.
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
			s.emit(Decision{Action: ReportWait, Request: r.id, Estimate: current})
		}
	}
}

// retryAfter returns the Retry-After for a rejected request: the expected time until such a request would be admitted.
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
	_, _ = hash.Write(id[:]) // a hash never returns an error
	scale := minRetryAfterScale + retryAfterSpread*float64(hash.Sum32())/math.MaxUint32
	return min(max(wait, minRetryAfter)*scale, s.options.MaxRetryAfter)
}
