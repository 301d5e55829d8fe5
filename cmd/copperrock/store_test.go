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

// storeSettings are a controller's that has a store; its clients repeat a key in the field "again".
const storeSettings = `{"name": "NAME", "listen": "LISTEN", "seed": "SEED",
  "machine": {"memory_mb": 64, "sockets": 256}, "log": {"level": "info"}, "clients": {"idle": 600, "first_message": 600},
  "deployment": {"zones": ["here"], "kinds": [{"name": "small", "cores": 4, "memory_mb": 4096}],
    "types": [{"name": "look", "repeat": "restartable", "job_timeout": 3, "sla": 2},
      {"name": "keyed", "repeat": "keyed", "window": KEYED, "job_timeout": 3, "sla": 2},
      {"name": "load", "repeat": "run_once", "job_timeout": 3, "sla": 2}],
    "engines": {"report": ["busy_reqs", "x0"], "probing": false, "streams": 32}, "rules": {"come_back": 0.05}},
  "requests": {"retry": "again", "first": "first"},
  "engines": {"file": "ENGINES"}, "store": {"folder": "FOLDER", "window": 30 MORE}}`

// keptWindow is the window of keyed jobs there, in seconds.
const keptWindow = 2.0

// work is one piece of work of a client: all its tries have one key.
type pieceOfWork struct {
	key, class string
	asked      []fakeengine.Event // dispatches that an engine took, and did not turn away
	answers    []fakeengine.Answer
}

// storeRig is one controller with a store, engines and clients that try again.
type storeRig struct {
	*crowd
	folder string
	mu     sync.Mutex
	works  map[string]*pieceOfWork // by the first half of a job's id
	wrong  []string
	done   int
	tries  int // of a piece of work at most, 0 for usualTries
}

// usualTries end a piece of work whose controller does not come back.
const usualTries = 400

func newStoreRig(t testing.TB, seed uint64, more string, faults map[fakeengine.Fault]float64) *storeRig {
	r := &storeRig{folder: t.TempDir(), works: map[string]*pieceOfWork{}}
	r.crowd = newCrowd(t, 3, seed, func(_ int, e *fakeengine.Engine) { e.Faults, e.OnEvent = faults, r.see })
	r.controller("c0", strings.NewReplacer("KEYED", fmt.Sprint(keptWindow), "FOLDER", r.folder, "MORE", more).Replace(storeSettings))
	if err := r.Start("c0"); err != nil {
		t.Fatal(err)
	}
	r.up()
	return r
}

// see checks what engines see, by their own log.
func (r *storeRig) see(s fakeengine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.works[s.RequestID[:8]]
	if w == nil {
		return
	}
	switch s.Kind {
	case "asked":
		if w.class == "load" && len(w.asked) > 0 {
			r.wrong = append(r.wrong, fmt.Sprintf("run-once %s goes to %s at %.3f, and went to %s at %.3f", w.key, s.Engine, s.At, w.asked[0].Engine, w.asked[0].At))
		}
		if first := w.asked; w.class == "keyed" && len(first) > 0 && s.At > first[0].At+keptWindow {
			r.wrong = append(r.wrong, fmt.Sprintf("keyed %s goes again %.3f s after its first dispatch", w.key, s.At-first[0].At))
		}
		w.asked = append(w.asked, s)
	case "refused": // it did not run
		w.asked = slices.DeleteFunc(w.asked, func(a fakeengine.Event) bool { return a.RequestID == s.RequestID && a.Engine == s.Engine })
	}
}

// try does one piece of work to its end: it is asked for again under its key while its answer is lost or put off, and once
// more after it was done.
func (r *storeRig) try(ctx context.Context, address string, n int, class string, work float64) {
	id := fmt.Sprintf("%08x", n)
	w := &pieceOfWork{key: "key-" + id, class: class}
	r.mu.Lock()
	r.works[id] = w
	r.mu.Unlock()
	var client *fakeengine.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	finals, rows := 0, ""
	for try := 0; ctx.Err() == nil && try < cmp.Or(r.tries, usualTries); try++ {
		if client == nil {
			c, err := fakeengine.Dial(address)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			client = c
		}
		more := map[string]string{"again": w.key}
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
		w.answers = append(w.answers, a)
		if a.Outcome == fakeengine.Completed && class != "look" {
			if rows != "" && a.Rows != rows {
				r.wrong = append(r.wrong, fmt.Sprintf("%s had rows %q, and then %q", w.key, rows, a.Rows))
			}
			rows = a.Rows
		}
		if rows != "" && a.Outcome == fakeengine.FailedPermanently && class != "look" {
			r.wrong = append(r.wrong, fmt.Sprintf("%s was done, and then %s: %s", w.key, a.Outcome, a.Reason))
		}
		if class == "load" && a.Reason == "may have run" && len(w.asked) == 0 && w.answers[0].Reason == "may have run" {
			r.done++ // in doubt, which is allowed; it shows that nothing ran
		}
		r.done++
		r.mu.Unlock()
		if finals++; finals == 2 {
			return
		}
	}
}

// crashes has clients work while the controller is killed so many times, each time at a moment drawn from the seed, and
// started again at once.
func (r *storeRig) crashes(t testing.TB, kills int, seed uint64, clients int) {
	works := 0
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	var next sync.Mutex
	for i := range clients {
		draws := rand.New(rand.NewPCG(seed, uint64(10+i)))
		all.Go(func() {
			for ctx.Err() == nil {
				next.Lock()
				works++
				n := works
				next.Unlock()
				r.try(context.Background(), r.addresses[0], n, []string{"look", "keyed", "load", "load"}[draws.IntN(4)], 0.002+0.02*draws.Float64())
			}
		})
	}
	draws := rand.New(rand.NewPCG(seed, 1))
	for range kills {
		after := 0.02 + 0.08*draws.Float64() // while it comes back
		if draws.IntN(2) == 0 {
			after = 0.1 + 0.3*draws.Float64() // or under load
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
		r.Process("c0").Kill()
		if err := r.Process("c0").Start(); err != nil {
			t.Fatal(err)
		}
	}
	r.up()
	time.Sleep(200 * time.Millisecond)
	cancel()
	all.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := 0
	for _, w := range r.works {
		ran += len(w.asked)
	}
	t.Logf("seed %d: %d kills, %d pieces of work, %d dispatches at engines, %d final answers", seed, kills, works, ran, r.done)
	for _, wrong := range r.wrong {
		t.Errorf("SEED=%d: %s", seed, wrong)
	}
	if works < 2*kills {
		t.Errorf("only %d pieces of work", works)
	}
}

// A controller is killed again and again, at points drawn from a seed, while clients try again under their keys and engines
// fail now and then: by the engines' own log no run-once job goes twice, no keyed one beyond its window, and an answer stays
// what it was. CRASHES asks for more kills, SEED for another draw.
func TestStoreOverKills(t *testing.T) {
	kills, seed := 12, uint64(1)
	fromEnv(t, "CRASHES", &kills)
	fromEnv(t, "SEED", &seed)
	r := newStoreRig(t, seed, `, "file_mb": 0.02`, map[fakeengine.Fault]float64{fakeengine.Reset: 0.03, fakeengine.Fail: 0.03, fakeengine.Overloaded: 0.03})
	r.crashes(t, kills, seed, 8)
	if names, _ := os.ReadDir(r.folder); !slices.ContainsFunc(names, func(n os.DirEntry) bool { return n.Name() == "engines.jsonc" }) {
		t.Error("the list of engines is not kept in the store's folder")
	}
	// What is left ends in order, and can be read.
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// The same checker finds a controller that keeps nothing: without a store the same kills have run-once jobs run twice.
func TestKillsWithoutStore(t *testing.T) {
	r := &storeRig{folder: t.TempDir(), works: map[string]*pieceOfWork{}}
	r.crowd = newCrowd(t, 3, 1, func(_ int, e *fakeengine.Engine) { e.OnEvent = r.see })
	settings := strings.NewReplacer("KEYED", fmt.Sprint(keptWindow), `, "store": {"folder": "FOLDER", "window": 30 MORE}`, "").Replace(storeSettings)
	r.controller("c0", settings)
	if err := r.Start("c0"); err != nil {
		t.Fatal(err)
	}
	r.up()
	quiet := &silent{TB: t}
	for seed := uint64(1); seed < 8 && len(r.wrong) == 0; seed++ {
		r.crashes(quiet, 6, seed, 8)
	}
	if len(r.wrong) == 0 {
		t.Error("nothing was found wrong without a store")
	}
}

// Three further dispatches may go in any two seconds, over kills too: without what is kept of a life before each would have
// three of its own.
func TestFurtherOverKills(t *testing.T) {
	const free, window = 3, 2.0
	r := &storeRig{folder: t.TempDir(), works: map[string]*pieceOfWork{}}
	var mu sync.Mutex
	seen, further := map[string]int{}, []float64{}
	r.crowd = newCrowd(t, 3, 1, func(_ int, e *fakeengine.Engine) {
		e.Faults, e.OnEvent = map[fakeengine.Fault]float64{fakeengine.Fail: 0.5}, func(s fakeengine.Event) {
			mu.Lock()
			defer mu.Unlock()
			if s.Kind == "asked" {
				if seen[s.RequestID]++; seen[s.RequestID] > 1 {
					further = append(further, s.At)
				}
			}
		}
	})
	settings := strings.NewReplacer("KEYED", "2", "FOLDER", r.folder, " MORE", "", `"rules": {`, fmt.Sprintf(`"rules": {"further_free": %d, "further_share": 0, "further_window": %g, `, free, window)).Replace(storeSettings)
	r.controller("c0", settings)
	if err := r.Start("c0"); err != nil {
		t.Fatal(err)
	}
	r.up()
	r.crashes(&silent{TB: t}, 14, 3, 8)
	mu.Lock()
	defer mu.Unlock()
	slices.Sort(further)
	for i := range further {
		if i >= free && further[i]-further[i-free] < window-0.4 { // the way to the engines, on a machine that is busy
			t.Fatalf("%d further dispatches in %.3f s: %.3f", free+1, further[i]-further[i-free], further[i-free:i+1])
		}
	}
	if len(further) < free {
		t.Errorf("only %d further dispatches went", len(further))
	}
	t.Logf("%d further dispatches over 14 kills in %.1f s", len(further), further[len(further)-1]-further[0])
}

// silent is a test whose errors are looked for.
type silent struct{ testing.TB }

func (s *silent) Errorf(string, ...any) {}

// Its disk fails under a controller, and comes back: what needs no record goes on, what needs one is throttled at once or
// goes all the same, as the settings say, and all is on record again once the disk is back.
func TestStoreWithoutDisk(t *testing.T) {
	r := newStoreRig(t, 1, `, "retry": 0.05`, nil)
	ask := func(class, key string) fakeengine.Answer {
		client, err := fakeengine.Dial(r.addresses[0])
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		r.mu.Lock()
		n := len(r.works) + 1
		id := fmt.Sprintf("%08x", n)
		r.works[id] = &pieceOfWork{key: key, class: class}
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		return client.Do(ctx, fakeengine.Request{ID: id + "00000000", Class: class, Timeout: 3, Work: 0.01, Memory: 40, Fields: map[string]string{"again": key}, Statement: "/* work=0.01 mb=40 */ insert 1"})
	}
	if a := ask("load", "one"); a.Outcome != fakeengine.Completed {
		t.Fatalf("%+v", a)
	}
	mark := func(fault string, on bool) {
		path := r.folder + "." + fault
		setMark(t, path, on)
	}
	mark("full", true)
	t.Cleanup(func() { mark("full", false) })
	began := time.Now()
	a := ask("load", "two")
	if a.Outcome != fakeengine.Rejected || time.Since(began) > 2*time.Second {
		t.Errorf("a run-once job on a full disk: %+v", a)
	}
	if a := ask("look", "three"); a.Outcome != fakeengine.Completed {
		t.Errorf("a restartable job on a full disk: %+v", a)
	}
	if a := ask("load", "one"); a.Outcome != fakeengine.Completed {
		t.Errorf("an answer that is known, on a full disk: %+v", a)
	}
	mark("full", false)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := processes.WaitUntil(ctx, "the disk is taken up again", func() bool { return strings.Contains(r.Tail("c0", 1<<16), "accepts writes again") }); err != nil {
		t.Fatal(err)
	}
	if a := ask("load", "two"); a.Outcome != fakeengine.Completed {
		t.Errorf("once the disk is back: %+v", a)
	}
	r.Process("c0").Kill()
	if err := r.Process("c0").Start(); err != nil {
		t.Fatal(err)
	}
	r.up()
	if a := ask("load", "two"); a.Outcome != fakeengine.Completed {
		t.Errorf("after a kill: %+v", a)
	}
	for _, wrong := range r.wrong {
		t.Error(wrong)
	}
}

// What a warm start is worth: engines of three speeds, estimates of memory a third of the need, jobs of 40 ms with little
// time to spare, many of them and few. A controller is killed after ten seconds and comes back with what it had learned, or
// without; the part served in time in the first seconds after is compared. MEASURE.
func TestMeasureWarm(t *testing.T) {
	measuring(t)
	for i, warm := range []bool{true, false, true, false, true, false, true, false} {
		few := i >= 4
		sla, rate, step := 0.3, 0.8*2*(1+0.5+0.15)*4/0.04, 2.0
		if few {
			sla, rate = 0.12, 30
		}
		more := `, "learned": 0.5`
		if !warm {
			more = `, "learned": 0`
		}
		r := &storeRig{folder: t.TempDir(), works: map[string]*pieceOfWork{}}
		r.crowd = newCrowd(t, 6, 1, func(i int, e *fakeengine.Engine) { e.Speed = []float64{1, 0.5, 0.15}[i%3] })
		settings := strings.NewReplacer("KEYED", "2", "FOLDER", r.folder, "MORE", more, `"job_timeout": 3, "sla": 2}`, fmt.Sprintf(`"job_timeout": 1, "sla": %g}`, sla)).Replace(storeSettings)
		r.controller("c0", settings)
		if err := r.Start("c0"); err != nil {
			t.Fatal(err)
		}
		r.up()
		serve := func(seconds, rate float64) (sent, inTime int) {
			var mu sync.Mutex
			var jobs sync.WaitGroup
			client, err := fakeengine.Dial(r.addresses[0])
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			began := time.Now()
			for n := 0; float64(n) < seconds*rate; n++ {
				time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
				jobs.Go(func() {
					a := client.Do(context.Background(), fakeengine.Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: "look", Timeout: 1, Work: 0.04, Memory: 60,
						Statement: "/* work=0.04 mb=180 */ select 1"})
					mu.Lock()
					sent++
					if a.Outcome == fakeengine.Completed && a.Latency < sla {
						inTime++
					}
					mu.Unlock()
				})
			}
			jobs.Wait()
			return sent, inTime
		}
		sent, good := serve(10, rate)
		r.Process("c0").Kill()
		if err := r.Process("c0").Start(); err != nil {
			t.Fatal(err)
		}
		r.up()
		var parts []string
		for range 5 {
			s, g := serve(step, rate)
			parts = append(parts, fmt.Sprintf("%.3f", float64(g)/float64(s)))
		}
		t.Logf("%.0f jobs a second, learned kept %v: before the kill %.3f of the jobs in time, then by two seconds %s", rate, warm, float64(good)/float64(sent), strings.Join(parts, " "))
		r.Close()
	}
}
