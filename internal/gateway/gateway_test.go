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
	gatewayLimits := limits.For(192, 1024)
	settings := &deployment.Settings{Admission: admission.Settings{GatewayCount: 1, MachineTypes: []admission.MachineType{{Cores: 8, Memory: 8000}},
		Classes: []admission.Class{{LatencyObjective: 1, Threads: 1}}}, Classes: []string{"lookup"}}
	return New(ctx, group, Options{Seed: 1, Settings: settings, Limits: gatewayLimits, Pool: bufferpool.NewPool(gatewayLimits.BufferSize, gatewayLimits.MaxBuffers), Log: zerolog.Nop()})
}

func inServiceEndpoints(n int) (all []discovery.Endpoint) {
	for i := range n {
		all = append(all, discovery.Endpoint{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("127.0.%d.%d:9", i>>8, i&255), Weight: 1, State: discovery.InService})
	}
	return all
}

// Endpoints that are no longer listed or are terminated are removed from every table.
func TestEndpointsAreForgotten(t *testing.T) {
	g := newGateway(t)
	var lines []string
	all := inServiceEndpoints(100)
	record := func(step string) {
		lines = append(lines, fmt.Sprintf("%s: %d engines, %d by number", step, g.EndpointCount(), len(g.endpointsByID)))
	}
	g.UpdateEndpoints(discovery.DrainingSnapshot, all)
	record("a hundred")
	g.UpdateEndpoints(discovery.DrainingSnapshot, all[:60])
	record("sixty of them")
	g.UpdateEndpoints(discovery.Delta, all[90:])
	record("ten more by changes")
	for i := range all[:10] {
		all[i].State = discovery.Terminated
	}
	g.UpdateEndpoints(discovery.Delta, all[:10])
	record("ten terminated")
	g.UpdateEndpoints(discovery.Snapshot, all[50:70])
	record("another twenty, whole")
	g.UpdateEndpoints(discovery.DrainingSnapshot, nil)
	record("none")
	testutil.CheckTrace(t, lines)
}

// BenchmarkUpdateEndpoints measures how long the lock is held for a list of 10,000 engines in which one has changed.
func BenchmarkUpdateEndpoints(b *testing.B) {
	g := newGateway(b)
	all := inServiceEndpoints(10000)
	g.UpdateEndpoints(discovery.DrainingSnapshot, all)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		all[i%len(all)].Weight = 1 + float64(i%2)
		g.UpdateEndpoints(discovery.DrainingSnapshot, all)
	}
}

// recordingResponder records the answer that it receives.
type recordingResponder struct {
	answer string
	err    error // argument of Failed
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

// While its store is being opened, a gateway is not ready and rejects requests with an idempotency key. If the store then
// cannot be used, a gateway that requires one rejects all requests, and any other accepts them.
func TestReadinessWhileStoreOpens(t *testing.T) {
	for _, required := range []bool{true, false} {
		g := newGateway(t)
		g.ExpectStore(required, 600)
		g.UpdateEndpoints(discovery.DrainingSnapshot, inServiceEndpoints(2))
		g.SetReady(true)
		lookUp := func(key string) string {
			responder := &recordingResponder{}
			request := &Request{IdempotencyKey: key, Timeout: 1}
			if _, answered := g.lookUp(context.Background(), request, 0, responder); !answered {
				return "accepted"
			}
			return responder.answer
		}
		if g.Ready() || lookUp("k") != "throttled" {
			t.Errorf("required %v, store opening: ready %v and request with a key %s, want not ready and throttled", required, g.Ready(), lookUp("k"))
		}
		if got := lookUp(""); (got == "accepted") == required {
			t.Errorf("required %v, store opening: request without a key %s", required, got)
		}
		g.StoreOpened(nil)
		if g.Ready() == required {
			t.Errorf("required %v, no store: got ready %v, want %v", required, g.Ready(), !required)
		}
		if got := lookUp("k"); (got == "accepted") == required {
			t.Errorf("required %v, no store: request with a key %s", required, got)
		}
	}
}

// Execute frees the buffers of its statement even if the request is not admitted.
func TestExecuteFreesStatement(t *testing.T) {
	g := newGateway(t)
	outcome, reason := g.Execute(context.Background(), InternalRequest{ID: "1", Class: "no such class", Statement: "select 1"})
	if outcome != OutcomeNotRun || reason != ErrUnknownClass.Error() {
		t.Errorf("got outcome %d, reason %q, want %d, %q", outcome, reason, OutcomeNotRun, ErrUnknownClass.Error())
	}
	if n := g.pool.InUse(); n != 0 {
		t.Errorf("got %d buffers in use, want 0", n)
	}
}

// Requests that are not admitted are answered with a typed error and do not stay open.
func TestServeRejects(t *testing.T) {
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
		rejected  bool // the request may be sent again
	}{
		{"unknown class", "2", "no such class", ErrUnknownClass, false},
		{"ID of an open request", "1", "lookup", ErrDuplicateID, false},
		{"too many open requests", "2", "lookup", ErrTooManyRequests, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			responder := &recordingResponder{}
			g.Serve(context.Background(), &Request{ID: c.id, Class: c.class, Timeout: 1, Statement: statement}, responder)
			var rejected *RejectedError
			if !errors.Is(responder.err, c.want) || errors.As(responder.err, &rejected) != c.rejected {
				t.Errorf("got error %v, want %v (rejected %v)", responder.err, c.want, c.rejected)
			}
			if n := g.OpenRequests(); n != 1 {
				t.Errorf("got %d open requests, want 1", n)
			}
		})
	}
}
