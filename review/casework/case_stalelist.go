package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// The controller that publishes the list of engines dies, and the list is changed back to what it was before its last change.
// The others must follow.
func init() {
	cases["stale-list"] = func(c *caseRun) bool {
		f := c.newFleet(`{"name": "lookup", "repeat": "restartable", "job_timeout": 2.5, "sla": 0.5, "threads": 1}`)
		a, b, extra := c.startEngine("engine-a"), c.startEngine("engine-b"), c.startEngine("engine-c")
		c.writeList(f.list, 1, a.entry("in_service"), b.entry("in_service"))
		f.prepare(`{"list": true}`)
		// The first to come becomes the owner of the list, until the one that the fleet prefers comes.
		f.startAll(f.names[1], f.names[2])
		published := func(name string, engines int) func() bool {
			return func() bool {
				return f.processes[name].says("published endpoint list applied", fmt.Sprintf(`"engines":%d,`, engines))
			}
		}
		gained := func(name string) bool { return f.processes[name].says("endpoint list shard gained") }
		c.wait("the list is published", 20*time.Second, func() bool { return published(f.names[1], 2)() && published(f.names[2], 2)() })
		next := f.names[1]
		if gained(f.names[2]) {
			next = f.names[2]
		}
		f.startAll(f.names[0])
		c.wait(f.names[0]+" publishes the list now", 20*time.Second, func() bool { return gained(f.names[0]) && published(f.names[0], 2)() })
		c.note("before it was %s", next)
		time.Sleep(2 * time.Second)
		c.writeList(f.list, 2, a.entry("in_service"), b.entry("in_service"), extra.entry("in_service"))
		for _, name := range f.names {
			c.wait(name+" has the list with the third engine", 10*time.Second, published(name, 3))
		}
		var sent, done atomic.Int32
		for _, name := range f.names[1:] {
			go func() {
				k, err := c.dial(name, f.listen[name])
				c.must(err)
				for n := 0; ; n++ {
					_, w := k.quietJob(fmt.Sprintf("%08x%08x", n, sent.Add(1)), "lookup", 2500*time.Millisecond, "/* work=0.02 */ select 1")
					go func() {
						if (<-w).word == "done" {
							done.Add(1)
						}
					}()
					time.Sleep(40 * time.Millisecond)
				}
			}()
		}
		c.wait("the third engine gets jobs", 10*time.Second, func() bool { return len(extra.received()) > 20 })
		if c.trouble {
			f.processes[f.names[0]].kill()
		}
		c.writeList(f.list, 3, a.entry("in_service"), b.entry("in_service"))
		told := time.Now()
		const bound = 12 * time.Second // a lease of 2 s and a bit, the fall back of 10 s
		time.Sleep(bound + 6*time.Second)
		before, late, last := 0, 0, time.Time{}
		for _, r := range extra.received() {
			if r.at.After(told.Add(bound)) {
				late++
			} else if r.at.After(told) {
				before++
			}
			last = r.at
		}
		c.note("%d jobs sent, %d done", sent.Load(), done.Load())
		c.note("after the list without it engine-c got %d jobs within %v and %d later, the last %.2f s after it", before, bound, late, last.Sub(told).Seconds())
		return late > 0
	}
}
