package main

import "time"

// The connection of a keyed job's dispatch is reset after the engine has run it, later than engines remember it. It must not
// be sent again.
func init() {
	cases["keyed-job"] = func(c *caseRun) bool {
		const window = 12 * time.Second // as of press-load of the brief
		const job = `{"jobs": [{"name": "press", "schedule": "@every 20s", "type": "press-load", "work": 26, "statement": "/* work=13 */ call staging.load_press()", "late": "skip"}]}`
		f := c.newFleet(`{"name": "cost-report", "repeat": "restartable", "job_timeout": 20, "sla": 3, "stretch": 2.5, "threads": 4},
      {"name": "press-load", "repeat": "keyed", "window": 12, "group": "all", "job_timeout": 20, "sla": 3, "stretch": 2.5, "value": 30, "threads": 2, "load": true}`)
		reset := false // the first answer alone
		for _, name := range []string{"engine-a", "engine-b"} {
			e := c.startEngine(name)
			e.memory = window
			e.answer = func(string) bool {
				if !c.trouble || reset {
					return false
				}
				reset = true
				return true
			}
		}
		a, b := c.engines[0], c.engines[1]
		c.writeList(f.list, 1, a.entry("in_service"), b.entry("in_service"))
		f.prepare(job)
		f.startAll(f.names...)
		all := func() (asks []ask) { return append(a.received(), b.received()...) }
		c.wait("the first occurrence has come to an engine", 40*time.Second, func() bool { return len(all()) > 0 })
		first := all()[0]
		sentAgain := func() bool {
			for _, r := range all() {
				if r.id == first.id && r.at.After(first.at.Add(window)) {
					return true
				}
			}
			return false
		}
		for end := time.Now().Add(24 * time.Second); time.Now().Before(end) && !sentAgain(); time.Sleep(50 * time.Millisecond) {
		}
		c.note("%s", c.command("duties", "history", "--settings", f.processes["gateway-1"].settings))
		broken := sentAgain()
		if broken {
			time.Sleep(14 * time.Second) // to see it run
			c.note("%s", c.command("duties", "history", "--settings", f.processes["gateway-1"].settings))
		}
		ran := 0
		for _, r := range all() {
			if r.id == first.id && !r.ranAt.IsZero() {
				ran++
			}
		}
		c.note("%s has run %d times; sent again after %v: %v", first.id, ran, window, broken)
		return broken
	}
}
