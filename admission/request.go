package admission

// request is an open request, or one that has ended with attempts still in flight.
type request struct {
	id              uint32
	class           *classState
	key             *orderedKey // its ordered key, nil for none
	tables          uint32      // hash of the tables that it accesses, 0 for none
	arrivedAt       float64     // time at which its client sent it
	deadline        float64     // time by which it must be answered; brought forward by a shutdown
	estimatedWork   float64     // CPU seconds estimated by its client, 0 if there is no estimate
	estimatedMemory float64     // MB estimated by its client, 0 if there is no estimate
	work            float64     // CPU seconds: the estimate corrected by past answers, or the class's mean
	priorityWeight  float64     // its class's, reduced if it yields or exceeds its tenant's quota

	yields    bool // queued behind requests that do not yield, and shed before them
	ended     bool // answered, rejected, failed or cancelled by its client
	streaming bool // its answer has started; it no longer has a deadline

	attempts           []*attempt  // by number
	inFlight           int         // number of attempts without a result
	candidates         []*engine   // engines to compare for it, kept until it starts as long as they fit
	polledEngine       *engine     // engine that was last polled for it
	pollCount          int         // number of polls sent for it
	mayRunConcurrently func() bool // whether an attempt may start while others are in flight, nil for always
	preemptedFor       *request    // request that must start before this one is retried, nil for none
}

// firstPossibleRun returns the earliest attempt that may have run, or nil if there is none.
func (r *request) firstPossibleRun() *attempt {
	for _, a := range r.attempts {
		if a.inFlight || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// isInFlightAt reports whether an attempt of the request is in flight at the engine.
func (r *request) isInFlightAt(e *engine) bool {
	for _, a := range r.attempts {
		if a.inFlight && a.engine == e {
			return true
		}
	}
	return false
}

// objectiveDeadline returns the time until which an answer earns the full priority weight.
func (r *request) objectiveDeadline() float64 {
	return min(r.arrivedAt+r.class.LatencyObjective+r.class.ObjectiveStretch*r.work/r.class.Threads, r.deadline)
}

// expectedDuration returns the expected run time of the request in seconds, from the slowdown learned for its class.
func (r *request) expectedDuration() float64 { return r.work / r.class.Threads * r.class.slowdown }

// attempt is one try to run a request on an engine.
type attempt struct {
	request             *request
	engine              *engine
	number              int
	startedAt           float64 // time
	expectedDuration    float64 // seconds
	memory              float64 // MB booked for it
	work                float64 // CPU seconds booked for it
	progress            float64 // share of its work that is done, as last reported
	inFlight            bool    // has no result yet
	mayHaveRun          bool    // its result does not rule out that the request ran
	cancelRequested     bool    // its cancellation was requested
	hadReportedCapacity bool    // a load report showed capacity at the engine when it started
}

// book adds the attempt to the accounting of its request, engine, class and ordered key.
func (a *attempt) book() {
	r, e := a.request, a.engine
	a.number = len(r.attempts)
	a.work = r.work
	a.inFlight = true
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.key != nil {
		r.key.inFlight++
	}
	e.inFlight = append(e.inFlight, a)
	e.grantedMemory += a.memory
	e.pendingWork += a.work
	r.class.grantedMemory += a.memory
	r.class.inFlight++
}

// release removes the attempt from the accounting. A total with nothing left in flight is set to zero, because rounding leaves
// a remainder.
func (a *attempt) release() {
	r, e := a.request, a.engine
	a.inFlight = false
	r.inFlight--
	if r.key != nil {
		r.key.inFlight--
	}
	e.inFlight = remove(e.inFlight, a)
	e.grantedMemory -= a.memory
	e.pendingWork -= a.work
	if len(e.inFlight) == 0 {
		e.grantedMemory, e.pendingWork = 0, 0
	}
	r.class.grantedMemory -= a.memory
	if r.class.inFlight--; r.class.inFlight == 0 {
		r.class.grantedMemory = 0
	}
}
