package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/processes"
)

// storeSettings configure a controller with a store; its clients send an idempotency key in the field "again".
const storeSettings = `{"name": "NAME", "listen": "LISTEN", "seed": "SEED",
  "machine": {"memory_mb": 64, "sockets": 256}, "log": {"level": "info"}, "clients": {"idle": 600, "first_message": 600},
  "deployment": {"zones": ["here"], "kinds": [{"name": "small", "cores": 4, "memory_mb": 4096}],
    "types": [{"name": "look", "repeat": "restartable", "job_timeout": 3, "sla": 2},
      {"name": "keyed", "repeat": "keyed", "window": KEYED, "job_timeout": 3, "sla": 2},
      {"name": "load", "repeat": "run_once", "job_timeout": 3, "sla": 2}],
    "engines": {"report": ["busy_reqs", "x0"], "probing": false, "streams": 32}, "rules": {"come_back": 0.05}},
  "requests": {"retry": "again", "first": "first"},
  "engines": {"file": "ENGINES"}, "store": {"folder": "FOLDER", "window": 30 MORE}}`

// keyWindow is the idempotency window of the class keyed, in seconds.
const keyWindow = 2.0

// retriedRequest is a request of a client, which sends it repeatedly under one idempotency key.
type retriedRequest struct {
	key, class string
	dispatches []fakeengine.Event // attempts that an engine received and did not reject
	answers    []fakeengine.Answer
}

// storeTest is one controller with a store, engines, and clients that retry their requests.
type storeTest struct {
	*testCluster
	folder       string
	mu           sync.Mutex
	requests     map[string]*retriedRequest // by the first half of the request ID
	violations   []string
	finalAnswers int
	maxTries     int // of a request, 0 for defaultMaxTries
}

// defaultMaxTries ends a request whose controller does not come back.
const defaultMaxTries = 400

func newStoreTest(t testing.TB, seed uint64, more string, faults map[fakeengine.Fault]float64) *storeTest {
	r := &storeTest{folder: t.TempDir(), requests: map[string]*retriedRequest{}}
	r.testCluster = newTestCluster(t, 3, seed, func(_ int, e *fakeengine.Engine) { e.Faults, e.OnEvent = faults, r.observe })
	r.addController("c0", strings.NewReplacer("KEYED", fmt.Sprint(keyWindow), "FOLDER", r.folder, "MORE", more).Replace(storeSettings))
	if err := r.Start("c0"); err != nil {
		t.Fatal(err)
	}
	r.waitReady()
	return r
}

// observe checks an event of an engine: a non-idempotent request runs once, a keyed one is not repeated after its window.
func (r *storeTest) observe(s fakeengine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requests[s.RequestID[:8]]
	if request == nil {
		return
	}
	switch s.Kind {
	case "asked":
		if request.class == "load" && len(request.dispatches) > 0 {
			r.violations = append(r.violations, fmt.Sprintf("non-idempotent %s went to %s at %.3f after it went to %s at %.3f", request.key, s.Engine, s.At, request.dispatches[0].Engine, request.dispatches[0].At))
		}
		if first := request.dispatches; request.class == "keyed" && len(first) > 0 && s.At > first[0].At+keyWindow {
			r.violations = append(r.violations, fmt.Sprintf("keyed %s went again %.3f s after its first attempt", request.key, s.At-first[0].At))
		}
		request.dispatches = append(request.dispatches, s)
	case "refused": // it did not run
		request.dispatches = slices.DeleteFunc(request.dispatches, func(a fakeengine.Event) bool { return a.RequestID == s.RequestID && a.Engine == s.Engine })
	}
}

// sendUntilAnswered sends a request under its key until it has a final answer twice: while its answer is lost or it is
// rejected, and once more after the first final answer.
func (r *storeTest) sendUntilAnswered(ctx context.Context, address string, n int, class string, work float64) {
	id := fmt.Sprintf("%08x", n)
	request := &retriedRequest{key: "key-" + id, class: class}
	r.mu.Lock()
	r.requests[id] = request
	r.mu.Unlock()
	var client *fakeengine.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	finals, rows := 0, ""
	for try := 0; ctx.Err() == nil && try < cmp.Or(r.maxTries, defaultMaxTries); try++ {
		if client == nil {
			c, err := fakeengine.Dial(address)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			client = c
		}
		more := map[string]string{"again": request.key}
		if try == 0 {
			more["first"] = "1"
		}
		a := client.Do(ctx, fakeengine.Request{ID: fmt.Sprintf("%s%08x", id, try), Class: class, Timeout: 3, Work: work, Memory: 40, Fields: more,
			Statement: fmt.Sprintf("/* work=%.4f mb=40 */ insert 1", work)})
		switch a.Outcome {
		case fakeengine.Lost:
			client.Close()
			client = nil
			continue
		case fakeengine.Rejected:
			time.Sleep(time.Duration(max(a.RetryAfter, 0.01) * float64(time.Second)))
			continue
		}
		r.mu.Lock()
		request.answers = append(request.answers, a)
		if a.Outcome == fakeengine.Completed && class != "look" {
			if rows != "" && a.Rows != rows {
				r.violations = append(r.violations, fmt.Sprintf("%s was answered with rows %q, then with %q", request.key, rows, a.Rows))
			}
			rows = a.Rows
		}
		if rows != "" && a.Outcome == fakeengine.FailedPermanently && class != "look" {
			r.violations = append(r.violations, fmt.Sprintf("%s was completed, then answered with %s: %s", request.key, a.Outcome, a.Reason))
		}
		if class == "load" && a.Reason == "may have run" && len(request.dispatches) == 0 && request.answers[0].Reason == "may have run" {
			r.finalAnswers++ // uncertain, which is allowed although no attempt reached an engine
		}
		r.finalAnswers++
		r.mu.Unlock()
		if finals++; finals == 2 {
			return
		}
	}
}

// crashUnderLoad kills the controller the given number of times under load, at moments drawn from the seed, and restarts
// it at once.
func (r *storeTest) crashUnderLoad(t testing.TB, kills int, seed uint64, clients int) {
	sent := 0
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	var next sync.Mutex
	for i := range clients {
		draws := rand.New(rand.NewPCG(seed, uint64(10+i)))
		all.Go(func() {
			for ctx.Err() == nil {
				next.Lock()
				sent++
				n := sent
				next.Unlock()
				r.sendUntilAnswered(context.Background(), r.clientAddresses[0], n, []string{"look", "keyed", "load", "load"}[draws.IntN(4)], 0.002+0.02*draws.Float64())
			}
		})
	}
	draws := rand.New(rand.NewPCG(seed, 1))
	for range kills {
		after := 0.02 + 0.08*draws.Float64() // during recovery
		if draws.IntN(2) == 0 {
			after = 0.1 + 0.3*draws.Float64() // under load
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
		r.Process("c0").Kill()
		if err := r.Process("c0").Start(); err != nil {
			t.Fatal(err)
		}
	}
	r.waitReady()
	time.Sleep(200 * time.Millisecond)
	cancel()
	all.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts := 0
	for _, request := range r.requests {
		attempts += len(request.dispatches)
	}
	t.Logf("seed %d: %d kills, %d requests, %d attempts at engines, %d final answers", seed, kills, sent, attempts, r.finalAnswers)
	for _, violation := range r.violations {
		t.Errorf("SEED=%d: %s", seed, violation)
	}
	if sent < 2*kills {
		t.Errorf("only %d requests were sent, want at least %d", sent, 2*kills)
	}
}

// A controller is killed repeatedly, at moments drawn from a seed, while clients retry under their keys and engines fail
// now and then. Guards against a non-idempotent request that runs twice, a keyed one that is sent again after its window,
// and an answer that changes. CRASHES sets the number of kills, SEED selects another run.
func TestStoreOverKills(t *testing.T) {
	kills, seed := 12, uint64(1)
	readEnv(t, "CRASHES", &kills)
	readEnv(t, "SEED", &seed)
	r := newStoreTest(t, seed, `, "file_mb": 0.02`, map[fakeengine.Fault]float64{fakeengine.Reset: 0.03, fakeengine.Fail: 0.03, fakeengine.Overloaded: 0.03})
	r.crashUnderLoad(t, kills, seed, 8)
	if names, _ := os.ReadDir(r.folder); !slices.ContainsFunc(names, func(n os.DirEntry) bool { return n.Name() == "engines.jsonc" }) {
		t.Error("the store's folder does not contain the engine list")
	}
	// The store is closed by an orderly exit and can be read afterwards.
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := r.Process("c0").Terminate(ctx); err != nil {
		t.Error(err)
	}
	run := func(args ...string) string {
		var out, errs bytes.Buffer
		if code := execute(args, &out, &errs); code != 0 {
			t.Errorf("%v: %d, %s", args, code, errs.String())
		}
		return out.String()
	}
	if got := run("store", "check", r.folder); !strings.Contains(got, "shut down cleanly") {
		t.Error(got)
	}
	if got := run("store", "show", r.folder); !strings.Contains(got, "run-once") {
		t.Error(got)
	}
	if got := run("store", "compact", r.folder, "--name", "c0"); !strings.Contains(got, "bytes before") {
		t.Error(got)
	}
	if got := run("store", "check", r.folder); !strings.Contains(got, "store of c0") {
		t.Error(got)
	}
}

// Without a store the same kills make non-idempotent requests run twice. Guards against checks in TestStoreOverKills that
// find nothing.
func TestKillsWithoutStore(t *testing.T) {
	r := &storeTest{folder: t.TempDir(), requests: map[string]*retriedRequest{}}
	r.testCluster = newTestCluster(t, 3, 1, func(_ int, e *fakeengine.Engine) { e.OnEvent = r.observe })
	settings := strings.NewReplacer("KEYED", fmt.Sprint(keyWindow), `, "store": {"folder": "FOLDER", "window": 30 MORE}`, "").Replace(storeSettings)
	r.addController("c0", settings)
	if err := r.Start("c0"); err != nil {
		t.Fatal(err)
	}
	r.waitReady()
	discarding := &silentTest{TB: t}
	for seed := uint64(1); seed < 8 && len(r.violations) == 0; seed++ {
		r.crashUnderLoad(discarding, 6, seed, 8)
	}
	if len(r.violations) == 0 {
		t.Error("the checks found no violation without a store")
	}
}

// The retry budget allows three retries in any two seconds, also across kills. Guards against a budget that is not
// restored from the store, so that each start of the controller allows three more.
func TestRetryBudgetOverKills(t *testing.T) {
	const free, window = 3, 2.0
	r := &storeTest{folder: t.TempDir(), requests: map[string]*retriedRequest{}}
	var mu sync.Mutex
	attempts, retries := map[string]int{}, []float64{}
	r.testCluster = newTestCluster(t, 3, 1, func(_ int, e *fakeengine.Engine) {
		e.Faults, e.OnEvent = map[fakeengine.Fault]float64{fakeengine.Fail: 0.5}, func(s fakeengine.Event) {
			mu.Lock()
			defer mu.Unlock()
			if s.Kind == "asked" {
				if attempts[s.RequestID]++; attempts[s.RequestID] > 1 {
					retries = append(retries, s.At)
				}
			}
		}
	})
	settings := strings.NewReplacer("KEYED", "2", "FOLDER", r.folder, " MORE", "", `"rules": {`, fmt.Sprintf(`"rules": {"further_free": %d, "further_share": 0, "further_window": %g, `, free, window)).Replace(storeSettings)
	r.addController("c0", settings)
	if err := r.Start("c0"); err != nil {
		t.Fatal(err)
	}
	r.waitReady()
	r.crashUnderLoad(&silentTest{TB: t}, 14, 3, 8)
	mu.Lock()
	defer mu.Unlock()
	slices.Sort(retries)
	for i := range retries {
		// Tolerance: the delay until engines receive a retry on a busy machine.
		if i >= free && retries[i]-retries[i-free] < window-0.4 {
			t.Fatalf("%d retries in %.3f s: %.3f", free+1, retries[i]-retries[i-free], retries[i-free:i+1])
		}
	}
	if len(retries) < free {
		t.Errorf("only %d retries were sent", len(retries))
	}
	t.Logf("%d retries over 14 kills in %.1f s", len(retries), retries[len(retries)-1]-retries[0])
}

// silentTest discards errors: the caller examines the violations itself.
type silentTest struct{ testing.TB }

func (s *silentTest) Errorf(string, ...any) {}

// The store's disk is full and then recovers. Requests that need no record continue; one that needs a record is rejected
// at once. Guards against requests that hang on a full disk, and against records that are missing after the disk has
// recovered and the controller was killed.
func TestStoreDiskFailure(t *testing.T) {
	r := newStoreTest(t, 1, `, "retry": 0.05`, nil)
	send := func(class, key string) fakeengine.Answer {
		client, err := fakeengine.Dial(r.clientAddresses[0])
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		r.mu.Lock()
		n := len(r.requests) + 1
		id := fmt.Sprintf("%08x", n)
		r.requests[id] = &retriedRequest{key: key, class: class}
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		return client.Do(ctx, fakeengine.Request{ID: id + "00000000", Class: class, Timeout: 3, Work: 0.01, Memory: 40, Fields: map[string]string{"again": key}, Statement: "/* work=0.01 mb=40 */ insert 1"})
	}
	if a := send("load", "one"); a.Outcome != fakeengine.Completed {
		t.Fatalf("a non-idempotent request: got %+v, want completed", a)
	}
	setFault := func(fault string, on bool) {
		path := r.folder + "." + fault
		setMarkerFile(t, path, on)
	}
	setFault("full", true)
	t.Cleanup(func() { setFault("full", false) })
	began := time.Now()
	a := send("load", "two")
	if a.Outcome != fakeengine.Rejected || time.Since(began) > 2*time.Second {
		t.Errorf("a non-idempotent request on a full disk: %+v", a)
	}
	if a := send("look", "three"); a.Outcome != fakeengine.Completed {
		t.Errorf("an idempotent request on a full disk: %+v", a)
	}
	if a := send("load", "one"); a.Outcome != fakeengine.Completed {
		t.Errorf("a repeated request whose answer is recorded, on a full disk: %+v", a)
	}
	setFault("full", false)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := processes.WaitUntil(ctx, "the store accepts writes again", func() bool { return strings.Contains(r.Tail("c0", 1<<16), "accepts writes again") }); err != nil {
		t.Fatal(err)
	}
	if a := send("load", "two"); a.Outcome != fakeengine.Completed {
		t.Errorf("after the disk has recovered: %+v", a)
	}
	r.Process("c0").Kill()
	if err := r.Process("c0").Start(); err != nil {
		t.Fatal(err)
	}
	r.waitReady()
	if a := send("load", "two"); a.Outcome != fakeengine.Completed {
		t.Errorf("after a kill: %+v", a)
	}
	for _, violation := range r.violations {
		t.Error(violation)
	}
}

// What the learned state kept by the store is worth: engines of three speeds, memory estimates of a third of the need,
// requests of 40 ms with little time to spare, at a high and at a low rate. A controller is killed after ten seconds and
// restarted with or without that state; the share served in time in the seconds after the restart is compared.
func TestMeasureWarm(t *testing.T) {
	skipUnlessMeasuring(t)
	for i, warm := range []bool{true, false, true, false, true, false, true, false} {
		lowRate := i >= 4
		objective, rate, step := 0.3, 0.8*2*(1+0.5+0.15)*4/0.04, 2.0
		if lowRate {
			objective, rate = 0.12, 30
		}
		more := `, "learned": 0.5`
		if !warm {
			more = `, "learned": 0`
		}
		r := &storeTest{folder: t.TempDir(), requests: map[string]*retriedRequest{}}
		r.testCluster = newTestCluster(t, 6, 1, func(i int, e *fakeengine.Engine) { e.Speed = []float64{1, 0.5, 0.15}[i%3] })
		settings := strings.NewReplacer("KEYED", "2", "FOLDER", r.folder, "MORE", more, `"job_timeout": 3, "sla": 2}`, fmt.Sprintf(`"job_timeout": 1, "sla": %g}`, objective)).Replace(storeSettings)
		r.addController("c0", settings)
		if err := r.Start("c0"); err != nil {
			t.Fatal(err)
		}
		r.waitReady()
		serve := func(seconds, rate float64) (sent, inTime int) {
			var mu sync.Mutex
			var inFlight sync.WaitGroup
			client, err := fakeengine.Dial(r.clientAddresses[0])
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			began := time.Now()
			for n := 0; float64(n) < seconds*rate; n++ {
				time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
				inFlight.Go(func() {
					a := client.Do(context.Background(), fakeengine.Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: "look", Timeout: 1, Work: 0.04, Memory: 60,
						Statement: "/* work=0.04 mb=180 */ select 1"})
					mu.Lock()
					sent++
					if a.Outcome == fakeengine.Completed && a.Latency < objective {
						inTime++
					}
					mu.Unlock()
				})
			}
			inFlight.Wait()
			return sent, inTime
		}
		sent, inTime := serve(10, rate)
		r.Process("c0").Kill()
		if err := r.Process("c0").Start(); err != nil {
			t.Fatal(err)
		}
		r.waitReady()
		var shares []string
		for range 5 {
			sent, inTime := serve(step, rate)
			shares = append(shares, fmt.Sprintf("%.3f", float64(inTime)/float64(sent)))
		}
		t.Logf("%.0f requests per second, learned state kept %v: %.3f of the requests in time before the kill, then in steps of two seconds %s", rate, warm, float64(inTime)/float64(sent), strings.Join(shares, " "))
		r.Close()
	}
}
