package gateway

import (
	"context"
	"errors"
	"strings"
	"sync"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/fairshare"
)

// Outcome is how an internal request ended.
type Outcome int

// The outcomes of an internal request.
const (
	OutcomeSucceeded Outcome = iota
	OutcomeNotRun            // none of its attempts ran
	OutcomeFailed            // an attempt ran, and the request must not run again
	OutcomeUnknown           // an attempt may have run
)

// Reasons of an internal request that was rejected or never answered. They are stored in the fleet's log, so their texts
// must not change.
const (
	reasonRejected = "throttled"
	reasonNotTaken = "not taken"
)

// InternalRequest is a statement that the fleet itself runs, such as a scheduled job.
type InternalRequest struct {
	ID, Class, Team string
	Statement       string
	Timeout, Work   float64
	Memory          float64
	FencingToken    func() (token string, held bool) // see Request
}

// Execute runs an internal request in the same way as a client's. It returns the outcome and its reason, "" on success.
func (g *Gateway) Execute(ctx context.Context, r InternalRequest) (Outcome, string) {
	statement := g.pool.NewChain()
	defer statement.Free()
	if err := statement.Fill(strings.NewReader(r.Statement), len(r.Statement)); err != nil {
		return OutcomeNotRun, err.Error()
	}
	responder := &internalResponder{outcome: OutcomeNotRun, reason: reasonNotTaken}
	g.Serve(ctx, &Request{
		ID:              r.ID,
		Class:           r.Class,
		Team:            r.Team,
		Timeout:         r.Timeout,
		EstimatedWork:   r.Work,
		EstimatedMemory: r.Memory,
		Statement:       statement,
		FencingToken:    responder.trackStart(r.FencingToken),
	}, responder)
	return responder.result(ctx)
}

// internalResponder receives the answer of an internal request.
type internalResponder struct {
	mu         sync.Mutex
	outcome    Outcome
	reason     string
	mayHaveRun bool // an attempt may have been sent
}

// trackStart wraps a request's FencingToken function, which precedes every attempt, to record that an attempt may have been
// sent.
func (r *internalResponder) trackStart(fencingToken func() (string, bool)) func() (string, bool) {
	return func() (token string, held bool) {
		if token, held = fencingToken(); held {
			r.mu.Lock()
			r.mayHaveRun = true
			r.mu.Unlock()
		}
		return token, held
	}
}

// WaitEstimate does nothing: an internal request has no client to inform.
func (r *internalResponder) WaitEstimate(fairshare.Estimate) {}

// Succeeded records the success and frees the rows.
func (r *internalResponder) Succeeded(rows *bufferpool.Chain) {
	rows.Free()
	r.end(OutcomeSucceeded, "")
}

// Failed records the failure. Unless the request was rejected, its outcome is unknown if an attempt may have been sent.
func (r *internalResponder) Failed(err error) {
	var rejected *RejectedError
	r.mu.Lock()
	mayHaveRun := r.mayHaveRun
	r.mu.Unlock()
	switch {
	case errors.As(err, &rejected):
		r.end(OutcomeNotRun, reasonRejected)
	case mayHaveRun:
		r.end(OutcomeUnknown, Reason(err))
	default:
		r.end(OutcomeNotRun, Reason(err))
	}
}

func (r *internalResponder) end(outcome Outcome, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome, r.reason = outcome, reason
}

// result returns the outcome after Serve has returned. A request that was cancelled by ctx has no answer; its outcome is
// unknown if an attempt may have been sent.
func (r *internalResponder) result(ctx context.Context) (Outcome, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil && r.outcome == OutcomeNotRun && r.mayHaveRun {
		return OutcomeUnknown, ErrCancelled.Error()
	}
	return r.outcome, r.reason
}
