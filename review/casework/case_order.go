package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

// A controller with a store is killed while the first of two jobs of one order key runs. Its clients try again. The two
// must not run at the same time.
func init() {
	cases["order-after-crash"] = func(c *caseRun) bool {
		e := c.startEngine("engine-a")
		e.memory = 60 * time.Second
		list := filepath.Join(c.folder, "engines.jsonc")
		c.writeList(list, 1, e.entry("in_service"))
		listen := c.freeAddress()
		p := c.controller("gateway-1", fmt.Sprintf(`{"name": "gateway-1", "listen": %q, "log": {"level": "debug", "form": "json"},
  "deployment": {"zones": ["east"], "kinds": [{"name": "std", "cores": 16, "memory_mb": 32768}],
    "types": [{"name": "press-load", "repeat": "keyed", "window": 60, "group": "all", "in_order": true, "job_timeout": 20, "sla": 20, "threads": 2, "load": true}],
    "engines": {"report": ["busy_reqs", "x0"], "copies": false}},
  "engines": {"file": %q},
  "requests": {"retry": "key", "first": "first", "key": "lookup"},
  "store": {"folder": %q, "window": 120}}`, listen, list, filepath.Join(c.folder, "store")))
		p.run()
		c.waitReady(listen)
		k1, err := c.dial("k1", listen)
		c.must(err)
		k2, err := c.dial("k2", listen)
		c.must(err)
		const work = "/* work=4 */ insert into staging.runs select 1"
		job := func(k *client, n int, key string) chan answer {
			_, w := k.job(ref(n), "press-load", 20*time.Second, work, [2]string{"lookup", "press-7"}, [2]string{"key", key})
			return w
		}
		first := job(k1, 1, "key-1")
		time.Sleep(200 * time.Millisecond)
		second := job(k2, 2, "key-2")
		time.Sleep(800 * time.Millisecond)
		if c.trouble {
			p.signal(syscall.SIGKILL)
			<-p.ended
			p.run()
			c.waitReady(listen)
			// Each client tries again after a wait of its own.
			k2, err = c.dial("k2", listen)
			c.must(err)
			second = job(k2, 3, "key-2")
			time.Sleep(2 * time.Second)
			k1, err = c.dial("k1", listen)
			c.must(err)
			first = job(k1, 4, "key-1")
		}
		for i, w := range []chan answer{first, second} {
			select {
			case a := <-w:
				c.note("job %d: %s %s", i+1, a.word, a.why)
			case <-time.After(20 * time.Second):
				c.note("job %d: no answer", i+1)
			}
		}
		asks, broken := e.received(), false
		for i, x := range asks {
			for _, y := range asks[i+1:] {
				if y.at.Before(x.endedAt) && x.id != y.id {
					c.note("%s came %.2f s before %s of the same key had ended", y.id, x.endedAt.Sub(y.at).Seconds(), x.id)
					broken = true
				}
			}
		}
		return broken
	}
}
