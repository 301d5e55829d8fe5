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

// A request with an idempotency key is looked up in the store before it is submitted to the controller. Each of its
// attempts is recorded before it is sent, and its answer is recorded before it is passed to the client.

// requestRecord is the store's record of a request. It wraps the request's responder in order to record the answer before
// the client receives it. A nil requestRecord records nothing.
type requestRecord struct {
	Responder
	gateway      *Gateway
	stored       *requestlog.Request
	maxRowBytes  int                     // size in bytes above which rows are not stored
	pastAttempts []admission.PastAttempt // attempts of earlier tries that may have run
	numbers      []int                   // the store's numbers of this try's attempts

	mu       sync.Mutex
	answered bool
}

// lookUp looks up a request in the store. answered reports that nothing is left to do: the request has been answered here,
// or its client has gone. record is nil if the store keeps no record of the request.
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
	admitted := store.Admit(request.IdempotencyKey, idempotency.Idempotency(settings.Idempotency), settings.IdempotencyWindow, request.FirstTry)
	switch admitted.Decision {
	case idempotency.Answered:
		g.replay(request, responder, admitted.Answer)
	case idempotency.MayHaveRun:
		responder.Failed(&RequestError{opLookUp, request.ID, ErrMayHaveRun})
	case idempotency.NoCapacity:
		responder.Failed(g.rejected(opLookUp, request, ErrUnavailable))
	case idempotency.InProgress:
		g.join(ctx, request, responder, admitted.Joined)
	default:
		return g.newRecord(responder, store, admitted), false
	}
	return nil, true
}

// storeFor returns the store that keeps the record of a request, nil if none is kept. It returns an error if a record is
// required and the store is unavailable.
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

// newRecord returns the record of a request that may run, nil if the store keeps none.
func (g *Gateway) newRecord(responder Responder, store *requestlog.Store, admitted requestlog.Admission) *requestRecord {
	if admitted.Request == nil {
		return nil
	}
	record := &requestRecord{Responder: responder, gateway: g, stored: admitted.Request, maxRowBytes: store.MaxRowBytes()}
	for _, earlier := range admitted.Prior {
		if !earlier.Ended || earlier.MayHaveRun {
			record.pastAttempts = append(record.pastAttempts, admission.PastAttempt{
				StartedAt: g.now() - earlier.StartedAt, // the store gives the age of the attempt
				Zone:      earlier.Zone,
				Cell:      earlier.Cell,
			})
		}
	}
	return record
}

// join waits for the answer of another try that is open, but no longer than until this request itself has to be answered.
func (g *Gateway) join(ctx context.Context, request *Request, responder Responder, answer <-chan requestlog.Answer) {
	if answer == nil { // tries of this request do not share an answer
		responder.Failed(g.rejected(opLookUp, request, ErrInProgress))
		return
	}
	timeout := time.NewTimer(limits.Duration(request.Timeout - g.answerMargin(request)))
	defer timeout.Stop()
	select {
	case a := <-answer:
		g.replay(request, responder, a)
	case <-timeout.C:
		responder.Failed(g.rejected(opLookUp, request, ErrInProgress))
	case <-ctx.Done():
	}
}

// replay answers with the recorded answer of another try.
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

// earlierAttempts returns the attempts of earlier tries that may have run.
func (r *requestRecord) earlierAttempts() []admission.PastAttempt {
	if r == nil {
		return nil
	}
	return r.pastAttempts
}

// attemptStarts records an attempt before it is sent.
func (r *requestRecord) attemptStarts(t target, deadline time.Time) error {
	if r == nil {
		return nil
	}
	number, err := r.stored.StartAttempt(t.name, t.zone, t.cell, time.Until(deadline))
	r.numbers = append(r.numbers, number)
	return err
}

// attemptEnded records the end of an attempt, given its position among those of this try.
func (r *requestRecord) attemptEnded(position int, status admission.Status) {
	if r != nil && position >= 0 && position < len(r.numbers) {
		r.stored.EndAttempt(r.numbers[position], !neverRan(status))
	}
}

// recordAnswer records the first answer that it is called with; the store passes it to the tries that wait in join.
func (r *requestRecord) recordAnswer(answer requestlog.Answer) {
	r.mu.Lock()
	answered := r.answered
	r.answered = true
	r.mu.Unlock()
	if !answered {
		r.stored.Finish(answer)
	}
}

// Succeeded records the success, with the rows if they are small enough, and passes the rows on.
func (r *requestRecord) Succeeded(rows *bufferpool.Chain) {
	answer := requestlog.Answer{Outcome: idempotency.Succeeded}
	if rows.Size() <= r.maxRowBytes {
		answer.Rows, answer.RowsComplete = slices.Clone(rows.Bytes()), true
	}
	r.recordAnswer(answer)
	r.Responder.Succeeded(rows)
}

// Failed records the failure and passes it on. After a rejection, the client may try again with the same key.
func (r *requestRecord) Failed(err error) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		r.recordAnswer(requestlog.Answer{RetryAfter: rejected.RetryAfter})
	} else {
		r.recordAnswer(requestlog.Answer{Outcome: idempotency.Failed, Reason: Reason(err)})
	}
	r.Responder.Failed(err)
}

// close records the request as rejected if it was not answered because its client has gone.
func (r *requestRecord) close() {
	r.recordAnswer(requestlog.Answer{RetryAfter: r.gateway.settings.Admission.MaxRetryAfter})
}
