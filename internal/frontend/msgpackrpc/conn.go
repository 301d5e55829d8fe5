package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/limits"
)

// errConnClosing means that the server closes the connection, which has no open requests.
var errConnClosing = errors.New("the connection ends here")

// conn is the connection of one client.
type conn struct {
	server  *Server
	peer    net.Conn
	aborted <-chan struct{} // closed when the client has gone, a write has failed or the server is stopped
	cancel  func()          // closes aborted

	input   *input
	replies chan frame // frames sent by the reader; unbuffered because a client may send many messages at once

	mu           sync.Mutex
	responses    chan frame // responses to requests; has capacity for all that can be pending; nil once the writer is to end
	inFlight     inFlight
	overload     overload
	sentMessage  bool // the client has sent a complete message
	midMessage   bool // a message has begun to arrive and has not been handled yet
	shuttingDown bool // further requests are rejected
	closed       bool // peer is closed; no further message is accepted
	lastUsed     time.Time
}

// newConn returns a connection for serve to run.
func newConn(s *Server, peer net.Conn) *conn {
	return &conn{
		server:    s,
		peer:      peer,
		input:     newInput(peer),
		responses: make(chan frame, 4*s.Limits.MaxRequestsPerConn),
		replies:   make(chan frame),
		inFlight:  newInFlight(&s.busyConns),
		lastUsed:  time.Now(),
	}
}

// beginShutdown rejects further requests and closes the connection once it has no open requests.
func (c *conn) beginShutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	c.scheduleFinalRead()
}

// scheduleFinalRead sets a short last read deadline if the connection is shutting down and has no open requests. Messages
// that have already arrived are still answered; with a deadline in the past the reader would skip them. c.mu must be held.
func (c *conn) scheduleFinalRead() {
	if c.shuttingDown && c.inFlight.open() == 0 && !c.midMessage {
		c.peer.SetReadDeadline(time.Now().Add(limits.Duration(c.server.Limits.FinalReadTime)))
	}
}

// idle reports whether no request is open and no message has begun.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight.open() == 0 && !c.midMessage
}

// serve runs a connection until it ends. If the client disconnects, its requests are cancelled. After a message that cannot
// be parsed, the open requests are answered before the connection is closed.
func (c *conn) serve(ctx context.Context) {
	defer c.server.forget(c)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.aborted, c.cancel = ctx.Done(), cancel
	stop := context.AfterFunc(ctx, c.disconnect)
	var requests, writer, rest errgroup.Group
	responses := c.responses
	writer.Go(func() error { return c.writeLoop(responses, cancel) })
	err := c.readLoop(ctx, &requests)
	if clientGone(err) {
		c.logOpenRequests(err)
		cancel()
	} else {
		if !errors.Is(err, errConnClosing) {
			c.server.Log.Info().Err(err).Str("client", c.peer.RemoteAddr().String()).Msg("invalid message from client")
			c.reply(frame{head: failedResponse(noMessageID, reasonUnreadable)})
		}
		c.discardRest(ctx, &rest, cancel)
	}
	wait(&requests)
	c.endResponses()
	wait(&writer)
	c.closeGracefully(&rest)
	stop()
	c.peer.Close()
	wait(&rest)
}

// disconnect closes the connection and cancels its open requests, which get no response. It is called whenever the context of
// the connection ends, for whatever reason. The requests themselves may take longer to end, as an engine that cannot cancel
// an attempt runs it to its end; from here on they use neither a place among the server's connections nor buffers of this one.
func (c *conn) disconnect() {
	c.peer.Close()
	c.mu.Lock()
	c.closed = true
	c.inFlight.dropAll()
	c.mu.Unlock()
	c.endResponses()
	c.server.forget(c)
}

// endResponses closes c.responses, so that the writer ends after the responses that are in it.
func (c *conn) endResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responses != nil {
		close(c.responses)
		c.responses = nil
	}
}

// wait waits for goroutines that have already handled their errors.
func wait(group *errgroup.Group) { _ = group.Wait() }

// clientGone reports whether a read error means that the client has closed the connection or cannot be reached.
func clientGone(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errDisconnected) {
		return true
	}
	return !errors.Is(err, os.ErrDeadlineExceeded) && errors.As(err, new(*net.OpError))
}

// logOpenRequests logs that the client has disconnected if it had open requests.
func (c *conn) logOpenRequests(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.inFlight.open(); n > 0 {
		c.server.Log.Info().Err(err).Int("requests", n).Str("client", c.peer.RemoteAddr().String()).
			Msg("client disconnected with open requests")
	}
}

// discardRest reads and discards the rest of the client's input. Unread input would reset the connection when it is closed,
// and the client could lose responses. If the client disconnects, cancel is called to cancel its requests.
func (c *conn) discardRest(ctx context.Context, group *errgroup.Group, cancel func()) {
	c.peer.SetReadDeadline(time.Time{})
	group.Go(func() error {
		if err := c.discard(ctx); !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
		return nil
	})
}

// discardStep is the number of bytes that are discarded for one message that the pacer allows.
const discardStep = 16 << 10

// discard reads and discards input until the connection ends, and returns the reason. All connections together do so at a
// bounded rate, as a client may send without end.
func (c *conn) discard(ctx context.Context) error {
	for {
		if _, err := io.CopyN(io.Discard, c.input, discardStep); err != nil {
			return err
		}
		if now := time.Now(); !c.server.pacer.allow(now) {
			if err := c.sleep(ctx, now.Add(firstPause)); err != nil {
				return err
			}
		}
	}
}

// closeGracefully closes the sending side of the connection and waits for up to Limits.ClientLinger for the client to close
// its own. Bytes that arrive after a full close would reset the connection, and the client would lose responses that it has
// not read yet.
func (c *conn) closeGracefully(rest *errgroup.Group) {
	if half, ok := c.peer.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.peer.SetReadDeadline(time.Now().Add(limits.Duration(c.server.Limits.ClientLinger)))
		wait(rest)
	}
}

// readLoop reads and handles messages until the connection ends, and returns the reason.
func (c *conn) readLoop(ctx context.Context, requests *errgroup.Group) error {
	lim := &c.server.Limits
	in := bufio.NewReaderSize(c.input, lim.BufferSize)
	for timeout := lim.FirstMessageTimeout; ; timeout = lim.ClientIdleTimeout {
		if !c.beginRead(timeout, false) {
			return errConnClosing
		}
		if _, err := in.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			if c.idle() {
				return errConnClosing
			}
			continue
		}
		if !c.beginRead(lim.ClientReadTimeout, true) {
			return errConnClosing
		}
		excess, err := c.handleMessage(ctx, &decoder{in: in, remaining: lim.MaxMessage, values: lim.MaxValues, depth: lim.MaxDepth}, requests)
		if err != nil {
			return err
		}
		if excess {
			c.countExcess()
		}
		if err := c.pace(ctx, in.Buffered() > 0); err != nil {
			return err
		}
	}
}

// beginRead sets the timeout, in seconds, of the next read. midMessage is whether a message has begun to arrive. beginRead
// returns false if the connection has been closed.
func (c *conn) beginRead(timeout float64, midMessage bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.midMessage && !midMessage {
		c.sentMessage = true
	}
	c.lastUsed, c.midMessage = time.Now(), midMessage
	c.peer.SetReadDeadline(c.lastUsed.Add(limits.Duration(timeout)))
	c.scheduleFinalRead()
	return !c.closed
}
