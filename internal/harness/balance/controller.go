package balance

import "copperrock.example/copperrock/admission"

const (
	requestTimeout = 30   // seconds
	requestMemory  = 40   // MB that a request needs, and is estimated to need
	orderKeys      = 3    // keys that requests of ordered classes have in turn
	lostPollTime   = 0.25 // seconds until a poll of an engine that is gone ends
)

// Controller is one instance of the decision module with its clients.
type Controller struct {
	*admission.Controller
	Killed  bool                 // it is gone; what it sent runs on
	Visible func(e *Engine) bool // engines that it is told of, nil for all

	sim      *Simulation
	settings admission.Settings
	requests map[uint32]*request // open, or with an attempt in flight
	lastID   uint32
	wakeUps  int // asked for so far: only the latest counts
}

var _ admission.Actions = (*Controller)(nil)

// request is one that a client sent to a controller.
type request struct {
	id         uint32
	class      int
	work       float64
	sentAt     float64
	grant      float64 // MB of its next attempt
	attempts   []*attempt
	inFlight   int
	ended      bool // answered or rejected
	executions int  // times that an engine took it
}

// attempt is one time that a request is sent to an engine.
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

// attemptState is where an attempt is, as its engine sees it.
type attemptState int

const (
	attemptWaiting attemptState = iota // on its way or in the engine's queue
	attemptRunning
	attemptEnded
)

// takeRequest takes a request from a client.
func (c *Controller) takeRequest() {
	s := c.sim
	class := 0
	if n := len(s.Settings.Classes); n > 1 {
		class = int(s.random() * float64(n))
	}
	c.lastID++
	r := &request{id: c.lastID, class: class, work: s.exponential(s.MeanWork), sentAt: s.now}
	s.arrivals = append(s.arrivals, Arrival{s.now, r.work})
	if c.Killed { // its client finds another controller, which is not measured
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

// list tells the controller of the engines that it sees.
func (c *Controller) list(engines []*Engine) {
	if c.Killed {
		return
	}
	var endpoints []admission.Endpoint
	for _, e := range engines {
		if !e.Gone && (c.Visible == nil || c.Visible(e)) {
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

// Kill ends the controller; its clients turn to another, which is not measured.
func (c *Controller) Kill() {
	c.Killed = true
	for _, r := range c.requests {
		if !r.ended {
			c.sim.figures.Rejected++
		}
	}
}

// Restart has the controller come back at once. It knows nothing of the past but the endpoint list; its clients turn to
// another.
func (c *Controller) Restart() {
	for _, r := range c.requests {
		if !r.ended {
			c.reject(r)
		}
	}
	c.wakeUps++
	c.Controller = admission.New(c.sim.draws, c.settings, c)
	c.sim.random()
	c.list(c.sim.Engines)
}

// StartAttempt sends the request to the engine.
func (c *Controller) StartAttempt(id, engine uint32) {
	r, e := c.requests[id], c.sim.Engines[engine-1]
	a := &attempt{request: r, controller: c, engine: e, number: len(r.attempts), grant: max(r.grant, 1)}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	c.sim.after(messageDelay, func() { e.accept(a) })
}

// SetAttemptTerms keeps the grant; these engines heed no priorities.
func (c *Controller) SetAttemptTerms(id uint32, _ uint8, grant float64) { c.requests[id].grant = grant }

// Reject ends the request.
func (c *Controller) Reject(id uint32, _ float64) { c.reject(c.requests[id]) }

// Fail ends the request.
func (c *Controller) Fail(id uint32) { c.reject(c.requests[id]) }

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

// CancelAttempt cancels the attempt at its engine.
func (c *Controller) CancelAttempt(id uint32, number int) {
	a := c.requests[id].attempts[number]
	c.sim.after(messageDelay, func() { a.engine.cancel(a) })
}

// PollLoad asks the engine for its load.
func (c *Controller) PollLoad(engine uint32) {
	s, e := c.sim, c.sim.Engines[engine-1]
	e.polls++
	if e.Gone {
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

// WatchEndpoints lists the engines.
func (c *Controller) WatchEndpoints() {
	c.sim.after(0, func() { c.list(c.sim.Engines) })
}

// WakeAfter wakes the controller up, unless it asks for another wake-up before.
func (c *Controller) WakeAfter(seconds float64) {
	c.wakeUps++
	latest, s := c.wakeUps, c.sim
	s.after(seconds, func() {
		if c.wakeUps == latest && !c.Killed {
			c.WakeUp(s.now)
		}
	})
}

// end has the result of the attempt come back to its controller.
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
