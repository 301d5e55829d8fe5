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

// fleetDemoSettings is a template of a controller's settings, with placeholders in capitals.
const fleetDemoSettings = `{"name": "NAME", "listen": "LISTEN", "log": {"form": "json"}, "clients": {"idle": 600, "first_message": 600},
  "leaving": {"stay": 0.1, "longest": 1},
  "deployment": {"gateways": 5, "zones": ["here"], "kinds": [{"name": "small", "cores": 64, "memory_mb": 2000}],
    "types": [{"name": "job", "repeat": "restartable", "job_timeout": 1.5, "sla": 1.5, "threads": 0.1}, {"name": "load", "repeat": "run_once", "job_timeout": 1.5, "sla": 1.5, "threads": 0.1}],
    "engines": {"report": ["busy_reqs", "x0"], "streams": 32}, "rules": {"come_back": 0.2}},
  "engines": {"file": "ENGINES"}, "requests": {"team": "team"},
  "teams": {"default": "all", "budgets": [{"name": "all", "scope": "fleet", "most_mb": 1000, "waiting": 20}]},
  "fleet": {"voters": [VOTERS], OWN "folder": "FOLDER", "lease": 1, "linger": 1.6, "beat": 0.03, "divide": 0.1, "controllers": 5},
  "duties": {"fence": true, "jobs": [{"name": "nightly", "schedule": "@every 1s", "type": "load", "statement": "/* work=0.2 mb=20 */ insert into x.y select 1", "late": "latest", "rest": 1}]}}`

// fleetDemo runs five processes of this program, each with a client, and three simulated engines. Proxies between the processes
// can cut them off from each other.
type fleetDemo struct {
	*processes.Cluster
	out             io.Writer
	startedAt       time.Time
	names           []string
	options         map[string]*fleet.Options
	clientAddresses map[string]string // addresses at which the controllers accept clients
	voterAddresses  map[string]string

	mu                                           sync.Mutex
	grantsInUse                                  map[string]float64 // MB, by engine and request ID
	maxInUse                                     float64            // largest sum of grantsInUse so far, MB
	scheduledRuns, duplicateRuns, fencedAttempts int
	seen                                         map[string]bool // request IDs of scheduled runs
	completed, rejected                          map[string]int  // requests, by controller
}

// demoFleet runs the demo of a fleet.
func demoFleet(out io.Writer, directory string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	d := &fleetDemo{Cluster: processes.New(directory, 1), out: out, names: []string{"amber", "beryl", "coral", "delft", "ember"}, options: map[string]*fleet.Options{}, clientAddresses: map[string]string{},
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
	listPath := filepath.Join(directory, "engines.jsonc")
	if err := os.WriteFile(listPath, list.Format(), 0o600); err != nil {
		return err
	}
	if err := d.writeSettings(directory, listPath, executable); err != nil {
		return err
	}
	if err := d.Start(d.names...); err != nil {
		return err
	}
	fmt.Fprintln(out, "Five controllers divide a budget of 1000 MB; three of them, amber, beryl and coral, are voters. Each has a client that")
	fmt.Fprintln(out, "requests more than its part. A run-once job is scheduled each second and owned by one of them (*).")
	d.startedAt = time.Now()
	ctx, stopClients := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopClients()
	for i, name := range d.names {
		clients.Go(func() { d.client(ctx, i, name) })
	}
	return d.playFaults()
}

// writeSettings writes the settings of the controllers and creates the logs of the voters.
func (d *fleetDemo) writeSettings(directory, listPath, executable string) error {
	var listeners []net.Listener // open until all addresses are chosen, so that they are all different
	freeAddress := func() (string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		listeners = append(listeners, l)
		return l.Addr().String(), nil
	}
	var err error
	for i, name := range d.names {
		if d.clientAddresses[name], err = freeAddress(); err != nil {
			return err
		}
		if i < 3 {
			if d.voterAddresses[name], err = freeAddress(); err != nil {
				return err
			}
		}
	}
	for _, l := range listeners {
		l.Close()
	}
	for _, name := range d.names {
		var voters []string
		for _, v := range d.names[:3] {
			address := d.voterAddresses[v]
			if v != name {
				proxy, err := d.ProxyTo(name, v, address)
				if err != nil {
					return err
				}
				address = proxy.Address
			}
			voters = append(voters, fmt.Sprintf(`{"name": %q, "address": %q}`, v, address))
		}
		listen := ""
		if address, isVoter := d.voterAddresses[name]; isVoter {
			listen = fmt.Sprintf(`"listen": %q,`, address)
		}
		path := filepath.Join(directory, name+".jsonc")
		text := strings.NewReplacer("NAME", name, "LISTEN", d.clientAddresses[name], "ENGINES", listPath, "VOTERS", strings.Join(voters, ", "), "OWN", listen, "FOLDER", directory).Replace(fleetDemoSettings)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		s, err := readSettings(path, "")
		if err != nil {
			return err
		}
		d.options[name] = fleetOptions(s)
		if _, isVoter := d.voterAddresses[name]; isVoter {
			if err := fleet.InitVoter(d.options[name], false); err != nil {
				return err
			}
		}
		d.Add(name, executable, []string{"run", "--settings", path}, []string{"COPPERROCK_SELF=1", "GOMAXPROCS=1"})
	}
	return nil
}

// observe updates the memory in use and the counts of scheduled runs with an event of an engine.
func (d *fleetDemo) observe(e fakeengine.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := e.Engine + " " + e.RequestID
	switch {
	case e.Kind == "fenced":
		d.fencedAttempts++
		return
	case e.Kind != "asked":
		delete(d.grantsInUse, key)
		return
	case e.Class == "load":
		if d.scheduledRuns++; d.seen[e.RequestID] {
			d.duplicateRuns++
		}
		d.seen[e.RequestID] = true
	}
	d.grantsInUse[key] = e.Grant
	inUse := 0.0
	for _, grant := range d.grantsInUse {
		inUse += grant
	}
	d.maxInUse = max(d.maxInUse, inUse)
}

// client sends requests that need more than the controller's part, until ctx is done.
func (d *fleetDemo) client(ctx context.Context, i int, name string) {
	var requests sync.WaitGroup
	defer requests.Wait()
	var c *fakeengine.Client
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			if c, _ = fakeengine.Dial(d.clientAddresses[name]); c == nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		conn, lost := c, make(chan bool, 1)
		requests.Go(func() {
			a := conn.Do(ctx, fakeengine.Request{ID: fmt.Sprintf("%04x%012x", i, n), Class: "job", Timeout: 1.5, Work: 0.1, Memory: 30, Statement: "/* work=0.1 mb=30 */ select 1"})
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
		case isLost := <-lost:
			if isLost {
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

// status queries the voters and returns the status that the leader with the highest term reports.
func (d *fleetDemo) status() (latest fleet.Status) {
	for _, name := range d.names[:3] {
		if p := d.Process(name); !p.Running() || p.Frozen() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := fleet.QueryStatus(ctx, d.options["ember"], d.voterAddresses[name])
		cancel()
		if err == nil && status.IsLeader && status.Term > latest.Term {
			latest = status
		}
	}
	return latest
}

// printLine prints how much each controller may use, according to the leader, and how much is in use at the engines.
func (d *fleetDemo) printLine(event string) {
	status := d.status()
	owner := ""
	for _, task := range status.Tasks {
		if task.Name == assignment.ScheduledJobs {
			owner = task.Owners[assignment.ShardOf("nightly", len(task.Owners))]
		}
	}
	committed, sum := map[string]float64{}, 0.0
	for _, q := range status.Quantities {
		for _, a := range q.Allocations {
			committed[a.Controller] += a.Committed
			sum += a.Committed
		}
	}
	d.mu.Lock()
	inUse := 0.0
	for _, grant := range d.grantsInUse {
		inUse += grant
	}
	d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1f s  ", time.Since(d.startedAt).Seconds())
	for _, name := range d.names {
		mark := " "
		if name == owner {
			mark = "*"
		}
		fmt.Fprintf(d.out, "%s%s%4.0f ", name, mark, committed[name])
	}
	fmt.Fprintf(d.out, " = %4.0f of 1000 MB, in use %4.0f  %s\n", sum, inUse, event)
}

// watch prints a line for an event, and then more lines for the given time.
func (d *fleetDemo) watch(seconds float64, event string) {
	d.printLine(event)
	for until := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(until); {
		time.Sleep(700 * time.Millisecond)
		d.printLine("")
	}
}

// playFaults lets each fault happen in turn, and prints a summary.
func (d *fleetDemo) playFaults() error {
	fmt.Fprintln(d.out, "\n         MB that each controller may have in use, according to the leader")
	d.watch(4, "all have started")
	owner := func() string {
		for _, task := range d.status().Tasks {
			if task.Name == assignment.ScheduledJobs {
				return task.Owners[assignment.ShardOf("nightly", len(task.Owners))]
			}
		}
		return ""
	}
	frozen := owner()
	if frozen == "" {
		return fmt.Errorf("no controller owns the scheduled job after %.0f s", time.Since(d.startedAt).Seconds())
	}
	d.Process(frozen).Freeze()
	d.watch(4, frozen+", which owns the job, is frozen")
	d.Process(frozen).Thaw()
	d.watch(2, frozen+" resumes: its lease has expired")
	d.Process("delft").Kill()
	d.watch(4, "delft is killed")
	if err := d.Process("delft").Start(); err != nil {
		return err
	}
	d.watch(2, "delft is started again")
	d.Isolate("ember", faultproxy.Partition)
	d.watch(3.5, "ember is cut off from the voters: it rejects its jobs when its lease has expired")
	d.Isolate("ember", faultproxy.Link{})
	d.watch(2.5, "ember is connected again")
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "\nlargest amount in use at once, according to the engines: %.0f of 1000 MB\n", d.maxInUse)
	for _, name := range d.names {
		fmt.Fprintf(d.out, "%-6s %4d jobs done, %4d rejected at once\n", name, d.completed[name], d.rejected[name])
	}
	fmt.Fprintf(d.out, "the scheduled job: %d occurrences reached an engine, %d of them twice; engines refused %d late dispatches by their fence\n", d.scheduledRuns, d.duplicateRuns, d.fencedAttempts)
	if d.maxInUse > 1000 || d.duplicateRuns > 0 {
		return fmt.Errorf("more memory in use than the budget, or a run-once job ran twice")
	}
	return nil
}
