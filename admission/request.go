package admission

// request is an open request, or one that has ended with attempts still in flight.
type request struct {
	id              uint32
	class           *classState
	key             *orderedKey // the requests that run in order with it, nil for none
	tables          uint32      // hash of the tables that it touches, 0 for none
	arrivedAt       float64     // time at which its client sent it
	deadline        float64     // time by which it has to be answered; a shutdown brings it forward
	estimatedWork   float64     // as its client tells, 0 where there is no estimate
	estimatedMemory float64     // MB, as its client tells, 0 where there is no estimate
	work            float64     // CPU seconds: the estimate as corrected by answers, or the class's mean
	priorityWeight  float64     // that of its class, less where it came over its tenant's quota

	yields    bool // it waits behind those that do not, and is shed before them
	ended     bool // answered, rejected, failed or cancelled by its client
	streaming bool // its answer has started; it has no deadline any more

	attempts     []*attempt  // by number
	inFlight     int         // attempts without a result
	candidates   []*engine   // drawn for it and kept while they fit, until it starts
	polled       *engine     // the latest that was polled for it
	polls        int         // that were sent for it
	roomBeside   func() bool // whether an attempt may start beside others in flight, nil for always
	preemptedFor *request    // has to start before this one is retried, nil for none
}

// firstThatMayHaveRun returns the earliest attempt that may have run, nil where none has.
func (r *request) firstThatMayHaveRun() *attempt {
	for _, a := range r.attempts {
		if a.inFlight || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// isOpenAt tells whether an attempt of the request is in flight at the engine.
func (r *request) isOpenAt(e *engine) bool {
	for _, a := range r.attempts {
		if a.inFlight && a.engine == e {
			return true
		}
	}
	return false
}

// objectiveTime is the time up to which an answer earns the whole priority weight.
func (r *request) objectiveTime() float64 {
	return min(r.arrivedAt+r.class.LatencyObjective+r.class.ObjectiveStretch*r.work/r.class.Threads, r.deadline)
}

// expectedDuration is the learned run time of the request, in seconds.
func (r *request) expectedDuration() float64 { return r.work / r.class.Threads * r.class.slowdown }

// attempt is one time that a request was sent to an engine.
type attempt struct {
	request             *request
	engine              *engine
	number              int
	startedAt           float64 // time
	expectedDuration    float64 // seconds
	memory              float64 // MB booked for it
	work                float64 // CPU seconds booked for it
	progress            float64 // share of its work done, as last told
	inFlight            bool    // without a result
	mayHaveRun          bool    // its result does not prove that nothing ran
	cancelRequested     bool    // until its result
	hadReportedCapacity bool    // a load report showed room at the engine when it started
}

// book counts the attempt with its request, engine, class and key.
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

// release takes the attempt out again. A tally with nothing left is set to zero: rounding leaves traces.
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
