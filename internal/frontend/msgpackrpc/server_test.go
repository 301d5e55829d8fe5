package msgpackrpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

// fakeHandler answers each request with its decoded fields. Some statements select another behaviour.
type fakeHandler struct {
	cancelled chan string   // IDs of waiting requests that were cancelled
	release   chan struct{} // closed to answer the waiting requests
	answered  *atomic.Int32 // number of requests for which Serve has returned
}

// longText is the answer to the statement "much".
var longText = strings.Repeat("x", 40000)

func newFakeHandler() fakeHandler {
	return fakeHandler{make(chan string, 100), make(chan struct{}), &atomic.Int32{}}
}

func (h fakeHandler) Ready() bool { return true }

func (h fakeHandler) Serve(ctx context.Context, r *gateway.Request, responder gateway.Responder) {
	defer h.answered.Add(1)
	fail := func(reason string) { responder.Failed(errors.New(reason)) }
	text := string(r.Statement.Bytes())
	switch {
	case text == "wait":
		select {
		case <-ctx.Done():
			h.cancelled <- r.ID
		case <-h.release:
			fail("released")
		}
	case text == "whose":
		if r.WantsWaitEstimate {
			responder.WaitEstimate(fairshare.Estimate{Start: 0.25, Completion: 1.5, StartLow: 0.1, StartHigh: 0.4})
		}
		fail(fmt.Sprintf("team %q customer %q key %q", r.Team, r.Tenant, r.OrderKey))
		responder.WaitEstimate(fairshare.Estimate{Start: 1, Completion: 1, StartLow: 1, StartHigh: 1}) // not sent: answered
	case text == "much":
		fail(longText)
	case text == "throttle":
		responder.Failed(&gateway.RequestError{Op: "admit", ID: r.ID, Err: &gateway.RejectedError{RetryAfter: 1.5}})
	case len(text) > 100:
		fail(fmt.Sprintf("%s %s %g %g %g %d bytes", r.Class, r.ID, r.Timeout, r.EstimatedWork, r.EstimatedMemory, len(text)))
	default:
		fail(fmt.Sprintf("%s %s %g %g %g %s", r.Class, r.ID, r.Timeout, r.EstimatedWork, r.EstimatedMemory, text))
	}
}

// startServer starts a server with limits changed by changeLimits, if not nil, and fields changed by configure. At the end of
// the test the server is stopped, and no buffer may be in use.
func startServer(t *testing.T, changeLimits func(*limits.Limits), configure ...func(*Server)) (
	x *testutil.Trace, g fakeHandler, s *Server, address string,
) {
	x = testutil.NewTrace(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lim := limits.For(64, 256)
	if changeLimits != nil {
		changeLimits(&lim)
	}
	g = newFakeHandler()
	s = &Server{Handler: g, Limits: lim, Pool: bufferpool.NewPool(lim.BufferSize, lim.MaxBuffers), Log: zerolog.Nop()}
	for _, f := range configure {
		f(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx, l) })
	t.Cleanup(func() {
		l.Close()
		cancel()
		if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		if n := s.Pool.InUse(); n != 0 {
			t.Errorf("got %d buffers in use, want 0", n)
		}
	})
	return x, g, s, l.Addr().String()
}

// write sends raw bytes.
func write(t *testing.T, c *testutil.Client, b []byte) {
	t.Helper()
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
}

// Values are decoded in every form that MessagePack allows. A statement may take several buffers.
func TestValueForms(t *testing.T) {
	x, _, _, address := startServer(t, nil)
	c := x.Dial(address)
	c.SendRequest(1, "report", 1500, "select 1")
	c.ReadAnswer()
	c.SendRequest(2, "report", 1500, "throttle")
	c.ReadAnswer()
	c.SendRequest(3, "report", 1500, strings.Repeat("x", 20000))
	c.ReadAnswer()
	c.Send(0, 4, "ping", []any{map[string]string{}})
	c.ReadAnswer()
	id, ref := "a3726566", "b0"+hex.EncodeToString([]byte(testutil.RequestID(5)))
	allow, body := "a5616c6c6f77"+"a3393030"+"a66566666f7274a131"+"a76e6565645f6d62a132", "a0"
	for _, form := range []string{
		"94 00 05 a3727074 92 84" + id + ref + allow + body,
		"dc0004 cc00 cc05 d903727074 dd00000002 de0004 d903726566 d910" + ref[2:] + "da0005616c6c6f77 db00000003393030" + allow[20:] + "c400",
		"dd00000004 d000 cd0005 da0003727074 dc0002 df00000004 c403726566 c50010" + ref[2:] + "c605616c6c6f77",
	} {
		form = strings.Replace(form, "c605616c6c6f77", "c600000005616c6c6f77 c403393030"+allow[20:]+"c600000000", 1)
		write(t, c, testutil.DecodeHex(form))
		c.ReadAnswer()
	}
	write(t, c, testutil.DecodeHex("94 d10000 ce00000005 a3727074 93 85"+id+ref+allow+"a178 c0"+body+
		"95 cb0000000000000000 c3 81a161c2 d501ff00 c7020101ff"))
	c.ReadAnswer() // with an additional param that contains the other kinds of values
	x.Check()
}

// Fields are read under their configured names, and a field without a name is not read. The server sends a wait estimate only
// for requests that ask for one.
func TestFieldNames(t *testing.T) {
	for _, named := range []bool{false, true} {
		t.Run(fmt.Sprint("named ", named), func(t *testing.T) {
			x, _, _, address := startServer(t, nil, func(s *Server) {
				if named {
					s.Fields = FieldNames{Team: "team", Tenant: "who", OrderKey: "order", WaitEstimate: "wait"}
				}
			})
			for id, more := range []map[string]string{{"team": "members", "who": "acme", "order": "7", "wait": "1"},
				{"team": strings.Repeat("x", 200)}, nil} { // the second value is longer than Limits.MaxName
				fields := map[string]string{"ref": testutil.RequestID(id), "allow": "900", "effort": "1.0", "need_mb": "1", "": "none"}
				for name, value := range more {
					fields[name] = value
				}
				c := x.Dial(address)
				c.Send(0, id+1, "lookup", []any{fields, []byte("whose")})
				c.ReadAnswer()
				if named && more["wait"] != "" {
					c.ReadAnswer()
				}
			}
			testutil.CheckTrace(t, x.Lines)
		})
	}
}

// A malformed request is answered with an error. Bytes that are not a message end only the connection on which they arrive,
// after the requests on it have been answered.
func TestMalformedMessages(t *testing.T) {
	x, g, _, address := startServer(t, func(l *limits.Limits) { l.ClientReadTimeout = 0.1 })
	bystander := x.Dial(address)
	bystander.SendRequest(1, "report", 1500, "wait")
	fields := "84a3726566b0" + hex.EncodeToString([]byte(testutil.RequestID(5))) + "a5616c6c6f77a3393030" + "a66566666f7274a131" +
		"a76e6565645f6d62a132"
	for _, c := range []struct{ name, message string }{
		{"fields are no map", "94 00 07 a172 92 01 a0"},
		{"fields are missing", "94 00 07 a172 92 80 a0"},
		{"no arguments", "94 00 07 a172 90"},
		{"arguments are no list", "94 00 07 a172 c0"},
		{"method is no text", "94 00 07 01 92 80 a0"},
		{"allow is no number", "94 00 07 a172 92 81a5616c6c6f77a178 a0"},
		{"need is missing", "94 00 07 a172 92 83" + fields[2:len(fields)-20] + "a0"},
		{"effort twice", "94 00 07 a172 92 85" + fields[2:] + "a66566666f7274a131 a0"},
		{"effort below nothing", "94 00 07 a172 92 84" + strings.Replace(fields[2:], "a131", "a22d31", 1) + "a0"},
		{"effort beyond all use", "94 00 07 a172 92 84" + strings.Replace(fields[2:], "a131", "a3316539", 1) + "a0"},
		{"need is not a number", "94 00 07 a172 92 84" + strings.Replace(fields[2:], "a132", "a34e614e", 1) + "a0"},
		{"id is not one", "94 00 07 a172 92 84" + strings.Replace(fields[2:], "3535", "3578", 1) + "a0"},
		{"half a message", "94 00 07 a172"},
		{"a field is no text", "94 00 07 a172 92 81a372656601 a0"},
		{"no list", "01"},
		{"unknown kind of message", "94 05 07 a172 90"},
		{"message id is text", "94 00 a0 a172 90"},
		{"no value begins so", "94 00 07 a172 92 c1"},
		{"a text past the limit", "94 00 07 a172 92 80 db7fffffff 00"},
		{"a list without end", "94 00 07 a172 92 80 a0" + "93 00 07 ddffffffff"},
		{"nested too deep", "94 00 07 a172 93 80 a0" + strings.Repeat("91", 100)},
	} {
		x.Recordf("%s", c.name)
		peer := x.Dial(address)
		write(t, peer, testutil.DecodeHex(c.message))
		peer.ReadAnswer()
		peer.Close()
	}
	twice := x.Dial(address)
	twice.SendRequest(2, "report", 1500, "wait")
	twice.SendRequest(2, "report", 1500, "wait")
	twice.ReadAnswer()
	twice.ReadAnswer()
	twice.ReadAnswer()
	x.Recordf("cancelled: %s", <-g.cancelled)
	bystander.Send(2, "abort", []int{9, 1})
	x.Recordf("cancelled: %s", <-g.cancelled)
	bystander.SendRequest(3, "report", 1500, "still here")
	bystander.ReadAnswer()
	x.Check()
}

// Guards against large requests that stop half way, or arrive slowly, taking the buffers that small requests need.
func TestHalfSentRequestsLeaveBuffers(t *testing.T) {
	const buffers, clients, sent, announced = 32, 20, 40 << 10, 200 << 10
	x, _, s, address := startServer(t, func(l *limits.Limits) { l.MaxBuffers, l.ClientReadTimeout = buffers, 3600 })
	head := testutil.DecodeHex("94 00 07 a172 92 80 c6")
	head = append(head, 0, announced>>16, announced>>8&0xff, announced&0xff)
	var unfinished []*testutil.Client
	for range clients {
		c := x.Dial(address)
		write(t, c, append(head, make([]byte, sent)...))
		unfinished = append(unfinished, c)
	}
	waitFor(t, func() bool { // all have begun
		s.mu.Lock()
		defer s.mu.Unlock()
		begun := 0
		for c := range s.conns {
			c.mu.Lock()
			if c.midMessage {
				begun++
			}
			c.mu.Unlock()
		}
		return begun == clients
	})
	normal := x.Dial(address)
	for id := range 20 {
		normal.SendRequest(id, "report", 1500, "small")
		normal.ReadAnswer()
	}
	for _, c := range unfinished {
		c.Close()
	}
	x.Check()
}

// Guards against messages of very many short values, which take the processor from other clients: the connection ends after the
// allowed number of values. A message with exactly that number is handled.
func TestValuesOfAMessageAreLimited(t *testing.T) {
	const headValues, maxValues = 5, 100 // values of a request beside its fields; with the last, the statement
	x, _, s, address := startServer(t, func(l *limits.Limits) { l.MaxValues = maxValues })
	request := func(fields int) []byte {
		b := testutil.DecodeHex("94 00 07 a172 92 de")
		b = append(b, byte(fields>>8), byte(fields))
		b = append(b, bytes.Repeat(testutil.DecodeHex("a178 a0"), fields)...)
		return append(b, testutil.DecodeHex("a0")...)
	}
	for _, fields := range []int{(maxValues - headValues - 2) / 2, (maxValues-headValues-2)/2 + 1, 1 << 15} {
		c := x.Dial(address)
		x.Recordf("%d fields", fields)
		write(t, c, request(fields))
		c.ReadAnswer()
		c.Close()
	}
	waitFor(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.conns) == 0 })
	x.Check()
}

// At the connection limit an idle connection is evicted for a new one. While all connections are in use, the server accepts
// none.
func TestAcceptAtConnectionLimit(t *testing.T) {
	x, g, _, address := startServer(t, func(l *limits.Limits) { l.MaxClientConns, l.ClientConnsSoftLimit, l.ClientConnsHardLimit = 2, 2, 3 })
	first, second := x.Dial(address), x.Dial(address)
	first.SendRequest(1, "report", 1500, "wait")
	second.SendRequest(2, "report", 1500, "done")
	second.ReadAnswer()
	third := x.Dial(address)
	third.SendRequest(3, "report", 1500, "in the idle one's place")
	third.ReadAnswer()
	second.ReadAnswer()
	third.SendRequest(4, "report", 1500, "wait")
	fourth := x.Dial(address)
	fourth.SendRequest(5, "report", 1500, "after the first has left")
	first.Close()
	x.Recordf("cancelled: %s", <-g.cancelled)
	fourth.ReadAnswer()
	x.Check()
}

// Clients that send nothing do not keep others from connecting: the oldest of their connections are evicted.
func TestSilentClientsAreEvicted(t *testing.T) {
	x, _, _, address := startServer(t, func(l *limits.Limits) {
		l.ClientConnsSoftLimit, l.ClientConnsHardLimit, l.MaxClientConns, l.FirstMessageTimeout, l.ClientIdleTimeout = 4, 5, 4, 3600, 3600
		l.IdleClientGrace = 3600
	})
	active := x.Dial(address)
	active.SendRequest(1, "report", 1500, "stays")
	active.ReadAnswer()
	var silent []*testutil.Client
	for range 10 {
		silent = append(silent, x.Dial(address))
	}
	late := x.Dial(address)
	late.SendRequest(2, "report", 1500, "is let in")
	late.ReadAnswer()
	for _, c := range silent[:8] { // the oldest are evicted
		c.ReadAnswer()
	}
	active.SendRequest(3, "report", 1500, "is still there")
	active.ReadAnswer()
	x.Check()
}

// Connections that stay open after a single request are evicted for new ones, the longest idle first, even below
// Limits.MaxClientConns. A connection with an open request is not evicted.
func TestIdleClientsAreEvicted(t *testing.T) {
	x, g, _, address := startServer(t, func(l *limits.Limits) {
		l.ClientConnsSoftLimit, l.ClientConnsHardLimit, l.MaxClientConns, l.ClientIdleTimeout = 3, 4, 100, 3600
		l.IdleClientGrace = 0
	})
	busy := x.Dial(address)
	busy.SendRequest(1, "report", 1500, "wait")
	var idle []*testutil.Client
	for id := range 4 {
		idle = append(idle, x.Dial(address))
		idle[id].SendRequest(id+2, "report", 1500, "once")
		idle[id].ReadAnswer()
		idle[id].Send(0, 99, "ping", []any{map[string]string{}})
		idle[id].ReadPong() // by now the answer counts as written
	}
	for _, c := range idle[:3] {
		c.ReadAnswer()
	}
	close(g.release)
	busy.ReadAnswer()
	x.Check()
}

// An idle connection is closed after a timeout, whether or not its client has sent a message.
func TestIdleTimeout(t *testing.T) {
	x, _, _, address := startServer(t, func(l *limits.Limits) { l.FirstMessageTimeout, l.ClientIdleTimeout = 0.02, 0.05 })
	silent, once := x.Dial(address), x.Dial(address)
	once.SendRequest(1, "report", 1500, "once")
	once.ReadAnswer()
	once.ReadAnswer()
	silent.ReadAnswer()
	x.Check()
}

// A server that is shutting down answers open requests and rejects new ones.
func TestShutdown(t *testing.T) {
	x, g, s, address := startServer(t, nil)
	c := x.Dial(address)
	c.SendRequest(1, "report", 1500, "wait")
	c.SendRequest(2, "report", 1500, "taken")
	c.ReadAnswer()
	s.BeginShutdown()
	c.SendRequest(3, "report", 1500, "not taken")
	c.ReadAnswer()
	close(g.release)
	c.ReadAnswer()
	c.ReadAnswer()
	x.Check()
}

// unservedConn returns a connection that no goroutine reads or writes.
func unservedConn(handler Handler, peer net.Conn) *conn {
	return newConn(&Server{Handler: handler, Limits: limits.For(64, 256), Pool: bufferpool.NewPool(64, 100), Log: zerolog.Nop()}, peer)
}

func FuzzMessage(f *testing.F) {
	f.Add(testutil.DecodeHex("94 00 07 a172 92 81a5616c6c6f77a178 c403616263"))
	f.Add(testutil.DecodeHex("93 02 a561626f7274 9107"))
	f.Add(testutil.DecodeHex("94 00 07 a172 92 80 c6ffffffff"))             // a statement of 4 GB
	f.Add(testutil.DecodeHex("94 00 07 a172 92 81a3726566d9ff dfffffffff")) // a truncated name and a map of 4 billion pairs
	f.Fuzz(func(t *testing.T, text []byte) {
		near, _ := net.Pipe()
		c := unservedConn(newFakeHandler(), near)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c.aborted = ctx.Done()
		var requests errgroup.Group
		_, _ = c.handleMessage(ctx, &decoder{in: bufio.NewReader(iotest.OneByteReader(bytes.NewReader(text))), remaining: 1 << 12,
			values: 1 << 12, depth: 8}, &requests)
		wait(&requests)
		if n := c.server.Pool.InUse(); n != 0 {
			t.Errorf("got %d buffers in use, want 0", n)
		}
	})
}
