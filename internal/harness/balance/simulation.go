package balance

import (
	"container/heap"
	"math"

	"copperrock.example/copperrock/admission"
)

const (
	messageDelay = 0.0003 // seconds that a message takes in one direction
	startTime    = 1000   // clock at the start, late enough that the first engines are no longer in slow start
	settleTime   = 60     // seconds after the last arrival within which open requests can end
)

// Simulation is a running scenario.
type Simulation struct {
	Scenario
	Controllers []*Controller
	Engines     []*Engine

	now        float64
	events     eventQueue
	lastSerial int    // serial number of the last event
	draws      uint64 // number of random numbers drawn

	arrivals    []Arrival
	engineWaits []float64 // wait of each attempt that started, from its arrival at the engine
	totalWaits  []float64 // wait of each completed request, from its arrival at the controller
	busyTimes   []float64 // of the engines that existed from the start, when the last request arrives
	figures     Figures
}

// Run simulates the scenario and returns its figures.
func (d Scenario) Run() Figures {
	s := &Simulation{Scenario: d.withDefaults(), now: startTime}
	for i := range s.Scenario.Engines {
		s.AddEngine(i, 0)
	}
	s.sendRequests(s.addControllers())
	for _, e := range s.Events {
		s.after(e.At, func() { e.Apply(s) })
	}
	for second := 1.0; second <= s.Duration; second++ {
		s.after(second, s.recordBusyShares)
	}
	s.after(s.Duration, s.recordBusyTimes)
	for len(s.events) > 0 && s.now < startTime+s.Duration+settleTime {
		next := heap.Pop(&s.events).(timedEvent)
		s.now = next.at
		next.apply()
	}
	return s.summarize()
}

// addControllers adds the controllers and returns the request rate of each one's clients, which is random.
func (s *Simulation) addControllers() []float64 {
	weights, sum := []float64{}, 0.0
	for i := range s.Scenario.Controllers {
		w := 0.3 + 0.7*s.exponential(1)
		weights, sum = append(weights, w), sum+w
		c := &Controller{sim: s, requests: map[uint32]*request{}, settings: s.Settings}
		c.settings.GatewayIndex, c.settings.Zone = i, i%s.Zones
		c.Controller = admission.New(s.Seed*1000+uint64(i), c.settings, c)
		s.Controllers = append(s.Controllers, c)
		c.sendEndpoints(s.Engines)
	}
	if s.HalfAtFirst && len(weights) > 1 {
		sum += sum - 2*weights[0]
		weights[0] = sum / 2
	}
	rate := s.arrivalRate()
	for i, w := range weights {
		weights[i] = rate * w / sum
	}
	return weights
}

// sendRequests schedules the Poisson arrivals of each controller, at the given rates per second, until the scenario's duration.
func (s *Simulation) sendRequests(rates []float64) {
	for i, c := range s.Controllers {
		interval := 1 / rates[i]
		var next func()
		next = func() {
			if s.Now() < s.Duration {
				c.receiveRequest()
				s.after(s.exponential(interval), next)
			}
		}
		s.after(s.exponential(interval), next)
	}
}

// AddEngine adds an engine on the i-th machine, which starts delay seconds from now. Controllers learn of it with SendEndpoints.
func (s *Simulation) AddEngine(i int, delay float64) *Engine {
	m := Machine{}
	if s.Machine != nil {
		m = s.Machine(i)
	}
	e := &Engine{Machine: m, sim: s, id: uint32(len(s.Engines) + 1)}
	if e.Speed == 0 {
		e.Speed = 1
	}
	if e.Weight == 0 {
		e.Weight = 1
	}
	if delay > 0 || s.Now() > 0 {
		e.joinedAt = s.now + delay
		e.startedAt = e.joinedAt
	}
	s.Engines = append(s.Engines, e)
	return e
}

// SendEndpoints sends the endpoint list to each controller, at a random time within the given number of seconds.
func (s *Simulation) SendEndpoints(within float64) {
	for _, c := range s.Controllers {
		s.after(within*s.random(), func() { c.sendEndpoints(s.Engines) })
	}
}

// Now returns the time in seconds since the start.
func (s *Simulation) Now() float64 { return s.now - startTime }

// random returns a random number in [0, 1).
func (s *Simulation) random() float64 {
	s.draws++
	return random(s.Seed, s.draws)
}

// exponential returns an exponentially distributed random number with the given mean.
func (s *Simulation) exponential(mean float64) float64 { return -math.Log(1-s.random()) * mean }

// timedEvent is a scheduled event. Events at the same time are applied in the order in which they were scheduled.
type timedEvent struct {
	at     float64
	serial int
	apply  func()
}

// after schedules an event the given number of seconds from now.
func (s *Simulation) after(seconds float64, apply func()) {
	s.lastSerial++
	heap.Push(&s.events, timedEvent{s.now + seconds, s.lastSerial, apply})
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].serial < q[k].serial
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(timedEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
