// Package maintenance decides which background work may take a step now: files written anew, snapshots, expiry. It has no I/O
// and reads no clock: times are seconds that never go back, told with each call. It is used from one goroutine.
//
// Work is cut into steps. One step is taken at a time, so no two of a kind go at once; after a step its kind's budgets, a
// part of a core and bytes a second, are in debt for as long as the step was over them. The most urgent kind that is
// wanted and out of debt goes first, of equals the one that waited longest. While jobs are late nothing goes but what is
// urgent, and of the rest one step in a while, so that nothing waits for good.
package maintenance

import (
	"cmp"
	"math"
	"slices"
)

// Task is one kind of background work.
type Task struct {
	Name           string
	Urgent         bool    // it goes also while jobs are late, and after the stop
	Priority       int     // of the rest the lowest goes first
	Interval       float64 // it is wanted by itself so often, 0 for only when asked for
	CPUShare       float64 // part of a core that it may take, 0 for all
	BytesPerSecond float64 // a second that it may write, 0 for all
}

// MaxDeferral is for how long work that is wanted is put off at most while jobs are late: a store that is never written anew
// grows, which harms more in the end than a late step.
const MaxDeferral = 5

// Scheduler is what is wanted and when it may go.
type Scheduler struct {
	tasks   []*taskState
	running *taskState
	stop    float64 // everything has to have ended by then; infinity while the program goes on
}

type taskState struct {
	Task
	requestedAt  float64 // since when, infinity for not
	nextInterval float64 // by itself
	notBefore    float64 // until when it may take no step
	lastStep     float64 // its latest step
	steps        int
}

// New makes a plan at a time.
func New(now float64, kinds ...Task) *Scheduler {
	p := &Scheduler{stop: math.Inf(1)}
	for _, k := range kinds {
		one := &taskState{Task: k, requestedAt: math.Inf(1), nextInterval: math.Inf(1), notBefore: math.Inf(-1), lastStep: now}
		if k.Interval > 0 {
			one.nextInterval = now + k.Interval
		}
		p.tasks = append(p.tasks, one)
	}
	return p
}

func (p *Scheduler) task(name string) *taskState {
	if i := slices.IndexFunc(p.tasks, func(k *taskState) bool { return k.Name == name }); i >= 0 {
		return p.tasks[i]
	}
	return nil
}

// Request asks for a kind of work; one that is wanted or under way already is not asked for twice.
func (p *Scheduler) Request(now float64, name string) {
	if k := p.task(name); k != nil {
		k.requestedAt = min(k.requestedAt, now)
	}
}

// Requested tells whether a kind is wanted or under way.
func (p *Scheduler) Requested(name string) bool {
	k := p.task(name)
	return k != nil && !math.IsInf(k.requestedAt, 1)
}

// Stop tells that the program ends: what is not urgent is not begun any more.
func (p *Scheduler) Stop(now, by float64) { p.stop = by }

// Next gives the kind that takes a step now, "" for none, and when to ask again if nothing else happens, infinity for
// never. late tells that jobs are late. Did is to be called when the step is over.
func (p *Scheduler) Next(now float64, late bool) (name string, again float64) {
	again = math.Inf(1)
	if p.running != nil {
		return "", again
	}
	var best *taskState
	for _, k := range p.tasks {
		if now >= k.nextInterval {
			k.requestedAt, k.nextInterval = min(k.requestedAt, now), now+k.Interval
		}
		again = min(again, k.nextInterval)
		if math.IsInf(k.requestedAt, 1) || !math.IsInf(p.stop, 1) && !k.Urgent || now >= p.stop {
			continue
		}
		from := k.notBefore
		if late && !k.Urgent {
			from = max(from, max(k.lastStep, k.requestedAt)+MaxDeferral)
		}
		if now < from {
			again = min(again, from)
			continue
		}
		if best == nil || k.before(best) {
			best = k
		}
	}
	if best == nil {
		return "", again
	}
	p.running = best
	return best.Name, now
}

func (k *taskState) before(o *taskState) bool {
	if k.Urgent != o.Urgent {
		return k.Urgent
	}
	return cmp.Or(cmp.Compare(k.Priority, o.Priority), cmp.Compare(k.requestedAt, o.requestedAt), cmp.Compare(k.Name, o.Name)) < 0
}

// StepDone tells that the step that Next gave is over: how long its goroutine worked, what it wrote, and whether the work has
// more steps.
func (p *Scheduler) StepDone(now, worked, bytes float64, more bool) {
	k := p.running
	if k == nil {
		return
	}
	p.running = nil
	k.lastStep, k.steps = now, k.steps+1
	wait := 0.0
	if k.CPUShare > 0 {
		wait = worked/k.CPUShare - worked
	}
	if k.BytesPerSecond > 0 {
		wait = max(wait, bytes/k.BytesPerSecond)
	}
	k.notBefore = now + wait
	if !more {
		k.requestedAt = math.Inf(1)
	}
}

// Steps is how many steps a kind has taken.
func (p *Scheduler) Steps(name string) int {
	if k := p.task(name); k != nil {
		return k.steps
	}
	return 0
}
