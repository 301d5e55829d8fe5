package gateway

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/storage/requestlog"
)

// minRecordedWork is the minimum work, in core-seconds, that is recorded for a request that succeeded.
const minRecordedWork = 0.001

// attempt is one attempt of a request at an engine. It is owned by the goroutine in Serve.
type attempt struct {
	*resp.Attempt
	number    int // the controller's number of the attempt
	startedAt float64
	cancel    context.CancelFunc // cancels the attempt at the engine
	neverRan  bool               // the attempt has ended, and its outcome shows that it did not run
}

// attemptOutcome is the outcome of an attempt.
type attemptOutcome struct {
	attempt *attempt
	status  admission.Status
}

// neverRan reports whether a status proves that no part of the attempt ran.
func neverRan(status admission.Status) bool {
	switch status {
	case admission.Overloaded, admission.ConnectFailed, admission.NotStarted:
		return true
	default:
		return false
	}
}

// startAttempt sends the request to the chosen engine. If the attempt may no longer start, it is given to a stopped engine
// instead, so that its end is reported to the controller in the usual way.
func (l *lifecycle) startAttempt(d startDecision) {
	g, r := l.gateway, l.request
	fencingToken, mayStart := l.prepareStart(d)
	engine := d.target.engine
	if !mayStart {
		engine = stoppedEngine()
	}
	ctx, cancel := context.WithDeadline(g.ctx, l.deadline)
	a := &attempt{number: d.number, startedAt: g.now(), cancel: cancel}
	progress := func(topic resp.ProgressTopic, amount float64) {
		g.runEvent(func(now float64) {
			g.controller.AttemptProgressed(now, r.handle, d.number, admission.ProgressTopic(topic), amount)
		})
	}
	a.Attempt = engine.StartAttempt(resp.AttemptOptions{
		RequestID:      r.ID,
		Class:          r.Class,
		Statement:      r.Statement,
		Deadline:       l.deadline,
		SendBefore:     l.sendBefore(),
		Withdrawn:      l.clientLost,
		Grant:          d.grant,
		Priority:       d.priority,
		RunTime:        r.EstimatedWork / g.settings.Admission.Classes[r.class].Threads,
		FencingToken:   fencingToken,
		IdempotencyKey: r.EngineIdempotencyKey,
		OnProgress:     progress,
	})
	l.attempts = append(l.attempts, a)
	g.group.Go(func() error {
		l.outcomes <- attemptOutcome{a, l.await(ctx, a)}
		return nil
	})
}

// prepareStart performs the steps that must precede an attempt's first byte: it checks that the lease is still held, waits
// until a retry is on disk, and records the attempt. It reports whether the attempt may still start.
func (l *lifecycle) prepareStart(d startDecision) (fencingToken string, mayStart bool) {
	if l.answered || l.client.Err() != nil { // Serve may not have handled the client's departure yet
		return "", false
	}
	switch l.request.clientState() {
	case ClientDisconnected:
		l.withdraw()
		return "", false
	case ClientUnknown:
		l.endWithoutAttempt()
		return "", false
	}
	if l.request.FencingToken != nil {
		if fencingToken, mayStart = l.request.FencingToken(); !mayStart {
			return "", false
		}
	}
	if d.recorded != nil {
		requestlog.AwaitWritten(d.recorded)
	}
	if err := l.record.attemptStarts(d.target, l.deadline); err != nil {
		l.gateway.log.Warn().Err(err).Str("request", l.request.ID).Msg("request rejected: its attempt could not be recorded")
		l.answerError(l.gateway.rejected(opRun, l.request.Request, fmt.Errorf("%w: %w", ErrUnavailable, err)))
		return "", false
	}
	return fencingToken, true
}

// clientLost reports whether the client has gone, or may have gone. It may be called by any goroutine.
func (l *lifecycle) clientLost() bool {
	return l.client.Err() != nil || l.request.clientState() != ClientConnected
}

// endWithoutAttempt answers a request that is to get no further attempt. It is rejected, if no attempt may have run.
func (l *lifecycle) endWithoutAttempt() {
	ran := slices.ContainsFunc(l.attempts, func(a *attempt) bool { return !a.neverRan })
	if ran || len(l.request.pastAttempts) > 0 {
		l.fail(opRun, ErrMayHaveRun)
	} else {
		l.answerError(l.gateway.rejected(opRun, l.request.Request, ErrUnavailable))
	}
	l.cancel()
}

// sendBefore returns the time until which an attempt's first byte may be sent, zero for no bound. Engines detect a repeat
// by its idempotency key only within a window that begins with the first attempt that may have run. An attempt whose
// connection is established after that window must not be sent.
func (l *lifecycle) sendBefore() time.Time {
	class := &l.gateway.settings.Admission.Classes[l.request.class]
	if class.Idempotency != admission.IdempotentWithKey {
		return time.Time{}
	}
	first := math.Inf(1)
	for _, past := range l.request.pastAttempts {
		first = min(first, past.StartedAt)
	}
	for _, earlier := range l.attempts {
		if !earlier.neverRan {
			first = min(first, earlier.startedAt)
		}
	}
	if math.IsInf(first, 1) {
		return time.Time{}
	}
	return l.gateway.timeOf(first + class.IdempotencyWindow)
}

// await waits for an attempt to end at its engine and returns its status. It runs in the attempt's own goroutine.
func (l *lifecycle) await(ctx context.Context, a *attempt) admission.Status {
	status, complete, ran := a.Wait(ctx)
	if status == admission.Succeeded && !complete {
		a.FetchPages()
		status, _, ran = a.Wait(ctx)
	}
	if ran && (l.request.bounded || !l.gateway.settings.Admission.MayHedge) {
		l.awaitCancellation(a, status)
	}
	switch {
	case status != admission.Cancelled:
		return status
	case !ran:
		return admission.NotStarted
	case !time.Now().Before(l.deadline):
		return admission.TimedOut
	default:
		return admission.Cancelled
	}
}

// awaitCancellation waits until the engine of a cancelled attempt can be expected to have received the cancellation.
// Where a request must not run twice at the same time, its attempt has to end at one engine before the next attempt
// starts at another, and the two engines' connections are not synchronized. Where a budget limits memory, the same
// applies to the attempt that uses the freed memory.
func (l *lifecycle) awaitCancellation(a *attempt, status admission.Status) {
	switch status {
	case admission.Cancelled:
		a.WaitCancelSent()
	case admission.ConnectionReset:
	default:
		return
	}
	time.Sleep(limits.Duration(l.gateway.limits.CancelTimeout))
}

// attemptEnded records the outcome of an attempt, answers the request if the attempt succeeded, and reports the outcome to
// the controller, which decides whether to retry.
func (l *lifecycle) attemptEnded(o attemptOutcome) {
	g, r, a := l.gateway, l.request, o.attempt
	l.record.attemptEnded(l.position(a.number), o.status)
	a.neverRan = neverRan(o.status)
	if o.status == admission.Succeeded && !l.answered {
		l.answer(func() { l.responder.Succeeded(a.TakeResult()) })
	}
	a.Release()
	g.runEvent(func(now float64) {
		r.attemptsOpen--
		r.mayHaveRun = r.mayHaveRun || !a.neverRan
		if g.fairShare != nil && r.attemptsOpen > 0 {
			g.carryOut(now, g.fairShare.AttemptEnded(now, r.handle, r.bookedMemory(a.Grant)))
		}
		if o.status == admission.Succeeded {
			r.work = max(a.Work, r.EstimatedWork, minRecordedWork)
		}
		g.controller.AttemptEnded(now, r.handle, a.number, admission.AttemptResult{
			Status:   o.status,
			Duration: now - a.startedAt,
			Final:    l.answered,
			Work:     a.Work,
			Memory:   a.Memory,
		})
	})
}

// cancelAttempt cancels the attempt with the given controller number.
func (l *lifecycle) cancelAttempt(number int) {
	if i := l.position(number); i >= 0 && i < len(l.attempts) {
		l.attempts[i].cancel()
	}
}

// position returns the index, among the attempts of this try, of the attempt with the given controller number.
func (l *lifecycle) position(number int) int { return number - len(l.request.pastAttempts) }

// stoppedEngine returns an engine that accepts no attempts: whatever is sent to it ends without having run.
func stoppedEngine() *resp.Engine {
	e := &resp.Engine{}
	e.Drain(true)
	return e
}
