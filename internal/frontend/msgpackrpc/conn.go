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

// errConnClosing means that the connection ends from here, with nothing open on it.
var errConnClosing = errors.New("the connection ends here")

// conn is one client's connection.
type conn struct {
	server  *Server
	peer    net.Conn
	aborted <-chan struct{} // closed when the connection is to be cut off

	responses chan frame // of requests: there is room for all that can be owed
	replies   chan frame // the reader's own; it waits for the writer, as a client may send many messages at once

	mu           sync.Mutex
	inFlight     inFlight
	overload     overload
	sentMessage  bool // a complete message has come
	midMessage   bool // a message has begun
	shuttingDown bool // requests that still come are rejected
	evicted      bool // nothing more is taken
	lastUsed     time.Time
}

// newConn makes a connection that serve has yet to run.
func newConn(s *Server, peer net.Conn) *conn {
	return &conn{
		server:    s,
		peer:      peer,
		responses: make(chan frame, 4*s.Limits.MaxRequestsPerConn),
		replies:   make(chan frame),
		inFlight:  newInFlight(&s.busyConns),
		lastUsed:  time.Now(),
	}
}

// beginShutdown has what still comes rejected, and ends the connection once nothing is open on it.
func (c *conn) beginShutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	c.readOnceMore()
}

// readOnceMore has the reader of a connection that shuts down look a last time: what has come by now is answered. A
// deadline in the past would have it pass over what lies there. The lock is held.
func (c *conn) readOnceMore() {
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

// serve runs a connection to its end. When the client has gone, its requests are cancelled; after a message that cannot
// be parsed they are answered first.
func (c *conn) serve(ctx context.Context) {
	defer c.server.forget(c)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.aborted = ctx.Done()
	stop := context.AfterFunc(ctx, func() { c.peer.Close() })
	var requests, writer, rest errgroup.Group
	writer.Go(func() error { return c.writeLoop(cancel) })
	err := c.readLoop(ctx, &requests)
	if clientGone(err) {
		c.logOpenRequests(err)
		cancel()
	} else {
		if !errors.Is(err, errConnClosing) {
			c.server.Log.Info().Err(err).Str("client", c.peer.RemoteAddr().String()).Msg("client sent no valid message")
			c.reply(frame{head: failedResponse(noMessageID, reasonUnreadable)})
		}
		c.discardRest(&rest, cancel)
	}
	wait(&requests)
	close(c.responses)
	wait(&writer)
	c.closeGracefully(&rest)
	stop()
	c.peer.Close()
	wait(&rest)
}

// wait waits for goroutines whose errors have been dealt with where they arose.
func wait(group *errgroup.Group) { _ = group.Wait() }

// clientGone reports whether an error of reading means that the client has closed the connection or cannot be reached.
func clientGone(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return true
	}
	return !errors.Is(err, os.ErrDeadlineExceeded) && errors.As(err, new(*net.OpError))
}

// logOpenRequests reports a client that has gone with requests open.
func (c *conn) logOpenRequests(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.inFlight.open(); n > 0 {
		c.server.Log.Info().Err(err).Int("requests", n).Str("client", c.peer.RemoteAddr().String()).
			Msg("client disconnected with open requests")
	}
}

// discardRest reads on without looking: what is left unread would reset the connection under the responses. The requests
// are cancelled when the client goes.
func (c *conn) discardRest(group *errgroup.Group, cancel func()) {
	c.peer.SetReadDeadline(time.Time{})
	group.Go(func() error {
		_, err := io.Copy(io.Discard, struct{ io.Reader }{c.peer})
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
		return nil
	})
}

// closeGracefully tells the client that nothing more follows and gives it a moment to close. Bytes that still came would
// reset the connection and take away responses that the client has not read yet.
func (c *conn) closeGracefully(rest *errgroup.Group) {
	if half, ok := c.peer.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.peer.SetReadDeadline(time.Now().Add(limits.Duration(c.server.Limits.ClientLinger)))
		wait(rest)
	}
}

// readLoop takes messages until the connection ends, and returns why.
func (c *conn) readLoop(ctx context.Context, requests *errgroup.Group) error {
	lim := &c.server.Limits
	in := bufio.NewReaderSize(c.peer, lim.BufferSize)
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
		if err := c.handleMessage(ctx, &decoder{in: in, remaining: lim.MaxMessage, depth: lim.MaxDepth}, requests); err != nil {
			return err
		}
		c.pace(ctx, in.Buffered() > 0)
	}
}

// beginRead gives the next read so many seconds; midMessage says that a message has begun. It is false where the
// connection was evicted.
func (c *conn) beginRead(timeout float64, midMessage bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.midMessage && !midMessage {
		c.sentMessage = true
	}
	c.lastUsed, c.midMessage = time.Now(), midMessage
	c.peer.SetReadDeadline(c.lastUsed.Add(limits.Duration(timeout)))
	c.readOnceMore()
	return !c.evicted
}
