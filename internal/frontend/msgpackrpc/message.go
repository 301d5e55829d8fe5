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

// Message types, which are the first element of each message, and the number of elements of each.
const (
	typeRequest      = 0
	typeResponse     = 1
	typeNotification = 2

	requestLen      = 4
	responseLen     = 4
	notificationLen = 3
)

// Methods that are not workload classes.
const (
	methodPing  = "ping"  // request: report whether the server is ready
	methodAbort = "abort" // notification: cancel requests
	methodWait  = "wait"  // notification to the client: the wait estimate
)

// Reasons for which this package fails requests. They are sent to clients verbatim.
const (
	reasonUnreadable  = "the message can't be read"
	reasonMalformed   = "the job can't be understood"
	reasonDuplicateID = "a message id was used twice"
	reasonPanic       = "internal error"
)

// noMessageID replaces the message ID in the response to a message that cannot be parsed.
const noMessageID = 0

// handleMessage reads and handles one message. After an error no further message is read from the connection. excess reports
// that the message is no request that was accepted: a client that sends many such messages overloads the server.
func (c *conn) handleMessage(ctx context.Context, d *decoder, requests *errgroup.Group) (excess bool, err error) {
	length, err := d.require(kindArray)
	if err != nil {
		return false, fmt.Errorf("invalid message: %w", err)
	}
	messageType, err := d.require(kindInt)
	switch {
	case err != nil:
		return false, fmt.Errorf("invalid message type: %w", err)
	case messageType == typeNotification && length == notificationLen:
		return c.handleNotification(d)
	case messageType == typeRequest && length == requestLen:
		return c.handleRequest(ctx, d, requests)
	default:
		return false, fmt.Errorf("unexpected message of type %d with %d elements", messageType, length)
	}
}

// handleRequest reads the rest of a request after its type, and starts serving it if it is accepted.
func (c *conn) handleRequest(ctx context.Context, d *decoder, requests *errgroup.Group) (excess bool, err error) {
	id, err := d.require(kindInt)
	if err != nil || !isMessageID(id) {
		return false, errors.Join(err, fmt.Errorf("invalid message ID %d", id))
	}
	method, hasMethod, err := d.text(c.server.Limits.MaxName)
	if err != nil {
		return false, err
	}
	if method == methodPing {
		c.reply(frame{head: pingResponse(uint32(id), c.server.Handler.Ready())})
		return true, d.skip()
	}
	params, err := c.decodeParams(d)
	if err != nil {
		return false, err
	}
	params.malformed = params.malformed || !hasMethod
	params.request.Class = method
	if err := c.checkPresence(); err != nil {
		params.request.Statement.Free()
		return false, err
	}
	r := &responder{conn: c, id: uint32(id)}
	if verdict, duplicate := c.register(r, params); verdict != requestAccepted {
		params.request.Statement.Free()
		return verdict.excess(), c.refuse(r, verdict, duplicate, params.invalidPart)
	}
	params.request.ClientState = c.clientState
	ctx, r.cancel = context.WithCancel(ctx)
	requests.Go(func() error {
		c.serveRequest(ctx, &params.request, r)
		return nil
	})
	return false, nil
}

// isMessageID reports whether a number is a valid message ID.
func isMessageID(id int64) bool { return id >= 0 && id <= math.MaxUint32 }

// requestVerdict is the decision on a request that was read.
type requestVerdict int

const (
	requestAccepted requestVerdict = iota
	requestOnClosedConn
	requestDuplicate // its message ID is that of an open request
	requestMalformed
	requestOverConnLimit // it exceeds the limit on open requests of its connection
	requestOverLimit     // it exceeds one of the server's limits, or the server is shutting down
)

// excess reports whether the client is at fault.
func (v requestVerdict) excess() bool { return v == requestMalformed || v == requestOverConnLimit }

// register adds a request to the in-flight table if it can be accepted. duplicate is the open request with the same message
// ID, if there is one.
func (c *conn) register(r *responder, params *params) (verdict requestVerdict, duplicate *responder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	duplicate = c.inFlight.find(r.id)
	switch {
	case c.closed:
		return requestOnClosedConn, duplicate
	case duplicate != nil:
		return requestDuplicate, duplicate
	case params.malformed || params.invalidPart != "":
		return requestMalformed, nil
	case c.inFlight.full(c.maxInFlight()):
		return requestOverConnLimit, nil
	case params.outOfBuffers, c.shuttingDown:
		return requestOverLimit, nil
	default:
		c.inFlight.add(r)
		params.request.Yields = c.overload.active(time.Now())
		return requestAccepted, nil
	}
}

// refuse answers a request that is not accepted. An error ends the connection.
func (c *conn) refuse(r *responder, verdict requestVerdict, duplicate *responder, invalidPart string) error {
	switch verdict {
	case requestOnClosedConn: // the client sees that the connection is closed and sends the request again
		return errConnClosing
	case requestDuplicate: // the client could not tell which of the two requests a response belongs to
		duplicate.fail(reasonDuplicateID)
		duplicate.cancel()
		return fmt.Errorf("message ID %d is already in use by an open request", r.id)
	case requestMalformed:
		r.fail(reasonMalformed + " " + invalidPart)
	case requestOverConnLimit, requestOverLimit:
		r.reject(c.server.RetryAfter)
	}
	return nil
}

// serveRequest calls the handler for a request. A panic fails only this request.
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

// handleNotification reads and handles the rest of a notification after its type. Unknown notifications are skipped. Each
// request that it cancels counts as excess by itself.
func (c *conn) handleNotification(d *decoder) (excess bool, err error) {
	method, _, err := d.text(c.server.Limits.MaxName)
	if err != nil {
		return false, err
	}
	count, ok, err := d.expect(kindArray)
	if err != nil || !ok {
		return true, err
	}
	excess = true
	for range count {
		id, ok, err := d.expect(kindInt)
		if err != nil {
			return false, err
		}
		if ok && method == methodAbort && isMessageID(id) && c.abort(uint32(id)) {
			excess = false
		}
	}
	return excess, nil
}

// abort cancels an open request that the client has aborted, if there is one. It gets no response.
func (c *conn) abort(id uint32) (found bool) {
	c.mu.Lock()
	r := c.inFlight.find(id)
	if r != nil {
		r.cancelByClient()
	}
	c.mu.Unlock()
	if r != nil {
		c.countExcess()
	}
	return r != nil
}
