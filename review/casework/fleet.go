package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// fleet is a small fleet: three controllers, all of them voters, with one list of engines in a file.
type fleet struct {
	c         *caseRun
	names     []string
	listen    map[string]string
	voters    map[string]string
	processes map[string]*process
	list      string // file
	types     string
}

// controllersFile returns the settings of a controller. duties is the section on shared work.
func (f *fleet) controllersFile(name string, generation int, duties string) string {
	var voters []string
	for _, v := range f.names {
		voters = append(voters, fmt.Sprintf(`{"name": %q, "address": %q}`, v, f.voters[v]))
	}
	return fmt.Sprintf(`{"name": %q, "listen": %q, "log": {"level": "debug", "form": "json", "burst": 1000},
  "machine": {"memory_mb": 192, "sockets": 1024},
  "deployment": {"gateways": 3, "zones": ["east"],
    "kinds": [{"name": "std", "cores": 16, "memory_mb": 32768}],
    "types": [%s],
    "engines": {"report": ["busy_reqs", "x0"]}},
  "engines": {"file": %q},
  "fleet": {"voters": [%s], "folder": %q, "lease": 2, "linger": 30, "controllers": 8, "generation": %d},
  "duties": %s}
`, name, f.listen[name], f.types, f.list, strings.Join(voters, ", "), f.c.folder, generation, duties)
}

func (c *caseRun) newFleet(types string) *fleet {
	f := &fleet{c: c, names: []string{"gateway-1", "gateway-2", "gateway-3"}, listen: map[string]string{}, voters: map[string]string{},
		processes: map[string]*process{}, list: filepath.Join(c.folder, "engines.jsonc"), types: types}
	for _, name := range f.names {
		f.listen[name], f.voters[name] = c.freeAddress(), c.freeAddress()
	}
	return f
}

// writeList writes the list of engines.
func (c *caseRun) writeList(file string, generation int, engines ...string) {
	c.write(file, fmt.Sprintf(`{"format": 1, "generation": %d, "engines": [%s], "end": %d}`, generation, strings.Join(engines, ", "), generation))
	c.note("list %d: %s", generation, strings.Join(engines, ", "))
}

func (e *engine) entry(state string) string {
	return fmt.Sprintf(`{"name": %q, "address": %q, "zone": "east", "kind": "std", "state": %q}`, e.name, e.address, state)
}

// prepare writes the settings of all and makes their raft logs.
func (f *fleet) prepare(duties string) {
	for _, name := range f.names {
		f.processes[name] = f.c.controller(name, f.controllersFile(name, 1, duties))
	}
	for _, name := range f.names {
		f.c.note("fleet init: %s", strings.TrimSpace(f.c.command("fleet", "init", "--settings", f.processes[name].settings)))
	}
}

// startAll starts all and waits until they are ready and have joined the fleet.
func (f *fleet) startAll(names ...string) {
	for _, name := range names {
		f.processes[name].run()
	}
	for _, name := range names {
		f.c.waitReady(f.listen[name])
		f.c.wait(name+" has joined the fleet", 20*time.Second, func() bool { return f.processes[name].says("joined the fleet") })
	}
}

// ref returns a request id.
func ref(n int) string { return fmt.Sprintf("%016x", 0xa000+n) }
