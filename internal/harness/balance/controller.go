package balance

import "copperrock.example/copperrock/admission"

const (
	requestTimeout = 30   // seconds
	requestMemory  = 40   // MB that a request needs, and is estimated to need
	orderKeys      = 3    // number of order keys, which requests of ordered classes use in turn
	lostPollTime   = 0.25 // seconds until a poll of an engine that has crashed fails
)

// Controller is one instance of the admission module together with its clients.
type Controller struct {
	*admission.Controller
	Killed  bool                 // the controller has ended; attempts that it sent continue to run
	Visible func(e *Engine) bool // selects the engines in its endpoint lists; nil for all

	sim      *Simulation
	settings admission.Settings
	requests map[uint32]*request // open requests, and answered ones with attempts in flight
	lastID   uint32
	wakeUps  int // number of wake-ups requested so far; only the latest is carried out
}

var _ admission.Actions = (*Controller)(nil)

// request is a request that a client has sent to a controller.
type request struct {
	id         uint32
	class      int
	work       float64
	sentAt     float64
	grant      float64 // MB, of the next attempt
	attempts   []*attempt
	inFlight   int
	ended      bool // answered or rejected
	executions int  // number of attempts that engines accepted
}

// attempt is an attempt to run a request on an engine.
type attempt struct {
	*request
	controller *Controller
	engine     *Engine
	number     int
	grant      float64 // MB
	acceptedAt float64
	startedAt  float64
	state      attemptState
}

// attemptState is the state of an attempt at its engine.
type attemptState int

const (
	attemptWaiting attemptState = iota // in transit to the engine or in its queue
	attemptRunning
	attemptEnded
)

// receiveRequest creates a random request and passes it to the controller.
func (c *Controller) receiveRequest() {
	s := c.sim
	class := 0
	if n := len(s.Settings.Classes); n > 1 {
		class = int(s.random() * float64(n))
	}
	c.lastID++
	r := &request{id: c.lastID, class: class, work: s.exponential(s.MeanWork), sentAt: s.now}
	s.arrivals = append(s.arrivals, Arrival{s.now, r.work})
	if c.Killed { // the client would turn to another controller, which is not simulated
		s.figures.Rejected++
		return
	}
	c.requests[r.id] = r
	c.RequestArrived(s.now, admission.Request{
		ID:       r.id,
		Class:    class,
		OrderKey: uint64(1 + c.lastID%orderKeys),
		Deadline: s.now + requestTimeout,
		Work:     r.work * s.EstimateRatio,
		Memory:   requestMemory,
	})
}

// sendEndpoints sends the controller a list of the visible engines that have not crashed.
func (c *Controller) sendEndpoints(engines []*Engine) {
	if c.Killed {
		return
	}
	var endpoints []admission.Endpoint
	for _, e := range engines {
		if !e.Crashed && (c.Visible == nil || c.Visible(e)) {
			endpoints = append(endpoints, admission.Endpoint{
				ID:        e.id,
				Zone:      e.Zone,
				Ready:     true,
				Weight:    e.Weight,
				StartedAt: e.startedAt,
			})
		}
	}
	c.UpdateEndpoints(c.sim.now, admission.Snapshot, endpoints)
}

// Kill ends the controller. Its open requests count as rejected: their clients would turn to another controller, which is not
// simulated.
func (c *Controller) Kill() {
	c.Killed = true
	for _, r := range c.requests {
		if !r.ended {
			c.sim.figures.Rejected++
		}
	}
}

// Restart restarts the controller at once. It has lost all state and gets the endpoint list again. Its open requests count as
// rejected.
func (c *Controller) Restart() {
	for _, r := range c.requests {
		if !r.ended {
			c.reject(r)
		}
	}
	c.wakeUps++
	c.Controller = admission.New(c.sim.draws, c.settings, c)
	c.sim.random()
	c.sendEndpoints(c.sim.Engines)
}

// StartAttempt sends an attempt to the engine.
func (c *Controller) StartAttempt(id, engine uint32) {
	r, e := c.requests[id], c.sim.Engines[engine-1]
	a := &attempt{request: r, controller: c, engine: e, number: len(r.attempts), grant: max(r.grant, 1)}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	c.sim.after(messageDelay, func() { e.accept(a) })
}

// SetAttemptTerms stores the grant of the next attempt. The simulated engines ignore priorities.
func (c *Controller) SetAttemptTerms(id uint32, _ uint8, grant float64) { c.requests[id].grant = grant }

// Reject ends the request as rejected.
func (c *Controller) Reject(id uint32, _ float64) { c.reject(c.requests[id]) }

// Fail ends the request; it counts as rejected.
func (c *Controller) Fail(id uint32) { c.reject(c.requests[id]) }

// reject ends a request and counts it as rejected.
func (c *Controller) reject(r *request) {
	r.ended = true
	c.sim.figures.Rejected++
	c.forgetIfDone(r)
}

// forgetIfDone drops a request that has ended once no attempt of it is in flight.
func (c *Controller) forgetIfDone(r *request) {
	if r.ended && r.inFlight == 0 {
		delete(c.requests, r.id)
	}
}

// CancelAttempt sends the cancellation of an attempt to its engine.
func (c *Controller) CancelAttempt(id uint32, number int) {
	a := c.requests[id].attempts[number]
	c.sim.after(messageDelay, func() { a.engine.cancel(a) })
}

// PollLoad polls the engine for a load report. The poll of an engine that has crashed ends without a report.
func (c *Controller) PollLoad(engine uint32) {
	s, e := c.sim, c.sim.Engines[engine-1]
	e.polls++
	if e.Crashed {
		s.after(lostPollTime, func() { c.PollEnded(s.now) })
		return
	}
	s.after(messageDelay, func() {
		report := e.report()
		s.after(messageDelay, func() {
			if !c.Killed {
				c.LoadReported(s.now, engine, report)
				c.PollEnded(s.now)
			}
		})
	})
}

// WatchEndpoints sends the endpoint list once.
func (c *Controller) WatchEndpoints() {
	c.sim.after(0, func() { c.sendEndpoints(c.sim.Engines) })
}

// WakeAfter schedules a wake-up of the controller, which replaces any earlier one.
func (c *Controller) WakeAfter(seconds float64) {
	c.wakeUps++
	latest, s := c.wakeUps, c.sim
	s.after(seconds, func() {
		if c.wakeUps == latest && !c.Killed {
			c.WakeUp(s.now)
		}
	})
}

// end sends the result of the attempt to its controller.
func (a *attempt) end(status admission.Status) {
	s, c := a.engine.sim, a.controller
	duration := s.now + messageDelay - a.acceptedAt
	s.after(messageDelay, func() {
		if c.Killed {
			return
		}
		a.inFlight--
		result := admission.AttemptResult{Status: status, Duration: duration}
		if status == admission.Succeeded {
			result.Work, result.Memory = a.work, requestMemory
			if !a.ended {
				a.ended = true
				s.totalWaits = append(s.totalWaits, s.now-a.sentAt-a.work)
			}
		}
		result.Final = a.ended
		c.AttemptEnded(s.now, a.id, a.number, result)
		c.forgetIfDone(a.request)
	})
}
