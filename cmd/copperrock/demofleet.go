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
	lab "copperrock.example/copperrock/internal/harness/processes"
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
	*lab.Fleet
	out     io.Writer
	began   time.Time
	names   []string
	options map[string]*fleet.Options
	listens map[string]string // of clients
	voters  map[string]string

	mu                 sync.Mutex
	running            map[string]float64
	most               float64
	loads, twice, late int
	seen               map[string]bool
	done, away         map[string]int
}

// demoFleet plays it.
func demoFleet(out io.Writer, folder string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	d := &fleetDemo{Fleet: lab.New(folder, 1), out: out, names: []string{"amber", "beryl", "coral", "delft", "ember"}, options: map[string]*fleet.Options{}, listens: map[string]string{},
		voters: map[string]string{}, running: map[string]float64{}, seen: map[string]bool{}, done: map[string]int{}, away: map[string]int{}}
	defer d.Fleet.Close()
	list := discovery.List{Generation: 1, Confirmed: true}
	for i := range 3 {
		e := &fakeengine.Engine{Name: fmt.Sprintf("e%d", i), Cores: 64, Speed: 1, Memory: 1e9, Seed: uint64(i), Fences: true, Tell: d.see}
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
	if err := d.settle(folder, engines, self); err != nil {
		return err
	}
	if err := d.Start(d.names...); err != nil {
		return err
	}
	fmt.Fprintln(out, "Five controllers divide a budget of 1000 MB; three of them, amber, beryl and coral, vote. Each has a client that asks")
	fmt.Fprintln(out, "for more than its part. A run-once job comes each second and belongs to one of them (*).")
	d.began = time.Now()
	ctx, end := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer end()
	for i, name := range d.names {
		clients.Go(func() { d.client(ctx, i, name) })
	}
	return d.play()
}

// settle writes the settings and the voters' first votes.
func (d *fleetDemo) settle(folder, engines, self string) error {
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
		if d.listens[name], err = free(); err != nil {
			return err
		}
		if i < 3 {
			if d.voters[name], err = free(); err != nil {
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
			address := d.voters[v]
			if v != name {
				r, err := d.Between(name, v, address)
				if err != nil {
					return err
				}
				address = r.Address
			}
			voters = append(voters, fmt.Sprintf(`{"name": %q, "address": %q}`, v, address))
		}
		own := ""
		if at, votes := d.voters[name]; votes {
			own = fmt.Sprintf(`"listen": %q,`, at)
		}
		path := filepath.Join(folder, name+".jsonc")
		text := strings.NewReplacer("NAME", name, "LISTEN", d.listens[name], "ENGINES", engines, "VOTERS", strings.Join(voters, ", "), "OWN", own, "FOLDER", folder).Replace(fleetDemoSettings)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		s, err := read(path, "")
		if err != nil {
			return err
		}
		d.options[name] = fleetOf(s)
		if _, votes := d.voters[name]; votes {
			if err := fleet.InitVoter(d.options[name], false); err != nil {
				return err
			}
		}
		d.Add(name, self, []string{"run", "--settings", path}, []string{"COPPERROCK_SELF=1", "GOMAXPROCS=1"})
	}
	return nil
}

// see follows what is in use by the engines' own word.
func (d *fleetDemo) see(s fakeengine.Seen) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := s.Engine + " " + s.Ref
	switch {
	case s.Do == "fenced":
		d.late++
		return
	case s.Do != "asked":
		delete(d.running, key)
		return
	case s.Type == "load":
		if d.loads++; d.seen[s.Ref] {
			d.twice++
		}
		d.seen[s.Ref] = true
	}
	d.running[key] = s.Grant
	sum := 0.0
	for _, g := range d.running {
		sum += g
	}
	d.most = max(d.most, sum)
}

// client asks for more than a part all the time.
func (d *fleetDemo) client(ctx context.Context, i int, name string) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	var c *fakeengine.Client
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			if c, _ = fakeengine.Dial(d.listens[name]); c == nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		peer, lost := c, make(chan bool, 1)
		jobs.Go(func() {
			a := peer.Ask(ctx, fakeengine.Job{Ref: fmt.Sprintf("%04x%012x", i, n), Type: "job", Allow: 1.5, Work: 0.1, Memory: 30, Statement: "/* work=0.1 mb=30 */ select 1"})
			d.mu.Lock()
			switch a.Outcome {
			case fakeengine.Done:
				d.done[name]++
			case fakeengine.Throttled:
				d.away[name]++
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

// view asks the voters; the one that leads with the latest term counts.
func (d *fleetDemo) view() (best fleet.Status) {
	for _, name := range d.names[:3] {
		if p := d.Process(name); !p.Runs() || p.Frozen() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		v, err := fleet.QueryStatus(ctx, d.options["ember"], d.voters[name])
		cancel()
		if err == nil && v.IsLeader && v.Term > best.Term {
			best = v
		}
	}
	return best
}

// line prints who may use how much, by the leader's ledger, and what the engines have in use.
func (d *fleetDemo) line(what string) {
	v := d.view()
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
	for _, g := range d.running {
		use += g
	}
	d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1f s  ", time.Since(d.began).Seconds())
	for _, name := range d.names {
		mark := " "
		if name == owner {
			mark = "*"
		}
		fmt.Fprintf(d.out, "%s%s%4.0f ", name, mark, bound[name])
	}
	fmt.Fprintf(d.out, " = %4.0f of 1000 MB, in use %4.0f  %s\n", sum, use, what)
}

// for1 prints lines for a while.
func (d *fleetDemo) for1(seconds float64, what string) {
	d.line(what)
	for until := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(until); {
		time.Sleep(700 * time.Millisecond)
		d.line("")
	}
}

// play is the day.
func (d *fleetDemo) play() error {
	fmt.Fprintln(d.out, "\n         what each may have in use, by the ledger")
	d.for1(4, "all start")
	owner := func() string {
		for _, one := range d.view().Tasks {
			if one.Name == assignment.ScheduledJobs {
				return one.Owners[assignment.ShardOf("nightly", len(one.Owners))]
			}
		}
		return ""
	}
	frozen := owner()
	if frozen == "" {
		return fmt.Errorf("nobody owns the job after %.0f s", time.Since(d.began).Seconds())
	}
	d.Process(frozen).Freeze()
	d.for1(4, frozen+", which owns the job, stands still")
	d.Process(frozen).Thaw()
	d.for1(2, frozen+" goes on: what it knew counts no more")
	d.Process("delft").Kill()
	d.for1(4, "delft is killed")
	if err := d.Process("delft").Start(); err != nil {
		return err
	}
	d.for1(2, "delft is started again")
	d.Isolate("ember", lab.Both)
	d.for1(3.5, "ember is cut off from the voters: when its lease ends it turns its jobs away")
	d.Isolate("ember", lab.Link{})
	d.for1(2.5, "ember is reached again")
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "\nmost in use at once, by the engines' own word: %.0f of 1000 MB\n", d.most)
	for _, name := range d.names {
		fmt.Fprintf(d.out, "%-6s %4d jobs done, %4d turned away at once\n", name, d.done[name], d.away[name])
	}
	fmt.Fprintf(d.out, "the scheduled job: %d occurrences reached an engine, %d of them twice; %d late dispatches were refused by their fence\n", d.loads, d.twice, d.late)
	if d.most > 1000 || d.twice > 0 {
		return fmt.Errorf("more in use than the whole, or a run-once job twice")
	}
	return nil
}
