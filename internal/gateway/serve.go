package gateway

import (
	"context"
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// Serve runs a request: it has it admitted, carries out what is decided on it, and answers it at most once. It returns
// when none of the request's attempts is open any more, which may be after the answer. The client has cancelled or left
// when ctx ends.
func (g *Gateway) Serve(ctx context.Context, request *Request, responder Responder) {
	class, err := g.classIndex(request)
	if err != nil {
		responder.Failed(err)
		return
	}
	record, answered := g.lookUp(ctx, request, class, responder)
	if answered {
		return
	}
	if record != nil {
		defer record.close()
		responder = record
	}
	open := g.newOpenRequest(request, class, record.earlierAttempts())
	if err := g.admit(open); err != nil {
		responder.Failed(err)
		return
	}
	l := g.newLifecycle(ctx, open, record, responder)
	defer l.close()
	for !l.finished() {
		select {
		case d := <-open.decisions:
			l.carryOut(d)
		case o := <-l.outcomes:
			l.attemptEnded(o)
		case <-l.clientGone:
			l.withdraw()
		case <-l.decisionTimer.C:
			l.expire()
		}
	}
}

// lifecycle is an admitted request on its way to its answer. It belongs to the goroutine in Serve; attempts' goroutines
// read only what does not change.
type lifecycle struct {
	gateway   *Gateway
	request   *openRequest
	record    *requestRecord // nil where the store knows nothing of the request
	responder Responder
	deadline  time.Time

	client        context.Context // ends when the client has cancelled or left
	clientGone    <-chan struct{} // nil once that is handled
	decisionTimer *time.Timer     // fires where the controller decides nothing in time

	attempts []*attempt
	outcomes chan attemptOutcome // there is room for all
	answered bool
}

// newLifecycle begins the life of an admitted request; close ends it.
func (g *Gateway) newLifecycle(ctx context.Context, r *openRequest, record *requestRecord, responder Responder) *lifecycle {
	deadline := g.timeOf(r.deadline)
	patience := time.Until(deadline) + limits.Duration(g.answerMargin(r.Request)/2)
	maxAttempts := g.settings.Admission.MaxAttempts
	return &lifecycle{
		gateway:       g,
		request:       r,
		record:        record,
		responder:     responder,
		deadline:      deadline,
		client:        ctx,
		clientGone:    ctx.Done(),
		decisionTimer: time.NewTimer(patience),
		attempts:      make([]*attempt, 0, maxAttempts),
		outcomes:      make(chan attemptOutcome, maxAttempts),
	}
}

// close releases what the request held.
func (l *lifecycle) close() {
	l.decisionTimer.Stop()
	for _, a := range l.attempts {
		a.cancel()
	}
}

// finished reports whether the request is answered and none of its attempts is open.
func (l *lifecycle) finished() bool { return l.answered && l.gateway.release(l.request) }

// carryOut does what was decided on the request.
func (l *lifecycle) carryOut(d decision) {
	switch d := d.(type) {
	case startDecision:
		l.startAttempt(d)
	case cancelDecision:
		l.cancelAttempt(d.number)
	case priorityDecision:
		for _, a := range l.attempts {
			a.SetPriority(d.priority)
		}
	case waitDecision:
		if !l.answered {
			l.responder.WaitEstimate(d.estimate)
		}
	case rejectDecision:
		l.fail(opAdmit, &RejectedError{RetryAfter: d.retryAfter})
	case failDecision:
		l.fail(opRun, ErrFailed)
	}
}

// withdraw ends a request whose client has gone.
func (l *lifecycle) withdraw() {
	l.clientGone = nil
	l.answer(l.cancel)
}

// expire ends a request on which nothing was decided before its deadline.
func (l *lifecycle) expire() {
	l.answer(func() {
		l.responder.Failed(&RequestError{opAdmit, l.request.ID, ErrDeadlineExceeded})
		l.cancel()
	})
}

// cancel has the controller drop the request and cancel its attempts.
func (l *lifecycle) cancel() {
	l.gateway.enter(func(now float64) { l.gateway.controller.RequestCancelled(now, l.request.handle) })
}

// fail answers the request with a reason, unless it is answered.
func (l *lifecycle) fail(op string, reason error) {
	l.answerError(&RequestError{op, l.request.ID, reason})
}

// answerError answers the request with an error, unless it is answered.
func (l *lifecycle) answerError(err error) {
	l.answer(func() { l.responder.Failed(err) })
}

// answer gives the one final answer. Attempts that have not reached an engine are held back before.
func (l *lifecycle) answer(send func()) {
	if l.answered {
		return
	}
	l.answered = true
	for _, a := range l.attempts {
		a.Withhold()
	}
	send()
	margin := l.gateway.answerMargin(l.request.Request)
	if by := l.gateway.now() - l.request.deadline - margin; by > 0 {
		l.gateway.log.Warn().Str("request", l.request.ID).Float64("by", by).Msg("answered after the deadline")
	}
}
