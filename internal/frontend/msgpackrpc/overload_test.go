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
	"copperrock.example/copperrock/internal/limits"
)

// countingHandler takes a while for what yields, and answers the rest at once.
type countingHandler struct{ yielding, others atomic.Int64 }

// yieldingTime is how long a request that yields takes.
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

// Clients that send over their connection's limits without end and never read are read at a bounded pace, all together, and
// what is still taken of them yields; another client is answered as before. Guards against floods that take the processor
// and the engines from all others.
func TestFloodIsPaced(t *testing.T) {
	const flooding, asked, pacedRate, length = 8, 20, 50, 3 * time.Second
	handler := &countingHandler{}
	x, _, _, address := startServer(t, func(lim *limits.Limits) {
		lim.MaxRequestsPerConn, lim.ExcessPerConn, lim.PacedRate, lim.MinPacedRate = 4, 4, pacedRate, pacedRate
	}, func(s *Server) { s.Handler = handler })
	var floods sync.WaitGroup
	defer floods.Wait()
	end := time.Now().Add(length)
	for range flooding {
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
	time.Sleep(length / 2) // by now each of them overloads the server
	before := handler.yielding.Load()
	quiet := x.Dial(address)
	for n := range asked {
		quiet.SendRequest(n, "lookup", 1000, "select 1")
		quiet.ReadAnswer()
	}
	if others := handler.others.Load(); others < asked {
		t.Errorf("%d requests that do not yield were served", others)
	}
	time.Sleep(time.Until(end))
	taken := float64(handler.yielding.Load() - before)
	if most := 1.5*pacedRate*(length/2).Seconds() + flooding; taken > most || taken == 0 {
		t.Errorf("%.0f requests of the flood were taken in %v, at most %.0f", taken, length/2, most)
	}
}

// A connection overloads the server once it has sent more over its limits than is allowed in a second, and no more a moment
// after it has stopped: guards against clients that are held back for good, or for what is allowed.
func TestOverloadEnds(t *testing.T) {
	lim := limits.For(64, 256)
	var o overload
	now := time.Now()
	for range lim.ExcessPerConn {
		o.exceeded(now, lim.ExcessPerConn, &lim)
	}
	if o.active(now) {
		t.Error("overloads within what is allowed")
	}
	o.exceeded(now, lim.ExcessPerConn, &lim)
	hold := limits.Duration(lim.OverloadHold)
	if !o.active(now) || !o.active(now.Add(hold-1)) || o.active(now.Add(hold)) {
		t.Error("does not overload for the time that it is held")
	}
	first := o.pause()
	o.paced(now.Add(hold/2), true, true, &lim)
	if !o.active(now.Add(hold)) || o.pause() != 2*first {
		t.Error("a client that has sent more meanwhile does not wait for longer")
	}
	for range 100 {
		o.paced(now.Add(hold/2), true, true, &lim)
	}
	if o.pause() > limits.Duration(2*lim.OverloadHold) {
		t.Errorf("waits for %v", o.pause())
	}
	if o.paced(now.Add(hold), true, false, &lim); o.pause() != first || o.active(now.Add(2*hold)) {
		t.Error("a client that has sent nothing more waits for longer")
	}
	for i := range 10 * lim.ExcessPerConn { // spread over time
		later := now.Add(10 * hold).Add(time.Duration(i) * hold / time.Duration(lim.ExcessPerConn))
		if o.exceeded(later, lim.ExcessPerConn, &lim); o.active(later) {
			t.Fatal("overloads at the rate that is allowed")
		}
	}
}
