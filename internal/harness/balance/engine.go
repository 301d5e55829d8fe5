package balance

import (
	"math"
	"slices"

	"copperrock.example/copperrock/admission"
)

const (
	failureDelay     = 0.002               // seconds until an engine that fails every request answers
	memoryLimit      = 1.01 * engineMemory // MB granted past which an engine rejects
	reportsPerSecond = 10                  // kept of engines whose reports are late
	lateReports      = 30                  // steps by which they are late
)

// Engine is one that serves in arrival order.
type Engine struct {
	Machine
	Gone bool // ended without a word

	sim       *Simulation
	id        uint32
	startedAt float64
	joinedAt  float64 // 0 for one that was there from the start
	granted   float64 // MB
	running   []*attempt
	queue     []*attempt

	completedWork float64 // core seconds
	recordedBusy  float64 // core seconds at the last record of its busy share
	polls         int
	arrivals      []float64              // times of attempts, where it has joined
	warmUpWork    []Arrival              // what it was sent while it warmed up
	history       []admission.LoadReport // of one whose reports are frozen or late
}

// busyTime is the core time spent so far.
func (e *Engine) busyTime(now float64) (sum float64) {
	sum = e.completedWork
	for _, a := range e.running {
		sum += now - a.startedAt
	}
	return sum
}

// accept takes an attempt from a controller.
func (e *Engine) accept(a *attempt) {
	s := e.sim
	if e.Gone {
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

// recordArrival keeps what is measured of engines that have joined or warm up.
func (e *Engine) recordArrival(a *attempt) {
	if e.joinedAt > 0 {
		e.arrivals = append(e.arrivals, e.sim.now)
	}
	if e.warmsUp() {
		e.warmUpWork = append(e.warmUpWork, Arrival{e.sim.now, a.work})
		e.recordSlowStartLoad()
	}
}

// warmsUp tells whether the engine is within its slow start window.
func (e *Engine) warmsUp() bool {
	window := e.sim.Settings.SlowStartWindow
	return window > 0 && e.joinedAt > 0 && e.sim.now < e.startedAt+window
}

// recordSlowStartLoad keeps the most work within a window over what an engine bears while it warms up.
func (e *Engine) recordSlowStartLoad() {
	set, sum := e.sim.Settings, 0.0
	for _, a := range e.warmUpWork {
		if a.At > e.sim.now-set.SlowStartBudgetWindow {
			sum += a.Work
		}
	}
	budget := set.SlowStartBudgetMultiple * set.SlowStartInitialFactor * engineCores * set.SlowStartBudgetWindow
	e.sim.figures.SlowStartLoad = max(e.sim.figures.SlowStartLoad, sum/budget)
}

// pace is the speed of the engine now.
func (e *Engine) pace() float64 {
	if !e.warmsUp() {
		return e.Speed
	}
	initial := e.sim.Settings.SlowStartInitialFactor
	return e.Speed * (initial + (1-initial)*(e.sim.now-e.startedAt)/e.sim.Settings.SlowStartWindow)
}

// startQueued starts what is first in the queue while a core is free.
func (e *Engine) startQueued() {
	for len(e.running) < engineCores && len(e.queue) > 0 && e.Fault == Healthy {
		a := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, a)
		e.start(a)
	}
}

func (e *Engine) start(a *attempt) {
	s := e.sim
	a.state, a.startedAt = attemptRunning, s.now
	duration := a.work / e.pace()
	s.engineWaits = append(s.engineWaits, a.startedAt-a.acceptedAt+duration-a.work) // beyond its work at the usual speed
	s.after(duration, func() {
		if a.state != attemptRunning || e.Gone {
			return
		}
		a.state = attemptEnded
		e.completedWork += s.now - a.startedAt
		e.remove(a)
		a.end(admission.Succeeded)
	})
}

// remove takes the attempt out, whose core the next one gets.
func (e *Engine) remove(a *attempt) {
	for _, list := range []*[]*attempt{&e.running, &e.queue} {
		if i := slices.Index(*list, a); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			e.granted -= a.grant
		}
	}
	e.startQueued()
}

// cancel ends an attempt that runs or waits here.
func (e *Engine) cancel(a *attempt) {
	isHere := slices.Contains(e.running, a) || slices.Contains(e.queue, a)
	if a.state == attemptEnded || e.Gone || !isHere {
		return
	}
	a.state = attemptEnded
	e.remove(a)
	a.end(admission.Cancelled)
}

// Crash has the engine gone without a word; connections to it end.
func (e *Engine) Crash() {
	e.Gone = true
	for _, a := range append(slices.Clone(e.running), e.queue...) {
		if a.state != attemptEnded {
			a.state = attemptEnded
			a.end(admission.ConnectionReset)
		}
	}
	e.running, e.queue, e.granted = nil, nil, 0
}

// report is what the engine tells of its load.
func (e *Engine) report() admission.LoadReport {
	switch e.ReportFault {
	case Invalid:
		return admission.LoadReport{
			Waiting:       admission.Measured(math.Inf(1)),
			CPU:           admission.Measured(-math.MaxFloat64),
			MemoryGranted: admission.Measured(math.NaN()),
		}
	case AlwaysIdle:
		return e.leaveOut(loadReport(0, 0, 0))
	case Frozen:
		if len(e.history) == 0 {
			e.history = append(e.history, e.currentLoad())
		}
		return e.leaveOut(e.history[0])
	case Delayed:
		for len(e.history) < int(e.sim.Now()*reportsPerSecond)+1 {
			e.history = append(e.history, e.currentLoad())
		}
		return e.leaveOut(e.history[max(len(e.history)-1-lateReports, 0)])
	default:
		return e.leaveOut(e.currentLoad())
	}
}

func (e *Engine) currentLoad() admission.LoadReport {
	return loadReport(float64(len(e.queue)), float64(len(e.running))/engineCores, e.granted/engineMemory)
}

func loadReport(waiting, cpu, memory float64) admission.LoadReport {
	return admission.LoadReport{
		Waiting:       admission.Measured(waiting),
		CPU:           admission.Measured(cpu),
		MemoryGranted: admission.Measured(memory),
	}
}

// leaveOut takes out of a report what no engine of the scenario tells.
func (e *Engine) leaveOut(report admission.LoadReport) admission.LoadReport {
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
