//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["records"] = runRecords }

// The traffic of runRecords.
const (
	badTries    = 1100
	usualLoads  = 4
	loadMillis  = 2150
	killedAfter = time.Second // from the dispatch of the usual client's loads

	badStatement = "select a from runs_9.b /* ms=2000 */"
)

// runRecords kills a controller with a store while run-once loads are in flight, and repeats the loads under their keys once it is
// back. With trouble, a bad client has sent the same keyed job again and again before, as soon as it was turned away.
func runRecords(r *run) ([]string, error) {
	var engines []*engine
	var entries []listed
	for i := range 6 {
		e, err := r.startEngine(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		entries = append(entries, listed{e, "in_service"})
	}
	file := filepath.Join(r.folder, "engines.jsonc")
	if err := r.writeList(file, 1, "north-room", "std-16", entries...); err != nil {
		return nil, err
	}
	listen := freeAddress()
	settings := filepath.Join(r.folder, "gateway-1.jsonc")
	text := fmt.Sprintf(`{"name": "gateway-1", "listen": %q,
  "deployment": {"gateways": 3, "zones": ["north-room", "south-room"], "kinds": [{"name": "std-16", "cores": 16, "memory_mb": 32768}],
    "types": [
      {"name": "lookup", "repeat": "restartable", "job_timeout": 2.5, "sla": 0.5, "stretch": 1.5, "value": 1},
      {"name": "report", "repeat": "keyed", "window": 12, "job_timeout": 20, "sla": 1.5, "stretch": 2.5, "threads": 4, "value": 20},
      {"name": "load", "repeat": "run_once", "job_timeout": 25, "sla": 4, "stretch": 3, "threads": 2, "value": 25, "load": true}],
    "engines": {"report": ["busy_reqs", "cpu_share", "x1", "x0"], "dispatches": 3, "idle": 15, "connect": 0.25, "streams": 32},
    "rules": {"further_window": 0}},
  "engines": {"file": %q},
  "requests": {"retry": "key", "first": "first"},
  "store": {"folder": %q, "window": 120}}`, listen, file, filepath.Join(r.folder, "store"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p := r.program("gateway-1", "COPPERROCK_SETTINGS="+settings)
	start := func() error {
		if err := p.startProcess(); err != nil {
			return err
		}
		return r.waitFor("the controller is ready", 20*time.Second, func() bool { return r.ready(listen) })
	}
	if err := start(); err != nil {
		return nil, err
	}
	dispatched := func(prefix string) (count int) {
		for _, e := range engines {
			for _, d := range e.received() {
				if strings.HasPrefix(d.statement, prefix) {
					count++
				}
			}
		}
		return count
	}
	if r.trouble {
		if err := r.badClient(listen, func() bool { return dispatched(badStatement) > 0 }); err != nil {
			return nil, err
		}
	}
	load := func(n, try int) job {
		fields := map[string]string{"key": fmt.Sprintf("load-%d", n)}
		if try == 1 {
			fields["first"] = "1"
		}
		return job{id: jobID(10*n + try), class: "load", allow: 25 * time.Second, effort: 4300 * time.Millisecond, needMB: 150,
			statement: fmt.Sprintf("load runs_%d.records /* ms=%d */", n, loadMillis), fields: fields}
	}
	usual, err := r.dialClient("client", listen)
	if err != nil {
		return nil, err
	}
	for n := range usualLoads {
		usual.send(load(n, 1))
	}
	if err := r.waitFor("the loads are dispatched", 5*time.Second, func() bool { return dispatched("load ") == usualLoads }); err != nil {
		return nil, err
	}
	time.Sleep(killedAfter)
	p.signal(syscall.SIGKILL)
	<-p.ended
	if err := start(); err != nil {
		return nil, err
	}
	for _, text := range []string{"store replayed", "can't be opened"} {
		for _, line := range p.log(text) {
			r.note("seen", "the controller logs %s", line)
		}
	}
	if usual, err = r.dialClient("client", listen); err != nil {
		return nil, err
	}
	var broken []string
	for n := range usualLoads {
		a, _ := usual.send(load(n, 2))[0].wait(26 * time.Second)
		var times []string
		for _, e := range engines {
			for _, d := range e.received() {
				if strings.HasPrefix(d.statement, fmt.Sprintf("load runs_%d.", n)) {
					times = append(times, fmt.Sprintf("to %s at %.3f (%s)", e.name, d.receivedAt, d.end))
				}
			}
		}
		if len(times) > 1 {
			broken = append(broken, fmt.Sprintf("run-once load load-%d was dispatched %d times: %s; its repeat is answered %s", n, len(times), strings.Join(times, ", "), a.word))
		}
	}
	return broken, nil
}

// badClient sends a keyed job, takes it back while it runs, and sends it again with very little time as soon as it is turned away.
func (r *run) badClient(listen string, runs func() bool) error {
	bad, err := r.dialClient("bad", listen)
	if err != nil {
		return err
	}
	job := job{id: jobID(1 << 20), class: "report", allow: 20 * time.Second, effort: 100 * time.Microsecond, needMB: 10,
		statement: badStatement, fields: map[string]string{"key": "again", "replay": "again"}}
	first := bad.send(job)[0]
	if err := r.waitFor("the bad client's job runs", 5*time.Second, runs); err != nil {
		return err
	}
	bad.abort(first)
	time.Sleep(100 * time.Millisecond)
	bad.quiet = true
	words := map[string]int{}
	began := time.Now()
	for n := range badTries {
		job.id, job.allow = jobID(1<<20+1+n), time.Millisecond
		a, _ := bad.send(job)[0].wait(time.Second)
		words[a.word+" "+a.text]++
	}
	r.note("bad", "sent the job %d times again within %.1f s; answers: %v", badTries, time.Since(began).Seconds(), words)
	bad.peer.Close()
	return nil
}
