package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

// A keyed job is at an engine of zone west when its controller is killed. Its next start has settings without the zone east,
// which stood before west. The job must not go to an engine of another zone than west.
func init() {
	cases["removed-zone"] = func(c *caseRun) bool {
		west, north := c.startEngine("engine-w"), c.startEngine("engine-n")
		west.memory, north.memory = 60*time.Second, 60*time.Second
		list := filepath.Join(c.folder, "engines.jsonc")
		entry := func(e *engine, zone string) string {
			return fmt.Sprintf(`{"name": %q, "address": %q, "zone": %q, "kind": "std"}`, e.name, e.address, zone)
		}
		c.writeList(list, 1, entry(west, "west"), entry(north, "north"))
		listen := c.freeAddress()
		settings := func(zones string) string {
			return fmt.Sprintf(`{"name": "gateway-1", "listen": %q, "log": {"level": "debug", "form": "json"},
  "deployment": {"zones": [%s], "zone": "west", "kinds": [{"name": "std", "cores": 16, "memory_mb": 32768}],
    "types": [{"name": "press-load", "repeat": "keyed", "window": 60, "group": "zone", "job_timeout": 20, "sla": 20, "threads": 2, "load": true}],
    "engines": {"report": ["busy_reqs", "x0"], "copies": false}},
  "engines": {"file": %q},
  "requests": {"retry": "key", "first": "first"},
  "store": {"folder": %q, "window": 120}}`, listen, zones, list, filepath.Join(c.folder, "store"))
		}
		p := c.controller("gateway-1", settings(`"east", "west", "north"`))
		p.run()
		c.waitReady(listen)
		// The job is at an engine when the controller is killed; the engine's answer to it is late.
		hold := make(chan bool)
		west.answer = func(string) bool {
			if c.trouble {
				<-hold
			}
			return false
		}
		k, err := c.dial("k1", listen)
		c.must(err)
		const work = "/* work=1 */ insert into staging.runs select 1"
		_, w := k.job(ref(1), "press-load", 20*time.Second, work, [2]string{"key", "key-1"}, [2]string{"first", "1"})
		if c.trouble {
			c.wait("the job has run in zone west", 10*time.Second, func() bool { l := west.received(); return len(l) == 1 && !l[0].ranAt.IsZero() })
			c.write(p.settings, settings(`"west", "north"`))
			c.note("the settings are without the zone east now")
			p.signal(syscall.SIGKILL)
			<-p.ended
			close(hold)
			p.run()
			c.waitReady(listen)
			k, err = c.dial("k1", listen)
			c.must(err)
			_, w = k.job(ref(2), "press-load", 20*time.Second, work, [2]string{"key", "key-1"})
		}
		select {
		case a := <-w:
			c.note("the client is told: %s %s", a.word, a.why)
		case <-time.After(21 * time.Second):
			c.note("no answer")
		}
		zones := 0
		for _, e := range c.engines {
			for _, r := range e.received() {
				c.note("%s got %s, ran: %v, dropped as a repeat: %v", e.name, r.id, !r.ranAt.IsZero(), r.repeat)
			}
			if len(e.received()) > 0 {
				zones++
			}
		}
		return zones > 1
	}
}
