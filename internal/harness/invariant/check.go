// Package invariant holds checkers of the seven rules. They see what clients asked and got, what engines saw, and which
// lists of engines were taken, and say where these do not fit together.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// Checker gathers what happens. It may be told from any goroutine.
type Checker struct {
	DrainGrace        float64 // seconds after a list was taken in which an engine that it drops may still be sent to
	LateTolerance     float64 // seconds beyond a job's time that its answer may take
	IdempotencyWindow float64 // seconds from its first dispatch in which a keyed job may go again, 0 for no such rule
	RetryBudgetWindow float64 // seconds over which further dispatches are counted, 0 for no such rule
	RetryBudgetFree   float64 // further dispatches in any window
	RetryBudgetRatio  float64 // and for each job taken in it

	mu          sync.Mutex
	requests    map[string]*request
	unavailable map[string]float64 // engines that may get nothing new, and since when
	violations  []string
	accepted    []float64
	retries     []float64
	answers     int
}

type request struct {
	class      string
	effect     admission.Idempotency
	allow      float64
	pages      int
	attempts   []fakeengine.Event
	answers    []fakeengine.Answer
	sent       float64
	mayHaveRun bool    // a dispatch that was not turned away is out or has ended
	firstRun   float64 // of the dispatches that may have run
}

func (r *Checker) violated(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// RequestSent tells that a client sends a job now.
func (r *Checker) RequestSent(now float64, j fakeengine.Request, effect admission.Idempotency, pages int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests, r.unavailable = map[string]*request{}, map[string]float64{}
	}
	r.requests[j.ID] = &request{class: j.Class, effect: effect, allow: j.Timeout, pages: pages, sent: now}
	r.accepted = append(r.accepted, now)
}

// RequestAnswered tells what the client got.
func (r *Checker) RequestAnswered(ref string, a fakeengine.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.requests[ref]
	r.answers++
	j.answers = append(j.answers, a)
	if len(j.answers) > 1 {
		r.violated("rule 1: job %s has %d answers", ref, len(j.answers))
	}
	switch {
	case a.Outcome == fakeengine.Lost:
		r.violated("rule 1: job %s has no answer: %s", ref, a.Reason)
	case a.Latency > j.allow+r.LateTolerance:
		r.violated("rule 1: job %s was answered %.3f s after its time", ref, a.Latency-j.allow)
	case a.Outcome == fakeengine.Completed && a.Rows != fakeengine.Rows(ref, j.pages):
		r.violated("rule 1: job %s has rows that are not its own, or not all: %.60q", ref, a.Rows)
	case a.Outcome == fakeengine.Rejected && j.mayHaveRun && j.effect == admission.NonIdempotent:
		r.violated("rule 2: run-once job %s is throttled though a dispatch may have run", ref)
	}
}

// UnexpectedAnswer tells of an answer that no job waits for.
func (r *Checker) UnexpectedAnswer(id uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated("rule 1: a second answer under message %d", id)
}

// EngineEvent is told by engines.
func (r *Checker) EngineEvent(s fakeengine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.requests[s.RequestID]
	if j == nil {
		r.violated("engine %s has job %q, which no client asked for", s.Engine, s.RequestID)
		return
	}
	switch s.Kind {
	case "asked":
		if len(j.attempts) > 0 {
			r.retries = append(r.retries, s.At)
		}
		j.attempts = append(j.attempts, s)
		if j.effect == admission.NonIdempotent && j.mayHaveRun {
			r.violated("rule 2: run-once job %s goes to %s though an earlier dispatch may have run", s.RequestID, s.Engine)
		}
		if j.effect == admission.IdempotentWithKey && j.mayHaveRun && r.IdempotencyWindow > 0 && s.At > j.firstRun+r.IdempotencyWindow {
			r.violated("rule 2: keyed job %s goes again %.3f s after its first dispatch", s.RequestID, s.At-j.firstRun)
		}
		if !j.mayHaveRun {
			j.firstRun = s.At
		}
		j.mayHaveRun = true
		if since, gone := r.unavailable[s.Engine]; gone && s.At > since+r.DrainGrace {
			r.violated("rule 3: job %s goes to %s, which was dropped %.3f s before", s.RequestID, s.Engine, s.At-since)
		}
		if j.class != s.Class {
			r.violated("job %s of type %s goes as %q", s.RequestID, j.class, s.Class)
		}
	case "refused": // never ran; no other dispatch of a run-once job can have
		j.mayHaveRun = j.effect != admission.NonIdempotent && j.mayHaveRun
	}
}

// EndpointsUpdated tells of a whole list that was taken at that time.
func (r *Checker) EndpointsUpdated(now float64, all []string, l []discovery.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable == nil {
		r.requests, r.unavailable = map[string]*request{}, map[string]float64{}
	}
	takes := map[string]bool{}
	for _, e := range l {
		takes[e.Name] = e.Available()
	}
	for _, name := range all {
		if _, already := r.unavailable[name]; takes[name] {
			delete(r.unavailable, name)
		} else if !already {
			r.unavailable[name] = now
		}
	}
}

// Violations gives all that does not fit, at the end.
func (r *Checker) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, j := range r.requests {
		if len(j.answers) == 0 {
			r.violated("rule 1: job %s has no answer", ref)
		}
	}
	r.checkRetryBudget()
	slices.Sort(r.violations)
	return r.violations
}

// checkRetryBudget looks at each window that ends with a further dispatch.
func (r *Checker) checkRetryBudget() {
	if r.RetryBudgetWindow == 0 {
		return
	}
	slices.Sort(r.retries)
	slices.Sort(r.accepted)
	within := func(times []float64, from, to float64) float64 {
		a, _ := slices.BinarySearch(times, from)
		b, _ := slices.BinarySearchFunc(times, to, func(x, y float64) int { return cmp.Or(cmp.Compare(x, y), -1) })
		return float64(b - a)
	}
	for _, at := range r.retries {
		if n, most := within(r.retries, at-r.RetryBudgetWindow, at), r.RetryBudgetFree+r.RetryBudgetRatio*within(r.accepted, at-r.RetryBudgetWindow, at); n > most {
			r.violated("rule 7: %.0f further dispatches in the window that ends at %.3f, at most %.1f", n, at, most)
		}
	}
}

// Counts is how many were asked for, and how many answers came.
func (r *Checker) Counts() (asked, answered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests), r.answers
}

// RunCounts counts the jobs of a type that an engine got more than once, without those that were turned away.
func (r *Checker) RunCounts(effect admission.Idempotency) (once, more int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.requests {
		if j.effect == effect && len(j.attempts) == 1 {
			once++
		} else if j.effect == effect && len(j.attempts) > 1 {
			more++
		}
	}
	return once, more
}

// ListChecker checks that the lists taken are whole valid versions, in the order of their generations. valid holds the
// version of each generation as it was written.
type ListChecker struct {
	mu         sync.Mutex
	valid      map[int64]discovery.List
	last       int64
	applied    []int64
	violations []string
}

// VersionWritten tells of a valid version before it is put in place.
func (c *ListChecker) VersionWritten(l discovery.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.valid == nil {
		c.valid = map[int64]discovery.List{}
	}
	c.valid[l.Generation] = l
}

// EndpointsUpdated tells of a list that the gateway was given. It must equal the latest valid version or one before it, and come
// after all that were given before.
func (c *ListChecker) EndpointsUpdated(engines []discovery.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := int64(-1)
	for generation, l := range c.valid {
		if slices.Equal(l.Endpoints, engines) && generation > found {
			found = generation
		}
	}
	switch {
	case found < 0:
		c.violations = append(c.violations, fmt.Sprintf("a list of %d engines is no whole version", len(engines)))
	case found < c.last:
		c.violations = append(c.violations, fmt.Sprintf("generation %d comes after %d", found, c.last))
	}
	c.last = max(c.last, found)
	c.applied = append(c.applied, found)
}

// Violations gives all that does not fit, and the generations taken.
func (c *ListChecker) Violations() ([]string, []int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations, c.applied
}
