package main

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/faultproxy"
	"copperrock.example/copperrock/internal/harness/processes"
)

// budgetSettings configure a controller of a fleet that divides one team's budget. VOTERS are the addresses at which this
// controller reaches the voters, through proxies.
const budgetSettings = `{"name": "NAME", "listen": "LISTEN", "seed": "SEED",
  "machine": {"memory_mb": 64, "sockets": 256}, "log": {"level": "info"}, "clients": {"idle": 600, "first_message": 600},
  "leaving": {"stay": 0.1, "longest": 1},
  "deployment": {"gateways": COUNT, "index": INDEX, "zones": ["here"],
    "kinds": [{"name": "small", "cores": 64, "memory_mb": 2000}],
    "types": [{"name": "job", "repeat": "restartable", "job_timeout": 1.5, "sla": 1.5, "threads": 0.1},
      {"name": "load", "repeat": "run_once", "job_timeout": 1.5, "sla": 1.5, "threads": 0.1}],
    "engines": {"report": ["busy_reqs", "x0"], "probing": PROBING, "streams": 32}, "rules": {"come_back": 0.2}},
  "engines": {"file": "ENGINES"}, "requests": {"team": "team"},
  "teams": {"default": "all", "budgets": [{"name": "all", "scope": "fleet", "most_mb": TOTAL, "waiting": 20}]},
  "fleet": {"voters": [VOTERS], OWN "folder": "FOLDER", "lease": 1, "linger": 1.6, "beat": 0.03, "divide": 0.1, "reserve": 0.02, "controllers": MAXCONTROLLERS}DUTIES}`

// fleetTest is a fleet of real processes that share one budget, with the engines' own record of its use.
type fleetTest struct {
	*testCluster
	total          float64 // MB that the fleet divides
	names          []string
	voterAddresses map[string]string // at which voters listen, by controller
	options        map[string]*fleet.Options
	clients        sync.WaitGroup
	stopLoad       context.CancelFunc

	mu              sync.Mutex
	usage           engineUsage
	outcomes        map[string]map[fakeengine.Outcome]int // number of answers, by controller
	retryAfter      map[string]float64                    // latest retry-after of a rejection in seconds, by controller
	scheduledEvents []fakeengine.Event                    // engine events of scheduled jobs
}

// newFleetTest starts a fleet without shared tasks.
func newFleetTest(t *testing.T, controllers int, total float64) *fleetTest {
	return newFleetTestWithDuties(t, controllers, total, "")
}

// newFleetTestWithDuties starts a fleet whose settings have a section on duties, the shared tasks.
func newFleetTestWithDuties(t *testing.T, controllers int, total float64, duties string) *fleetTest {
	return startFleetTest(t, fleetSetup{settings: budgetSettings, controllers: controllers, total: total, duties: duties})
}

// fleetSetup describes a fleet of real processes.
type fleetSetup struct {
	settings    string // template of each controller's settings
	controllers int
	total       float64                  // MB that the fleet divides
	duties      string                   // inserted into the settings after the section fleet
	program     string                   // path of the build to run, "" for the test binary
	setUpEngine func(*fakeengine.Engine) // adjusts an engine before it starts; may be nil
}

// startFleetTest starts a fleet and waits until all its controllers accept requests.
func startFleetTest(t *testing.T, setup fleetSetup) *fleetTest {
	b := &fleetTest{total: setup.total, voterAddresses: map[string]string{}, options: map[string]*fleet.Options{}, usage: newEngineUsage(),
		outcomes: map[string]map[fakeengine.Outcome]int{}, retryAfter: map[string]float64{}}
	b.testCluster = newTestCluster(t, 3, 1, func(_ int, e *fakeengine.Engine) {
		e.Cores, e.Memory, e.OnEvent = 64, 1e9, b.observe
		if setup.setUpEngine != nil {
			setup.setUpEngine(e)
		}
	})
	b.program = setup.program
	for i := range setup.controllers {
		b.names = append(b.names, fmt.Sprintf("c%d", i))
	}
	for _, name := range b.names[:3] {
		b.voterAddresses[name] = freeAddress(t)
	}
	for i, name := range b.names {
		b.configure(i, name, setup)
	}
	if err := b.Start(b.names...); err != nil {
		t.Fatal(err)
	}
	b.waitReady()
	return b
}

// configure writes a controller's settings and, for a voter, creates its Raft log.
func (b *fleetTest) configure(i int, name string, setup fleetSetup) {
	b.t.Helper()
	var voters []string
	for _, v := range b.names[:3] {
		address := b.voterAddresses[v]
		if v != name {
			proxy, err := b.ProxyTo(name, v, address)
			if err != nil {
				b.t.Fatal(err)
			}
			address = proxy.Address
		}
		voters = append(voters, fmt.Sprintf(`{"name": %q, "address": %q}`, v, address))
	}
	own := ""
	if voterAddress, isVoter := b.voterAddresses[name]; isVoter {
		own = fmt.Sprintf(`"listen": %q,`, voterAddress)
	}
	text := strings.NewReplacer("COUNT", fmt.Sprint(setup.controllers), "INDEX", fmt.Sprint(i), "TOTAL", fmt.Sprint(setup.total), "VOTERS", strings.Join(voters, ", "),
		"OWN", own, "FOLDER", b.Folder, "MAXCONTROLLERS", fmt.Sprint(max(8, setup.controllers)), "DUTIES", setup.duties,
		"PROBING", fmt.Sprint(setup.duties != "")).Replace(setup.settings)
	b.addController(name, text)
	file := filepath.Join(b.Folder, name+".jsonc")
	s, err := readSettings(file, "")
	if err != nil {
		b.t.Fatal(err)
	}
	b.options[name] = fleetOptions(s)
	if _, isVoter := b.voterAddresses[name]; !isVoter {
		return
	}
	if setup.program == "" {
		err = fleet.InitVoter(b.options[name], false)
	} else {
		err = exec.Command(setup.program, "fleet", "init", "--settings", file).Run()
	}
	if err != nil {
		b.t.Fatal(err)
	}
}

// observe updates the usage at the engines, by the engines' own events.
func (b *fleetTest) observe(s fakeengine.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.FencingToken > 0 || s.Class == "load" {
		b.scheduledEvents = append(b.scheduledEvents, s)
	}
	b.usage.observe(s)
}

// startLoad has a client at each controller request more than the controller's share, until the test ends.
func (b *fleetTest) startLoad() {
	const interval = 0.02 // seconds between requests of a client
	ctx, cancel := context.WithCancel(context.Background())
	b.stopLoad = cancel
	for i, address := range b.clientAddresses {
		name := b.names[i]
		b.outcomes[name] = map[fakeengine.Outcome]int{}
		b.clients.Go(func() {
			var inFlight sync.WaitGroup
			defer inFlight.Wait()
			var client *fakeengine.Client
			for n := 0; ctx.Err() == nil; n++ {
				if client == nil {
					var err error
					if client, err = fakeengine.Dial(address); err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				c, id := client, fmt.Sprintf("%04x%012x", i, n)
				lost := make(chan bool, 1)
				inFlight.Go(func() {
					a := c.Do(context.Background(), fakeengine.Request{ID: id, Class: "job", Timeout: 1.5, Work: 0.1, Memory: 30, Statement: "/* work=0.1 mb=30 */ select 1"})
					b.mu.Lock()
					b.outcomes[name][a.Outcome]++
					if a.Outcome == fakeengine.Rejected {
						b.retryAfter[name] = a.RetryAfter
					}
					b.mu.Unlock()
					lost <- a.Outcome == fakeengine.Lost
				})
				time.Sleep(time.Duration(interval * float64(time.Second)))
				select {
				case connLost := <-lost:
					if connLost {
						c.Close()
						client = nil
					}
				default:
				}
			}
			if client != nil {
				defer client.Close()
				inFlight.Wait()
			}
		})
	}
}

func (b *fleetTest) outcomeCount(name string, o fakeengine.Outcome) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outcomes[name][o]
}

// leaderStatus queries the voters and returns the status and name of the leader with the latest term; the name is "" if
// there is none.
func (b *fleetTest) leaderStatus() (status fleet.Status, leader string) {
	for _, name := range b.names[:3] {
		if !b.Process(name).Running() || b.Process(name).Frozen() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		v, err := fleet.QueryStatus(ctx, b.options["c0"], b.voterAddresses[name])
		cancel()
		if err == nil && v.IsLeader && v.Term > status.Term {
			status, leader = v, name
		}
	}
	return status, leader
}

// waitForLeader waits for a leader and returns its name and term; on a busy machine there may be none for a moment.
func (b *fleetTest) waitForLeader() (leader string, term uint64) {
	b.t.Helper()
	b.waitFor("a voter is leader", func() bool {
		v, name := b.leaderStatus()
		leader, term = name, v.Term
		return name != ""
	})
	return leader, term
}

// allocations returns how much each controller may use by the leader's state, and the sum.
func (b *fleetTest) allocations() (amounts map[string]float64, sum float64) {
	v, _ := b.leaderStatus()
	amounts = map[string]float64{}
	for _, q := range v.Quantities {
		for _, p := range q.Allocations {
			amounts[p.Controller] += p.Amount
			sum += p.Amount
		}
	}
	return amounts, sum
}

// waitFor waits for a condition and returns how many seconds that took.
func (b *fleetTest) waitFor(what string, condition func() bool) float64 {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	began := time.Now()
	if err := processes.WaitUntil(ctx, what, condition); err != nil {
		v, leader := b.leaderStatus()
		b.t.Errorf("%v; leader %s, %+v", err, leader, v)
		for _, name := range b.names {
			b.t.Log(name, b.Tail(name, 1500))
		}
		b.t.FailNow()
	}
	took := time.Since(began).Seconds()
	b.t.Logf("%.2f s until %s", took, what)
	return took
}

// dividedAmong returns a condition: exactly these controllers have shares, of nearly the total.
func (b *fleetTest) dividedAmong(names ...string) func() bool {
	return func() bool {
		amounts, sum := b.allocations()
		for _, name := range names {
			if amounts[name] < 0.02*b.total {
				return false
			}
		}
		n := 0
		for _, amount := range amounts {
			if amount > 0 {
				n++
			}
		}
		return n == len(names) && sum > 0.85*b.total
	}
}

// Five processes divide a budget of 600 MB, each with more load than its share. Guards against more than the budget being
// in use, by the engines' own log, after any of these faults: a leader killed and restarted, a controller frozen for
// longer than its lease and its longest request, a controller partitioned, a leader cut off from the other voters but not
// from the controllers that hold shares, slow links.
func TestFleetBudgetOverFaults(t *testing.T) {
	b := newFleetTest(t, 5, 600)
	b.waitFor("all five have shares", b.dividedAmong("c0", "c1", "c2", "c3", "c4"))
	b.startLoad()
	b.waitFor("all five complete requests", func() bool {
		for _, name := range b.names {
			if b.outcomeCount(name, fakeengine.Completed) < 5 {
				return false
			}
		}
		return true
	})

	// The leader is killed: another is elected, and the killed one's share is divided among the rest.
	leader, _ := b.waitForLeader()
	b.Process(leader).Kill()
	rest := without(b.names, leader)
	b.waitFor("the killed leader's share is divided", b.dividedAmong(rest...))
	if err := b.Process(leader).Start(); err != nil {
		t.Fatal(err)
	}
	b.waitFor("the restarted leader has a share again", b.dividedAmong(b.names...))

	// A controller with attempts in progress is frozen for longer than its lease and its requests last, then resumed.
	b.Process("c4").Freeze()
	b.waitFor("the frozen controller's share is divided", b.dividedAmong("c0", "c1", "c2", "c3"))
	b.Process("c4").Thaw()
	done := b.outcomeCount("c4", fakeengine.Completed)
	b.waitFor("it completes requests again", func() bool { return b.outcomeCount("c4", fakeengine.Completed) > done+5 })

	// A controller is partitioned: it rejects requests at once with a retry-after, and later has a share again without a restart.
	b.Isolate("c3", faultproxy.Partition)
	b.waitFor("the partitioned controller's share is divided", b.dividedAmong("c0", "c1", "c2", "c4"))
	b.waitFor("it logs that its lease has expired", func() bool { return strings.Contains(b.Tail("c3", 1<<20), "only the floors may be used") })
	rejected := b.outcomeCount("c3", fakeengine.Rejected)
	b.waitFor("it rejects requests", func() bool { return b.outcomeCount("c3", fakeengine.Rejected) > rejected+20 })
	b.mu.Lock()
	if b.retryAfter["c3"] <= 0 || b.retryAfter["c3"] > 2 {
		t.Errorf("retry-after of a rejected request is %g s, want more than 0 and at most 2", b.retryAfter["c3"])
	}
	b.mu.Unlock()
	b.Isolate("c3", faultproxy.Link{})
	done = b.outcomeCount("c3", fakeengine.Completed)
	b.waitFor("it completes requests again", func() bool { return b.outcomeCount("c3", fakeengine.Completed) > done+5 })
	if n := b.Process("c3").Starts(); n != 1 {
		t.Errorf("c3 was started %d times, want 1", n)
	}

	// The leader is cut off from the other voters, but not from the controllers that hold shares.
	leader, term := b.waitForLeader()
	b.SetLinks([]string{leader}, without(b.names[:3], leader), faultproxy.Partition)
	b.waitFor("another voter is leader", func() bool { now, other := b.leaderStatus(); return other != leader && now.Term > term })
	b.SetLinks([]string{leader}, without(b.names[:3], leader), faultproxy.Link{})

	// Slow links between all controllers: leases are still renewed.
	b.SetLinks([]string{"*"}, []string{"*"}, faultproxy.Link{Delay: 30 * time.Millisecond})
	b.waitFor("all have shares over slow links", b.dividedAmong(b.names...))
	b.SetLinks([]string{"*"}, []string{"*"}, faultproxy.Link{})
	b.finish()
}

// The leader is killed three times in the middle of a transfer: controllers have been told to use less and still use more,
// or some have been given more. Guards against the next leader handing out what a controller is still committed to, which
// the replicated state records.
func TestLeaderKilledInTransfer(t *testing.T) {
	b := newFleetTest(t, 5, 600)
	b.waitFor("all five have shares", b.dividedAmong(b.names...))
	b.startLoad()
	for i := range 3 {
		// An override lowers the total while all of it is in use, then raises it again.
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		total := []float64{300, 600, 300}[i]
		err := fleet.ProposeAsOperator(ctx, b.options["c0"], state.Command{Op: state.OpSetOverride, Text: state.TeamBudget, Subject: "team/all", Amount: total})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		leader := ""
		b.waitFor("a transfer is in progress", func() bool {
			v, current := b.leaderStatus()
			for _, q := range v.Quantities {
				for _, p := range q.Allocations {
					if p.Committed > p.Amount || total == 600 && p.Amount > 65 {
						leader = current
						return true
					}
				}
			}
			return false
		})
		b.Process(leader).Kill()
		b.total = total
		b.waitFor("the rest have shares under another leader", b.dividedAmong(without(b.names, leader)...))
		if err := b.Process(leader).Start(); err != nil {
			t.Fatal(err)
		}
		b.waitFor("all have shares", b.dividedAmong(b.names...))
	}
	b.total = 600 // may have been in use before the first override
	b.finish()
}

// Without a quorum nothing is divided anew and controllers fall back to their floors; then the whole fleet is killed and
// restarted. Guards against a leader without a quorum, and against a fleet that does not recover from its Raft logs.
func TestFleetWithoutQuorum(t *testing.T) {
	b := newFleetTest(t, 4, 400)
	b.waitFor("all four have shares", b.dividedAmong("c0", "c1", "c2", "c3"))
	b.startLoad()
	b.waitFor("c3 completes requests", func() bool { return b.outcomeCount("c3", fakeengine.Completed) > 5 })
	b.Process("c0").Kill()
	b.Process("c1").Kill()
	b.waitFor("c3 uses only its floor", func() bool { return strings.Contains(b.Tail("c3", 1<<20), "only the floors may be used") })
	rejected := b.outcomeCount("c3", fakeengine.Rejected)
	b.waitFor("c3 rejects requests", func() bool { return b.outcomeCount("c3", fakeengine.Rejected) > rejected+20 })
	if _, leader := b.leaderStatus(); leader != "" && leader != "c2" {
		t.Errorf("leader without a quorum: got %s, want none or c2", leader)
	}
	for _, name := range b.names {
		b.Process(name).Kill()
	}
	if err := b.Start(b.names...); err != nil {
		t.Fatal(err)
	}
	b.waitReady()
	b.waitFor("all four have shares again", b.dividedAmong("c0", "c1", "c2", "c3"))
	done := b.outcomeCount("c3", fakeengine.Completed)
	b.waitFor("c3 completes requests", func() bool { return b.outcomeCount("c3", fakeengine.Completed) > done+5 })
	b.finish()
}

// finish ends the load and checks what the engines recorded.
func (b *fleetTest) finish() {
	b.t.Helper()
	b.stopLoad()
	b.clients.Wait()
	b.waitFor("nothing is in use", func() bool {
		v, _ := b.leaderStatus()
		for _, q := range v.Quantities {
			for _, p := range q.Allocations {
				if p.Used > 0 {
					return false
				}
			}
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(v.Quantities) > 0 && len(b.usage.running) == 0
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.t.Logf("peak usage at the engines: %.0f of %.0f MB; answers %v", b.usage.maxInUse, b.total, b.outcomes)
	if b.usage.maxInUse > b.total {
		b.t.Errorf("B2: %.0f of %.0f MB in use at the engines\n%s", b.usage.maxInUse, b.total, b.usage.describeMax())
	}
	if b.usage.maxInUse < b.total/2 {
		b.t.Errorf("peak usage is %.0f of %.0f MB, want at least half", b.usage.maxInUse, b.total)
	}
	if b.usage.duplicates > 0 {
		b.t.Errorf("%d attempts reached an engine that was running one of the same request", b.usage.duplicates)
	}
}

func without(names []string, name string) (rest []string) {
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

// Options without a fleet, and the report on two controllers whose options disagree.
func TestFleetSettings(t *testing.T) {
	if f := (*fleet.Options)(nil); f.Enabled() {
		t.Error("nil options report an enabled fleet")
	}
	x := &fleet.Options{Name: "a", Self: "c0", Voters: []fleet.Voter{{Name: "c0"}, {Name: "c1"}, {Name: "c2"}}, Lease: 1, MaxControllers: 8, Generation: 1}
	y := &fleet.Options{Name: "a", Self: "c1", Voters: x.Voters, Lease: 2, MaxControllers: 8, Generation: 1}
	x.AddOccupancy("team/a", 100)
	y.AddOccupancy("team/a", 200)
	y.AddOccupancy("team/b", 1)
	if got := strings.Join(fleet.CompareOptions(x, y), "; "); got != "fleet.lease: 1 and 2; team/a: 100 and 200; team/b: not divided, and 1" {
		t.Errorf("differences: got %q", got)
	}
}

// The leader's disk takes two seconds to sync, is full, or fails to sync. Guards against a fleet that stops with it: a
// slow voter stays in the fleet, one whose disk fails stops voting while another leads, and it votes again once the disk
// works and it has been restarted.
func TestFleetBadDisks(t *testing.T) {
	t.Parallel()
	b := newFleetTest(t, 4, 400)
	b.waitFor("all four have shares", b.dividedAmong("c0", "c1", "c2", "c3"))
	b.startLoad()
	setFault := func(name, fault string, on bool) {
		path := b.options[name].RaftLogPath() + "." + fault
		setMarkerFile(t, path, on)
	}
	waitCompleted := func(what string) {
		before := map[string]int{}
		for _, name := range b.names {
			before[name] = b.outcomeCount(name, fakeengine.Completed)
		}
		b.waitFor("all complete requests "+what, func() bool {
			for _, name := range b.names {
				if b.outcomeCount(name, fakeengine.Completed) < before[name]+10 {
					return false
				}
			}
			return true
		})
	}
	leader, _ := b.waitForLeader()
	setFault(leader, "slow", true)
	setTotal := func(amount float64) { // forces writes to the Raft log: there are none while the shares are stable
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := fleet.ProposeAsOperator(ctx, b.options["c0"], state.Command{Op: state.OpSetOverride, Text: state.TeamBudget, Subject: "team/all", Amount: amount}); err != nil {
			t.Fatal(err)
		}
	}
	setTotal(390)
	b.waitFor("an override takes effect with a slow disk", func() bool { _, sum := b.allocations(); return sum > 0.8*390 && sum <= 390 })
	waitCompleted("with a slow disk")
	setFault(leader, "slow", false)
	b.waitFor("all four have shares", b.dividedAmong("c0", "c1", "c2", "c3"))
	for i, fault := range []string{"full", "fails"} {
		leader, _ = b.waitForLeader()
		setFault(leader, fault, true)
		setTotal(380 - float64(10*i))
		b.waitFor("the voter with the failed disk stops: "+fault, func() bool { return strings.Contains(b.Tail(leader, 4000), "this voter has stopped") })
		b.waitFor("another voter is leader", func() bool { _, now := b.leaderStatus(); return now != "" && now != leader })
		waitCompleted("without it: " + fault)
		setFault(leader, fault, false)
		b.Process(leader).Kill()
		if err := b.Process(leader).Start(); err != nil {
			t.Fatal(err)
		}
		b.waitFor("all four have shares", b.dividedAmong("c0", "c1", "c2", "c3"))
	}
	b.finish()
}

// A controller of another fleet has the same voters in its settings. Guards against voters that accept it: they log the
// mismatch and divide the budget among their own fleet.
func TestVotersIgnoreOtherFleet(t *testing.T) {
	t.Parallel()
	b := newFleetTest(t, 4, 400)
	path := filepath.Join(b.Folder, "c3.jsonc")
	text := strings.Replace(string(readFile(t, path)), `"fleet": {`, `"fleet": {"name": "another", `, 1)
	writeFile(t, path, []byte(text))
	b.Process("c3").Kill()
	if err := b.Process("c3").Start(); err != nil {
		t.Fatal(err)
	}
	b.waitFor("a voter logs that c3 belongs to another fleet", func() bool {
		return strings.Contains(b.Tail("c0", 1<<20), `is of fleet \"another\"`) || strings.Contains(b.Tail("c1", 1<<20), `is of fleet \"another\"`) || strings.Contains(b.Tail("c2", 1<<20), `is of fleet \"another\"`)
	})
	b.waitFor("the others divide the total", b.dividedAmong("c0", "c1", "c2"))
}

// One attempt in ten takes five times as long, so controllers hedge. Guards against a budget that hedged requests exceed:
// the second attempt of a request counts like any other (B2).
func TestFleetBudgetCountsHedges(t *testing.T) {
	b := startFleetTest(t, fleetSetup{settings: budgetSettings, controllers: 4, total: 290, setUpEngine: func(e *fakeengine.Engine) {
		e.Seed, e.Faults = 7, map[fakeengine.Fault]float64{fakeengine.Slow: 0.1}
	}})
	b.waitFor("all four have shares", b.dividedAmong(b.names...))
	b.startLoad()
	b.waitFor("more than 400 requests are completed", func() bool {
		completed := 0
		for _, name := range b.names {
			completed += b.outcomeCount(name, fakeengine.Completed)
		}
		return completed > 400
	})
	b.finish()
}
