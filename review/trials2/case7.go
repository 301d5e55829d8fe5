package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["7"] = removedJob }

// removedJob takes a scheduled run-once statement out of the settings of a fleet, with a higher generation and one controller
// restarted after another. No occurrence may come to an engine twice.
func removedJob(t *trial) {
	e := t.startEngine("e-1")
	list := t.write("engines.jsonc", engineList(1, e))
	f := t.newFleet("g-1", "g-2", "g-3")
	const nightly = `{"name": "nightly-load", "schedule": "@every 20s", "type": "load", "statement": "call staging.load_all() /* ms=300 */", "late": "latest"}`
	const statistics = `{"name": "statistics", "schedule": "@every 15s", "type": "report", "statement": "analyze house.sales /* ms=50 */", "late": "skip"}`
	write := func(name string, generation int, jobs string) string {
		return t.write(fmt.Sprintf("%s-%d.jsonc", name, generation), settings(name, f.listen[name], list, 3,
			f.section(name, generation), `"duties": {"jobs": [`+jobs+`]}`))
	}
	for _, name := range f.names {
		f.init(write(name, 1, nightly+", "+statistics))
	}
	for _, name := range f.names {
		f.processes[name] = t.startController(name, write(name, 1, nightly+", "+statistics))
	}
	for _, name := range f.names {
		t.require(t.ready(f.listen[name], 10*time.Second), "%s is not ready", name)
	}
	done := func() (n int) {
		for _, s := range with("load_all", e) {
			if s.how == "done" {
				n++
			}
		}
		return n
	}
	t.require(t.wait(60*time.Second, func() bool { return done() >= 1 }), "the job has not run")
	time.Sleep(3 * time.Second) // its outcome is recorded; the next occurrence is far

	for _, name := range f.names {
		generation, jobs := 1, nightly+", "+statistics
		if t.trouble {
			generation, jobs = 2, statistics
		}
		t.signal(f.processes[name], syscall.SIGTERM)
		t.require(f.processes[name].hasEnded(8*time.Second), "%s has not ended", name)
		f.processes[name] = t.startController(name, write(name, generation, jobs))
		t.require(t.ready(f.listen[name], 10*time.Second), "%s is not ready", name)
		time.Sleep(3 * time.Second)
	}
	time.Sleep(3 * time.Second)

	times := map[string]int{}
	for _, s := range with("load_all", e) {
		times[s.id]++
	}
	for id, n := range times {
		if n > 1 {
			t.breaks("the run-once job %s was dispatched %d times", id, n)
		}
	}
}
