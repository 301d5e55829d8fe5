package fairshare

// request is a request that has been accepted and has not ended. The Scheduler owns it from Enqueue until Finished or its
// rejection.
type request struct {
	id           uint32
	team         *team
	class        int
	work, memory float64 // memory is the estimate until an attempt starts, then the sum of the grants in flight
	arrivedAt    float64

	deadline      float64 // deadline of the client
	queueDeadline float64 // time at which the request is rejected if it is still queued
	deadlineIndex int     // index in Scheduler.deadlines, -1 for none

	queued  bool // waiting in its team's queue
	booked  bool // its memory is booked with its team and all ancestors
	recent  bool // admitted recently and not started
	started bool // an attempt has been started

	admittedAt, startedAt float64 // 0 until then
	preemptions           int

	wantsEstimate    bool
	workBefore       float64 // total admitted work of its team by the time this request is next
	rawEstimate      Estimate
	reportedEstimate Estimate
	reportedAt       float64
}

// byAge compares requests by arrival, then by ID. IDs may wrap around.
func byAge(x, y *request) int {
	switch {
	case x.arrivedAt != y.arrivedAt && x.arrivedAt < y.arrivedAt:
		return -1
	case x.arrivedAt != y.arrivedAt:
		return 1
	}
	return int(int64(x.id) - int64(y.id))
}

// usefulUntil returns the time until which an answer to the request has any value.
func (o *Options) usefulUntil(r *request) float64 {
	if objective := o.Classes[r.class].LatencyObjective; objective > 0 {
		return min(r.arrivedAt+objective, r.deadline)
	}
	return r.deadline
}
