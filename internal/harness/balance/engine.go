package balance

import (
	"math"
	"slices"

	"copperrock.example/copperrock/admission"
)

const (
	failureDelay     = 0.002               // seconds after which an engine with the fault FailsAll answers
	memoryLimit      = 1.01 * engineMemory // MB of grants above which an engine rejects attempts as overloaded
	reportsPerSecond = 10                  // load reports per second that engines with delayed reports record
	reportDelay      = 30                  // number of reports by which delayed reports lag behind: 3 s
)

// Engine is a simulated engine that runs attempts in arrival order.
type Engine struct {
	Machine
	Crashed bool

	sim       *Simulation
	id        uint32
	startedAt float64
	joinedAt  float64 // 0 if the engine existed from the start
	granted   float64 // MB of running and queued attempts
	running   []*attempt
	queue     []*attempt

	completedWork float64 // core seconds
	recordedBusy  float64 // core seconds when the busy share was last recorded
	polls         int
	arrivals      []float64              // times of attempts; recorded only for engines that joined
	warmUpWork    []Arrival              // attempts that arrived during slow start
	history       []admission.LoadReport // of engines with frozen or delayed reports
}

// busyTime returns the core time spent so far.
func (e *Engine) busyTime(now float64) (sum float64) {
	sum = e.completedWork
	for _, a := range e.running {
		sum += now - a.startedAt
	}
	return sum
}

// accept handles an attempt that arrives from a controller.
func (e *Engine) accept(a *attempt) {
	s := e.sim
	if e.Crashed {
		a.end(admission.ConnectionReset)
		return
	}
	e.recordArrival(a)
	a.acceptedAt = s.now
	switch {
	case e.Fault == FailsAll:
		s.after(failureDelay, func() { a.end(admission.Failed) })
		return
	case e.Fault != Hangs && e.granted+a.grant > memoryLimit:
		a.end(admission.Overloaded)
		return
	}
	e.granted += a.grant
	e.queue = append(e.queue, a)
	if e.Fault == Hangs {
		return
	}
	if a.executions++; a.executions > 1 && s.Settings.Classes[a.class].Idempotency == admission.NonIdempotent {
		s.figures.Duplicates++
	}
	e.startQueued()
}

// recordArrival records an arrival if the engine has joined or is warming up.
func (e *Engine) recordArrival(a *attempt) {
	if e.joinedAt > 0 {
		e.arrivals = append(e.arrivals, e.sim.now)
	}
	if e.warmingUp() {
		e.warmUpWork = append(e.warmUpWork, Arrival{e.sim.now, a.work})
		e.recordSlowStartLoad()
	}
}

// warmingUp reports whether the engine is within its slow start window.
func (e *Engine) warmingUp() bool {
	window := e.sim.Settings.SlowStartWindow
	return window > 0 && e.joinedAt > 0 && e.sim.now < e.startedAt+window
}

// recordSlowStartLoad updates the highest ratio of the work that arrived within a slow start budget window to the budget.
func (e *Engine) recordSlowStartLoad() {
	settings, sum := e.sim.Settings, 0.0
	for _, a := range e.warmUpWork {
		if a.At > e.sim.now-settings.SlowStartBudgetWindow {
			sum += a.Work
		}
	}
	budget := settings.SlowStartBudgetMultiple * settings.SlowStartInitialFactor * engineCores * settings.SlowStartBudgetWindow
	e.sim.figures.SlowStartLoad = max(e.sim.figures.SlowStartLoad, sum/budget)
}

// currentSpeed returns the speed of the engine, which is reduced during slow start.
func (e *Engine) currentSpeed() float64 {
	if !e.warmingUp() {
		return e.Speed
	}
	initial := e.sim.Settings.SlowStartInitialFactor
	return e.Speed * (initial + (1-initial)*(e.sim.now-e.startedAt)/e.sim.Settings.SlowStartWindow)
}

// startQueued starts queued attempts while a core is free.
func (e *Engine) startQueued() {
	for len(e.running) < engineCores && len(e.queue) > 0 && e.Fault == Healthy {
		a := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, a)
		e.start(a)
	}
}

// start runs an attempt on a free core.
func (e *Engine) start(a *attempt) {
	s := e.sim
	a.state, a.startedAt = attemptRunning, s.now
	duration := a.work / e.currentSpeed()
	s.engineWaits = append(s.engineWaits, a.startedAt-a.acceptedAt+duration-a.work) // time beyond its work at speed 1
	s.after(duration, func() {
		if a.state != attemptRunning || e.Crashed {
			return
		}
		a.state = attemptEnded
		e.completedWork += s.now - a.startedAt
		e.remove(a)
		a.end(admission.Succeeded)
	})
}

// remove removes an attempt from the engine and starts the next one if that has freed a core.
func (e *Engine) remove(a *attempt) {
	for _, attempts := range []*[]*attempt{&e.running, &e.queue} {
		if i := slices.Index(*attempts, a); i >= 0 {
			*attempts = slices.Delete(*attempts, i, i+1)
			e.granted -= a.grant
		}
	}
	e.startQueued()
}

// cancel ends an attempt that is running or queued at this engine.
func (e *Engine) cancel(a *attempt) {
	present := slices.Contains(e.running, a) || slices.Contains(e.queue, a)
	if a.state == attemptEnded || e.Crashed || !present {
		return
	}
	a.state = attemptEnded
	e.remove(a)
	a.end(admission.Cancelled)
}

// Crash ends the engine and resets the connections of its attempts.
func (e *Engine) Crash() {
	e.Crashed = true
	for _, a := range append(slices.Clone(e.running), e.queue...) {
		if a.state != attemptEnded {
			a.state = attemptEnded
			a.end(admission.ConnectionReset)
		}
	}
	e.running, e.queue, e.granted = nil, nil, 0
}

// report returns the load report of the engine, subject to its report fault.
func (e *Engine) report() admission.LoadReport {
	switch e.ReportFault {
	case Invalid:
		return admission.LoadReport{
			Waiting:       admission.Measured(math.Inf(1)),
			CPU:           admission.Measured(-math.MaxFloat64),
			MemoryGranted: admission.Measured(math.NaN()),
		}
	case AlwaysIdle:
		return e.omitUnreported(loadReport(0, 0, 0))
	case Frozen:
		if len(e.history) == 0 {
			e.history = append(e.history, e.currentLoad())
		}
		return e.omitUnreported(e.history[0])
	case Delayed:
		for len(e.history) < int(e.sim.Now()*reportsPerSecond)+1 {
			e.history = append(e.history, e.currentLoad())
		}
		return e.omitUnreported(e.history[max(len(e.history)-1-reportDelay, 0)])
	default:
		return e.omitUnreported(e.currentLoad())
	}
}

// currentLoad returns an accurate load report.
func (e *Engine) currentLoad() admission.LoadReport {
	return loadReport(float64(len(e.queue)), float64(len(e.running))/engineCores, e.granted/engineMemory)
}

// loadReport returns a report of the waiting attempts, the share of busy cores and the share of granted memory.
func loadReport(waiting, cpu, memory float64) admission.LoadReport {
	return admission.LoadReport{
		Waiting:       admission.Measured(waiting),
		CPU:           admission.Measured(cpu),
		MemoryGranted: admission.Measured(memory),
	}
}

// omitUnreported clears the figures that the engines of the scenario do not report.
func (e *Engine) omitUnreported(report admission.LoadReport) admission.LoadReport {
	unreported := e.sim.Unreported
	if unreported.Waiting {
		report.Waiting = admission.Measurement{}
	}
	if unreported.CPU {
		report.CPU = admission.Measurement{}
	}
	if unreported.Memory {
		report.MemoryGranted = admission.Measurement{}
	}
	return report
}
