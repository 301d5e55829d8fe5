// Package invariant checks in tests that a controller keeps its guarantees. Checkers observe what clients send and receive, what
// engines receive, and which endpoint lists are applied, and report violations. The number in "rule 2" is that of the guarantee
// among the seven rules of the project.
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

// Checker checks the requests of clients against the attempts at engines. It may be used from several goroutines.
type Checker struct {
	DrainGrace        float64 // seconds for which an engine may get new attempts after an endpoint list without it was applied
	LateTolerance     float64 // seconds by which an answer may come after the request's deadline
	IdempotencyWindow float64 // seconds after its first attempt in which a keyed request may be retried; 0 disables the check
	RetryBudgetWindow float64 // seconds over which retries are counted; 0 disables the check
	RetryBudgetFree   float64 // retries allowed in any window
	RetryBudgetRatio  float64 // further retries allowed for each request sent in the window

	mu          sync.Mutex          // guards the fields below
	requests    map[string]*request // by request ID
	unavailable map[string]float64  // engines that must not get new attempts, and since when in Unix seconds
	violations  []string
	sentAt      []float64 // times at which requests were sent
	retriedAt   []float64 // times at which engines received retries
	answers     int
}

// request is what the checker knows of a request.
type request struct {
	class          string
	idempotency    admission.Idempotency
	timeout        float64 // seconds
	pages          int
	attempts       []fakeengine.Event
	answers        []fakeengine.Answer
	sentAt         float64
	mayHaveRun     bool    // an attempt was sent that the engine has not rejected
	firstAttemptAt float64 // time of the first attempt that may have run
}

// violatef records a violation. c.mu is held.
func (c *Checker) violatef(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RequestSent records that a client sends a request now.
func (c *Checker) RequestSent(now float64, r fakeengine.Request, idempotency admission.Idempotency, pages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests, c.unavailable = map[string]*request{}, map[string]float64{}
	}
	c.requests[r.ID] = &request{class: r.Class, idempotency: idempotency, timeout: r.Timeout, pages: pages, sentAt: now}
	c.sentAt = append(c.sentAt, now)
}

// RequestAnswered checks the answer that the client received.
func (c *Checker) RequestAnswered(id string, a fakeengine.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	c.answers++
	r.answers = append(r.answers, a)
	if len(r.answers) > 1 {
		c.violatef("rule 1: request %s has %d answers, want 1", id, len(r.answers))
	}
	switch {
	case a.Outcome == fakeengine.Lost:
		c.violatef("rule 1: request %s has no answer: %s", id, a.Reason)
	case a.Latency > r.timeout+c.LateTolerance:
		c.violatef("rule 1: request %s was answered %.3f s after its deadline", id, a.Latency-r.timeout)
	case a.Outcome == fakeengine.Completed && a.Rows != fakeengine.Rows(id, r.pages):
		c.violatef("rule 1: request %s has incomplete rows or those of another request: %.60q", id, a.Rows)
	case a.Outcome == fakeengine.Rejected && r.mayHaveRun && r.idempotency == admission.NonIdempotent:
		c.violatef("rule 2: non-idempotent request %s was rejected although an attempt may have run", id)
	}
}

// UnexpectedAnswer records an answer to no open request.
func (c *Checker) UnexpectedAnswer(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violatef("rule 1: second answer to message %d", id)
}

// EngineEvent checks an event of an engine.
func (c *Checker) EngineEvent(e fakeengine.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[e.RequestID]
	if r == nil {
		c.violatef("engine %s got request %q, which no client has sent", e.Engine, e.RequestID)
		return
	}
	switch e.Kind {
	case fakeengine.AttemptReceived:
		if len(r.attempts) > 0 {
			c.retriedAt = append(c.retriedAt, e.At)
		}
		r.attempts = append(r.attempts, e)
		if r.idempotency == admission.NonIdempotent && r.mayHaveRun {
			c.violatef("rule 2: non-idempotent request %s was sent to %s although an earlier attempt may have run", e.RequestID, e.Engine)
		}
		if r.idempotency == admission.IdempotentWithKey && r.mayHaveRun && c.IdempotencyWindow > 0 &&
			e.At > r.firstAttemptAt+c.IdempotencyWindow {
			c.violatef("rule 2: keyed request %s was retried %.3f s after its first attempt", e.RequestID, e.At-r.firstAttemptAt)
		}
		if !r.mayHaveRun {
			r.firstAttemptAt = e.At
		}
		r.mayHaveRun = true
		if since, unavailable := c.unavailable[e.Engine]; unavailable && e.At > since+c.DrainGrace {
			c.violatef("rule 3: request %s was sent to %s, which was dropped %.3f s before", e.RequestID, e.Engine, e.At-since)
		}
		if r.class != e.Class {
			c.violatef("request %s of class %s was sent as class %q", e.RequestID, r.class, e.Class)
		}
	case fakeengine.AttemptRejected: // it never ran, and a non-idempotent request cannot have run in another attempt
		r.mayHaveRun = r.idempotency != admission.NonIdempotent && r.mayHaveRun
	}
}

// EndpointsUpdated records that an endpoint list was applied now. all holds the names of all engines that exist.
func (c *Checker) EndpointsUpdated(now float64, all []string, endpoints []discovery.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable == nil {
		c.requests, c.unavailable = map[string]*request{}, map[string]float64{}
	}
	available := map[string]bool{}
	for _, e := range endpoints {
		available[e.Name] = e.Available()
	}
	for _, name := range all {
		if _, already := c.unavailable[name]; available[name] {
			delete(c.unavailable, name)
		} else if !already {
			c.unavailable[name] = now
		}
	}
}

// Violations returns all violations, sorted. It is called once, after the last event.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.requests {
		if len(r.answers) == 0 {
			c.violatef("rule 1: request %s has no answer", id)
		}
	}
	c.checkRetryBudget()
	slices.Sort(c.violations)
	return c.violations
}

// checkRetryBudget checks each window that ends with a retry.
func (c *Checker) checkRetryBudget() {
	if c.RetryBudgetWindow == 0 {
		return
	}
	slices.Sort(c.retriedAt)
	slices.Sort(c.sentAt)
	countBetween := func(times []float64, from, to float64) float64 {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearchFunc(times, to, func(x, y float64) int { return cmp.Or(cmp.Compare(x, y), -1) })
		return float64(end - first)
	}
	for _, at := range c.retriedAt {
		retries := countBetween(c.retriedAt, at-c.RetryBudgetWindow, at)
		limit := c.RetryBudgetFree + c.RetryBudgetRatio*countBetween(c.sentAt, at-c.RetryBudgetWindow, at)
		if retries > limit {
			c.violatef("rule 7: %.0f retries in the window that ends at %.3f, want at most %.1f", retries, at, limit)
		}
	}
}

// Counts returns the number of requests sent and of answers received.
func (c *Checker) Counts() (requests, answers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests), c.answers
}

// RunCounts returns the number of requests with the given idempotency that engines received once and more than once.
func (c *Checker) RunCounts(idempotency admission.Idempotency) (once, more int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.idempotency == idempotency && len(r.attempts) == 1 {
			once++
		} else if r.idempotency == idempotency && len(r.attempts) > 1 {
			more++
		}
	}
	return once, more
}

// ListChecker checks that every applied endpoint list is a complete valid version, and that generations never go back.
type ListChecker struct {
	mu         sync.Mutex               // guards the fields below
	valid      map[int64]discovery.List // versions as they were written, by generation
	last       int64                    // highest generation applied
	applied    []int64                  // generations in the order in which they were applied
	violations []string
}

// VersionWritten records a valid version. It is called before the version is written to the file.
func (c *ListChecker) VersionWritten(l discovery.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.valid == nil {
		c.valid = map[int64]discovery.List{}
	}
	c.valid[l.Generation] = l
}

// EndpointsUpdated checks an endpoint list that the gateway was given. It must equal some valid version, and its generation must
// not be lower than that of a list given before.
func (c *ListChecker) EndpointsUpdated(endpoints []discovery.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := int64(-1)
	for generation, l := range c.valid {
		if slices.Equal(l.Endpoints, endpoints) && generation > found {
			found = generation
		}
	}
	switch {
	case found < 0:
		c.violations = append(c.violations, fmt.Sprintf("list of %d engines equals no version that was written", len(endpoints)))
	case found < c.last:
		c.violations = append(c.violations, fmt.Sprintf("generation %d applied after %d", found, c.last))
	}
	c.last = max(c.last, found)
	c.applied = append(c.applied, found)
}

// Violations returns all violations, and the generations that were applied, in order.
func (c *ListChecker) Violations() (violations []string, generations []int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations, c.applied
}
