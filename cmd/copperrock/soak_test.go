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

const testTimeout = 30 * time.Second // ends a test that hangs; no assertion depends on it

// trafficTest is a controller that reads its engine list from a file, between fake engines and generated load.
type trafficTest struct {
	t           testing.TB
	checker     *invariant.Checker
	engines     []*fakeengine.Engine
	endpoints   []discovery.Endpoint
	engineNames []string
	decisions   chan discovery.Decision
	onUpdate    func(engines []discovery.Endpoint) // called with each list that is applied; may be nil
	onEvent     func(fakeengine.Event)             // called with each event of an engine; may be nil
	gateway     *gateway.Gateway
	pool        *bufferpool.Pool
	address     string
	shutDown    context.CancelFunc
	running     errgroup.Group
}

// newTrafficTest starts the engines; start starts the controller.
func newTrafficTest(t testing.TB, engines int, faults map[fakeengine.Fault]float64) *trafficTest {
	f := &trafficTest{t: t, decisions: make(chan discovery.Decision, 10000)}
	// LateTolerance allows for a machine that stalls.
	f.checker = &invariant.Checker{DrainGrace: 1, LateTolerance: 1, IdempotencyWindow: 5, RetryBudgetWindow: 10, RetryBudgetFree: 10, RetryBudgetRatio: 0.2}
	for i := range engines {
		e := &fakeengine.Engine{Name: fmt.Sprintf("e%d", i), Cores: 8, Speed: 1, Memory: 8192, Seed: uint64(i), OnEvent: f.observe, Faults: faults}
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		f.engines, f.engineNames = append(f.engines, e), append(f.engineNames, e.Name)
		f.endpoints = append(f.endpoints, discovery.Endpoint{Name: e.Name, Address: e.Address, Zone: "here", Kind: "small", Weight: 1, State: discovery.InService})
	}
	return f
}

func (f *trafficTest) observe(s fakeengine.Event) {
	f.checker.EngineEvent(s)
	if f.onEvent != nil {
		f.onEvent(s)
	}
}

// start starts the controller with the list file; change, which may be nil, adjusts its settings.
func (f *trafficTest) start(file string, change func(*operator.Settings)) {
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
		onDecision: func(d discovery.Decision) { f.decisions <- d },
		onUpdate: func(_ discovery.UpdateMode, engines []discovery.Endpoint) {
			f.checker.EndpointsUpdated(unixNow(), f.engineNames, engines)
			if f.onUpdate != nil {
				f.onUpdate(engines)
			}
		},
		onStart: func(g *gateway.Gateway, pool *bufferpool.Pool, _ *msgpackrpc.Server) { f.gateway, f.pool = g, pool }}
	ctx, cancel := context.WithCancel(context.Background())
	f.shutDown = cancel
	f.running.Go(func() error { return c.run(ctx) })
}

func (f *trafficTest) stop() {
	f.shutDown()
	if err := f.running.Wait(); err != nil {
		f.t.Error(err)
	}
	for _, e := range f.engines {
		e.Stop()
	}
}

// nextDecision waits for the controller's next decision on a list.
func (f *trafficTest) nextDecision() discovery.Decision {
	f.t.Helper()
	select {
	case d := <-f.decisions:
		return d
	case <-time.After(testTimeout):
		f.t.Fatal("no decision on a list")
		return discovery.Decision{}
	}
}

// loadMix returns load of four classes, at 0.7, 0.2, 0.1 and 0.1 times the rate in requests per second.
func (f *trafficTest) loadMix(rate float64, seed uint64) *loadgen.Mix {
	return &loadgen.Mix{Clients: 6, Seed: seed, DataSets: 20, Classes: []loadgen.WorkloadClass{
		{Name: "lookup", Idempotency: admission.Idempotent, Rate: 0.7 * rate, Work: 0.02, Memory: 32, Timeout: 1, Pages: 1},
		{Name: "report", Idempotency: admission.Idempotent, Rate: 0.2 * rate, Work: 0.1, Memory: 256, Timeout: 4, Pages: 3},
		{Name: "post", Idempotency: admission.IdempotentWithKey, Rate: 0.1 * rate, Work: 0.03, Memory: 32, Timeout: 4, Pages: 1},
		{Name: "load", Idempotency: admission.NonIdempotent, Rate: 0.1 * rate, Work: 0.2, Memory: 512, Timeout: 6, Pages: 1}},
		OnSend: func(now float64, j fakeengine.Request, t loadgen.WorkloadClass) {
			f.checker.RequestSent(now, j, t.Idempotency, t.Pages)
		},
		OnAnswer: func(j fakeengine.Request, _ loadgen.WorkloadClass, a fakeengine.Answer) {
			f.checker.RequestAnswered(j.ID, a)
		}, OnUnexpectedAnswer: f.checker.UnexpectedAnswer}
}

// The list file is rewritten hundreds of times, with valid and invalid contents, under load of all classes while engines
// fail now and then. Guards against a list that is applied in part, out of order or while invalid; a rejected list that is
// reported more than once or without its reason; a non-idempotent request that runs twice; a request without exactly one
// answer in time; and new attempts at a removed engine after the grace period. SOAK_STEPS sets the number of rewrites.
func TestRewrittenUnderLoad(t *testing.T) {
	steps := 200
	if n, err := strconv.Atoi(os.Getenv("SOAK_STEPS")); err == nil {
		steps = n
	}
	testutil.NewTrace(t)
	f := newTrafficTest(t, 6, map[fakeengine.Fault]float64{fakeengine.Fail: 0.01, fakeengine.Overloaded: 0.01, fakeengine.Reset: 0.002, fakeengine.Slow: 0.01,
		fakeengine.Duplicate: 0.01, fakeengine.Stall: 0.005})
	lists := &invariant.ListChecker{}
	f.onUpdate = lists.EndpointsUpdated
	r := &listwriter.Rewriter{Root: t.TempDir(), Seed: 9, Candidates: f.endpoints, MaxSize: 1 << 16, OnVersion: lists.VersionWritten}
	if err := r.Init(); err != nil {
		t.Fatal(err)
	}
	f.start(r.File(), func(s *operator.Settings) { s.EngineFile.MaxBytes = 1 << 16 })
	f.nextDecision()
	mix := f.loadMix(150, 4)
	sending, cancel := context.WithCancel(context.Background())
	var load errgroup.Group
	load.Go(func() error { return mix.Run(sending, f.address) })
	lastReason, invalid, rejections := "", 0, 0
	for n := range steps {
		step, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if step.Generation == 0 {
			invalid++
		}
		for reached := false; !reached; { // intermediate contents of the file may be seen too
			d := f.nextDecision()
			switch d.Verdict {
			case discovery.Apply:
				reached, lastReason = d.List.Generation == step.Generation, ""
			case discovery.Reject:
				rejections++
				if d.Reason.Error() == lastReason {
					t.Errorf("step %d, %s: rejection reported twice: %v", n, step.Method, d.Reason)
				}
				lastReason = d.Reason.Error()
				reached = step.Reason != "" && strings.Contains(lastReason, step.Reason)
			default:
				t.Fatalf("step %d, %s: unexpected decision %v", n, step.Method, d)
			}
		}
	}
	cancel()
	if err := load.Wait(); err != nil {
		t.Error(err)
	}
	f.stop()
	violations, applied := lists.Violations()
	for _, violation := range append(violations, f.checker.Violations()...) {
		t.Error(violation)
	}
	sent, answered := f.checker.Counts()
	once, retried := f.checker.RunCounts(admission.NonIdempotent)
	t.Logf("%d rewrites, %d of them invalid; %d lists applied, %d rejections; %d requests, %d answers; %d loads sent once, %d again after an engine rejected them",
		steps, invalid, len(applied), rejections, sent, answered, once, retried)
	if sent != answered || 3*invalid < steps || len(applied) < steps/4 || once < 10 {
		t.Errorf("an answer is missing, or the run tried too few lists or loads")
	}
	if n := f.pool.InUse(); n != 0 {
		t.Errorf("%d buffers still in use", n)
	}
	if n := f.gateway.OpenRequests(); n != 0 {
		t.Errorf("%d requests still open", n)
	}
}
