package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

func newGateway(tb testing.TB) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	tb.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			tb.Error(err)
		}
	})
	lim := limits.For(192, 1024)
	set := &deployment.Settings{Admission: admission.Settings{GatewayCount: 1, MachineTypes: []admission.MachineType{{Cores: 8, Memory: 8000}},
		Classes: []admission.Class{{LatencyObjective: 1, Threads: 1}}}, Classes: []string{"lookup"}}
	return New(ctx, group, Options{Seed: 1, Settings: set, Limits: lim, Pool: bufferpool.NewPool(lim.BufferSize, lim.MaxBuffers), Log: zerolog.Nop()})
}

func entries(n int) (all []discovery.Endpoint) {
	for i := range n {
		all = append(all, discovery.Endpoint{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("127.0.%d.%d:9", i>>8, i&255), Weight: 1, State: discovery.InService})
	}
	return all
}

// Endpoints are known as long as the list names them, and forgotten in every table when it does not.
func TestEndpointsAreForgotten(t *testing.T) {
	g := newGateway(t)
	var lines []string
	all := entries(100)
	say := func(what string) {
		lines = append(lines, fmt.Sprintf("%s: %d engines, %d by number", what, g.EndpointCount(), len(g.endpointsByID)))
	}
	g.UpdateEndpoints(discovery.DrainingSnapshot, all)
	say("a hundred")
	g.UpdateEndpoints(discovery.DrainingSnapshot, all[:60])
	say("sixty of them")
	g.UpdateEndpoints(discovery.Delta, all[90:])
	say("ten more by changes")
	for i := range all[:10] {
		all[i].State = discovery.Terminated
	}
	g.UpdateEndpoints(discovery.Delta, all[:10])
	say("ten terminated")
	g.UpdateEndpoints(discovery.Snapshot, all[50:70])
	say("another twenty, whole")
	g.UpdateEndpoints(discovery.DrainingSnapshot, nil)
	say("none")
	testutil.CheckTrace(t, lines)
}

// BenchmarkUpdateEndpoints takes a list of 10,000 engines with one change: for so long the lock is held.
func BenchmarkUpdateEndpoints(b *testing.B) {
	g := newGateway(b)
	all := entries(10000)
	g.UpdateEndpoints(discovery.DrainingSnapshot, all)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		all[i%len(all)].Weight = 1 + float64(i%2)
		g.UpdateEndpoints(discovery.DrainingSnapshot, all)
	}
}

// recordingResponder notes the answer that it is given.
type recordingResponder struct {
	answer string
	err    error // of Failed
}

func (r *recordingResponder) WaitEstimate(fairshare.Estimate) {}

func (r *recordingResponder) Succeeded(rows *bufferpool.Chain) {
	r.answer = "done " + string(rows.Bytes())
	rows.Free()
}

func (r *recordingResponder) Failed(err error) {
	r.err = err
	var rejected *RejectedError
	if r.answer = Reason(err); errors.As(err, &rejected) {
		r.answer = "throttled"
	}
}

// A gateway whose store is still opening is not ready, and rejects requests with an idempotency key. One that requires a
// store and has none takes no request; one that does not goes on.
func TestReadinessWhileStoreOpens(t *testing.T) {
	for _, needed := range []bool{true, false} {
		g := newGateway(t)
		g.ExpectStore(needed, 600)
		g.UpdateEndpoints(discovery.DrainingSnapshot, entries(2))
		g.SetReady(true)
		ask := func(key string) string {
			responder := &recordingResponder{}
			request := &Request{IdempotencyKey: key, Timeout: 1}
			if _, answered := g.lookUp(context.Background(), request, 0, responder); !answered {
				return "taken"
			}
			return responder.answer
		}
		if g.Ready() || ask("k") != "throttled" {
			t.Errorf("needed %v, while it opens: ready %v, %s", needed, g.Ready(), ask("k"))
		}
		if got := ask(""); (got == "taken") == needed {
			t.Errorf("needed %v, a job without a key while it opens: %s", needed, got)
		}
		g.StoreOpened(nil)
		if g.Ready() == needed {
			t.Errorf("needed %v, without a store: ready %v", needed, g.Ready())
		}
		if got := ask("k"); (got == "taken") == needed {
			t.Errorf("needed %v, without a store: %s", needed, got)
		}
	}
}

// Execute returns the buffers of its statement, also where the request is not admitted.
func TestExecuteFreesStatement(t *testing.T) {
	g := newGateway(t)
	outcome, reason := g.Execute(context.Background(), InternalRequest{ID: "1", Class: "no such class", Statement: "select 1"})
	if outcome != OutcomeNotRun || reason != ErrUnknownClass.Error() {
		t.Errorf("outcome %d, %q", outcome, reason)
	}
	if n := g.pool.InUse(); n != 0 {
		t.Errorf("%d buffers are still in use", n)
	}
}

// Requests that are not admitted are answered with a typed error, and nothing of them stays open.
func TestServeRefuses(t *testing.T) {
	g := newGateway(t)
	g.limits.MaxRequests = 1
	statement := g.pool.NewChain()
	defer statement.Free()
	open := g.newOpenRequest(&Request{ID: "1", Class: "lookup", Timeout: 1, Statement: statement}, 0, nil)
	if err := g.admit(open); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name      string
		id, class string
		want      error
		rejected  bool // it may be sent again
	}{
		{"unknown class", "2", "no such class", ErrUnknownClass, false},
		{"ID of an open request", "1", "lookup", ErrDuplicateID, false},
		{"one too many", "2", "lookup", ErrTooManyRequests, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			responder := &recordingResponder{}
			g.Serve(context.Background(), &Request{ID: c.id, Class: c.class, Timeout: 1, Statement: statement}, responder)
			var rejected *RejectedError
			if !errors.Is(responder.err, c.want) || errors.As(responder.err, &rejected) != c.rejected {
				t.Errorf("answered %v, want %v", responder.err, c.want)
			}
			if n := g.OpenRequests(); n != 1 {
				t.Errorf("%d requests are open", n)
			}
		})
	}
}
