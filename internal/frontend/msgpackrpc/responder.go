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
	id       uint32 // of the client's message
	cancel   context.CancelFunc
	answered bool // guarded by conn.mu; nothing is sent from then on
}

// Succeeded sends the rows.
func (r *responder) Succeeded(rows *bufferpool.Chain) {
	r.answer(frame{head: succeededHead(r.id, rows.Size()), rows: rows, tail: succeededTail()})
}

// Failed answers without a result: a rejection with Retry-After, any other error with its reason.
func (r *responder) Failed(err error) {
	var rejected *gateway.RejectedError
	if errors.As(err, &rejected) {
		r.reject(rejected.RetryAfter)
		return
	}
	r.fail(gateway.Reason(err))
}

// reject answers that the request did not run, and when it may come again.
func (r *responder) reject(retryAfter float64) {
	r.answer(frame{head: rejectedResponse(r.id, retryAfter)})
}

// fail answers with an error that promises nothing.
func (r *responder) fail(reason string) { r.answer(frame{head: failedResponse(r.id, reason)}) }

// WaitEstimate notifies the client of the estimate. A client that does not read loses it.
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

// answer sends the one answer; further ones are dropped.
func (r *responder) answer(f frame) {
	c := r.conn
	c.mu.Lock()
	if r.answered {
		c.mu.Unlock()
		f.rows.Free()
		return
	}
	r.answered = true
	f.owed = c.inFlight.answered(r)
	c.lastUsed = time.Now()
	c.readOnceMore()
	c.mu.Unlock()
	if f.owed {
		c.respond(f)
	} else { // of a request that was never opened: the reader answers it
		c.reply(f)
	}
}

// close ends the request; one that the client cancelled or left was not answered.
func (r *responder) close() {
	r.cancel()
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.conn.inFlight.drop(r)
}

// cancelByClient ends the request at the client's wish: it gets no answer. conn.mu is held.
func (r *responder) cancelByClient() {
	r.cancel()
	r.answered = true
	r.conn.inFlight.drop(r)
}
