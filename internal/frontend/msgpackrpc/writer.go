package msgpackrpc

import (
	"net"
	"time"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/limits"
)

// frame is a message that waits to be written: a head, then rows, then a tail.
type frame struct {
	head, tail []byte
	rows       *bufferpool.Chain
	owed       bool // it is the response to a request of the in-flight table
}

// respond hands a request's response to the writer.
func (c *conn) respond(f frame) {
	select {
	case c.responses <- f:
	default: // more are owed than there can be requests
		f.rows.Free()
		c.peer.Close()
	}
}

// reply hands the reader's own frame to the writer and waits until the writer takes it. Nothing is read meanwhile, so
// that many messages at once fill the client's side and not this one.
func (c *conn) reply(f frame) {
	select {
	case c.replies <- f:
	case <-c.aborted:
	}
}

// writeLoop writes frames until there are no more or one cannot be written; it calls broken then, which has the reader
// end. A reply of the reader goes after the responses that were given before.
func (c *conn) writeLoop(broken func()) (err error) {
	for err == nil {
		select {
		case f, more := <-c.responses:
			if !more {
				return nil
			}
			err = c.write(f)
		case reply := <-c.replies:
			for n := len(c.responses); n > 0 && err == nil; n-- {
				err = c.write(<-c.responses)
			}
			if err == nil {
				err = c.write(reply)
			}
		}
	}
	broken()
	for f := range c.responses {
		f.rows.Free()
	}
	return err
}

// write writes one frame and frees its rows.
func (c *conn) write(f frame) error {
	c.peer.SetWriteDeadline(time.Now().Add(limits.Duration(c.server.Limits.ClientWriteTimeout)))
	parts := append(net.Buffers{f.head}, f.rows.Parts()...)
	parts = append(parts, f.tail)
	_, err := parts.WriteTo(c.peer)
	f.rows.Free()
	if f.owed {
		c.mu.Lock()
		c.inFlight.written()
		c.mu.Unlock()
	}
	return err
}
