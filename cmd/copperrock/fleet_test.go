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

// budgetSettings are a controller's in a fleet that divides one team's budget. VOTERS are named as this controller
// reaches them, over relays.
const budgetSettings = `{"name": "NAME", "listen": "LISTEN", "seed": "SEED",
  "machine": {"memory_mb": 64, "sockets": 256}, "log": {"level": "info"}, "clients": {"idle": 600, "first_message": 600},
  "leaving": {"stay": 0.1, "longest": 1},
  "deployment": {"gateways": COUNT, "index": INDEX, "zones": ["here"],
    "kinds": [{"name": "small", "cores": 64, "memory_mb": 2000}],
    "types": [{"name": "job", "repeat": "restartable", "job_timeout": 1.5, "sla": 1.5, "threads": 0.1},
      {"name": "load", "repeat": "run_once", "job_timeout": 1.5, "sla": 1.5, "threads": 0.1}],
    "engines": {"report": ["busy_reqs", "x0"], "probing": PROBING, "streams": 32}, "rules": {"come_back": 0.2}},
  "engines": {"file": "ENGINES"}, "requests": {"team": "team"},
  "teams": {"default": "all", "budgets": [{"name": "all", "scope": "fleet", "most_mb": WHOLE, "waiting": 20}]},
  "fleet": {"voters": [VOTERS], OWN "folder": "FOLDER", "lease": 1, "linger": 1.6, "beat": 0.03, "divide": 0.1, "reserve": 0.02, "controllers": MOST}DUTIES}`

// budgeted is a fleet of real processes that share one budget, with what the engines themselves saw of it.
type budgeted struct {
	*crowd
	whole   float64
	names   []string
	voters  map[string]string // the addresses at which they listen
	options map[string]*fleet.Options
	clients sync.WaitGroup
	end     context.CancelFunc

	mu      sync.Mutex
	usage   engineUsage
	answers map[string]map[fakeengine.Outcome]int // by controller
	back    map[string]float64                    // the latest word on when to come back
	seen    []fakeengine.Event                    // of scheduled jobs
}

func newBudgeted(t *testing.T, controllers int, whole float64) *budgeted {
	return newDuties(t, controllers, whole, "")
}

// newDuties is one whose settings have a section on duties.
func newDuties(t *testing.T, controllers int, whole float64, duties string) *budgeted {
	return newFleetOf(t, fleetSetup{settings: budgetSettings, controllers: controllers, whole: whole, duties: duties})
}

// fleetSetup is what a fleet of real processes is started with.
type fleetSetup struct {
	settings    string // template of each controller's settings
	controllers int
	whole       float64                  // MB that the fleet divides
	duties      string                   // put into the settings after the section on the fleet
	program     string                   // path of the build that runs, "" for the tests' own
	engine      func(*fakeengine.Engine) // prepares an engine before its start; may be nil
}

// newFleetOf starts a fleet and waits until all its controllers take jobs.
func newFleetOf(t *testing.T, setup fleetSetup) *budgeted {
	b := &budgeted{whole: setup.whole, voters: map[string]string{}, options: map[string]*fleet.Options{}, usage: newEngineUsage(),
		answers: map[string]map[fakeengine.Outcome]int{}, back: map[string]float64{}}
	b.crowd = newCrowd(t, 3, 1, func(_ int, e *fakeengine.Engine) {
		e.Cores, e.Memory, e.OnEvent = 64, 1e9, b.see
		if setup.engine != nil {
			setup.engine(e)
		}
	})
	b.program = setup.program
	for i := range setup.controllers {
		b.names = append(b.names, fmt.Sprintf("c%d", i))
	}
	for _, name := range b.names[:3] {
		b.voters[name] = free(t)
	}
	for i, name := range b.names {
		b.configure(i, name, setup)
	}
	if err := b.Start(b.names...); err != nil {
		t.Fatal(err)
	}
	b.up()
	return b
}

// configure writes a controller's settings and, for a voter, makes its votes.
func (b *budgeted) configure(i int, name string, setup fleetSetup) {
	b.t.Helper()
	var voters []string
	for _, v := range b.names[:3] {
		address := b.voters[v]
		if v != name {
			r, err := b.ProxyTo(name, v, address)
			if err != nil {
				b.t.Fatal(err)
			}
			address = r.Address
		}
		voters = append(voters, fmt.Sprintf(`{"name": %q, "address": %q}`, v, address))
	}
	own := ""
	if at, votes := b.voters[name]; votes {
		own = fmt.Sprintf(`"listen": %q,`, at)
	}
	text := strings.NewReplacer("COUNT", fmt.Sprint(setup.controllers), "INDEX", fmt.Sprint(i), "WHOLE", fmt.Sprint(setup.whole), "VOTERS", strings.Join(voters, ", "),
		"OWN", own, "FOLDER", b.Folder, "MOST", fmt.Sprint(max(8, setup.controllers)), "DUTIES", setup.duties,
		"PROBING", fmt.Sprint(setup.duties != "")).Replace(setup.settings)
	b.controller(name, text)
	file := filepath.Join(b.Folder, name+".jsonc")
	s, err := readSettings(file, "")
	if err != nil {
		b.t.Fatal(err)
	}
	b.options[name] = fleetOptions(s)
	if _, votes := b.voters[name]; !votes {
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

// see follows what is in use at the engines, by their own word.
func (b *budgeted) see(s fakeengine.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.FencingToken > 0 || s.Class == "load" {
		b.seen = append(b.seen, s)
	}
	b.usage.observe(s)
}

// load has a client at each controller ask for more than its part all the time, until the fleet ends.
func (b *budgeted) load() {
	const each = 0.02 // seconds between requests of a client
	ctx, cancel := context.WithCancel(context.Background())
	b.end = cancel
	for i, address := range b.addresses {
		name := b.names[i]
		b.answers[name] = map[fakeengine.Outcome]int{}
		b.clients.Go(func() {
			var jobs sync.WaitGroup
			defer jobs.Wait()
			var client *fakeengine.Client
			for n := 0; ctx.Err() == nil; n++ {
				if client == nil {
					var err error
					if client, err = fakeengine.Dial(address); err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				c, ref := client, fmt.Sprintf("%04x%012x", i, n)
				lost := make(chan bool, 1)
				jobs.Go(func() {
					a := c.Do(context.Background(), fakeengine.Request{ID: ref, Class: "job", Timeout: 1.5, Work: 0.1, Memory: 30, Statement: "/* work=0.1 mb=30 */ select 1"})
					b.mu.Lock()
					b.answers[name][a.Outcome]++
					if a.Outcome == fakeengine.Rejected {
						b.back[name] = a.RetryAfter
					}
					b.mu.Unlock()
					lost <- a.Outcome == fakeengine.Lost
				})
				time.Sleep(time.Duration(each * float64(time.Second)))
				select {
				case gone := <-lost:
					if gone {
						c.Close()
						client = nil
					}
				default:
				}
			}
			if client != nil {
				defer client.Close()
				jobs.Wait()
			}
		})
	}
}

func (b *budgeted) count(name string, o fakeengine.Outcome) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answers[name][o]
}

// view asks the voters themselves; the one that leads with the latest term counts.
func (b *budgeted) view() (best fleet.Status, leader string) {
	for _, name := range b.names[:3] {
		if !b.Process(name).Running() || b.Process(name).Frozen() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		v, err := fleet.QueryStatus(ctx, b.options["c0"], b.voters[name])
		cancel()
		if err == nil && v.IsLeader && v.Term > best.Term {
			best, leader = v, name
		}
	}
	return best, leader
}

// leads waits for a voter that leads, and gives its name and term: while a machine is busy there may be none for a moment.
func (b *budgeted) leads() (leader string, term uint64) {
	b.t.Helper()
	b.wait("a voter leads", func() bool {
		v, name := b.view()
		leader, term = name, v.Term
		return name != ""
	})
	return leader, term
}

// parts are what the leader's ledger says that each controller may spend, and how much in all.
func (b *budgeted) parts() (all map[string]float64, sum float64) {
	v, _ := b.view()
	all = map[string]float64{}
	for _, q := range v.Quantities {
		for _, p := range q.Allocations {
			all[p.Controller] += p.Amount
			sum += p.Amount
		}
	}
	return all, sum
}

// wait waits for a state and tells how long that took.
func (b *budgeted) wait(what string, holds func() bool) float64 {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	began := time.Now()
	if err := processes.WaitUntil(ctx, what, holds); err != nil {
		v, leader := b.view()
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

// divided tells whether these controllers, and no others, hold nearly all.
func (b *budgeted) divided(names ...string) func() bool {
	return func() bool {
		parts, sum := b.parts()
		for _, name := range names {
			if parts[name] < 0.02*b.whole {
				return false
			}
		}
		n := 0
		for _, part := range parts {
			if part > 0 {
				n++
			}
		}
		return n == len(names) && sum > 0.85*b.whole
	}
}

// Five processes divide a budget of 600 MB, each with more work than its part. Whatever of them fails, the engines' own
// log never shows more in use: a leader killed and started again, a controller frozen for longer than its lease and
// what it may have running, one cut off, a leader cut off from its quorum but not from its holders, slow links.
func TestFleetBudgetOverFaults(t *testing.T) {
	b := newBudgeted(t, 5, 600)
	b.wait("all five have parts", b.divided("c0", "c1", "c2", "c3", "c4"))
	b.load()
	b.wait("all five serve", func() bool {
		for _, name := range b.names {
			if b.count(name, fakeengine.Completed) < 5 {
				return false
			}
		}
		return true
	})

	// A leader is killed: another leads, and its part is divided among the rest.
	leader, _ := b.leads()
	b.Process(leader).Kill()
	rest := without(b.names, leader)
	b.wait("the killed leader's part is divided", b.divided(rest...))
	if err := b.Process(leader).Start(); err != nil {
		t.Fatal(err)
	}
	b.wait("it has a part again", b.divided(b.names...))

	// A controller is frozen with jobs out, for longer than anything of it holds; then it goes on.
	b.Process("c4").Freeze()
	b.wait("the frozen one's part is divided", b.divided("c0", "c1", "c2", "c3"))
	b.Process("c4").Thaw()
	done := b.count("c4", fakeengine.Completed)
	b.wait("it serves again", func() bool { return b.count("c4", fakeengine.Completed) > done+5 })

	// One is cut off: it answers at once, with a word on when to come back, and takes up a part without being restarted.
	b.Isolate("c3", faultproxy.Partition)
	b.wait("the cut off one's part is divided", b.divided("c0", "c1", "c2", "c4"))
	b.wait("it says that its lease is over", func() bool { return strings.Contains(b.Tail("c3", 1<<20), "only the floors may be used") })
	throttled := b.count("c3", fakeengine.Rejected)
	b.wait("it turns away", func() bool { return b.count("c3", fakeengine.Rejected) > throttled+20 })
	b.mu.Lock()
	if b.back["c3"] <= 0 || b.back["c3"] > 2 {
		t.Errorf("a job turned away may come back in %g s", b.back["c3"])
	}
	b.mu.Unlock()
	b.Isolate("c3", faultproxy.Link{})
	done = b.count("c3", fakeengine.Completed)
	b.wait("it serves again", func() bool { return b.count("c3", fakeengine.Completed) > done+5 })
	if n := b.Process("c3").Starts(); n != 1 {
		t.Errorf("c3 was started %d times", n)
	}

	// A leader cut off from the other voters, but not from those who hold of it.
	leader, term := b.leads()
	b.SetLinks([]string{leader}, without(b.names[:3], leader), faultproxy.Partition)
	b.wait("another leads", func() bool { now, other := b.view(); return other != leader && now.Term > term })
	b.SetLinks([]string{leader}, without(b.names[:3], leader), faultproxy.Link{})

	// Slow links between all, and connections lost: leases hold.
	b.SetLinks([]string{"*"}, []string{"*"}, faultproxy.Link{Delay: 30 * time.Millisecond})
	b.wait("all have parts over slow links", b.divided(b.names...))
	b.SetLinks([]string{"*"}, []string{"*"}, faultproxy.Link{})
	b.finish()
}

// The leader is killed in the middle of a transfer, three times: controllers have been told of less and still use more, or
// some of more. Whoever leads next finds in the ledger what each is bound to, and gives none of it early.
func TestLeaderKilledInTransfer(t *testing.T) {
	b := newBudgeted(t, 5, 600)
	b.wait("all five have parts", b.divided(b.names...))
	b.load()
	for i := range 3 {
		// Less by order, while all of it is in use; then more again.
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		most := []float64{300, 600, 300}[i]
		err := fleet.ProposeAsOperator(ctx, b.options["c0"], state.Command{Op: state.OpSetOverride, Text: state.TeamBudget, Subject: "team/all", Amount: most})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		leader := ""
		b.wait("something moves", func() bool {
			v, leads := b.view()
			for _, q := range v.Quantities {
				for _, p := range q.Allocations {
					if p.Committed > p.Amount || most == 600 && p.Amount > 65 {
						leader = leads
						return true
					}
				}
			}
			return false
		})
		b.Process(leader).Kill()
		b.whole = most
		b.wait("the rest have parts under another leader", b.divided(without(b.names, leader)...))
		if err := b.Process(leader).Start(); err != nil {
			t.Fatal(err)
		}
		b.wait("all have parts", b.divided(b.names...))
	}
	b.whole = 600 // what may have been in use before the first order
	b.finish()
}

// Without a quorum nothing is divided anew; with it all goes on. All of the fleet is killed at once and starts again with
// its votes.
func TestFleetWithoutQuorum(t *testing.T) {
	b := newBudgeted(t, 4, 400)
	b.wait("all four have parts", b.divided("c0", "c1", "c2", "c3"))
	b.load()
	b.wait("c3 serves", func() bool { return b.count("c3", fakeengine.Completed) > 5 })
	b.Process("c0").Kill()
	b.Process("c1").Kill()
	b.wait("c3 has only its floor", func() bool { return strings.Contains(b.Tail("c3", 1<<20), "only the floors may be used") })
	throttled := b.count("c3", fakeengine.Rejected)
	b.wait("and turns away", func() bool { return b.count("c3", fakeengine.Rejected) > throttled+20 })
	if _, leader := b.view(); leader != "" && leader != "c2" {
		t.Errorf("%s leads", leader)
	}
	for _, name := range b.names {
		b.Process(name).Kill()
	}
	if err := b.Start(b.names...); err != nil {
		t.Fatal(err)
	}
	b.up()
	b.wait("all four have parts again", b.divided("c0", "c1", "c2", "c3"))
	done := b.count("c3", fakeengine.Completed)
	b.wait("c3 serves", func() bool { return b.count("c3", fakeengine.Completed) > done+5 })
	b.finish()
}

// finish ends the load and checks what the engines saw.
func (b *budgeted) finish() {
	b.t.Helper()
	b.end()
	b.clients.Wait()
	b.wait("nothing is in use any more", func() bool {
		v, _ := b.view()
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
	b.t.Logf("most in use at the engines at once: %.0f of %.0f MB; answers %v", b.usage.most, b.whole, b.answers)
	if b.usage.most > b.whole {
		b.t.Errorf("B2: %.0f of %.0f MB were in use at the engines\n%s", b.usage.most, b.whole, b.usage.describeMost())
	}
	if b.usage.most < b.whole/2 {
		b.t.Errorf("only %.0f of %.0f MB were ever in use", b.usage.most, b.whole)
	}
	if b.usage.twice > 0 {
		b.t.Errorf("%d dispatches went twice to an engine at once", b.usage.twice)
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

// What the settings of a fleet may get wrong, and what is told of two that disagree.
func TestFleetSettings(t *testing.T) {
	if f := (*fleet.Options)(nil); f.Enabled() {
		t.Error("no options are a fleet")
	}
	x := &fleet.Options{Name: "a", Self: "c0", Voters: []fleet.Voter{{Name: "c0"}, {Name: "c1"}, {Name: "c2"}}, Lease: 1, MaxControllers: 8, Generation: 1}
	y := &fleet.Options{Name: "a", Self: "c1", Voters: x.Voters, Lease: 2, MaxControllers: 8, Generation: 1}
	x.AddOccupancy("team/a", 100)
	y.AddOccupancy("team/a", 200)
	y.AddOccupancy("team/b", 1)
	if got := strings.Join(fleet.CompareOptions(x, y), "; "); got != "fleet.lease: 1 and 2; team/a: 100 and 200; team/b: not divided, and 1" {
		t.Error(got)
	}
}

// A voter's disk that is full, takes two seconds for a sync, or fails one: that voter alone is slow or votes no more, the
// fleet goes on, and once the disk is sound and the voter started again it votes as before.
func TestFleetBadDisks(t *testing.T) {
	t.Parallel()
	b := newBudgeted(t, 4, 400)
	b.wait("all four have parts", b.divided("c0", "c1", "c2", "c3"))
	b.load()
	mark := func(name, fault string, on bool) {
		path := b.options[name].RaftLogPath() + "." + fault
		setMark(t, path, on)
	}
	serves := func(what string) {
		before := map[string]int{}
		for _, name := range b.names {
			before[name] = b.count(name, fakeengine.Completed)
		}
		b.wait("all serve "+what, func() bool {
			for _, name := range b.names {
				if b.count(name, fakeengine.Completed) < before[name]+10 {
					return false
				}
			}
			return true
		})
	}
	leader, _ := b.leads()
	mark(leader, "slow", true)
	order := func(amount float64) { // which is written: nothing is while the parts stand still
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		if err := fleet.ProposeAsOperator(ctx, b.options["c0"], state.Command{Op: state.OpSetOverride, Text: state.TeamBudget, Subject: "team/all", Amount: amount}); err != nil {
			t.Fatal(err)
		}
	}
	order(390)
	b.wait("an order holds beside a slow disk", func() bool { _, sum := b.parts(); return sum > 0.8*390 && sum <= 390 })
	serves("beside a slow disk")
	mark(leader, "slow", false)
	b.wait("all four have parts", b.divided("c0", "c1", "c2", "c3"))
	for i, fault := range []string{"full", "fails"} {
		leader, _ = b.leads()
		mark(leader, fault, true)
		order(380 - float64(10*i))
		b.wait("the voter whose disk is bad votes no more: "+fault, func() bool { return strings.Contains(b.Tail(leader, 4000), "this voter has stopped") })
		b.wait("another leads", func() bool { _, now := b.view(); return now != "" && now != leader })
		serves("without it: " + fault)
		mark(leader, fault, false)
		b.Process(leader).Kill()
		if err := b.Process(leader).Start(); err != nil {
			t.Fatal(err)
		}
		b.wait("all four have parts", b.divided("c0", "c1", "c2", "c3"))
	}
	b.finish()
}

// Two fleets whose settings name the same voter: it talks to its own alone, and says so of the other.
func TestFleetOfAnother(t *testing.T) {
	t.Parallel()
	b := newBudgeted(t, 4, 400)
	path := filepath.Join(b.Folder, "c3.jsonc")
	text := strings.Replace(string(read2(t, path)), `"fleet": {`, `"fleet": {"name": "another", `, 1)
	writeFile(t, path, []byte(text))
	b.Process("c3").Kill()
	if err := b.Process("c3").Start(); err != nil {
		t.Fatal(err)
	}
	b.wait("the voters say that it is of another fleet", func() bool {
		return strings.Contains(b.Tail("c0", 1<<20), `is of fleet \"another\"`) || strings.Contains(b.Tail("c1", 1<<20), `is of fleet \"another\"`) || strings.Contains(b.Tail("c2", 1<<20), `is of fleet \"another\"`)
	})
	b.wait("the others divide all", b.divided("c0", "c1", "c2"))
}

// One attempt in ten takes five times as long, so that controllers hedge: the second attempt of a request counts against the
// budget like any other (B2). Guards against a budget that is exceeded by hedged requests.
func TestFleetBudgetCountsHedges(t *testing.T) {
	b := newFleetOf(t, fleetSetup{settings: budgetSettings, controllers: 4, whole: 290, engine: func(e *fakeengine.Engine) {
		e.Seed, e.Faults = 7, map[fakeengine.Fault]float64{fakeengine.Slow: 0.1}
	}})
	b.wait("all four have parts", b.divided(b.names...))
	b.load()
	b.wait("many jobs are served", func() bool {
		served := 0
		for _, name := range b.names {
			served += b.count(name, fakeengine.Completed)
		}
		return served > 400
	})
	b.finish()
}
