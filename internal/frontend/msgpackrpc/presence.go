package msgpackrpc

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"copperrock.example/copperrock/internal/gateway"
)

// errDisconnected means that the client has closed the connection although input of it is still unread.
var errDisconnected = errors.New("the client has disconnected")

const (
	// presenceInterval is the interval between checks whether the client is still there while the reader waits for something
	// else than input.
	presenceInterval = 25 * time.Millisecond

	// maxInputLag is how long the reader may be behind a client's input before the client counts as possibly gone.
	maxInputLag = 50 * time.Millisecond

	// maxHiddenInput is the number of unread bytes in the system's buffer from which on more may wait at the client, and the end
	// of the stream behind it.
	maxHiddenInput = 32 << 10
)

// checkPresence returns errDisconnected, and ends the connection, if the client has closed it. A reader with unread input does not
// learn this by reading: the end of the stream comes behind the input.
func (c *conn) checkPresence() error {
	if !hasDisconnected(c.peer) {
		return nil
	}
	c.cancel()
	return errDisconnected
}

// clientState tells the gateway whether the client is still there. It is called before each attempt.
func (c *conn) clientState() gateway.ClientState {
	select {
	case <-c.aborted:
		return gateway.ClientDisconnected
	default:
	}
	switch {
	case hasDisconnected(c.peer):
		return gateway.ClientDisconnected
	case c.input.lag() > maxInputLag && unreadBytes(c.peer) >= maxHiddenInput:
		return gateway.ClientUnknown
	default:
		return gateway.ClientConnected
	}
}

// input reads from a connection and records when the reader had read all that had arrived. Only lag may be called by other
// goroutines than the reader's.
type input struct {
	peer       net.Conn
	more       bool         // the last read filled the buffer, so more may have arrived
	waiting    atomic.Bool  // the reader waits for input, and nothing had arrived
	caughtUpAt atomic.Int64 // time at which the reader had last read everything, in Unix nanoseconds
}

func newInput(peer net.Conn) *input {
	i := &input{peer: peer}
	i.caughtUpAt.Store(time.Now().UnixNano())
	return i
}

// Read reads from the connection.
func (i *input) Read(buffer []byte) (int, error) {
	i.waiting.Store(!i.more)
	n, err := i.peer.Read(buffer)
	i.more = n == len(buffer)
	if !i.more {
		i.caughtUpAt.Store(time.Now().UnixNano())
	}
	i.waiting.Store(false)
	return n, err
}

// lag returns for how long there may have been unread input.
func (i *input) lag() time.Duration {
	if i.waiting.Load() {
		return 0
	}
	return time.Since(time.Unix(0, i.caughtUpAt.Load()))
}
