package testutil

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Client is a client on one connection.
type Client struct {
	*Trace
	net.Conn
	in *msgpack.Decoder
}

// Send writes a message as it is.
func (c *Client) Send(message ...any) {
	b, err := msgpack.Marshal(message)
	c.must(err)
	_, err = c.Write(b)
	c.must(err)
}

// SendRequest asks for a job whose ref is its message id sixteen times over.
func (c *Client) SendRequest(id int, class string, allow int, statement string) {
	c.T.Helper()
	c.Recordf("client: job %d %s", id, class)
	c.Send(0, id, class, []any{map[string]string{"ref": RequestID(id), "allow": fmt.Sprint(allow), "effort": "820.0",
		"need_mb": "96"}, []byte(statement)})
}

// ReadAnswer reads one answer.
func (c *Client) ReadAnswer() {
	c.T.Helper()
	var answer []any
	if err := c.in.Decode(&answer); err != nil {
		c.Recordf("client: %s", ending(err))
		return
	}
	if len(answer) == 3 {
		c.Recordf("client: told %v", answer)
		return
	}
	if done, ok := answer[3].([]any); ok {
		if rows, ok := done[0].([]byte); ok {
			done[0] = fmt.Sprintf("%q", rows)
		}
	}
	c.Recordf("client: answer %v", answer)
}

// ReadPong reads the answer to a ping.
func (c *Client) ReadPong() bool {
	var answer []any
	c.must(c.in.Decode(&answer))
	return answer[3].([]any)[0].(bool)
}

// Dial connects a client.
func (x *Trace) Dial(address string) *Client {
	x.T.Helper()
	var peer net.Conn
	for end := time.Now().Add(patience); peer == nil; {
		var err error
		if peer, err = net.Dial("tcp", address); err != nil && time.Now().After(end) {
			x.T.Fatal(err)
		}
	}
	peer.SetDeadline(time.Now().Add(patience))
	x.T.Cleanup(func() { peer.Close() })
	return &Client{x, peer, msgpack.NewDecoder(peer)}
}

// RequestID is the id of a job.
func RequestID(id int) string { return strings.Repeat(fmt.Sprintf("%x", id%16), 16) }
