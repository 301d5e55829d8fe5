package testutil

import (
	"bufio"
	"io"
	"net"
	"strings"
)

// Channel is the server side of the command channel. It accepts one controller connection at a time.
type Channel struct {
	*Trace
	net.Listener
	peer net.Conn
}

// ExpectConnection waits for a controller to connect and records the line with which it subscribes.
func (c *Channel) ExpectConnection() {
	c.T.Helper()
	peer, err := c.Accept()
	c.must(err)
	c.T.Cleanup(func() { peer.Close() })
	line, err := bufio.NewReader(peer).ReadString('\n')
	c.must(err)
	c.Recordf("channel: %q", line)
	c.peer = peer
}

// SendLine sends a line to the connected controller.
func (c *Channel) SendLine(line string) {
	c.T.Helper()
	c.SendRaw(line + "\n")
}

// SendRaw sends text to the connected controller without adding a line end.
func (c *Channel) SendRaw(text string) {
	c.T.Helper()
	c.Recordf("channel tells %s", localAddress.ReplaceAllString(strings.TrimSuffix(text, "\n"), "127.0.0.1:_"))
	_, err := io.WriteString(c.peer, text)
	c.must(err)
}

// CloseConn closes the connection to the controller.
func (c *Channel) CloseConn() { c.peer.Close() }

// StartChannel listens for controllers on a free loopback port, until the test ends.
func (x *Trace) StartChannel() *Channel {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	x.must(err)
	x.T.Cleanup(func() { l.Close() })
	return &Channel{Trace: x, Listener: l}
}
