//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"time"
)

func init() { cases["resurrect"], cases["list"] = runResurrect, runList }

// trialDeployment is the section deployment of an operator's settings.
const trialDeployment = `{"gateways": 3, "zones": ["east"], "kinds": [{"name": "std", "cores": 16, "memory_mb": 32768}],
    "types": [
      {"name": "report", "repeat": "restartable", "job_timeout": 30, "sla": 10, "threads": 4},
      {"name": "press", "repeat": "keyed", "window": 20, "job_timeout": 20, "sla": 10, "threads": 2, "load": true, "in_order": true},
      {"name": "load", "repeat": "run_once", "job_timeout": 60, "sla": 30, "threads": 2, "load": true}],
    "engines": {"report": ["busy_reqs", "x0"]}}`

// runResurrect: an engine that is drained by an order, and then left out of the list while it still runs a load, gets new jobs when
// the order is revoked.
func runResurrect(r *run) ([]string, error) {
	var engines []*engine
	var entries []listed
	for i := range 3 {
		e, err := r.startEngine(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		entries = append(entries, listed{e, "in_service"})
	}
	file := filepath.Join(r.folder, "engines.jsonc")
	if err := r.writeList(file, 1, "east", "std", entries...); err != nil {
		return nil, err
	}
	members, err := r.startFleet(trialDeployment, file, "")
	if err != nil {
		return nil, err
	}
	client, err := r.dialClient("client", members[0].listen)
	if err != nil {
		return nil, err
	}
	n := 0
	load := func(class string, ms int) {
		n++
		client.send(job{id: jobID(n), class: class, allow: 30 * time.Second, effort: time.Duration(ms) * time.Millisecond, needMB: 50,
			statement: fmt.Sprintf("%s runs_%d.a /* ms=%d */", class, n, ms)})
	}
	for range 6 {
		load("load", 25000)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if len(engines[2].received()) == 0 {
		return nil, fmt.Errorf("no load on s-3")
	}
	if r.trouble {
		if err := r.operator("fleet", "drain", "s-3", "--settings", members[0].settings); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	if err := r.writeList(file, 2, "east", "std", entries[0], entries[1]); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	told := r.seconds()
	if r.trouble {
		if err := r.operator("fleet", "resume", "s-3", "--settings", members[0].settings); err != nil {
			return nil, err
		}
	}
	for range 200 {
		load("report", 50)
		time.Sleep(50 * time.Millisecond)
	}
	var broken []string
	for _, d := range engines[2].received() {
		if d.receivedAt > told+1.05 {
			broken = append(broken, fmt.Sprintf("job %s came to s-3 %.3f s after it was left out", d.id, d.receivedAt-told))
		}
	}
	return broken, nil
}

// runList: the controller that publishes the list is killed while an engine drains, twice, with the same list both times.
func runList(r *run) ([]string, error) {
	var engines []*engine
	var ready, drained []listed
	for i := range 3 {
		e, err := r.startEngine(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		ready = append(ready, listed{e, "in_service"})
		state := "in_service"
		if i == 2 {
			state = "terminating"
		}
		drained = append(drained, listed{e, state})
	}
	file := filepath.Join(r.folder, "engines.jsonc")
	generation := 0
	write := func(l []listed) error {
		generation++
		return r.writeList(file, generation, "east", "std", l...)
	}
	if err := write(ready); err != nil {
		return nil, err
	}
	members, err := r.startFleet(trialDeployment, file, `"duties": {"list": true},`)
	if err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	var owner *member
	for _, m := range members {
		if len(m.log("endpoint list shard gained")) > len(m.log("endpoint list shard lost")) {
			owner = m
		}
	}
	if owner == nil {
		return nil, fmt.Errorf("no owner of the list")
	}
	r.note("seen", "owner %s", owner.name)
	for round := range 2 {
		if r.trouble {
			owner.kill()
		}
		if err := write(drained); err != nil {
			return nil, err
		}
		if round == 1 {
			break
		}
		time.Sleep(8 * time.Second)
		if r.trouble {
			if err := owner.startProcess(); err != nil {
				return nil, err
			}
		}
		time.Sleep(12 * time.Second)
		if err := write(ready); err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Second)
	}
	told := r.seconds()
	var other *member
	for _, m := range members {
		if m != owner {
			other = m
		}
	}
	time.Sleep(4 * time.Second)
	client, err := r.dialClient("client", other.listen)
	if err != nil {
		return nil, err
	}
	for n := range 300 {
		client.send(job{id: jobID(n), class: "report", allow: 20 * time.Second, effort: 50 * time.Millisecond, needMB: 50, statement: "select /* ms=50 */"})
		time.Sleep(50 * time.Millisecond)
	}
	for _, m := range members {
		for _, line := range m.log("endpoint list") {
			r.note(m.name, "logs %s", line)
		}
	}
	var broken []string
	for _, d := range engines[2].received() {
		if d.receivedAt > told+8.05 {
			broken = append(broken, fmt.Sprintf("job %s came to s-3 %.3f s after all files say that it drains", d.id, d.receivedAt-told))
		}
	}
	return broken, nil
}
