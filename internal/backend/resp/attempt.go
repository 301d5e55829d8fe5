package resp

import (
	"context"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/limits"
)

// overdueFactor is the multiple of its estimated run time after which an attempt is overdue and silence is suspicious. Engines
// are shared, and estimates are off by up to this factor.
const overdueFactor = 2

// attemptSteps is the maximum number of steps of one attempt that Wait reports: its first page has arrived, and it has ended.
const attemptSteps = 2

// ProgressTopic is the topic of a progress note from an engine.
type ProgressTopic int

// The topics of progress notes. Notes on other topics are ignored.
const (
	ProgressDone    ProgressTopic = 1 + iota // amount is the fraction of the work that is done
	ProgressMemory                           // amount is the memory that the attempt lacks, in MB
	ProgressWaiting                          // the attempt is waiting in the engine's queue
)

// AttemptOptions are the parameters of StartAttempt.
type AttemptOptions struct {
	RequestID  string
	Class      string
	Statement  *bufferpool.Chain // held until it is written
	Deadline   time.Time
	SendBefore time.Time // time after which its first byte must not be sent; zero for none

	// Withdrawn reports, immediately before the first byte, whether the attempt must not be sent any more. It must not block.
	// It is nil if the attempt may always be sent.
	Withdrawn func() bool

	Grant          float64 // memory, in MB
	Priority       int
	RunTime        float64 // estimated run time in seconds, 0 if unknown
	FencingToken   string  // "" for none
	IdempotencyKey string  // "" for none

	// OnProgress is called for each progress note.
	OnProgress func(topic ProgressTopic, amount float64)
}

// Attempt is one attempt of a request, from the time it is queued for an engine. StartAttempt returns it. Its owner calls Wait
// until it has ended, then TakeResult or Release.
type Attempt struct {
	Work, Memory float64 // as reported in the answer, in seconds and MB; 0 if not reported

	AttemptOptions
	conn      *conn // nil if it never had a connection
	overdueAt time.Time

	// Guarded by the connection's lock.
	state        attemptState
	status       admission.Status
	steps        chan struct{}       // receives an element when the first of several pages has arrived, and at the end
	cancelSent   chan struct{}       // closed once a cancel is flushed or the connection has ended
	pages        []*bufferpool.Chain // nil elements are missing
	missingPages int
	resultSize   int
}

// attemptState is the state of an attempt.
type attemptState int

const (
	attemptQueued attemptState = iota // none of its bytes has been sent
	attemptSent                       // its write has begun, so it may run
	attemptPaged                      // its first page has arrived
	attemptEnded
)

func newAttempt(o AttemptOptions) *Attempt {
	return &Attempt{
		AttemptOptions: o,
		overdueAt:      time.Now().Add(limits.Duration(overdueFactor * o.RunTime)),
		status:         admission.ConnectFailed,
		steps:          make(chan struct{}, attemptSteps),
		cancelSent:     make(chan struct{}),
	}
}

// Wait waits for the next step of the attempt: its end or, if the result has several pages, first the arrival of the first
// page and then the end. complete is true at the end. If ctx is done first, the attempt is cancelled, and ran reports whether
// its first byte may have been sent.
func (a *Attempt) Wait(ctx context.Context) (status admission.Status, complete, ran bool) {
	select {
	case <-a.steps:
	case <-ctx.Done():
		if cancelled, ran := a.conn.cancelAttempt(a); cancelled {
			return admission.Cancelled, true, ran
		}
		<-a.steps // it has already ended
	}
	a.conn.lock()
	defer a.conn.unlock()
	return a.status, a.state == attemptEnded, true
}

// WaitCancelSent waits until the cancel of an attempt that Wait reported as cancelled is written or its connection has ended,
// which cancels the attempt as well.
func (a *Attempt) WaitCancelSent() { <-a.cancelSent }

// FetchPages requests all pages after the first.
func (a *Attempt) FetchPages() { a.conn.fetchPages(a) }

// Withhold ends the attempt if none of its bytes has been sent.
func (a *Attempt) Withhold() { a.conn.withhold(a) }

// SetPriority changes the priority of an attempt in flight.
func (a *Attempt) SetPriority(priority int) { a.conn.setPriority(a, priority) }

// TakeResult returns the result of an attempt that has succeeded. The caller must free it.
func (a *Attempt) TakeResult() *bufferpool.Chain {
	result := a.pages[0]
	for _, page := range a.pages[1:] {
		result.Join(page)
	}
	a.pages = nil
	return result
}

// Release frees the pages that TakeResult has not returned.
func (a *Attempt) Release() {
	a.conn.lock()
	defer a.conn.unlock()
	for _, page := range a.pages {
		page.Free()
	}
	a.pages = nil
}

// end ends an attempt. Its connection's lock must be held.
func (a *Attempt) end(status admission.Status) {
	if a.state == attemptEnded {
		return
	}
	a.state, a.status = attemptEnded, status
	if a.conn.attempts[a.RequestID] == a {
		delete(a.conn.attempts, a.RequestID)
	}
	a.conn.becomeIdle()
	a.steps <- struct{}{}
}

// storePage stores a page of the result. The last missing page ends the attempt. A row must not continue on the next page.
func (a *Attempt) storePage(n int, body *bufferpool.Chain) {
	if body == nil {
		body = a.conn.Pool.NewChain()
	}
	a.pages[n] = body
	a.missingPages--
	a.resultSize += body.Size()
	switch {
	case a.resultSize > a.conn.Limits.MaxResult || !completeRows(body):
		a.conn.abandoned[a.RequestID] = struct{}{}
		a.end(admission.Failed)
		a.conn.enqueue(outgoing{words: []string{commandFree, a.RequestID}})
	case a.missingPages == 0:
		a.end(admission.Succeeded)
	}
}
