package fairshare

// request is one that was accepted and has not ended. The Scheduler owns it from Enqueue to Finished or its rejection.
type request struct {
	id           uint32
	team         *team
	class        int
	work, memory float64 // memory is the estimate until an attempt starts, then the grants of those in flight
	arrivedAt    float64

	deadline      float64 // of its client
	queueDeadline float64 // it is rejected when it is still queued then
	deadlineIndex int     // in Scheduler.deadlines, -1 for not there

	queued  bool // in its team's queue
	booked  bool // with its team and all teams above
	recent  bool // admitted a short while ago and not started
	started bool // an attempt was started

	admittedAt, startedAt float64 // 0 for not yet
	preemptions           int

	wantsEstimate    bool
	workBefore       float64 // work that its team will have been admitted when it is this request's turn
	rawEstimate      Estimate
	reportedEstimate Estimate
	reportedAt       float64
}

// byAge orders requests by arrival, then by id, which may wrap around.
func byAge(x, y *request) int {
	switch {
	case x.arrivedAt != y.arrivedAt && x.arrivedAt < y.arrivedAt:
		return -1
	case x.arrivedAt != y.arrivedAt:
		return 1
	}
	return int(int64(x.id) - int64(y.id))
}

// usefulUntil is up to when the request's answer is worth anything.
func (o *Options) usefulUntil(r *request) float64 {
	if objective := o.Classes[r.class].LatencyObjective; objective > 0 {
		return min(r.arrivedAt+objective, r.deadline)
	}
	return r.deadline
}
