package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { cases["settled-again"] = settledAgain }

// settledAgain kills the owner of a run-once job while an engine runs it. An operator settles the occurrence: it did not run, and
// runs now. It has to come to an engine again.
func settledAgain(t *trial) {
	e := t.startEngine("e-1")
	list := t.write("engines.jsonc", engineList(1, e))
	f := t.newFleet("g-1", "g-2", "g-3")
	const job = `"duties": {"jobs": [{"name": "load-all", "schedule": "@every 30s", "type": "load", "work": 10, "statement": "call staging.load_all() /* ms=5000 */", "late": "skip", "grace": 5, "tries": 1}]}`
	file := func(name string) string {
		return t.write(name+".jsonc", settings(name, f.listen[name], list, 3, f.section(name, 1), job))
	}
	for _, name := range f.names {
		f.init(file(name))
	}
	for _, name := range f.names {
		f.processes[name] = t.startController(name, file(name))
	}
	for _, name := range f.names {
		t.require(t.ready(f.listen[name], 10*time.Second), "%s is not ready", name)
	}
	asks := func() []seen { return with("load_all", e) }
	t.require(t.wait(45*time.Second, func() bool { return len(asks()) == 1 }), "the job was not sent")
	time.Sleep(500 * time.Millisecond)
	if !t.trouble {
		t.require(t.wait(10*time.Second, func() bool { return asks()[0].how == "done" }), "the job has not run")
		return
	}
	history, _ := t.tool("duties", "history", "--settings", file("g-1"))
	owner, number := "", ""
	for line := range strings.Lines(history) {
		if words := strings.Fields(line); len(words) > 5 && words[0] == "load-all" {
			number, owner = words[3], words[5]
		}
	}
	t.require(f.processes[owner] != nil, "no owner in the history")
	t.signal(f.processes[owner], syscall.SIGKILL)
	other := f.names[0]
	if other == owner {
		other = f.names[1]
	}
	t.require(t.wait(20*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		history, _ = t.tool("duties", "history", "--settings", file(other))
		return strings.Contains(history, "may have run")
	}), "the occurrence is not uncertain")
	_, err := t.tool("duties", "settle", "load-all", number, "--again", "--settings", file(other))
	t.require(err == nil, "settle: %v", err)
	t.wait(12*time.Second, func() bool { return len(asks()) > 1 && asks()[1].id == asks()[0].id })
	_, _ = t.tool("duties", "history", "--settings", file(other))
	again := 0
	for _, s := range asks() {
		if s.id == asks()[0].id {
			again++
		}
	}
	if again < 2 {
		t.breaks("12 s after it was settled to run again the occurrence has not come to an engine")
	}
}
