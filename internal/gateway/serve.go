package gateway

import (
	"context"
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// Serve runs a request: it submits the request for admission, carries out the decisions on it, and answers it at most
// once. It returns when the request is answered and none of its attempts is open, which may be after the answer. The end
// of ctx means that the client has cancelled the request or disconnected.
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

// lifecycle is the state of an admitted request until it has been answered and its attempts have ended. It is owned by
// the goroutine in Serve; attempts' goroutines read only fields that do not change.
type lifecycle struct {
	gateway   *Gateway
	request   *openRequest
	record    *requestRecord // nil if the store keeps no record of the request
	responder Responder
	deadline  time.Time

	client        context.Context // ends when the client has cancelled or disconnected
	clientGone    <-chan struct{} // nil once the client's departure has been handled
	decisionTimer *time.Timer     // fires if the controller makes no decision in time

	attempts []*attempt
	outcomes chan attemptOutcome // large enough for all outcomes, so that sending never blocks
	answered bool
}

// newLifecycle returns the state of a request that has just been admitted. Call close at its end.
func (g *Gateway) newLifecycle(ctx context.Context, r *openRequest, record *requestRecord, responder Responder) *lifecycle {
	deadline := g.timeOf(r.deadline)
	decisionTimeout := time.Until(deadline) + limits.Duration(g.answerMargin(r.Request)/2)
	maxAttempts := g.settings.Admission.MaxAttempts
	return &lifecycle{
		gateway:       g,
		request:       r,
		record:        record,
		responder:     responder,
		deadline:      deadline,
		client:        ctx,
		clientGone:    ctx.Done(),
		decisionTimer: time.NewTimer(decisionTimeout),
		attempts:      make([]*attempt, 0, maxAttempts),
		outcomes:      make(chan attemptOutcome, maxAttempts),
	}
}

// close releases the timer and the contexts of the attempts.
func (l *lifecycle) close() {
	l.decisionTimer.Stop()
	for _, a := range l.attempts {
		a.cancel()
	}
}

// finished reports whether the request is answered and none of its attempts is open.
func (l *lifecycle) finished() bool { return l.answered && l.gateway.release(l.request) }

// carryOut carries out a decision on the request.
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

// withdraw ends a request whose client has cancelled or disconnected. It sends no answer.
func (l *lifecycle) withdraw() {
	l.clientGone = nil
	l.answer(l.cancel)
}

// expire ends a request on which no decision was made before its deadline.
func (l *lifecycle) expire() {
	l.answer(func() {
		l.responder.Failed(&RequestError{opAdmit, l.request.ID, ErrDeadlineExceeded})
		l.cancel()
	})
}

// cancel makes the controller drop the request and cancel its attempts.
func (l *lifecycle) cancel() {
	l.gateway.runEvent(func(now float64) { l.gateway.controller.RequestCancelled(now, l.request.handle) })
}

// fail answers the request with the reason for its failure, unless it has been answered.
func (l *lifecycle) fail(op string, reason error) {
	l.answerError(&RequestError{op, l.request.ID, reason})
}

// answerError answers the request with an error, unless it has been answered.
func (l *lifecycle) answerError(err error) {
	l.answer(func() { l.responder.Failed(err) })
}

// answer calls send unless the request has been answered. Attempts that have not been sent to an engine yet are withheld
// first.
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
	if overdue := l.gateway.now() - l.request.deadline - margin; overdue > 0 {
		l.gateway.log.Warn().Str("request", l.request.ID).Float64("by", overdue).Msg("answered after the deadline")
	}
}
