package main

import (
	"fmt"
	"path/filepath"
	"time"
)

// A client leaves before its time and tries again at once, with the same key. It must not be told that nothing has run while
// its run-once job is at an engine.
func init() {
	cases["throttled-retry"] = func(c *caseRun) bool {
		e := c.startEngine("engine-a")
		list := filepath.Join(c.folder, "engines.jsonc")
		c.writeList(list, 1, e.entry("in_service"))
		listen := c.freeAddress()
		p := c.controller("gateway-1", fmt.Sprintf(`{"name": "gateway-1", "listen": %q, "log": {"level": "debug", "form": "json"},
  "deployment": {"zones": ["east"], "kinds": [{"name": "std", "cores": 16, "memory_mb": 32768}],
    "types": [{"name": "load", "repeat": "run_once", "job_timeout": 25, "sla": 4, "stretch": 3, "threads": 2, "load": true}],
    "engines": {"report": ["busy_reqs", "x0"]}},
  "engines": {"file": %q},
  "requests": {"retry": "key", "first": "first"},
  "store": {"folder": %q, "window": 120}}`, listen, list, filepath.Join(c.folder, "store")))
		p.run()
		c.waitReady(listen)
		k, err := c.dial("k1", listen)
		c.must(err)
		const work = "/* work=3 */ insert into staging.runs select 1"
		id, w := k.job(ref(1), "load", 20*time.Second, work, [2]string{"key", "key-1"}, [2]string{"first", "1"})
		if c.trouble {
			c.wait("the job is at the engine", 5*time.Second, func() bool { return len(e.received()) == 1 })
			time.Sleep(1800 * time.Millisecond) // 45 % of the SLA time
			k.abort(id)
			_, w = k.job(ref(2), "load", 20*time.Second, work, [2]string{"key", "key-1"})
		}
		var a answer
		select {
		case a = <-w:
		case <-time.After(21 * time.Second):
			a.word = "no answer"
		}
		c.note("the client is told: %s %s", a.word, a.why)
		asked := len(e.received())
		if a.word == "throttled" { // what the same key is told now
			_, again := k.job(ref(3), "load", 20*time.Second, work, [2]string{"key", "key-1"})
			b := <-again
			c.note("and when it tries again, as it may: %s %s", b.word, b.why)
		}
		return a.word == "throttled" && asked > 0
	}
}
