// Package maintenance decides which background work may take a step now: compaction, snapshots, expiry. It has no
// I/O and reads no clock: times are seconds that never go back, passed with each call. A Scheduler is used from one
// goroutine.
//
// Work is cut into steps. One step is taken at a time, so no two of a task go at once; after a step its task's budgets, a
// part of a core and bytes a second, are in debt for as long as the step was over them. The most urgent task that is
// requested and out of debt goes first, of equals the one that waited longest. While requests are late nothing goes but
// what is urgent, and of the rest one step in a while, so that nothing waits for good.
package maintenance

import (
	"cmp"
	"math"
	"slices"
)

// MaxDeferral is for how many seconds a task that was requested is put off at most while requests are late: a store that
// is never compacted grows, which harms more in the end than a late step.
const MaxDeferral = 5

// Task is one kind of background work.
type Task struct {
	Name           string
	Urgent         bool    // it goes also while requests are late, and after the stop
	Priority       int     // of the rest the lowest goes first
	Interval       float64 // seconds after which it is requested by itself, 0 for only when asked for
	CPUShare       float64 // part of a core that it may take, 0 for all
	BytesPerSecond float64 // that it may write, 0 for all
}

// Scheduler is what is requested and when it may go.
type Scheduler struct {
	tasks   []*taskState
	running *taskState // the task whose step is under way, nil for none
	stopBy  float64    // everything has to have ended by then; infinity while the program goes on
}

// taskState is a task with its budgets. It belongs to its Scheduler.
type taskState struct {
	Task
	requestedAt  float64 // infinity for not
	nextInterval float64 // when it is requested by itself, infinity for never
	notBefore    float64 // until then its budgets are in debt
	lastStep     float64 // when that ended
}

// New makes a scheduler at a time.
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

// Request asks for a task; one that is requested or under way already is not asked for twice.
func (s *Scheduler) Request(now float64, name string) {
	if task := s.task(name); task != nil {
		task.requestedAt = min(task.requestedAt, now)
	}
}

// Stop notes that the program ends by a time: tasks that are not urgent are not started any more.
func (s *Scheduler) Stop(by float64) { s.stopBy = by }

// Next gives the task that takes a step now, "" for none, and when to ask again if nothing else happens, infinity for
// never. late says that requests are late. StepDone is to be called when the step is over.
func (s *Scheduler) Next(now float64, late bool) (name string, again float64) {
	again = math.Inf(1)
	if s.running != nil {
		return "", again
	}
	var best *taskState
	for _, task := range s.tasks {
		task.requestAtInterval(now)
		again = min(again, task.nextInterval)
		if !task.requested() || s.stopped(now, task) {
			continue
		}
		if from := task.mayRunFrom(late); now < from {
			again = min(again, from)
			continue
		}
		if best == nil || task.goesBefore(best) {
			best = task
		}
	}
	if best == nil {
		return "", again
	}
	s.running = best
	return best.Name, now
}

// stopped reports whether a task is not begun any more.
func (s *Scheduler) stopped(now float64, task *taskState) bool {
	stopping := !math.IsInf(s.stopBy, 1)
	return stopping && !task.Urgent || now >= s.stopBy
}

// requestAtInterval requests a task that is to go by itself.
func (t *taskState) requestAtInterval(now float64) {
	if now >= t.nextInterval {
		t.requestedAt, t.nextInterval = min(t.requestedAt, now), now+t.Interval
	}
}

func (t *taskState) requested() bool { return !math.IsInf(t.requestedAt, 1) }

// mayRunFrom is when a task that is requested may take its next step.
func (t *taskState) mayRunFrom(late bool) float64 {
	if late && !t.Urgent {
		return max(t.notBefore, max(t.lastStep, t.requestedAt)+MaxDeferral)
	}
	return t.notBefore
}

func (t *taskState) goesBefore(other *taskState) bool {
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

// StepDone notes that the step that Next returned is over: how many seconds its goroutine worked, how many bytes it wrote,
// and whether the task has more steps.
func (s *Scheduler) StepDone(now, worked, bytes float64, more bool) {
	task := s.running
	if task == nil {
		return
	}
	s.running = nil
	task.lastStep = now
	task.notBefore = now + task.debt(worked, bytes)
	if !more {
		task.requestedAt = math.Inf(1)
	}
}

// debt is for how many seconds a step has used the task's budgets up.
func (t *taskState) debt(worked, bytes float64) float64 {
	debt := 0.0
	if t.CPUShare > 0 {
		debt = worked/t.CPUShare - worked
	}
	if t.BytesPerSecond > 0 {
		debt = max(debt, bytes/t.BytesPerSecond)
	}
	return debt
}
