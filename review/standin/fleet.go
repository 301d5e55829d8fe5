//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// member is a controller of a fleet with an operator's settings.
type member struct {
	*process
	listen   string
	settings string // file
}

// gulfDeployment is the section deployment of an operator's settings, with the figures of the site gulf-sleeve-pack.
const gulfDeployment = `{
  "gateways": 3, "zones": ["east-wing"], "kinds": [{"name": "model-a", "cores": 8, "memory_mb": 16384}],
  "types": [
    {"name": "run-lookup", "repeat": "restartable", "job_timeout": 1.2, "sla": 0.25, "stretch": 2, "value": 1, "waits": true},
    {"name": "cost-report", "repeat": "restartable", "job_timeout": 20, "sla": 3, "stretch": 2.5, "value": 20, "threads": 4},
    {"name": "press-load", "repeat": "keyed", "window": 12, "group": "all", "in_order": true, "job_timeout": 20, "sla": 3, "stretch": 2.5,
     "value": 30, "threads": 2, "load": true},
  ],
  "engines": {"report": ["cpu_share", "pending", "x0"], "dispatches": 6, "copies": false, "priorities": false, "idle": 15, "connect": 0.25, "streams": 32},
  "rules": {"drain": 0.25, "cold": 15, "cold_from": 0.35, "cold_multiple": 2.5, "cold_window": 1, "key_rest": 1, "further_window": 0},
}`

// startFleet starts three controllers, all of them voters. more are further sections of the settings, with their commas.
func (r *run) startFleet(deployment, enginesFile, more string) (members []*member, err error) {
	const count = 3
	var voters []string
	for i := range count {
		voters = append(voters, fmt.Sprintf(`{"name": "gateway-%d", "address": %q}`, i+1, freeAddress()))
	}
	for i := range count {
		name := fmt.Sprintf("gateway-%d", i+1)
		m := &member{listen: freeAddress(), settings: filepath.Join(r.folder, name+".jsonc")}
		text := fmt.Sprintf(`{"name": %q, "listen": %q, "log": {"level": "debug"}, "deployment": %s,
 "engines": {"file": %q, "most_removed": 0.9},
 "fleet": {"voters": [%s], "folder": %q, "lease": 2, "linger": 5, "controllers": 6, "generation": 1},
 %s}`, name, m.listen, deployment, enginesFile, strings.Join(voters, ", "), filepath.Join(r.folder, name), more)
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := r.operator("fleet", "init", "--settings", m.settings); err != nil {
			return nil, err
		}
		m.process = r.program(name, "COPPERROCK_SETTINGS="+m.settings)
		members = append(members, m)
	}
	for _, m := range members {
		if err := m.startProcess(); err != nil {
			return nil, err
		}
	}
	for _, m := range members {
		if err := r.waitFor(m.name+" is ready and in the fleet", 20*time.Second, func() bool {
			return len(m.log("joined the fleet")) > 0 && r.ready(m.listen)
		}); err != nil {
			return nil, err
		}
	}
	return members, nil
}

// operator runs a command of the project's program, as an operator does.
func (r *run) operator(args ...string) error {
	out, err := exec.Command("bin/copperrock", args...).CombinedOutput()
	r.note("operator", "copperrock %s: %s", strings.Join(args, " "), strings.TrimSpace(string(out)))
	if err != nil {
		return fmt.Errorf("copperrock %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// listed is an entry of a file of engines.
type listed struct {
	engine *engine
	state  string
}

// writeList replaces the file of engines, as its operator's page asks: beside the file, and renamed over it.
func (r *run) writeList(file string, generation int, zone, kind string, entries ...listed) error {
	var lines []string
	for _, l := range entries {
		lines = append(lines, fmt.Sprintf(`{"name": %q, "address": %q, "zone": %q, "kind": %q, "state": %q}`, l.engine.name, l.engine.address, zone, kind, l.state))
	}
	text := fmt.Sprintf("{\"format\": 1, \"generation\": %d, \"engines\": [\n %s\n], \"end\": %d}\n", generation, strings.Join(lines, ",\n "), generation)
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		return err
	}
	r.note("operator", "the list of engines is now %s", strings.ReplaceAll(text, "\n", ""))
	return os.Rename(file+".new", file)
}
