package testutil

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Client is a client with one connection to a controller.
type Client struct {
	*Trace
	net.Conn
	in *msgpack.Decoder
}

// Send encodes a message as a MessagePack array and sends it.
func (c *Client) Send(message ...any) {
	b, err := msgpack.Marshal(message)
	c.must(err)
	_, err = c.Write(b)
	c.must(err)
}

// SendRequest sends a request whose reference is RequestID(id). allow is its time limit in milliseconds.
func (c *Client) SendRequest(id int, class string, allow int, statement string) {
	c.T.Helper()
	c.Recordf("client: job %d %s", id, class)
	c.Send(0, id, class, []any{map[string]string{"ref": RequestID(id), "allow": fmt.Sprint(allow), "effort": "820.0",
		"need_mb": "96"}, []byte(statement)})
}

// ReadAnswer reads the next message, an answer or a notification, and records it.
func (c *Client) ReadAnswer() {
	c.T.Helper()
	var answer []any
	if err := c.in.Decode(&answer); err != nil {
		c.Recordf("client: %s", describeConnError(err))
		return
	}
	if len(answer) == 3 {
		c.Recordf("client: told %v", answer)
		return
	}
	if result, ok := answer[3].([]any); ok {
		if rows, ok := result[0].([]byte); ok {
			result[0] = fmt.Sprintf("%q", rows)
		}
	}
	c.Recordf("client: answer %v", answer)
}

// ReadPong reads the answer to a ping and reports whether the controller is ready.
func (c *Client) ReadPong() bool {
	var answer []any
	c.must(c.in.Decode(&answer))
	return answer[3].([]any)[0].(bool)
}

// Dial connects a client to a controller, retrying until the controller listens.
func (x *Trace) Dial(address string) *Client {
	x.T.Helper()
	var peer net.Conn
	for end := time.Now().Add(testTimeout); peer == nil; {
		var err error
		if peer, err = net.Dial("tcp", address); err != nil && time.Now().After(end) {
			x.T.Fatal(err)
		}
	}
	peer.SetDeadline(time.Now().Add(testTimeout))
	x.T.Cleanup(func() { peer.Close() })
	return &Client{x, peer, msgpack.NewDecoder(peer)}
}

// RequestID returns the request reference that belongs to a message id: the last hexadecimal digit of the id, 16 times.
func RequestID(id int) string { return strings.Repeat(fmt.Sprintf("%x", id%16), 16) }
