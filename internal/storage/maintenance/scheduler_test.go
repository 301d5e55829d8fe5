package maintenance

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Traces the order of steps: priorities, budgets, late requests and the stop.
func TestStepOrder(t *testing.T) {
	var lines []string
	scheduler := New(0, Task{Name: "repair", Urgent: true}, Task{Name: "snapshot", Priority: 1, CPUShare: 0.1, BytesPerSecond: 1000}, Task{Name: "expire", Priority: 2, Interval: 1}, Task{Name: "learned", Priority: 3, Interval: 4})
	next := func(at float64, late bool) string {
		name, again := scheduler.Next(at, late)
		lines = append(lines, fmt.Sprintf("%.2f late %v: %q, again at %.2f", at, late, name, again))
		return name
	}
	next(0.5, false)
	scheduler.Request(0.5, "snapshot")
	scheduler.Request(0.5, "snapshot")
	next(0.5, false)
	next(0.5, false) // only one step at a time
	scheduler.StepDone(0.51, 0.01, 500, true)
	lines = append(lines, "500 bytes at 1000 a second")
	next(0.6, false)
	next(1.01, false)
	scheduler.StepDone(1.03, 0.02, 10, true)
	lines = append(lines, "20 ms at a tenth of a core")
	next(1.1, false)
	scheduler.StepDone(1.1, 0, 0, false)
	next(1.2, true)
	next(4.1, true)
	scheduler.Request(4.2, "repair")
	next(4.2, true)
	scheduler.StepDone(4.3, 0, 0, false)
	next(6.3, true) // MaxDeferral has passed
	scheduler.StepDone(6.4, 0, 0, true)
	next(7, true)
	scheduler.Stop(9)
	next(8, false)
	scheduler.Request(8.5, "repair")
	next(8.5, false)
	scheduler.StepDone(8.6, 0, 0, true)
	next(9.1, false)
	testutil.CheckTrace(t, lines)
}

// cpuShares and bytesPerSecond are the budgets of the tasks in TestRandomWork; a is urgent.
var cpuShares = map[string]float64{"a": 0.5, "b": 0.1, "c": 0.2}

const bytesPerSecond = 1000 // budget of b

// workModel runs random requests, late periods and steps against a scheduler.
type workModel struct {
	*rapid.T
	scheduler *Scheduler
	now       float64
	late      bool
	lateSince float64
	lastStep  map[string]float64
	worked    map[string]float64 // seconds, by task
	written   map[string]float64 // bytes, by task
}

// Whatever is requested, only one step runs at a time, budgets hold over any period, and no requested task starves.
func TestRandomWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &workModel{T: t, lateSince: math.Inf(1), lastStep: map[string]float64{}, worked: map[string]float64{}, written: map[string]float64{}}
		m.scheduler = New(0,
			Task{Name: "a", Urgent: true, CPUShare: cpuShares["a"]},
			Task{Name: "b", CPUShare: cpuShares["b"], BytesPerSecond: bytesPerSecond},
			Task{Name: "c", Priority: rapid.IntRange(-1, 1).Draw(t, "rank"), Interval: 2, CPUShare: cpuShares["c"]},
		)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.now += rapid.Float64Range(0, 0.3).Draw(t, "time")
			m.event()
			m.checkBudgets()
		}
		m.checkNoStarvation()
	})
}

func (m *workModel) event() {
	switch rapid.IntRange(0, 5).Draw(m.T, "what") {
	case 0:
		m.scheduler.Request(m.now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.T, "name"))
	case 1:
		if m.late = !m.late; m.late {
			m.lateSince = m.now
		}
	default:
		m.step()
	}
}

// step takes a step if a task may run.
func (m *workModel) step() {
	name, again := m.scheduler.Next(m.now, m.late)
	if name == "" {
		if again <= m.now {
			m.Fatalf("no task at %g, but the next call is due at %g", m.now, again)
		}
		return
	}
	deferred := m.now - min(m.lateSince, m.lastStep[name], m.scheduler.task(name).lastStep)
	if m.late && name != "a" && deferred < MaxDeferral {
		m.Fatalf("%s runs at %g while requests are late since %g", name, m.now, m.lateSince)
	}
	if other, _ := m.scheduler.Next(m.now, false); other != "" {
		m.Fatalf("%s runs at the same time as %s", other, name)
	}
	took, wrote := rapid.Float64Range(0, 0.05).Draw(m.T, "took"), rapid.Float64Range(0, 300).Draw(m.T, "wrote")
	m.now += took
	m.worked[name] += took
	m.written[name] += wrote
	m.scheduler.StepDone(m.now, took, wrote, rapid.Bool().Draw(m.T, "more"))
	m.lastStep[name] = m.now
}

// checkBudgets checks the budgets; only the last step may exceed them.
func (m *workModel) checkBudgets() {
	for name, share := range cpuShares {
		if m.worked[name] > share*m.now+0.05 {
			m.Fatalf("%s: got %g s of work in %g s", name, m.worked[name], m.now)
		}
	}
	if m.written["b"] > bytesPerSecond*m.now+300 {
		m.Fatalf("b: got %g bytes written in %g s", m.written["b"], m.now)
	}
}

// checkNoStarvation checks that each requested task takes a step, even if requests stay late.
func (m *workModel) checkNoStarvation() {
	steps := map[string]int{"a": 0, "b": 0, "c": 0}
	for name := range steps {
		m.scheduler.Request(m.now, name)
	}
	for range 400 {
		m.now += 0.1
		if name, _ := m.scheduler.Next(m.now, true); name != "" {
			m.scheduler.StepDone(m.now, 0, 0, false)
			steps[name]++
		}
	}
	for name, count := range steps {
		if count == 0 {
			m.Fatalf("%s: got no step in 40 s", name)
		}
	}
}
