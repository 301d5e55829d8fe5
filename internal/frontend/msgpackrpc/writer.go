package msgpackrpc

import (
	"net"
	"time"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/limits"
)

// frame is a message to be written: a head, followed by the rows and a tail.
type frame struct {
	head, tail []byte
	rows       *bufferpool.Chain
	pending    bool // it counts as a pending response in the in-flight table
}

// respond passes a request's response to the writer. c.mu must be held.
func (c *conn) respond(f frame) {
	select {
	case c.responses <- f:
	default: // more responses are pending than there can be requests
		f.rows.Free()
		c.peer.Close()
	}
}

// reply passes a frame from the reader to the writer and waits until the writer receives it. Nothing is read in the meantime,
// so many messages at once fill the client's send buffer and not the server's memory.
// Meanwhile a client that disconnects is noticed.
func (c *conn) reply(f frame) {
	select {
	case c.replies <- f:
		return
	default:
	}
	ticker := time.NewTicker(presenceInterval)
	defer ticker.Stop()
	for {
		select {
		case c.replies <- f:
			return
		case <-c.aborted:
			return
		case <-ticker.C:
			_ = c.checkPresence() // ends the connection, and so this loop
		}
	}
}

// writeLoop writes frames until responses is closed or a write fails. After a failed write it calls cancel, which ends the
// reader. Responses that are queued when the reader sends a reply are written before that reply.
func (c *conn) writeLoop(responses <-chan frame, cancel func()) (err error) {
	for err == nil {
		select {
		case f, more := <-responses:
			if !more {
				return nil
			}
			err = c.write(f)
		case reply := <-c.replies:
			for n := len(responses); n > 0 && err == nil; n-- {
				err = c.write(<-responses)
			}
			if err == nil {
				err = c.write(reply)
			}
		}
	}
	cancel()
	for f := range responses {
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
	if f.pending {
		c.mu.Lock()
		c.inFlight.written()
		c.mu.Unlock()
	}
	return err
}
