package main

import (
	"strconv"
	"strings"
	"time"
)

// The owner of a run-once job is killed while the engine runs it. An operator looks, and settles the occurrence: again.
func init() {
	cases["settled-again"] = func(c *caseRun) bool {
		f := c.newFleet(`{"name": "load", "repeat": "run_once", "job_timeout": 60, "sla": 60, "load": true}`)
		a, b := c.startEngine("engine-a"), c.startEngine("engine-b")
		c.writeList(f.list, 1, a.entry("in_service"), b.entry("in_service"))
		f.prepare(`{"jobs": [{"name": "load-all", "schedule": "@every 30s", "type": "load", "work": 10, "statement": "/* work=5 */ call staging.load_all()", "late": "skip", "grace": 5, "tries": 1}]}`)
		f.startAll(f.names...)
		all := func() []ask { return append(a.received(), b.received()...) }
		c.wait("the job is at an engine", 45*time.Second, func() bool { return len(all()) == 1 })
		id := all()[0].id
		time.Sleep(500 * time.Millisecond)
		history := func() string { return c.command("duties", "history", "--settings", f.processes[f.names[0]].settings) }
		text := history()
		c.note("%s", text)
		if !c.trouble {
			c.wait("it has run", 10*time.Second, func() bool { return !all()[0].ranAt.IsZero() })
			return false
		}
		owner, number := "", ""
		for line := range strings.Lines(text) {
			if l := strings.Fields(line); len(l) > 5 && l[0] == "load-all" {
				number = l[3]
				owner = l[5]
			}
		}
		if _, err := strconv.Atoi(number); err != nil || f.processes[owner] == nil {
			c.unable("no owner in the history")
		}
		f.processes[owner].kill()
		for _, name := range f.names {
			if name != owner {
				f.names[0] = name // asks another
			}
		}
		c.wait("it may have run", 20*time.Second, func() bool { return strings.Contains(history(), "may have run") })
		c.note("%s", history())
		c.note("settle: %s", c.command("duties", "settle", "load-all", number, "--again", "--settings", f.processes[f.names[0]].settings))
		time.Sleep(12 * time.Second)
		c.note("%s", history())
		n := 0
		for _, r := range all() {
			if r.id == id {
				n++
			}
		}
		c.note("the occurrence has come to an engine %d times", n)
		return n < 2
	}
}
