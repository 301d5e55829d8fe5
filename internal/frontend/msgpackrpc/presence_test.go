package msgpackrpc

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

// lookups returns encoded requests with message IDs from first on.
func lookups(t *testing.T, first, count int, statement []byte) []byte {
	t.Helper()
	var all bytes.Buffer
	for n := first; n < first+count; n++ {
		message, err := msgpack.Marshal([]any{0, uint32(n), "lookup", []any{map[string]string{"ref": fmt.Sprintf("%016x", n), "allow": "1000",
			"effort": "5", "need_mb": "32"}, statement}})
		if err != nil {
			t.Fatal(err)
		}
		all.Write(message)
	}
	return all.Bytes()
}

// acceptingHandler records when requests are accepted and answers them at once.
type acceptingHandler struct{ accepted chan time.Time }

func (h acceptingHandler) Ready() bool { return true }

func (h acceptingHandler) Serve(_ context.Context, _ *gateway.Request, responder gateway.Responder) {
	h.accepted <- time.Now()
	responder.Succeeded(nil)
}

// Guards against requests that are accepted after their client has closed its connection behind them, because the reader is paced.
func TestNothingAcceptedAfterDisconnect(t *testing.T) {
	const requests, grace = 600, 100 * time.Millisecond
	for name, leave := range map[string]func(c *testutil.Client) error{
		"closes": func(c *testutil.Client) error { return c.Close() },
		"resets": func(c *testutil.Client) error {
			if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
		"closes its sending side": func(c *testutil.Client) error { return c.Conn.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			handler := acceptingHandler{make(chan time.Time, requests)}
			x, _, s, address := startServer(t, func(lim *limits.Limits) {
				lim.MaxRequestsPerConn, lim.ExcessPerConn, lim.PacedRate, lim.MinPacedRate = 4, 4, 1, 1
			}, func(s *Server) { s.Handler = handler })
			c := x.Dial(address)
			write(t, c, lookups(t, 1, requests, []byte("x")))
			time.Sleep(400 * time.Millisecond) // the reader pauses for some hundred milliseconds at a time by now
			if err := leave(c); err != nil {
				t.Fatal(err)
			}
			left := time.Now()
			waitFor(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.conns) == 0 })
			close(handler.accepted)
			count := 0
			for at := range handler.accepted {
				count++
				if after := at.Sub(left); after > grace {
					t.Errorf("a request was accepted %v after its client had left", after)
				}
			}
			if count == 0 || count == requests {
				t.Errorf("%d of %d requests were accepted before, want some", count, requests)
			}
		})
	}
}

// askingHandler asks for the state of the client after a while.
type askingHandler struct {
	delay   time.Duration
	entered chan struct{}
	states  chan gateway.ClientState
}

func (h askingHandler) Ready() bool { return true }

func (h askingHandler) Serve(_ context.Context, request *gateway.Request, responder gateway.Responder) {
	h.entered <- struct{}{}
	time.Sleep(h.delay)
	h.states <- request.ClientState()
	responder.Succeeded(nil)
}

// A client counts as possibly gone while so much of its input has been unread for a while that the end may be behind it, and only
// then.
func TestClientState(t *testing.T) {
	const delay = 2 * maxInputLag
	for _, c := range []struct {
		name string
		more int // further requests that the client sends behind the first
		end  bool
		want gateway.ClientState
	}{
		{"idle", 0, false, gateway.ClientConnected},
		{"some unread input", 100, false, gateway.ClientConnected},
		{"much unread input", 10 * maxHiddenInput / 100, false, gateway.ClientUnknown},
		{"closed behind unread input", 600, true, gateway.ClientDisconnected},
	} {
		t.Run(c.name, func(t *testing.T) {
			handler := askingHandler{delay, make(chan struct{}, 100), make(chan gateway.ClientState, 100)}
			x, _, _, address := startServer(t, func(lim *limits.Limits) {
				lim.MaxRequestsPerConn, lim.ExcessPerConn, lim.MinExcessPerConn, lim.PacedRate, lim.MinPacedRate = 1, 0, 0, 1e-3, 1e-3
			}, func(s *Server) { s.Handler = handler })
			client := x.Dial(address)
			write(t, client, lookups(t, 1, 1+c.more, []byte("x")))
			<-handler.entered
			if c.end {
				client.Close()
			}
			if got := <-handler.states; got != c.want {
				t.Errorf("got state %d, want %d", got, c.want)
			}
		})
	}
}

// A client that connects from the address of one that has left gets no answer to the other's request, which is cancelled.
func TestClientAddressTakenOver(t *testing.T) {
	x, g, _, address := startServer(t, nil)
	first := x.Dial(address)
	local := first.LocalAddr()
	first.SendRequest(1, "report", 20000, "wait")
	first.Send(0, 99, "ping", []any{map[string]string{}})
	first.ReadPong() // the request has been read
	if err := first.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	first.Close()
	var peer net.Conn
	waitFor(t, func() bool { // until the address is free again
		var err error
		peer, err = (&net.Dialer{LocalAddr: local}).Dial("tcp", address)
		return err == nil
	})
	defer peer.Close()
	x.Recordf("cancelled: %s", <-g.cancelled)
	second := &testutil.Client{Trace: x, Conn: peer}
	second.SendRequest(1, "report", 1500, "mine")
	var answer []any
	if err := msgpack.NewDecoder(peer).Decode(&answer); err != nil || !strings.Contains(fmt.Sprint(answer), "mine") {
		t.Errorf("got answer %v, error %v", answer, err)
	}
	x.Check()
}
