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

// Outcomes.
const (
	OutcomeSucceeded Outcome = iota
	OutcomeNotRun            // none of its attempts ran
	OutcomeFailed            // an attempt ran, and the request must not run again
	OutcomeUnknown           // an attempt may have run
)

// Reasons of an internal request that ended without an error. The fleet's log keeps them, so they stay as they are.
const (
	reasonRejected = "throttled"
	reasonNotTaken = "not taken"
)

// InternalRequest is a statement that a fleet runs on its own behalf, such as a scheduled one.
type InternalRequest struct {
	ID, Class, Team string
	Statement       string
	Timeout, Work   float64
	Memory          float64
	FencingToken    func() (token string, held bool) // see Request
}

// Execute runs an internal request like a client's, and returns its outcome with the reason, "" for done.
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
		FencingToken:    responder.watch(r.FencingToken),
	}, responder)
	return responder.result(ctx)
}

// internalResponder takes an internal request's answer.
type internalResponder struct {
	mu         sync.Mutex
	outcome    Outcome
	reason     string
	mayHaveRun bool // an attempt may have gone out
}

// watch notes when an attempt may go out.
func (r *internalResponder) watch(fencingToken func() (string, bool)) func() (string, bool) {
	return func() (token string, held bool) {
		if token, held = fencingToken(); held {
			r.mu.Lock()
			r.mayHaveRun = true
			r.mu.Unlock()
		}
		return token, held
	}
}

// WaitEstimate is of no use here.
func (r *internalResponder) WaitEstimate(fairshare.Estimate) {}

// Succeeded drops the rows.
func (r *internalResponder) Succeeded(rows *bufferpool.Chain) {
	rows.Free()
	r.end(OutcomeSucceeded, "")
}

// Failed tells by the attempts whether the statement may have run.
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

// result is the outcome once Serve has returned. A request that ctx cancelled has no answer and may have run.
func (r *internalResponder) result(ctx context.Context) (Outcome, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil && r.outcome == OutcomeNotRun && r.mayHaveRun {
		return OutcomeUnknown, ErrCancelled.Error()
	}
	return r.outcome, r.reason
}
