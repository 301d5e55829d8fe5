package gateway

import (
	"context"
	"fmt"
	"math"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/storage/requestlog"
)

// minRecordedWork is the least work, in core-seconds, that a request which succeeded counts as.
const minRecordedWork = 0.001

// attempt is one of a request's runs at an engine. The goroutine in Serve owns it.
type attempt struct {
	*resp.Attempt
	number    int // as the controller counts
	startedAt float64
	cancel    context.CancelFunc // gives it up at the engine
	neverRan  bool               // as its end has shown
}

// attemptOutcome is how an attempt ended.
type attemptOutcome struct {
	attempt *attempt
	status  admission.Status
}

// neverRan reports whether a status means that nothing of the attempt has run.
func neverRan(status admission.Status) bool {
	switch status {
	case admission.Overloaded, admission.ConnectFailed, admission.NotStarted:
		return true
	default:
		return false
	}
}

// startAttempt sends the request to the engine that was chosen. One that may not go out any more goes to an engine that
// takes nothing, so that its end is reported to the controller like any other.
func (l *lifecycle) startAttempt(d startDecision) {
	g, r := l.gateway, l.request
	fencingToken, mayStart := l.clearToStart(d)
	engine := d.target.engine
	if !mayStart {
		engine = stoppedEngine()
	}
	ctx, cancel := context.WithDeadline(g.ctx, l.deadline)
	a := &attempt{number: d.number, startedAt: g.now(), cancel: cancel}
	progress := func(topic resp.ProgressTopic, amount float64) {
		g.enter(func(now float64) {
			g.controller.AttemptProgressed(now, r.handle, d.number, admission.ProgressTopic(topic), amount)
		})
	}
	a.Attempt = engine.StartAttempt(resp.AttemptOptions{
		RequestID:      r.ID,
		Class:          r.Class,
		Statement:      r.Statement,
		Deadline:       l.deadline,
		SendBefore:     l.startBy(),
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

// clearToStart does what has to precede an attempt's first byte: it asks the holder of the lease and records the
// attempt. It reports whether the attempt may still go out.
func (l *lifecycle) clearToStart(d startDecision) (fencingToken string, mayStart bool) {
	if l.answered || l.client.Err() != nil { // that the client has gone may not have been handled yet
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

// startBy is until when an attempt's first byte may go, zero for no bound. Engines know a repeat by its idempotency key
// for a window, counted from the first attempt that may have run; a connection that comes up late must not miss it.
func (l *lifecycle) startBy() time.Time {
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

// await waits for an attempt's end at its engine, in a goroutine of its own.
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

// awaitCancellation gives a cancelled attempt's engine a moment to hear of it. Where no request may run twice at once,
// its end at one engine has to precede the next attempt, and the two go by connections that do not wait for each other;
// where a budget bounds memory, the same holds for the attempt that gets the freed room.
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

// attemptEnded records an outcome, answers with it where it is a success, and reports it to the controller, which
// decides whether to retry.
func (l *lifecycle) attemptEnded(o attemptOutcome) {
	g, r, a := l.gateway, l.request, o.attempt
	l.record.attemptEnded(l.position(a.number), o.status)
	a.neverRan = neverRan(o.status)
	if o.status == admission.Succeeded && !l.answered {
		l.answer(func() { l.responder.Succeeded(a.TakeResult()) })
	}
	a.Release()
	g.enter(func(now float64) {
		r.attemptsOpen--
		if g.fairShare != nil && r.attemptsOpen > 0 {
			g.carryOut(now, g.fairShare.AttemptEnded(now, r.handle, r.bookedFor(a.Grant)))
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

// cancelAttempt cancels an attempt by the controller's number.
func (l *lifecycle) cancelAttempt(number int) {
	if at := l.position(number); at >= 0 && at < len(l.attempts) {
		l.attempts[at].cancel()
	}
}

// position is the place of an attempt among those of this try, by the controller's number.
func (l *lifecycle) position(number int) int { return number - len(l.request.pastAttempts) }

// stoppedEngine is an engine that takes nothing: what is sent to it never runs.
func stoppedEngine() *resp.Engine {
	e := &resp.Engine{}
	e.Drain(true)
	return e
}
