package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/faultproxy"
	"copperrock.example/copperrock/internal/harness/processes"
)

// fleetDemoSettings are a controller's; the demo puts in what is in capitals.
const fleetDemoSettings = `{"name": "NAME", "listen": "LISTEN", "log": {"form": "json"}, "clients": {"idle": 600, "first_message": 600},
  "leaving": {"stay": 0.1, "longest": 1},
  "deployment": {"gateways": 5, "zones": ["here"], "kinds": [{"name": "small", "cores": 64, "memory_mb": 2000}],
    "types": [{"name": "job", "repeat": "restartable", "job_timeout": 1.5, "sla": 1.5, "threads": 0.1}, {"name": "load", "repeat": "run_once", "job_timeout": 1.5, "sla": 1.5, "threads": 0.1}],
    "engines": {"report": ["busy_reqs", "x0"], "streams": 32}, "rules": {"come_back": 0.2}},
  "engines": {"file": "ENGINES"}, "requests": {"team": "team"},
  "teams": {"default": "all", "budgets": [{"name": "all", "scope": "fleet", "most_mb": 1000, "waiting": 20}]},
  "fleet": {"voters": [VOTERS], OWN "folder": "FOLDER", "lease": 1, "linger": 1.6, "beat": 0.03, "divide": 0.1, "controllers": 5},
  "duties": {"fence": true, "jobs": [{"name": "nightly", "schedule": "@every 1s", "type": "load", "statement": "/* work=0.2 mb=20 */ insert into x.y select 1", "late": "latest", "rest": 1}]}}`

// fleetDemo is five processes of this program with a client each, three stand-in engines and relays between.
type fleetDemo struct {
	*processes.Cluster
	out             io.Writer
	startedAt       time.Time
	names           []string
	options         map[string]*fleet.Options
	clientAddresses map[string]string // of clients
	voterAddresses  map[string]string

	mu                                           sync.Mutex
	grantsInUse                                  map[string]float64
	maxInUse                                     float64
	scheduledRuns, duplicateRuns, fencedAttempts int
	seen                                         map[string]bool
	completed, rejected                          map[string]int
}

// demoFleet plays it.
func demoFleet(out io.Writer, folder string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	d := &fleetDemo{Cluster: processes.New(folder, 1), out: out, names: []string{"amber", "beryl", "coral", "delft", "ember"}, options: map[string]*fleet.Options{}, clientAddresses: map[string]string{},
		voterAddresses: map[string]string{}, grantsInUse: map[string]float64{}, seen: map[string]bool{}, completed: map[string]int{}, rejected: map[string]int{}}
	defer d.Close()
	list := discovery.List{Generation: 1, Confirmed: true}
	for i := range 3 {
		e := &fakeengine.Engine{Name: fmt.Sprintf("e%d", i), Cores: 64, Speed: 1, Memory: 1e9, Seed: uint64(i), ChecksFencing: true, OnEvent: d.observe}
		if err := e.Start(); err != nil {
			return err
		}
		defer e.Stop()
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: e.Name, Address: e.Address, Zone: "here", Kind: "small", Weight: 1, State: discovery.InService})
	}
	engines := filepath.Join(folder, "engines.jsonc")
	if err := os.WriteFile(engines, list.Format(), 0o600); err != nil {
		return err
	}
	if err := d.writeSettings(folder, engines, self); err != nil {
		return err
	}
	if err := d.Start(d.names...); err != nil {
		return err
	}
	fmt.Fprintln(out, "Five controllers divide a budget of 1000 MB; three of them, amber, beryl and coral, vote. Each has a client that asks")
	fmt.Fprintln(out, "for more than its part. A run-once job comes each second and belongs to one of them (*).")
	d.startedAt = time.Now()
	ctx, end := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer end()
	for i, name := range d.names {
		clients.Go(func() { d.client(ctx, i, name) })
	}
	return d.playFaults()
}

// writeSettings writes the settings and the voters' first votes.
func (d *fleetDemo) writeSettings(folder, engines, self string) error {
	var held []net.Listener // until all are given out, so that no two are the same
	free := func() (string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		held = append(held, l)
		return l.Addr().String(), nil
	}
	var err error
	for i, name := range d.names {
		if d.clientAddresses[name], err = free(); err != nil {
			return err
		}
		if i < 3 {
			if d.voterAddresses[name], err = free(); err != nil {
				return err
			}
		}
	}
	for _, l := range held {
		l.Close()
	}
	for _, name := range d.names {
		var voters []string
		for _, v := range d.names[:3] {
			address := d.voterAddresses[v]
			if v != name {
				r, err := d.ProxyTo(name, v, address)
				if err != nil {
					return err
				}
				address = r.Address
			}
			voters = append(voters, fmt.Sprintf(`{"name": %q, "address": %q}`, v, address))
		}
		own := ""
		if at, votes := d.voterAddresses[name]; votes {
			own = fmt.Sprintf(`"listen": %q,`, at)
		}
		path := filepath.Join(folder, name+".jsonc")
		text := strings.NewReplacer("NAME", name, "LISTEN", d.clientAddresses[name], "ENGINES", engines, "VOTERS", strings.Join(voters, ", "), "OWN", own, "FOLDER", folder).Replace(fleetDemoSettings)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		s, err := readSettings(path, "")
		if err != nil {
			return err
		}
		d.options[name] = fleetOptions(s)
		if _, votes := d.voterAddresses[name]; votes {
			if err := fleet.InitVoter(d.options[name], false); err != nil {
				return err
			}
		}
		d.Add(name, self, []string{"run", "--settings", path}, []string{"COPPERROCK_SELF=1", "GOMAXPROCS=1"})
	}
	return nil
}

// observe follows what is in use by the engines' own word.
func (d *fleetDemo) observe(s fakeengine.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := s.Engine + " " + s.RequestID
	switch {
	case s.Kind == "fenced":
		d.fencedAttempts++
		return
	case s.Kind != "asked":
		delete(d.grantsInUse, key)
		return
	case s.Class == "load":
		if d.scheduledRuns++; d.seen[s.RequestID] {
			d.duplicateRuns++
		}
		d.seen[s.RequestID] = true
	}
	d.grantsInUse[key] = s.Grant
	sum := 0.0
	for _, g := range d.grantsInUse {
		sum += g
	}
	d.maxInUse = max(d.maxInUse, sum)
}

// client asks for more than a part all the time.
func (d *fleetDemo) client(ctx context.Context, i int, name string) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	var c *fakeengine.Client
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			if c, _ = fakeengine.Dial(d.clientAddresses[name]); c == nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		peer, lost := c, make(chan bool, 1)
		jobs.Go(func() {
			a := peer.Do(ctx, fakeengine.Request{ID: fmt.Sprintf("%04x%012x", i, n), Class: "job", Timeout: 1.5, Work: 0.1, Memory: 30, Statement: "/* work=0.1 mb=30 */ select 1"})
			d.mu.Lock()
			switch a.Outcome {
			case fakeengine.Completed:
				d.completed[name]++
			case fakeengine.Rejected:
				d.rejected[name]++
			}
			d.mu.Unlock()
			lost <- a.Outcome == fakeengine.Lost
		})
		time.Sleep(15 * time.Millisecond)
		select {
		case gone := <-lost:
			if gone {
				c.Close()
				c = nil
			}
		default:
		}
	}
	if c != nil {
		c.Close()
	}
}

// status asks the voters; the one that leads with the latest term counts.
func (d *fleetDemo) status() (best fleet.Status) {
	for _, name := range d.names[:3] {
		if p := d.Process(name); !p.Running() || p.Frozen() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		v, err := fleet.QueryStatus(ctx, d.options["ember"], d.voterAddresses[name])
		cancel()
		if err == nil && v.IsLeader && v.Term > best.Term {
			best = v
		}
	}
	return best
}

// printLine prints who may use how much, by the leader's ledger, and what the engines have in use.
func (d *fleetDemo) printLine(what string) {
	v := d.status()
	owner := ""
	for _, one := range v.Tasks {
		if one.Name == assignment.ScheduledJobs {
			owner = one.Owners[assignment.ShardOf("nightly", len(one.Owners))]
		}
	}
	bound, sum := map[string]float64{}, 0.0
	for _, q := range v.Quantities {
		for _, p := range q.Allocations {
			bound[p.Controller] += p.Committed
			sum += p.Committed
		}
	}
	d.mu.Lock()
	use := 0.0
	for _, g := range d.grantsInUse {
		use += g
	}
	d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1f s  ", time.Since(d.startedAt).Seconds())
	for _, name := range d.names {
		mark := " "
		if name == owner {
			mark = "*"
		}
		fmt.Fprintf(d.out, "%s%s%4.0f ", name, mark, bound[name])
	}
	fmt.Fprintf(d.out, " = %4.0f of 1000 MB, in use %4.0f  %s\n", sum, use, what)
}

// watch prints lines for a while.
func (d *fleetDemo) watch(seconds float64, what string) {
	d.printLine(what)
	for until := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(until); {
		time.Sleep(700 * time.Millisecond)
		d.printLine("")
	}
}

// playFaults is the day.
func (d *fleetDemo) playFaults() error {
	fmt.Fprintln(d.out, "\n         what each may have in use, by the ledger")
	d.watch(4, "all start")
	owner := func() string {
		for _, one := range d.status().Tasks {
			if one.Name == assignment.ScheduledJobs {
				return one.Owners[assignment.ShardOf("nightly", len(one.Owners))]
			}
		}
		return ""
	}
	frozen := owner()
	if frozen == "" {
		return fmt.Errorf("nobody owns the job after %.0f s", time.Since(d.startedAt).Seconds())
	}
	d.Process(frozen).Freeze()
	d.watch(4, frozen+", which owns the job, stands still")
	d.Process(frozen).Thaw()
	d.watch(2, frozen+" goes on: what it knew counts no more")
	d.Process("delft").Kill()
	d.watch(4, "delft is killed")
	if err := d.Process("delft").Start(); err != nil {
		return err
	}
	d.watch(2, "delft is started again")
	d.Isolate("ember", faultproxy.Partition)
	d.watch(3.5, "ember is cut off from the voters: when its lease ends it turns its jobs away")
	d.Isolate("ember", faultproxy.Link{})
	d.watch(2.5, "ember is reached again")
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "\nmost in use at once, by the engines' own word: %.0f of 1000 MB\n", d.maxInUse)
	for _, name := range d.names {
		fmt.Fprintf(d.out, "%-6s %4d jobs done, %4d turned away at once\n", name, d.completed[name], d.rejected[name])
	}
	fmt.Fprintf(d.out, "the scheduled job: %d occurrences reached an engine, %d of them twice; %d late dispatches were refused by their fence\n", d.scheduledRuns, d.duplicateRuns, d.fencedAttempts)
	if d.maxInUse > 1000 || d.duplicateRuns > 0 {
		return fmt.Errorf("more in use than the whole, or a run-once job twice")
	}
	return nil
}
