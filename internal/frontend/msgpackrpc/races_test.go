package msgpackrpc

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

// A request whose client cancels it or disconnects is also cancelled while the server is shutting down.
func TestCancelDuringShutdown(t *testing.T) {
	x, g, s, address := startServer(t, nil)
	c, other := x.Dial(address), x.Dial(address)
	c.SendRequest(1, "report", 1500, "wait")
	c.SendRequest(2, "report", 1500, "wait")
	other.SendRequest(3, "report", 1500, "wait")
	for _, c := range []*testutil.Client{c, other} {
		c.Send(0, 99, "ping", []any{map[string]string{}})
		c.ReadPong() // the requests before it have been read
	}
	s.BeginShutdown()
	c.Send(2, "abort", []int{1})
	x.Recordf("cancelled: %s", <-g.cancelled)
	other.Close()
	x.Recordf("cancelled: %s", <-g.cancelled)
	close(g.release)
	c.ReadAnswer()
	c.ReadAnswer()
	x.Check()
}

// A client sends more invalid bytes than a message may contain and disconnects. Its requests must be cancelled.
func TestDisconnectAfterInvalidBytes(t *testing.T) {
	x, g, _, address := startServer(t, func(l *limits.Limits) { l.MaxMessage = 1 << 10 })
	c := x.Dial(address)
	c.SendRequest(1, "report", 1500, "wait")
	write(t, c, bytes.Repeat([]byte{0xc1}, 64<<10))
	c.ReadAnswer()
	c.Close()
	x.Recordf("cancelled: %s", <-g.cancelled)
	x.Check()
}

// A request that its client cancels no longer counts towards the connection's limit.
func TestCancelFreesPlace(t *testing.T) {
	x, g, _, address := startServer(t, func(l *limits.Limits) { l.MaxRequestsPerConn = 1 })
	c := x.Dial(address)
	for id := range 3 {
		c.SendRequest(id, "report", 1500, "wait")
		c.Send(2, "abort", []int{id})
		x.Recordf("cancelled: %s", <-g.cancelled)
	}
	c.SendRequest(3, "report", 1500, "done")
	c.ReadAnswer()
	x.Check()
}

// A client that sends many pings at once and reads only afterwards gets a response to each.
func TestPipelinedPings(t *testing.T) {
	x, g, _, address := startServer(t, func(l *limits.Limits) {
		l.ClientWriteTimeout = 3600
		l.PacedRate, l.MinPacedRate = 1e6, 1e6 // not the subject here
	})
	c := x.Dial(address)
	c.SendRequest(1, "report", 1500, "wait")
	const pings = 5000
	var all bytes.Buffer
	for id := range pings {
		all.Write(testutil.DecodeHex(fmt.Sprintf("9400cd%04x", id+2) + "a470696e67" + "9180"))
	}
	write(t, c, all.Bytes())
	ready := 0
	for range pings {
		if c.ReadPong() {
			ready++
		}
	}
	x.Recordf("%d of %d pings answered", ready, pings)
	close(g.release)
	c.ReadAnswer()
	x.Check()
}

// A connection is evicted at the moment at which a request arrives on it. Either the request is not accepted or the connection
// stays open.
func TestRequestRacesEviction(t *testing.T) {
	x := testutil.NewTrace(t)
	message := []byte("\x94\x00\x07\xa6report\x92\x84\xa3ref\xb0" + testutil.RequestID(5) + "\xa5allow\xa3900\xa6effort\xa11\xa7need_mb\xa12\xa4wait")
	for _, first := range []string{"eviction", "request"} {
		g := newFakeHandler()
		near, far := net.Pipe()
		c := unservedConn(g, near)
		ctx, cancel := context.WithCancel(context.Background())
		c.aborted = ctx.Done()
		var requests errgroup.Group
		handle := func() error {
			_, err := c.handleMessage(ctx, &decoder{in: bufio.NewReader(bytes.NewReader(message)), remaining: 1 << 12, values: 1 << 12, depth: 8}, &requests)
			return err
		}
		x.Recordf("%s first", first)
		later := time.Now().Add(time.Hour)
		if first == "request" {
			x.Recordf("  %v, taken %v", handle(), c.inFlight.open() == 1)
			x.Recordf("  evicted: %v", c.evict(later, 0))
		} else {
			x.Recordf("  evicted: %v", c.evict(later, 0))
			x.Recordf("  %v, taken %v", handle(), c.inFlight.open() == 1)
		}
		cancel()
		wait(&requests)
		near.Close()
		far.Close()
		if n := c.server.Pool.InUse(); n != 0 {
			t.Errorf("got %d buffers in use, want 0", n)
		}
	}
	x.Check()
}

// Bytes that arrive after the server's last response must not make the client lose responses that it has not read yet.
func TestBytesAfterLastResponse(t *testing.T) {
	x, g, s, address := startServer(t, func(l *limits.Limits) { l.ClientLinger = 3600 })
	c := x.Dial(address)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	const requests = 3
	for id := range requests {
		c.SendRequest(id, "report", 1500, "much")
	}
	waitFor(t, func() bool { return g.answered.Load() == requests && allWritten(s) })
	s.BeginShutdown()
	port := c.LocalAddr().(*net.TCPAddr).Port
	waitFor(t, func() bool { return closedByPeer(port) })
	c.Send(0, 99, "ping", []any{map[string]string{}})
	complete := 0
	for range requests {
		x.Lines = nil
		if c.ReadAnswer(); strings.Contains(x.Lines[0], longText) {
			complete++
		}
	}
	x.Lines = nil
	x.Recordf("%d of %d answers whole", complete, requests)
	c.ReadAnswer()
	x.Check()
}

// allWritten reports whether the server's only connection has read everything and written all its responses.
func allWritten(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.sentMessage && !c.midMessage && c.inFlight.empty() && len(c.responses) == 0
	}
	return false
}

// waitFor waits until a condition is true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10s")
		}
	}
}

// closedByPeer reports whether the server has closed its side of the connection from the client's port.
func closedByPeer(port int) bool {
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 3 && strings.HasSuffix(f[2], fmt.Sprintf(":%04X", port)) {
			return f[3] != "01" // established
		}
	}
	return true
}

// stubbornHandler serves requests as an engine that can't be cancelled makes a gateway do it: Serve returns when the test
// releases it, whether or not the client is still there.
type stubbornHandler struct{ fakeHandler }

func (h stubbornHandler) Serve(ctx context.Context, r *gateway.Request, responder gateway.Responder) {
	<-h.release
	h.fakeHandler.Serve(ctx, r, responder)
}

// Guards against connections that are not accepted because those of clients that have left count until their requests end.
func TestDisconnectedClientsFreeTheirPlaces(t *testing.T) {
	resets := func(c *testutil.Client) { // the client goes without reading what the server has sent
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	for name, leave := range map[string]func(*testutil.Client){
		"closes": func(c *testutil.Client) { c.Close() },
		"resets": resets,
		"closes after invalid bytes": func(c *testutil.Client) {
			write(t, c, bytes.Repeat([]byte{0xc1}, 10))
			c.ReadAnswer()
			c.Close()
		},
		"closes behind a message without an end": func(c *testutil.Client) {
			write(t, c, testutil.DecodeHex("94 00 07"))
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			const clients = 4
			handler := stubbornHandler{newFakeHandler()}
			x, _, s, address := startServer(t, func(l *limits.Limits) {
				l.MaxClientConns, l.ClientConnsSoftLimit, l.ClientConnsHardLimit = clients, clients, clients+1
			}, func(s *Server) { s.Handler = handler })
			t.Cleanup(func() { close(handler.release) })
			for round := range 3 {
				var leaving []*testutil.Client
				for id := range clients {
					c := x.Dial(address)
					c.SendRequest(round*clients+id+1, "report", 20000, "wait")
					c.Send(0, 99, "ping", []any{map[string]string{}})
					c.ReadPong() // the request has been read
					leaving = append(leaving, c)
				}
				for _, c := range leaving {
					leave(c)
				}
			}
			late := x.Dial(address)
			late.Send(0, 1, "ping", []any{map[string]string{}})
			late.ReadPong()
			waitFor(t, func() bool { return s.busyConns.Load() == 0 })
		})
	}
}

// A request that arrives while the server begins to shut down gets exactly one response. If it is sent concurrently with
// BeginShutdown, the client may see the end of the connection instead.
func TestRequestRacesShutdown(t *testing.T) {
	x := testutil.NewTrace(t)
	answered, answeredOrClosed := 0, 0
	const times = 200
	for i := range times {
		_, _, s, address := startServer(t, nil)
		c := x.Dial(address)
		c.SendRequest(1, "report", 1500, "first")
		c.ReadAnswer()
		sent := make(chan struct{})
		go func() { defer close(sent); c.SendRequest(2, "report", 1500, "crosses") }()
		if i%2 == 0 {
			<-sent
		}
		s.BeginShutdown()
		<-sent
		x.Lines = nil
		c.ReadAnswer()
		c.ReadAnswer()
		complete := strings.Contains(x.Lines[0], "crosses") || strings.Contains(x.Lines[0], "Rejected")
		switch end := "client: connection ended"; {
		case i%2 == 0 && complete && x.Lines[1] == end:
			answered++
		case i%2 == 1 && (complete && x.Lines[1] == end || x.Lines[0] == end):
			answeredOrClosed++
		}
	}
	x.Lines = nil
	x.Recordf("sent before: %d of %d answered; beside: %d of %d answered, or told that nothing more comes", answered, times/2, answeredOrClosed, times/2)
	x.Check()
}
