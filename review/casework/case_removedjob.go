package main

import "time"

// A run-once job is taken out of the duties: as the page says, with a higher generation and one restart after the other. The
// controllers that still have it must not run an occurrence that has run.
func init() {
	cases["removed-job"] = func(c *caseRun) bool {
		const statistics = `{"name": "statistics", "schedule": "@hourly", "type": "report", "statement": "analyze house.sales", "late": "skip", "grace": 600}`
		const load = `{"name": "minute-load", "schedule": "* * * * *", "type": "load", "statement": "/* work=0.5 */ call staging.load_all()", "late": "latest", "timeout": 60}`
		both, one := `{"jobs": [`+load+`, `+statistics+`]}`, `{"jobs": [`+statistics+`]}`
		f := c.newFleet(`{"name": "report", "repeat": "restartable", "job_timeout": 30, "sla": 10, "threads": 4},
      {"name": "load", "repeat": "run_once", "job_timeout": 60, "sla": 60, "load": true}`)
		a, b := c.startEngine("engine-a"), c.startEngine("engine-b")
		c.writeList(f.list, 1, a.entry("in_service"), b.entry("in_service"))
		f.prepare(both)
		if s := time.Now().Second(); s > 50 { // all have to be up when the job is due
			c.note("waits for the next minute")
			time.Sleep(time.Duration(61-s) * time.Second)
		}
		f.startAll(f.names...)
		runs := func() map[string]int {
			n := map[string]int{}
			for _, e := range c.engines {
				for _, r := range e.received() {
					if r.class == "load" && !r.ranAt.IsZero() {
						n[r.id]++
					}
				}
			}
			return n
		}
		owner := ""
		c.wait("the job has run, and its end is recorded", 75*time.Second, func() bool {
			for _, name := range f.names {
				if f.processes[name].says("minute-load", "scheduled run ended", `"as":"done"`) {
					owner = name
				}
			}
			return owner != "" && len(runs()) == 1
		})
		time.Sleep(time.Second)
		c.note("it was run by %s\n%s", owner, c.command("duties", "history", "--settings", f.processes[owner].settings))
		// The owner of the job is the last to be restarted.
		var order []string
		for _, name := range f.names {
			if name != owner {
				order = append(order, name)
			}
		}
		for i, name := range append(order, owner) {
			if time.Now().Second() > 50 { // the next occurrence is no part of the case
				break
			}
			p := f.processes[name]
			if c.trouble {
				c.write(p.settings, f.controllersFile(name, 2, one))
				c.note("%s: generation 2, without the job", name)
			}
			p.terminate()
			p.run()
			c.waitReady(f.listen[name])
			time.Sleep(3 * time.Second)
			c.note("after restart %d: %v\n%s", i+1, runs(), c.command("duties", "history", "--settings", p.settings))
			if i == 1 {
				break // two of three are enough to see
			}
		}
		broken := false
		for id, n := range runs() {
			c.note("%s of the run-once job has run %d times", id, n)
			broken = broken || n > 1
		}
		return broken
	}
}
