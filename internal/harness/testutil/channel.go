package testutil

import (
	"bufio"
	"io"
	"net"
	"strings"
)

// Channel is the command channel.
type Channel struct {
	*Trace
	net.Listener
	peer net.Conn
}

// ExpectConnection waits for a controller and what it asks for.
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

// SendLine writes a line.
func (c *Channel) SendLine(line string) {
	c.T.Helper()
	c.SendRaw(line + "\n")
}

// SendRaw writes bytes as they are.
func (c *Channel) SendRaw(text string) {
	c.T.Helper()
	c.Recordf("channel tells %s", port.ReplaceAllString(strings.TrimSuffix(text, "\n"), "127.0.0.1:_"))
	_, err := io.WriteString(c.peer, text)
	c.must(err)
}

// CloseConn ends the connection.
func (c *Channel) CloseConn() { c.peer.Close() }

// StartChannel starts one.
func (x *Trace) StartChannel() *Channel {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	x.must(err)
	x.T.Cleanup(func() { l.Close() })
	return &Channel{Trace: x, Listener: l}
}
