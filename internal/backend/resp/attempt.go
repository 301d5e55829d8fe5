package resp

import (
	"context"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/limits"
)

// overdueFactor is how many times its estimated run time an attempt is given before its silence is suspicious: engines are
// shared, and estimates lie that far off.
const overdueFactor = 2

// attemptSteps is the most that Wait can be told of one attempt: that it is paged, and that it has ended.
const attemptSteps = 2

// ProgressTopic is what a note of progress is about.
type ProgressTopic int

// The topics of progress; others are passed over.
const (
	ProgressDone    ProgressTopic = 1 + iota // amount is the share that is done
	ProgressMemory                           // amount is the memory that the attempt lacks, in MB
	ProgressWaiting                          // the attempt waits in the engine's queue
)

// AttemptOptions are what StartAttempt needs.
type AttemptOptions struct {
	RequestID      string
	Class          string
	Statement      *bufferpool.Chain // held until it is written
	Deadline       time.Time
	SendBefore     time.Time // its first byte is sent before or never; zero for no such time
	Grant          float64   // memory, in MB
	Priority       int
	RunTime        float64 // estimated, in seconds, 0 where it is not known
	FencingToken   string  // "" for none
	IdempotencyKey string  // "" for none

	// OnProgress takes notes of progress.
	OnProgress func(topic ProgressTopic, amount float64)
}

// Attempt is one attempt of a request, on its way to an engine and there. StartAttempt makes one; its owner calls Wait until
// it has ended, then TakeResult or Release.
type Attempt struct {
	Work, Memory float64 // as the answer reported, 0 where it did not

	AttemptOptions
	conn      *conn // nil for one that never had a connection
	overdueAt time.Time

	// Guarded by the connection.
	state        attemptState
	status       admission.Status
	steps        chan struct{}       // the attempt is paged, or has ended
	cancelSent   chan struct{}       // closed when a cancel is flushed, or the connection has ended
	pages        []*bufferpool.Chain // nil elements are missing
	missingPages int
	resultSize   int
}

// attemptState is how far an attempt is.
type attemptState int

const (
	attemptQueued attemptState = iota // none of its bytes is sent
	attemptSent
	attemptPaged // the first page is there
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

// Wait waits for the next step of the attempt: its end or, where the result has further pages, the first page and then the
// end; complete is true at the end. When ctx ends the attempt is cancelled; ran then tells whether its first byte may have
// been sent.
func (a *Attempt) Wait(ctx context.Context) (status admission.Status, complete, ran bool) {
	select {
	case <-a.steps:
	case <-ctx.Done():
		if cancelled, ran := a.conn.cancelAttempt(a); cancelled {
			return admission.Cancelled, true, ran
		}
		<-a.steps // it had ended already
	}
	a.conn.lock()
	defer a.conn.unlock()
	return a.status, a.state == attemptEnded, true
}

// WaitCancelSent waits until the cancel of an attempt that Wait reported as cancelled is written, or its connection has
// ended, which cancels it as well.
func (a *Attempt) WaitCancelSent() { <-a.cancelSent }

// FetchPages asks for all further pages.
func (a *Attempt) FetchPages() { a.conn.fetchPages(a) }

// Withhold ends the attempt if none of it has been sent.
func (a *Attempt) Withhold() { a.conn.withhold(a) }

// SetPriority changes the priority of an attempt that is in flight.
func (a *Attempt) SetPriority(priority int) { a.conn.setPriority(a, priority) }

// TakeResult hands over the result of an attempt that has succeeded.
func (a *Attempt) TakeResult() *bufferpool.Chain {
	result := a.pages[0]
	for _, page := range a.pages[1:] {
		result.Join(page)
	}
	a.pages = nil
	return result
}

// Release frees the pages that were not handed over.
func (a *Attempt) Release() {
	a.conn.lock()
	defer a.conn.unlock()
	for _, page := range a.pages {
		page.Free()
	}
	a.pages = nil
}

// end ends an attempt, with its connection's lock held.
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

// storePage takes in a page; the last one missing ends the attempt. Rows may not go over the end of a page.
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
