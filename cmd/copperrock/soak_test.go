package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/frontend/msgpackrpc"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/invariant"
	"copperrock.example/copperrock/internal/harness/listwriter"
	"copperrock.example/copperrock/internal/harness/loadgen"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/logging"
)

const patience = 30 * time.Second // ends a test that hangs; no verdict rests on it

// alone is a whole controller that follows a file, among stand-ins that carry traffic.
type alone struct {
	t       testing.TB
	rules   *invariant.Checker
	engines []*fakeengine.Engine
	all     []discovery.Endpoint
	names   []string
	decided chan discovery.Decision
	told    func(engines []discovery.Endpoint)
	seen    func(fakeengine.Event)
	gateway *gateway.Gateway
	pool    *bufferpool.Pool
	address string
	end     context.CancelFunc
	running errgroup.Group
}

func newFleet(t testing.TB, engines int, faults map[fakeengine.Fault]float64) *alone {
	f := &alone{t: t, decided: make(chan discovery.Decision, 10000)}
	f.rules = &invariant.Checker{DrainGrace: 1, LateTolerance: 1, IdempotencyWindow: 5, RetryBudgetWindow: 10, RetryBudgetFree: 10, RetryBudgetRatio: 0.2} // Late: for a machine that stands still
	for i := range engines {
		e := &fakeengine.Engine{Name: fmt.Sprintf("e%d", i), Cores: 8, Speed: 1, Memory: 8192, Seed: uint64(i), OnEvent: f.tell, Faults: faults}
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		f.engines, f.names = append(f.engines, e), append(f.names, e.Name)
		f.all = append(f.all, discovery.Endpoint{Name: e.Name, Address: e.Address, Zone: "here", Kind: "small", Weight: 1, State: discovery.InService})
	}
	return f
}

func (f *alone) tell(s fakeengine.Event) {
	f.rules.EngineEvent(s)
	if f.seen != nil {
		f.seen(s)
	}
}

// serve starts the controller on the file.
func (f *alone) serve(file string, change func(*operator.Settings)) {
	s, err := operator.Parse("demo.jsonc", demoSettings, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	s.EngineFile.File, s.EngineFile.SettleTime, s.EngineFile.PollInterval = file, 0.015, 0.5
	s.Limits.ClientIdleTimeout = 3600
	if change != nil {
		change(s)
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		f.t.Fatal(err)
	}
	f.address = l.Addr().String()
	c := &controller{settings: s, readSettings: func() (*operator.Settings, error) { return s, nil }, listener: l,
		logs:       logging.New(io.Discard, s.Log, time.Now),
		onDecision: func(d discovery.Decision) { f.decided <- d },
		onUpdate: func(_ discovery.UpdateMode, engines []discovery.Endpoint) {
			f.rules.EndpointsUpdated(unixNow(), f.names, engines)
			if f.told != nil {
				f.told(engines)
			}
		},
		onStart: func(g *gateway.Gateway, pool *bufferpool.Pool, _ *msgpackrpc.Server) { f.gateway, f.pool = g, pool }}
	term, end := context.WithCancel(context.Background())
	f.end = end
	f.running.Go(func() error { return c.run(term) })
}

func (f *alone) stop() {
	f.end()
	if err := f.running.Wait(); err != nil {
		f.t.Error(err)
	}
	for _, e := range f.engines {
		e.Stop()
	}
}

func (f *alone) next() discovery.Decision {
	f.t.Helper()
	select {
	case d := <-f.decided:
		return d
	case <-time.After(patience):
		f.t.Fatal("nothing is decided")
		return discovery.Decision{}
	}
}

func (f *alone) mix(rate float64, seed uint64) *loadgen.Mix {
	return &loadgen.Mix{Clients: 6, Seed: seed, DataSets: 20, Classes: []loadgen.WorkloadClass{
		{Name: "lookup", Idempotency: admission.Idempotent, Rate: 0.7 * rate, Work: 0.02, Memory: 32, Timeout: 1, Pages: 1},
		{Name: "report", Idempotency: admission.Idempotent, Rate: 0.2 * rate, Work: 0.1, Memory: 256, Timeout: 4, Pages: 3},
		{Name: "post", Idempotency: admission.IdempotentWithKey, Rate: 0.1 * rate, Work: 0.03, Memory: 32, Timeout: 4, Pages: 1},
		{Name: "load", Idempotency: admission.NonIdempotent, Rate: 0.1 * rate, Work: 0.2, Memory: 512, Timeout: 6, Pages: 1}},
		OnSend: func(now float64, j fakeengine.Request, t loadgen.WorkloadClass) {
			f.rules.RequestSent(now, j, t.Idempotency, t.Pages)
		},
		OnAnswer: func(j fakeengine.Request, _ loadgen.WorkloadClass, a fakeengine.Answer) {
			f.rules.RequestAnswered(j.ID, a)
		}, OnUnexpectedAnswer: f.rules.UnexpectedAnswer}
}

// The file is rewritten hundreds of times, well and badly, while jobs of all kinds go on and engines fail now and
// then: each list taken is one whole valid version, in order; each refusal is told once, with its reason; no load
// runs twice; each job has one final answer in time; nothing new goes to a dropped engine past the grace.
// SOAK_STEPS sets another number of rewritings.
func TestRewrittenUnderLoad(t *testing.T) {
	steps := 200
	if n, err := strconv.Atoi(os.Getenv("SOAK_STEPS")); err == nil {
		steps = n
	}
	testutil.NewTrace(t)
	f := newFleet(t, 6, map[fakeengine.Fault]float64{fakeengine.Fail: 0.01, fakeengine.Overloaded: 0.01, fakeengine.Reset: 0.002, fakeengine.Slow: 0.01,
		fakeengine.Duplicate: 0.01, fakeengine.Stall: 0.005})
	lists := &invariant.ListChecker{}
	f.told = lists.EndpointsUpdated
	r := &listwriter.Rewriter{Root: t.TempDir(), Seed: 9, Candidates: f.all, MaxSize: 1 << 16, OnVersion: lists.VersionWritten}
	if err := r.Init(); err != nil {
		t.Fatal(err)
	}
	f.serve(r.File(), func(s *operator.Settings) { s.EngineFile.MaxBytes = 1 << 16 })
	f.next()
	mix := f.mix(150, 4)
	coming, cancel := context.WithCancel(context.Background())
	var jobs errgroup.Group
	jobs.Go(func() error { return mix.Run(coming, f.address) })
	last, bad, refusals := "", 0, 0
	for n := range steps {
		step, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if step.Generation == 0 {
			bad++
		}
		for met := false; !met; { // what stands there on the way may be seen too
			d := f.next()
			switch d.Verdict {
			case discovery.Apply:
				met, last = d.List.Generation == step.Generation, ""
			case discovery.Reject:
				refusals++
				if d.Reason.Error() == last {
					t.Errorf("step %d, %s: told twice: %v", n, step.Method, d.Reason)
				}
				last = d.Reason.Error()
				met = step.Reason != "" && strings.Contains(last, step.Reason)
			default:
				t.Fatalf("step %d, %s: %v", n, step.Method, d)
			}
		}
	}
	cancel()
	if err := jobs.Wait(); err != nil {
		t.Error(err)
	}
	f.stop()
	wrong, taken := lists.Violations()
	for _, w := range append(wrong, f.rules.Violations()...) {
		t.Error(w)
	}
	asked, answered := f.rules.Counts()
	once, more := f.rules.RunCounts(admission.NonIdempotent)
	t.Logf("%d rewritings, %d of them bad; %d lists taken, %d refusals; %d jobs, %d answers; %d loads dispatched once, %d after being turned away",
		steps, bad, len(taken), refusals, asked, answered, once, more)
	if asked != answered || 3*bad < steps || len(taken) < steps/4 || once < 10 {
		t.Errorf("not what was to be tried")
	}
	if n := f.pool.InUse(); n != 0 {
		t.Errorf("%d buffers are still lent", n)
	}
	if n := f.gateway.OpenRequests(); n != 0 {
		t.Errorf("%d jobs are still kept", n)
	}
}
