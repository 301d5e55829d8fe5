package gateway

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/requestlog"
)

// A request with an idempotency key is looked up in the store before the controller is told. Each of its attempts is
// recorded before it goes out, and its answer before it is given.

// requestRecord is a request that the store has a record of. It is the request's responder: the answer is recorded on
// its way to the client. A nil one records nothing.
type requestRecord struct {
	Responder
	gateway      *Gateway
	stored       *requestlog.Request
	maxRowBytes  int                     // more are not stored
	pastAttempts []admission.PastAttempt // of earlier tries, which may have run
	numbers      []int                   // of this try's attempts, as the store counts

	mu       sync.Mutex
	answered bool
}

// lookUp looks a request up in the store. answered says that nothing is left to do for it: it has been answered here,
// or its client has gone. record is nil where the store keeps nothing of it.
func (g *Gateway) lookUp(ctx context.Context, request *Request, class int, responder Responder) (record *requestRecord, answered bool) {
	store, err := g.storeFor(request)
	if err != nil {
		responder.Failed(err)
		return nil, true
	}
	if store == nil {
		return nil, false
	}
	settings := &g.settings.Admission.Classes[class]
	known := store.Admit(request.IdempotencyKey, idempotency.Idempotency(settings.Idempotency), settings.IdempotencyWindow, request.FirstTry)
	switch known.Decision {
	case idempotency.Answered:
		g.replay(request, responder, known.Answer)
	case idempotency.MayHaveRun:
		responder.Failed(&RequestError{opLookUp, request.ID, ErrMayHaveRun})
	case idempotency.NoCapacity:
		responder.Failed(g.rejected(opLookUp, request, ErrUnavailable))
	case idempotency.InProgress:
		g.join(ctx, request, responder, known.Joined)
	default:
		return g.newRecord(responder, store, known), false
	}
	return nil, true
}

// storeFor finds the store that keeps a request, nil where none does. It is an error where one should and cannot.
func (g *Gateway) storeFor(request *Request) (*requestlog.Store, error) {
	if g.persistence == nil {
		return nil, nil
	}
	g.mu.Lock()
	store, opening, required := g.persistence.store, g.persistence.opening, g.persistence.required
	g.mu.Unlock()
	hasKey := request.IdempotencyKey != ""
	switch {
	case opening && (hasKey || required), store == nil && !opening && required:
		return nil, g.rejected(opLookUp, request, ErrUnavailable)
	case !hasKey:
		return nil, nil
	default:
		return store, nil
	}
}

// newRecord begins the record of a request that may run, nil where the store keeps nothing of it.
func (g *Gateway) newRecord(responder Responder, store *requestlog.Store, known requestlog.Admission) *requestRecord {
	if known.Request == nil {
		return nil
	}
	record := &requestRecord{Responder: responder, gateway: g, stored: known.Request, maxRowBytes: store.MaxRowBytes()}
	for _, earlier := range known.Prior {
		if !earlier.Ended || earlier.MayHaveRun {
			record.pastAttempts = append(record.pastAttempts, admission.PastAttempt{
				StartedAt: g.now() - earlier.StartedAt, // the store tells how long ago
				Zone:      earlier.Zone,
				Cell:      earlier.Cell,
			})
		}
	}
	return record
}

// join waits for the answer of another try that is open, as long as the request may.
func (g *Gateway) join(ctx context.Context, request *Request, responder Responder, answer <-chan requestlog.Answer) {
	if answer == nil { // tries do not join
		responder.Failed(g.rejected(opLookUp, request, ErrInProgress))
		return
	}
	late := time.NewTimer(limits.Duration(request.Timeout - g.answerMargin(request)))
	defer late.Stop()
	select {
	case a := <-answer:
		g.replay(request, responder, a)
	case <-late.C:
		responder.Failed(g.rejected(opLookUp, request, ErrInProgress))
	case <-ctx.Done():
	}
}

// replay answers with what another try was answered.
func (g *Gateway) replay(request *Request, responder Responder, answer requestlog.Answer) {
	fail := func(err error) { responder.Failed(&RequestError{opLookUp, request.ID, err}) }
	switch {
	case answer.Outcome == idempotency.Succeeded && answer.RowsComplete:
		rows := g.pool.NewChain()
		if err := rows.Fill(bytes.NewReader(answer.Rows), len(answer.Rows)); err != nil {
			rows.Free()
			fail(&RejectedError{RetryAfter: g.settings.Admission.MaxRetryAfter, Err: err})
			return
		}
		responder.Succeeded(rows)
	case answer.Outcome == idempotency.Succeeded:
		fail(ErrRowsNotStored)
	case answer.Outcome == idempotency.Unknown:
		fail(ErrMayHaveRun)
	case answer.Outcome == idempotency.Failed:
		fail(ErrFailed)
	default:
		fail(&RejectedError{RetryAfter: answer.RetryAfter})
	}
}

// earlierAttempts are those of earlier tries that may have run.
func (r *requestRecord) earlierAttempts() []admission.PastAttempt {
	if r == nil {
		return nil
	}
	return r.pastAttempts
}

// attemptStarts records an attempt before it goes out.
func (r *requestRecord) attemptStarts(at target, deadline time.Time) error {
	if r == nil {
		return nil
	}
	number, err := r.stored.StartAttempt(at.name, at.zone, at.cell, time.Until(deadline))
	r.numbers = append(r.numbers, number)
	return err
}

// attemptEnded records the end of an attempt, by its position among those of this try.
func (r *requestRecord) attemptEnded(position int, status admission.Status) {
	if r != nil && position >= 0 && position < len(r.numbers) {
		r.stored.EndAttempt(r.numbers[position], !neverRan(status))
	}
}

// recordAnswer records the answer once, and hands it to tries that have joined.
func (r *requestRecord) recordAnswer(answer requestlog.Answer) {
	r.mu.Lock()
	answered := r.answered
	r.answered = true
	r.mu.Unlock()
	if !answered {
		r.stored.Finish(answer)
	}
}

// Succeeded records the rows where they are few.
func (r *requestRecord) Succeeded(rows *bufferpool.Chain) {
	answer := requestlog.Answer{Outcome: idempotency.Succeeded}
	if rows.Size() <= r.maxRowBytes {
		answer.Rows, answer.RowsComplete = slices.Clone(rows.Bytes()), true
	}
	r.recordAnswer(answer)
	r.Responder.Succeeded(rows)
}

// Failed records the failure. A rejection leaves the key open to further tries.
func (r *requestRecord) Failed(err error) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		r.recordAnswer(requestlog.Answer{RetryAfter: rejected.RetryAfter})
	} else {
		r.recordAnswer(requestlog.Answer{Outcome: idempotency.Failed, Reason: Reason(err)})
	}
	r.Responder.Failed(err)
}

// close ends the record of a request that was not answered, as its client has gone.
func (r *requestRecord) close() {
	r.recordAnswer(requestlog.Answer{RetryAfter: r.gateway.settings.Admission.MaxRetryAfter})
}
