package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/discovery"
)

// newResettingGateway returns a running gateway with one engine that resets each connection after the first bytes of an attempt,
// which then may have run. attempts counts these.
func newResettingGateway(t *testing.T, idempotency admission.Idempotency) (g *Gateway, attempts *atomic.Int32) {
	g, attempts = newGateway(t), &atomic.Int32{}
	class := &g.settings.Admission.Classes[0]
	class.Idempotency = idempotency
	g.settings.Admission.MaxAttempts, g.settings.AttemptsPerConn, g.settings.DialTimeout = 2, 4, 1
	g.controller = admission.New(1, g.settings.Admission, actions{g})
	var engine errgroup.Group
	t.Cleanup(func() { _ = engine.Wait() })
	g.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		engine.Go(func() error {
			if n, _ := far.Read(make([]byte, 100)); n > 0 {
				attempts.Add(1)
			}
			return far.Close()
		})
		return near, nil
	}
	g.group.Go(func() error { return g.Run(g.ctx) })
	g.UpdateEndpoints(discovery.Snapshot, inServiceEndpoints(1))
	return g, attempts
}

// serve serves a request with an ID and returns its answer, "" for none.
func serve(g *Gateway, id string, state func() ClientState) string {
	responder := &recordingResponder{}
	statement := g.pool.NewChain()
	defer statement.Free()
	g.Serve(context.Background(), &Request{ID: id, Class: "lookup", Timeout: 5, Statement: statement, ClientState: state}, responder)
	if errors.Is(responder.err, ErrMayHaveRun) {
		return ErrMayHaveRun.Error()
	}
	return responder.answer
}

// Guards against attempts for clients that have left, or that may have left behind input that is still unread. A request of which
// nothing ran is rejected, one that may have run is not.
func TestNoAttemptForClientsThatLeft(t *testing.T) {
	for _, c := range []struct {
		name     string
		states   []ClientState // at each attempt
		attempts int32
		answer   string
	}{
		{"disconnected", []ClientState{ClientDisconnected}, 0, ""},
		{"unknown", []ClientState{ClientUnknown}, 0, "throttled"},
		{"disconnected after an attempt", []ClientState{ClientConnected, ClientDisconnected}, 1, ""},
		{"unknown after an attempt", []ClientState{ClientConnected, ClientUnknown}, 1, ErrMayHaveRun.Error()},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, attempts := newResettingGateway(t, admission.Idempotent)
			answer := serve(g, "1", func() ClientState {
				return c.states[min(int(attempts.Load()), len(c.states)-1)]
			})
			if answer != c.answer || attempts.Load() != c.attempts {
				t.Errorf("got answer %q and %d attempts, want %q and %d", answer, attempts.Load(), c.answer, c.attempts)
			}
			if n := g.OpenRequests(); n != 0 {
				t.Errorf("%d requests are open", n)
			}
		})
	}
}

// Guards against a second run of a non-idempotent request whose ID comes again after its first try has ended.
func TestEndedIDIsNotRunAgain(t *testing.T) {
	for idempotency, want := range map[admission.Idempotency]int32{admission.Idempotent: 4, admission.NonIdempotent: 1} {
		g, attempts := newResettingGateway(t, idempotency)
		for range 2 {
			answer := serve(g, "1", nil)
			if idempotency == admission.NonIdempotent && answer == "throttled" {
				t.Error("a request that may have run was rejected")
			}
		}
		if n := attempts.Load(); n != want {
			t.Errorf("idempotency %d: got %d attempts, want %d", idempotency, n, want)
		}
	}
}

// The latest IDs are remembered, up to the limit.
func TestEndedIDsAreBounded(t *testing.T) {
	const limit = 3
	ended := newEndedIDs(limit)
	for i := range 10 {
		ended.add(fmt.Sprint(i))
		ended.add(fmt.Sprint(i))
	}
	for i := range 10 {
		if id := fmt.Sprint(i); ended.contains(id) != (i >= 10-limit) {
			t.Errorf("ID %s: got remembered %v", id, ended.contains(id))
		}
	}
	if len(ended.known) != limit || len(ended.ring) != limit {
		t.Errorf("%d IDs are stored, want %d", len(ended.known), limit)
	}
}

// Guards against attempts for a client that leaves while they wait for their turn to be written.
func TestNoFirstByteForClientThatLeft(t *testing.T) {
	g, attempts := newResettingGateway(t, admission.Idempotent)
	var asked atomic.Int32
	answer := serve(g, "1", func() ClientState {
		if asked.Add(1) == 1 { // when the attempt is decided on
			return ClientConnected
		}
		return ClientDisconnected
	})
	if answer != "" || attempts.Load() != 0 {
		t.Errorf("got answer %q and %d attempts, want none", answer, attempts.Load())
	}
}
