package main

import (
	"fmt"
	"path/filepath"
	"strings"
)

// types are the reservation types of the cases: those of deploy/example.jsonc, and a keyed type that keeps its order.
const types = `[
      {"name": "lookup", "repeat": "restartable", "job_timeout": 5, "sla": 2},
      {"name": "report", "repeat": "restartable", "job_timeout": 30, "sla": 20, "threads": 4},
      {"name": "load", "repeat": "run_once", "job_timeout": 30, "sla": 20, "threads": 2, "load": true},
      {"name": "press-load", "repeat": "keyed", "window": 12, "in_order": true, "job_timeout": 30, "sla": 20, "threads": 2, "load": true},
    ]`

// settings returns the settings of a controller, with further sections.
func settings(name, listen, engines string, gateways int, sections ...string) string {
	return fmt.Sprintf(`{
  "name": %q, "listen": %q,
  "log": {"level": "debug", "form": "json"},
  "deployment": {
    "gateways": %d, "zones": ["east"],
    "kinds": [{"name": "std", "cores": 16, "memory_mb": 32768}],
    "types": %s,
    "engines": {"report": ["busy_reqs", "x0"], "streams": 8},
    "rules": {"drain": 1},
  },
  "engines": {"file": %q, "still": 0.1, "most_removed": 1},
  %s
}
`, name, listen, gateways, types, engines, strings.Join(sections, ",\n  "))
}

// engineList returns a list of engines in the format of engines.file.
func engineList(generation int, engines ...*engine) string {
	var entries []string
	for _, e := range engines {
		entries = append(entries, fmt.Sprintf(`{"name": %q, "address": %q, "zone": "east", "kind": "std"}`, e.name, e.address))
	}
	return fmt.Sprintf(`{"format": 1, "generation": %d, "confirmed": true, "engines": [%s], "end": %d}`, generation, strings.Join(entries, ", "), generation)
}

// fleet is a small fleet of controllers, all of which vote.
type fleet struct {
	trial     *trial
	names     []string
	listen    map[string]string
	voters    string
	processes map[string]*process
	clients   []*client
}

func (t *trial) newFleet(names ...string) *fleet {
	f := &fleet{trial: t, names: names, listen: map[string]string{}, processes: map[string]*process{}}
	var voters []string
	for _, name := range names {
		f.listen[name] = t.address()
		voters = append(voters, fmt.Sprintf(`{"name": %q, "address": %q}`, name, t.address()))
	}
	f.voters = strings.Join(voters, ", ")
	return f
}

// section returns the section fleet of a controller's settings.
func (f *fleet) section(name string, generation int) string {
	return fmt.Sprintf(`"fleet": {"voters": [%s], "folder": %q, "lease": 2, "linger": 30, "controllers": 10, "generation": %d}`,
		f.voters, filepath.Join(f.trial.folder, "fleet-"+name), generation)
}

// init creates the log of a voter.
func (f *fleet) init(settingsFile string) {
	out, err := f.trial.tool("fleet", "init", "--settings", settingsFile)
	f.trial.require(err == nil, "fleet init: %s", out)
}
