package msgpackrpc

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

// countingHandler counts requests. It rejects yielding ones after a while and answers the others immediately.
type countingHandler struct{ yielding, others atomic.Int64 }

// yieldingTime is how long a yielding request takes.
const yieldingTime = 20 * time.Millisecond

func (h *countingHandler) Ready() bool { return true }

func (h *countingHandler) Serve(_ context.Context, request *gateway.Request, responder gateway.Responder) {
	if request.Yields {
		h.yielding.Add(1)
		time.Sleep(yieldingTime)
		responder.Failed(&gateway.RejectedError{})
		return
	}
	h.others.Add(1)
	responder.Succeeded(nil)
}

// Clients that keep sending beyond their connections' limits and never read are together read at a bounded rate, and those of
// their requests that are still accepted yield. Another client is answered as usual. This guards against floods that deprive
// all other clients of the processor and the engines.
func TestFloodIsPaced(t *testing.T) {
	const floodingClients, normalRequests, pacedRate, duration = 8, 20, 50, 3 * time.Second
	handler := &countingHandler{}
	x, _, _, address := startServer(t, func(lim *limits.Limits) {
		lim.MaxRequestsPerConn, lim.ExcessPerConn, lim.PacedRate, lim.MinPacedRate = 4, 4, pacedRate, pacedRate
	}, func(s *Server) { s.Handler = handler })
	var floods sync.WaitGroup
	defer floods.Wait()
	end := time.Now().Add(duration)
	for range floodingClients {
		c := x.Dial(address)
		c.SetWriteDeadline(end)
		floods.Go(func() {
			for n := uint32(1); ; n++ {
				message, err := msgpack.Marshal([]any{0, n, "lookup", []any{map[string]string{"ref": fmt.Sprintf("%016x", n), "allow": "1000",
					"effort": "5", "need_mb": "32"}, []byte("select 1")}})
				if err != nil {
					t.Error(err)
					return
				}
				if _, err := c.Write(message); err != nil {
					return
				}
			}
		})
	}
	time.Sleep(duration / 2) // by now each of them overloads the server
	before := handler.yielding.Load()
	normal := x.Dial(address)
	for n := range normalRequests {
		normal.SendRequest(n, "lookup", 1000, "select 1")
		normal.ReadAnswer()
	}
	if others := handler.others.Load(); others < normalRequests {
		t.Errorf("got %d non-yielding requests served, want at least %d", others, normalRequests)
	}
	time.Sleep(time.Until(end))
	accepted := float64(handler.yielding.Load() - before)
	if limit := 1.5*pacedRate*(duration/2).Seconds() + floodingClients; accepted > limit || accepted == 0 {
		t.Errorf("got %.0f requests of the flood accepted in %v, want 1 to %.0f", accepted, duration/2, limit)
	}
}

// A connection counts as overloading once it has sent more excess requests than are allowed per second, and stops counting as
// such shortly after its client has stopped. This guards against clients that are paced permanently, or for an allowed number
// of excess requests.
func TestOverloadEnds(t *testing.T) {
	lim := limits.For(64, 256)
	var o overload
	now := time.Now()
	for range lim.ExcessPerConn {
		o.countExcess(now, lim.ExcessPerConn, &lim)
	}
	if o.active(now) {
		t.Error("connection counts as overloading within the allowed excess")
	}
	o.countExcess(now, lim.ExcessPerConn, &lim)
	hold := limits.Duration(lim.OverloadHold)
	if !o.active(now) || !o.active(now.Add(hold-1)) || o.active(now.Add(hold)) {
		t.Errorf("connection does not count as overloading for exactly %v", hold)
	}
	first := o.pause()
	o.recordRead(now.Add(hold/2), true, true, &lim)
	if !o.active(now.Add(hold)) || o.pause() != 2*first {
		t.Errorf("got a pause of %v with a backlog, want %v and a longer hold", o.pause(), 2*first)
	}
	for range 100 {
		o.recordRead(now.Add(hold/2), true, true, &lim)
	}
	if o.pause() > limits.Duration(2*lim.OverloadHold) {
		t.Errorf("got a pause of %v, want at most %v", o.pause(), limits.Duration(2*lim.OverloadHold))
	}
	if o.recordRead(now.Add(hold), true, false, &lim); o.pause() != first || o.active(now.Add(2*hold)) {
		t.Errorf("got a pause of %v without a backlog, want %v and no longer hold", o.pause(), first)
	}
	for i := range 10 * lim.ExcessPerConn { // at the allowed rate
		later := now.Add(10 * hold).Add(time.Duration(i) * hold / time.Duration(lim.ExcessPerConn))
		if o.countExcess(later, lim.ExcessPerConn, &lim); o.active(later) {
			t.Fatal("connection counts as overloading at the allowed rate")
		}
	}
}

// A client that keeps sending after a message that can't be read, while a request of its is open, is read at a bounded rate.
// Guards against input that nobody wants taking the processor from other clients.
func TestDiscardIsPaced(t *testing.T) {
	const pacedRate, duration = 50, time.Second
	x, g, _, address := startServer(t, func(lim *limits.Limits) { lim.PacedRate, lim.MinPacedRate = pacedRate, pacedRate })
	t.Cleanup(func() { close(g.release) })
	c := x.Dial(address)
	c.SendRequest(1, "report", 60000, "wait")
	write(t, c, []byte{0xc1})
	c.ReadAnswer() // the rest is discarded from now on
	c.SetWriteDeadline(time.Now().Add(duration))
	sent, noise := 0, make([]byte, 64<<10)
	for {
		n, err := c.Write(noise)
		if sent += n; err != nil {
			break
		}
	}
	const steps, kernelBuffers = pacerBurst + pacedRate + int(duration/firstPause), 32 << 20
	if limit := 2*steps*discardStep + kernelBuffers; sent > limit {
		t.Errorf("got %d bytes read in %v, want at most %d", sent, duration, limit)
	}
}

// Messages that are no acceptable requests are read at a bounded rate, like requests beyond the limits, and each that is owed an
// answer gets one. Guards against one connection that takes the processor with pings, aborts of unknown requests, unknown
// notifications, or requests that are malformed, of an unknown class or under an ID in use.
func TestMessagesOfNoUseArePaced(t *testing.T) {
	const pacedRate, messages = 500, 1200
	request := func(class string) []any {
		return []any{0, 1, class, []any{map[string]string{"ref": testutil.RequestID(1), "allow": "1000", "effort": "5", "need_mb": "32"}, []byte("x")}}
	}
	for _, c := range []struct {
		name     string
		message  []any
		answered bool
	}{
		{"ping", []any{0, 1, "ping", []any{map[string]string{}}}, true},
		{"abort", []any{2, "abort", []int{1}}, false},
		{"empty abort", []any{2, "abort", []int{}}, false},
		{"unknown notification", []any{2, "unknown", []any{}}, false},
		{"malformed request", []any{0, 1, "lookup", []any{map[string]string{}, []byte("x")}}, true},
		{"unknown class", request("unknown"), true},
		{"ID in use", request("in use"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, _, _, address := startServer(t, func(lim *limits.Limits) { lim.PacedRate, lim.MinPacedRate = pacedRate, pacedRate },
				func(s *Server) { s.Handler = faultFindingHandler{} })
			client := x.Dial(address)
			one, err := msgpack.Marshal(c.message)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			for range messages {
				write(t, client, one)
				if c.answered {
					client.ReadAnswer()
				}
			}
			client.Send(0, 1, "ping", []any{map[string]string{}})
			client.ReadPong() // all before it have been read
			if took, least := time.Since(began), time.Second*(messages-2*pacerBurst)/pacedRate; took < least {
				t.Errorf("%d messages were read in %v, want at least %v", messages, took, least)
			}
		})
	}
}

// faultFindingHandler fails each request as a gateway does if the client is at fault.
type faultFindingHandler struct{}

func (faultFindingHandler) Ready() bool { return true }

func (faultFindingHandler) Serve(_ context.Context, request *gateway.Request, responder gateway.Responder) {
	err := gateway.ErrUnknownClass
	if request.Class == "in use" {
		err = gateway.ErrDuplicateID
	}
	responder.Failed(&gateway.RequestError{Op: "admit", ID: request.ID, Err: err})
}
