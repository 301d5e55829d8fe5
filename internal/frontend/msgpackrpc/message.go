package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/gateway"
)

// Types of message, their first element, and how many elements they have.
const (
	typeRequest      = 0
	typeResponse     = 1
	typeNotification = 2

	requestLen      = 4
	responseLen     = 4
	notificationLen = 3
)

// Methods that are no workload class.
const (
	methodPing  = "ping"  // request: is the server ready
	methodAbort = "abort" // notification: cancel requests
	methodWait  = "wait"  // notification to the client
)

// Reasons for which this package fails requests. Clients are sent them as they are.
const (
	reasonUnreadable  = "the message can't be read"
	reasonMalformed   = "the job can't be understood"
	reasonDuplicateID = "a message id was used twice"
	reasonPanic       = "internal error"
)

// noMessageID stands for the id in the response to a message that has none: no request may have it.
const noMessageID = 0

// handleMessage takes one message. An error means that the stream cannot be followed any more.
func (c *conn) handleMessage(ctx context.Context, d *decoder, requests *errgroup.Group) error {
	length, err := d.require(kindArray)
	if err != nil {
		return fmt.Errorf("no message: %w", err)
	}
	messageType, err := d.require(kindInt)
	switch {
	case err != nil:
		return fmt.Errorf("no kind of message: %w", err)
	case messageType == typeNotification && length == notificationLen:
		return c.handleNotification(d)
	case messageType == typeRequest && length == requestLen:
		return c.handleRequest(ctx, d, requests)
	default:
		return fmt.Errorf("a message of kind %d with %d parts", messageType, length)
	}
}

// handleRequest takes what follows the type of a request.
func (c *conn) handleRequest(ctx context.Context, d *decoder, requests *errgroup.Group) error {
	id, err := d.require(kindInt)
	if err != nil || !isMessageID(id) {
		return errors.Join(err, fmt.Errorf("message id %d", id))
	}
	method, hasMethod, err := d.text(c.server.Limits.MaxName)
	if err != nil {
		return err
	}
	if method == methodPing {
		c.reply(frame{head: pingResponse(uint32(id), c.server.Handler.Ready())})
		return d.skip()
	}
	params, err := c.decodeParams(d)
	if err != nil {
		return err
	}
	params.malformed = params.malformed || !hasMethod
	params.request.Class = method
	r := &responder{conn: c, id: uint32(id)}
	if verdict, duplicate := c.register(r, params); verdict != requestTaken {
		params.request.Statement.Free()
		return c.refuse(r, verdict, duplicate, params.fault)
	}
	ctx, r.cancel = context.WithCancel(ctx)
	requests.Go(func() error {
		c.serveRequest(ctx, &params.request, r)
		return nil
	})
	return nil
}

// isMessageID reports whether a number may be a message id.
func isMessageID(id int64) bool { return id >= 0 && id <= math.MaxUint32 }

// requestVerdict is what becomes of a request that was read.
type requestVerdict int

const (
	requestTaken requestVerdict = iota
	requestOnEvictedConn
	requestDuplicate // its id is that of an open request
	requestMalformed
	requestOverLimit // over one of the server's limits, or the server shuts down
)

// register opens a request in the in-flight table if it may be taken. duplicate is the open request of the same id.
func (c *conn) register(r *responder, params *params) (verdict requestVerdict, duplicate *responder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	duplicate = c.inFlight.find(r.id)
	switch {
	case c.evicted:
		return requestOnEvictedConn, duplicate
	case duplicate != nil:
		return requestDuplicate, duplicate
	case params.malformed || params.fault != "":
		return requestMalformed, nil
	case c.inFlight.full(c.maxInFlight()):
		c.exceeded()
		return requestOverLimit, nil
	case params.outOfBuffers, c.shuttingDown:
		return requestOverLimit, nil
	default:
		c.inFlight.add(r)
		params.request.Yields = c.overload.active(time.Now())
		return requestTaken, nil
	}
}

// refuse answers a request that is not taken. An error ends the connection.
func (c *conn) refuse(r *responder, verdict requestVerdict, duplicate *responder, fault string) error {
	switch verdict {
	case requestOnEvictedConn: // its client sees the connection closed, and sends it again
		return errConnClosing
	case requestDuplicate: // no answer could tell which of the two it belongs to
		duplicate.fail(reasonDuplicateID)
		duplicate.cancel()
		return fmt.Errorf("message id %d is open already", r.id)
	case requestMalformed:
		r.fail(reasonMalformed + " " + fault)
	case requestOverLimit:
		r.reject(c.server.RetryAfter)
	}
	return nil
}

// serveRequest has the handler serve a request. A panic fails that request alone.
func (c *conn) serveRequest(ctx context.Context, request *gateway.Request, r *responder) {
	defer request.Statement.Free()
	defer r.close()
	defer func() {
		if p := recover(); p != nil {
			c.server.Log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("request handler panicked")
			r.fail(reasonPanic)
		}
	}()
	c.server.Handler.Serve(ctx, request, r)
}

// handleNotification takes what follows the type of a notification. Those that are not known are skipped.
func (c *conn) handleNotification(d *decoder) error {
	method, _, err := d.text(c.server.Limits.MaxName)
	if err != nil {
		return err
	}
	count, ok, err := d.expect(kindArray)
	if err != nil || !ok {
		return err
	}
	for range count {
		id, ok, err := d.expect(kindInt)
		if err != nil {
			return err
		}
		if ok && method == methodAbort && isMessageID(id) {
			c.abort(uint32(id))
		}
	}
	return nil
}

// abort cancels an open request, which gets no response.
func (c *conn) abort(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.inFlight.find(id); r != nil {
		r.cancelByClient()
		c.exceeded()
	}
}
