// Package maintenance schedules background work such as compaction, snapshots and expiry. It does no I/O and reads no clock:
// times are in seconds, never go back, and are passed with each call. A Scheduler is used from one goroutine.
//
// Tasks are divided into steps, and only one step runs at a time, so that no two steps of a task overlap. Each task may have
// budgets: a share of a core, and bytes per second. After a step that exceeded a budget the task waits until the debt is
// repaid. Of the requested tasks without debt, the most urgent one runs first; of equals, the one that has waited longest.
// While requests are late only urgent tasks run; each of the others is deferred by at most MaxDeferral per step, so that none
// starves.
package maintenance

import (
	"cmp"
	"math"
	"slices"
)

// MaxDeferral is the longest time in seconds for which a requested task is deferred while requests are late: a store that is
// never compacted keeps growing, which in the end does more harm than a step while requests are late.
const MaxDeferral = 5

// Task is one kind of background work.
type Task struct {
	Name           string
	Urgent         bool    // runs even while requests are late, and after Stop
	Priority       int     // among tasks that are equally urgent, the lowest value runs first
	Interval       float64 // seconds between automatic requests, 0 for none
	CPUShare       float64 // maximum share of one core, 0 for unlimited
	BytesPerSecond float64 // maximum write rate, 0 for unlimited
}

// Scheduler decides which task takes the next step.
type Scheduler struct {
	tasks   []*taskState
	running *taskState // task whose step is in progress, nil for none
	stopBy  float64    // time by which all work has to end; infinity until Stop
}

// taskState is a task with its schedule. It belongs to its Scheduler.
type taskState struct {
	Task
	requestedAt  float64 // infinity if the task is not requested
	nextInterval float64 // time of the next automatic request, infinity for none
	notBefore    float64 // time at which the debt of the budgets is repaid
	lastStep     float64 // time at which the last step ended
}

// New returns a scheduler whose intervals start now.
func New(now float64, tasks ...Task) *Scheduler {
	s := &Scheduler{stopBy: math.Inf(1)}
	for _, task := range tasks {
		state := &taskState{Task: task, requestedAt: math.Inf(1), nextInterval: math.Inf(1), notBefore: math.Inf(-1), lastStep: now}
		if task.Interval > 0 {
			state.nextInterval = now + task.Interval
		}
		s.tasks = append(s.tasks, state)
	}
	return s
}

func (s *Scheduler) task(name string) *taskState {
	i := slices.IndexFunc(s.tasks, func(task *taskState) bool { return task.Name == name })
	if i < 0 {
		return nil
	}
	return s.tasks[i]
}

// Request requests a task. It has no effect if the task is already requested or running.
func (s *Scheduler) Request(now float64, name string) {
	if task := s.task(name); task != nil {
		task.requestedAt = min(task.requestedAt, now)
	}
}

// Stop notes that the program ends by the given time: from now on only urgent tasks are started, and none after that time.
func (s *Scheduler) Stop(by float64) { s.stopBy = by }

// Next returns the task that takes a step now, or "" for none, and the time at which to call Next again if nothing else
// happens, infinity for never. late reports whether requests are late. After the step the caller must call StepDone.
func (s *Scheduler) Next(now float64, late bool) (name string, nextCall float64) {
	nextCall = math.Inf(1)
	if s.running != nil {
		return "", nextCall
	}
	var best *taskState
	for _, task := range s.tasks {
		task.requestAtInterval(now)
		nextCall = min(nextCall, task.nextInterval)
		if !task.requested() || s.stopped(now, task) {
			continue
		}
		if start := task.earliestStart(late); now < start {
			nextCall = min(nextCall, start)
			continue
		}
		if best == nil || task.precedes(best) {
			best = task
		}
	}
	if best == nil {
		return "", nextCall
	}
	s.running = best
	return best.Name, now
}

// stopped reports whether a task may no longer be started.
func (s *Scheduler) stopped(now float64, task *taskState) bool {
	stopping := !math.IsInf(s.stopBy, 1)
	return stopping && !task.Urgent || now >= s.stopBy
}

// requestAtInterval requests a task whose interval has passed.
func (t *taskState) requestAtInterval(now float64) {
	if now >= t.nextInterval {
		t.requestedAt, t.nextInterval = min(t.requestedAt, now), now+t.Interval
	}
}

func (t *taskState) requested() bool { return !math.IsInf(t.requestedAt, 1) }

// earliestStart returns the time from which a requested task may take its next step.
func (t *taskState) earliestStart(late bool) float64 {
	if late && !t.Urgent {
		return max(t.notBefore, max(t.lastStep, t.requestedAt)+MaxDeferral)
	}
	return t.notBefore
}

func (t *taskState) precedes(other *taskState) bool {
	if t.Urgent != other.Urgent {
		return t.Urgent
	}
	order := cmp.Or(
		cmp.Compare(t.Priority, other.Priority),
		cmp.Compare(t.requestedAt, other.requestedAt),
		cmp.Compare(t.Name, other.Name),
	)
	return order < 0
}

// StepDone notes that the step returned by Next has ended: how many seconds it took, how many bytes it wrote, and whether the
// task has more steps.
func (s *Scheduler) StepDone(now, duration, bytes float64, more bool) {
	task := s.running
	if task == nil {
		return
	}
	s.running = nil
	task.lastStep = now
	task.notBefore = now + task.debt(duration, bytes)
	if !more {
		task.requestedAt = math.Inf(1)
	}
}

// debt returns how many seconds the task has to wait after a step to stay within its budgets.
func (t *taskState) debt(duration, bytes float64) float64 {
	debt := 0.0
	if t.CPUShare > 0 {
		debt = duration/t.CPUShare - duration
	}
	if t.BytesPerSecond > 0 {
		debt = max(debt, bytes/t.BytesPerSecond)
	}
	return debt
}
