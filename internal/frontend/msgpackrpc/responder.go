package msgpackrpc

import (
	"context"
	"errors"
	"time"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/gateway"
)

// responder answers one request on its connection. It implements gateway.Responder.
type responder struct {
	conn     *conn
	id       uint32 // the client's message ID
	cancel   context.CancelFunc
	answered bool // guarded by conn.mu; once true, nothing more is sent
}

// Succeeded answers with the rows of the result.
func (r *responder) Succeeded(rows *bufferpool.Chain) {
	r.answer(frame{head: succeededHead(r.id, rows.Size()), rows: rows, tail: succeededTail()})
}

// Failed answers with an error: a rejection with its retry-after time, any other error with its reason.
func (r *responder) Failed(err error) {
	var rejected *gateway.RejectedError
	if errors.As(err, &rejected) {
		r.reject(rejected.RetryAfter)
		return
	}
	if errors.Is(err, gateway.ErrUnknownClass) || errors.Is(err, gateway.ErrDuplicateID) || errors.Is(err, gateway.ErrMayHaveRun) {
		r.conn.countExcess() // it is answered at once, so a client could send such requests without end
	}
	r.fail(gateway.Reason(err))
}

// reject answers that the request did not run. retryAfter is the time after which the client may send it again, in seconds.
func (r *responder) reject(retryAfter float64) {
	r.answer(frame{head: rejectedResponse(r.id, retryAfter)})
}

// fail answers with an error that does not say whether the request has run.
func (r *responder) fail(reason string) { r.answer(frame{head: failedResponse(r.id, reason)}) }

// WaitEstimate notifies the client of the estimate. The notification is dropped if the client does not read its responses.
func (r *responder) WaitEstimate(estimate fairshare.Estimate) {
	notification := frame{head: waitNotification(r.id, estimate)}
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.answered || len(c.responses) > cap(c.responses)/2 {
		return
	}
	select {
	case c.responses <- notification:
	default:
	}
}

// answer sends the first answer; further ones are dropped.
func (r *responder) answer(f frame) {
	c := r.conn
	c.mu.Lock()
	if r.answered {
		c.mu.Unlock()
		f.rows.Free()
		return
	}
	r.answered = true
	f.pending = c.inFlight.answered(r)
	c.lastUsed = time.Now()
	c.scheduleFinalRead()
	if f.pending {
		c.respond(f)
	}
	c.mu.Unlock()
	if !f.pending { // the request was never opened; this is the reader's goroutine
		c.reply(f)
	}
}

// close ends the request. A request that was not answered, for instance because the client has disconnected, is dropped.
func (r *responder) close() {
	r.cancel()
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.conn.inFlight.drop(r)
}

// cancelByClient ends a request that the client has cancelled. It gets no answer. conn.mu must be held.
func (r *responder) cancelByClient() {
	r.cancel()
	r.answered = true
	r.conn.inFlight.drop(r)
}
