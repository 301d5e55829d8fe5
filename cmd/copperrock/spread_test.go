package main

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/harness/balance"
	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/processes"
)

// spreadScenario is a run of many controllers, each with a client at a rate of its own, and engines that serve in order of
// arrival.
type spreadScenario struct {
	name                 string
	controllers, engines int
	work, load, seconds  float64              // mean seconds of CPU per request; load relative to capacity; duration of the load
	report               string               // fields that engines report
	joiningEngines       int                  // engines added half-way through
	faults               string               // a plan in the syntax of processes.ParsePlan
	slowEngines          int                  // engines at a fifth of the speed
	estimateFactor       float64              // factor by which clients overestimate the work, 0 for none
	askFrom              float64              // the setting ask_from, 0 for 0.3
	spareConns           int                  // the setting spare: connections without a request per engine
	beforeStart          func(c *testCluster) // called before the controllers start; may be nil
	extraSettings        func(i int) string   // additional settings of a controller; may be nil
}

const spreadSettings = `{"name": "NAME", "listen": "LISTEN", "seed": "SEED",
  "machine": {"memory_mb": 64, "sockets": 512}, "log": {"level": "warn"}, "clients": {"idle": 600, "first_message": 600},
  "deployment": {"gateways": COUNT, "index": INDEX, "zones": ["here"],
    "kinds": [{"name": "small", "cores": 4, "memory_mb": 4096}],
    "types": [{"name": "job", "repeat": "restartable", "job_timeout": 30, "sla": 20}],
    "engines": {"report": [REPORT], "line": false, "priorities": false, "streams": 32, "idle": 15, "spare": SPARE, "ask_from": ASKFROM}},
  "engines": {"file": "ENGINES"}EXTRA}`

// spreadResult holds the figures of a scenario.
type spreadResult struct {
	requests, rejected, lost      int
	engineMean, engineP99         float64 // evenness of waits at the engines
	allMean, allP99               float64 // evenness of all waits, also those in controllers
	wait, p99                     float64 // of all requests, in seconds
	randomWait, randomP99         float64 // seconds, under random placement of the same requests
	centralWait, centralP99       float64 // seconds, with one central queue for the same requests
	leastBusy, busiest            float64 // work done by an engine, relative to the mean
	polls, connsOpened            float64 // load polls per second and connections opened, both per engine
	joinPeak                      float64 // most requests of a joined engine in the second from its first one, relative to an even share
	joinDelay                     float64 // longest time from joining to the first request, in seconds
	cpu                           float64 // microseconds per request, all controllers
	openConns                     float64 // connections per engine at the end
	surplusConns, maxSurplusConns float64 // connections of an engine beyond its running requests: mean and maximum
}

func (f spreadResult) String() string {
	return fmt.Sprintf("%5d requests, %4d rejected, %d lost | engines %.2f, %.2f | all %.2f, %.2f | wait %.3f p99 %.2f (random %.3f, %.2f; central %.4f, %.2f) | busy %.2f to %.2f | polls %.1f/s, %.0f connections, %.0f at the end, surplus %.0f, at most %.0f | joined: peak %.2f, first after %.2f s | CPU %.0f us",
		f.requests, f.rejected, f.lost, f.engineMean, f.engineP99, f.allMean, f.allP99, f.wait, f.p99, f.randomWait, f.randomP99, f.centralWait, f.centralP99,
		f.leastBusy, f.busiest, f.polls, f.connsOpened, f.openConns, f.surplusConns, f.maxSurplusConns, f.joinPeak, f.joinDelay, f.cpu)
}

// run starts the scenario's processes and returns its figures.
func (d spreadScenario) run(t *testing.T, seed uint64) (f spreadResult) {
	type requestTimes struct{ received, started float64 }
	var mu sync.Mutex
	times := map[string]*requestTimes{}
	arrivalsAt := map[string][]float64{} // by joined engine
	joined := map[string]float64{}
	observe := func(s fakeengine.Event) {
		mu.Lock()
		defer mu.Unlock()
		if times[s.RequestID] == nil {
			times[s.RequestID] = &requestTimes{}
		}
		switch s.Kind {
		case "asked":
			times[s.RequestID].received = s.At
			if _, isNew := joined[s.Engine]; isNew {
				arrivalsAt[s.Engine] = append(arrivalsAt[s.Engine], s.At)
			}
		case "began":
			times[s.RequestID].started = s.At
		}
	}
	setUp := func(i int, e *fakeengine.Engine) {
		e.OneRequestPerCore, e.OnEvent = true, observe
		if i < d.slowEngines {
			e.Speed = 0.2
		}
	}
	c := newTestCluster(t, d.engines, seed, setUp)
	var names []string
	for i := range d.controllers {
		extra := ""
		if d.extraSettings != nil {
			extra = d.extraSettings(i)
		}
		name := fmt.Sprintf("c%03d", i)
		names = append(names, name)
		c.addController(name, strings.NewReplacer("COUNT", fmt.Sprint(d.controllers), "INDEX", fmt.Sprint(i), "REPORT", d.report, "ASKFROM", fmt.Sprint(cmp.Or(d.askFrom, 0.3)), "SPARE", fmt.Sprint(d.spareConns), "EXTRA", extra).Replace(spreadSettings))
	}
	if d.beforeStart != nil {
		d.beforeStart(c)
	}
	if err := c.Start(names...); err != nil {
		t.Fatal(err)
	}
	c.waitReady()
	if d.beforeStart != nil { // until leases and shards are assigned
		time.Sleep(5 * time.Second)
	}
	r := rand.New(rand.NewPCG(seed, 2)) // rates depend on the scenario's seed alone
	weights, sum := make([]float64, d.controllers), 0.0
	for i := range weights {
		weights[i] = 0.3 + 0.7*r.ExpFloat64()
		sum += weights[i]
	}
	rate := d.load * float64(d.engines) * 4 / d.work
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration((d.seconds+40)*float64(time.Second)))
	defer cancel()
	var arrivals []balance.Arrival
	type answered struct{ at, work, wait float64 }
	var done []answered
	var clients sync.WaitGroup
	began := time.Now()
	for i, address := range c.clientAddresses {
		draws := rand.New(rand.NewPCG(seed, uint64(100+i)))
		clientRate := rate * weights[i] / sum
		clients.Go(func() {
			client, err := fakeengine.Dial(address)
			if err != nil {
				t.Error(err)
				return
			}
			defer client.Close()
			var inFlight sync.WaitGroup
			for next, n := draws.ExpFloat64()/clientRate, 0; next < d.seconds; next, n = next+draws.ExpFloat64()/clientRate, n+1 {
				time.Sleep(time.Until(began.Add(time.Duration(next * float64(time.Second)))))
				work, id := d.work*draws.ExpFloat64(), fmt.Sprintf("%08x%08x", i, n)
				inFlight.Go(func() {
					sent := unixNow()
					a := client.Do(ctx, fakeengine.Request{ID: id, Class: "job", Timeout: 30, Work: work * max(d.estimateFactor, 1), Memory: 40,
						Statement: fmt.Sprintf("/* work=%.4f mb=40 */ select 1", work)})
					mu.Lock()
					defer mu.Unlock()
					switch a.Outcome {
					case fakeengine.Completed:
						done = append(done, answered{sent, work, a.Latency - work})
					case fakeengine.Rejected:
						f.rejected++
					default:
						f.lost++
					}
					arrivals = append(arrivals, balance.Arrival{At: sent, Work: work})
				})
			}
			inFlight.Wait()
		})
	}
	planDone := make(chan error, 1)
	plan, err := processes.ParsePlan(d.faults)
	if err != nil {
		t.Fatal(err)
	}
	go func() { planDone <- c.RunPlan(ctx, plan, nil) }()
	if d.joiningEngines > 0 {
		time.Sleep(time.Until(began.Add(time.Duration(d.seconds / 2 * float64(time.Second)))))
		mu.Lock()
		for i := range d.joiningEngines {
			joined[fmt.Sprintf("e%d", d.engines+i)] = unixNow()
		}
		mu.Unlock()
		for range d.joiningEngines {
			c.addEngine(setUp)
		}
		c.writeEngineList()
	}
	samples := 0.0
	for end := began.Add(time.Duration(d.seconds * float64(time.Second))); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, e := range c.engines {
			surplus := max(float64(e.Connections()-e.Running()), 0)
			f.surplusConns, f.maxSurplusConns, samples = f.surplusConns+surplus, max(f.maxSurplusConns, surplus), samples+1
		}
	}
	f.surplusConns /= max(samples, 1)
	var works []float64
	for i, e := range c.engines {
		if _, work := e.CompletedWork(); i < d.engines {
			works = append(works, work/e.Speed)
		}
		polls, connections := e.PollsAndConnections()
		f.polls += float64(polls) / d.seconds / float64(len(c.engines))
		f.connsOpened += float64(connections) / float64(len(c.engines))
		f.openConns += float64(e.Connections()) / float64(len(c.engines))
	}
	clients.Wait()
	if err := <-planDone; err != nil {
		t.Error(err)
	}
	cpu := 0.0
	for _, name := range names {
		cpu += cpuSeconds(c.Process(name).PID())
	}
	f.requests = len(arrivals)
	f.cpu = cpu / float64(max(f.requests, 1)) * 1e6
	f.leastBusy, f.busiest = balance.LoadRange(works)
	model := balance.Fleet{Count: d.engines, Cores: 4, Speed: 1}
	random, central := balance.RandomWaits(model, arrivals, seed), balance.CentralWaits(model, arrivals)
	f.randomWait, f.randomP99, f.centralWait, f.centralP99 = balance.Mean(random), balance.Quantile(random, 0.99), balance.Mean(central), balance.Quantile(central, 0.99)
	var atEngines, all []float64
	for _, s := range times {
		if s.started > 0 {
			atEngines = append(atEngines, s.started-s.received)
		}
	}
	for _, a := range done {
		all = append(all, a.wait)
	}
	f.wait, f.p99 = balance.Mean(all), balance.Quantile(all, 0.99)
	f.engineMean = balance.Evenness(balance.Mean(atEngines), f.randomWait, f.centralWait)
	f.engineP99 = balance.Evenness(balance.Quantile(atEngines, 0.99), f.randomP99, f.centralP99)
	f.allMean, f.allP99 = balance.Evenness(f.wait, f.randomWait, f.centralWait), balance.Evenness(f.p99, f.randomP99, f.centralP99)
	evenShare := rate / float64(d.engines+d.joiningEngines)
	for name, joinedAt := range joined {
		count, first := 0.0, math.Inf(1)
		for _, a := range arrivalsAt[name] {
			first = min(first, a-joinedAt)
		}
		for _, a := range arrivalsAt[name] {
			if a-joinedAt < first+1 {
				count++
			}
		}
		f.joinPeak, f.joinDelay = max(f.joinPeak, count/evenShare), max(f.joinDelay, first)
	}
	return f
}

// cpuSeconds returns the CPU time that a process has used, 0 if the process is gone.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100 // a kernel tick is 10 ms
}

// fullReport and memoryReport are the fields that engines report: all of them, or no queue and CPU load.
const fullReport, memoryReport = `"busy_reqs", "pending", "cpu_share", "x0"`, `"busy_reqs", "x0"`

// How evenly many processes spread load when each sees little of it. DAYS selects scenarios by name.
func TestMeasureSpread(t *testing.T) {
	skipUnlessMeasuring(t)
	scenarios := []spreadScenario{
		{name: "100x30", controllers: 100, engines: 30, work: 0.3, load: 0.7, report: fullReport},
		{name: "100x30-full", controllers: 100, engines: 30, work: 0.3, load: 0.9, report: fullReport},
		{name: "100x30-memory", controllers: 100, engines: 30, work: 0.3, load: 0.7, report: memoryReport},
		{name: "300x60", controllers: 300, engines: 60, work: 0.3, load: 0.7, report: fullReport},
		{name: "300x60-killed", controllers: 300, engines: 60, work: 0.3, load: 0.7, report: fullReport, faults: killPlan(300, 0.7, 7)},
		{name: "300x60-join", controllers: 300, engines: 30, joiningEngines: 30, work: 0.3, load: 0.7, report: fullReport},
		{name: "300x10-short", controllers: 300, engines: 10, work: 0.06, load: 0.7, report: fullReport},
		{name: "100x30-slow", controllers: 100, engines: 30, slowEngines: 1, work: 0.3, load: 0.7, report: fullReport},
		{name: "100x30-estimates", controllers: 100, engines: 30, estimateFactor: 10, work: 0.3, load: 0.7, report: fullReport},
	}
	for _, c := range []struct {
		name                 string
		controllers, engines int
		load                 float64
		work                 float64
		askFrom              float64
		fleet                bool
	}{{"100x30-asks", 100, 30, 0.7, 0.3, 0.02, false}, {"100x30-full-asks", 100, 30, 0.9, 0.3, 0.02, false}, {"300x60-asks", 300, 60, 0.7, 0.3, 0.02, false}, {"300x60-full-asks", 300, 60, 0.9, 0.3, 0.02, false},
		{"300x10-short-asks", 300, 10, 0.7, 0.06, 0.02, false}, {"100x30-talks", 100, 30, 0.7, 0.3, 0.3, true},
		{"100x30-fleet", 100, 30, 0.7, 0.3, 0.02, false}, {"100x30-spare", 100, 30, 0.7, 0.3, 0.02, false}, {"300x60-spare", 300, 60, 0.7, 0.3, 0.02, false}, {"300x10-short-spare", 300, 10, 0.7, 0.06, 0.02, false}} {
		d := spreadScenario{name: c.name, controllers: c.controllers, engines: c.engines, work: c.work, load: c.load, report: fullReport, askFrom: c.askFrom}
		if strings.HasSuffix(c.name, "-spare") {
			d.spareConns = 20
		}
		switch {
		case c.fleet:
			d.formFleet(t, `, "duties": {"probe": 0.1}`)
		case strings.HasSuffix(c.name, "-fleet"): // only a divided budget, no shared work: its cost per request
			d.formFleet(t, "")
		}
		scenarios = append(scenarios, d)
	}
	selected := os.Getenv("DAYS")
	for _, d := range scenarios {
		if selected == "" || strings.Contains(","+selected+",", ","+d.name+",") {
			d.seconds = 15
			t.Logf("%-16s %s", d.name, d.run(t, 1))
		}
	}
}

// formFleet joins the controllers into a fleet, with the given section on duties, to measure what shared polls are worth
// for placement.
func (d *spreadScenario) formFleet(t *testing.T, duties string) {
	var voters []string
	for i := range 3 {
		voters = append(voters, fmt.Sprintf(`{"name": "c%03d", "address": %q}`, i, freeAddress(t)))
	}
	folder := t.TempDir()
	d.extraSettings = func(_ int) string {
		return fmt.Sprintf(`, "fleet": {"voters": [%s], "folder": %q, "lease": 2, "beat": 0.05, "controllers": %d}%s`, strings.Join(voters, ", "), folder, d.controllers, duties)
	}
	d.beforeStart = func(c *testCluster) {
		for i := range 3 {
			f, err := readFleetOptions(fmt.Sprintf("%s/c%03d.jsonc", c.Folder, i))
			if err == nil {
				err = fleet.InitVoter(f, false)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

// killPlan returns a plan that kills a fraction of the controllers at once, at the given second.
func killPlan(controllers int, fraction, at float64) string {
	var names []string
	for i := range int(fraction * float64(controllers)) {
		names = append(names, fmt.Sprintf("c%03d", i))
	}
	return fmt.Sprintf("%g kill %s", at, strings.Join(names, ","))
}

// Eight processes share four engines while one process is killed and restarted and another is frozen. Guards against
// requests that are not served, and against an engine that is idle or overloaded while others have capacity.
func TestSpreadOverFewProcesses(t *testing.T) {
	d := spreadScenario{controllers: 8, engines: 4, work: 0.05, load: 0.4, seconds: 3, report: fullReport,
		faults: "0.5 freeze c001 for 0.4\n1 kill c000 for 0.3"}
	f := d.run(t, 3)
	if f.requests < 100 || f.leastBusy < 0.3 || f.busiest > 2 || f.rejected > f.requests/10 {
		t.Errorf("uneven load or too many rejections: %v", f)
	}
}
