package main

import (
	"syscall"
	"time"
)

// Two of three controllers are down at the first time at which a job is due. "late" says that it runs later.
func init() {
	cases["first-occurrence"] = func(c *caseRun) bool {
		f := c.newFleet(`{"name": "load", "repeat": "run_once", "job_timeout": 60, "sla": 60, "load": true}`)
		a, b := c.startEngine("engine-a"), c.startEngine("engine-b")
		c.writeList(f.list, 1, a.entry("in_service"), b.entry("in_service"))
		f.prepare(`{"jobs": [{"name": "minute-load", "schedule": "* * * * *", "type": "load", "statement": "/* work=0.5 */ call staging.load_all()", "late": "latest"}]}`)
		now := time.Now()
		due := now.Truncate(time.Minute).Add(time.Minute)
		if due.Sub(now) < 20*time.Second {
			due = due.Add(time.Minute)
			time.Sleep(time.Until(due.Add(-55 * time.Second)))
		}
		f.startAll(f.names...)
		c.wait("the job has an owner", 20*time.Second, func() bool {
			for _, p := range f.processes {
				if p.says("shard gained", `"duty":"jobs"`) {
					return true
				}
			}
			return false
		})
		time.Sleep(time.Until(due.Add(-3 * time.Second)))
		if c.trouble {
			// gateway-1 owns the job by the fleet's choice, with gateway-2 the quorum is lost.
			for _, name := range f.names[:2] {
				f.processes[name].signal(syscall.SIGKILL)
			}
			time.Sleep(time.Until(due.Add(3 * time.Second)))
			f.startAll(f.names[:2]...)
		}
		time.Sleep(time.Until(due.Add(30 * time.Second)))
		c.note("%s", c.command("duties", "history", "--settings", f.processes[f.names[0]].settings))
		n := len(a.received()) + len(b.received())
		c.note("30 s after it was due the occurrence has come to the engines %d times", n)
		return n == 0
	}
}
