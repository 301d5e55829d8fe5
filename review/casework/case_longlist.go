package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// The list of engines that one controller publishes for all grows over 512 KB, the most that is published. "Over 512 KB each
// controller reads the file itself": an engine that the longer list leaves out must get nothing new.
func init() {
	cases["long-list"] = func(c *caseRun) bool {
		f := c.newFleet(`{"name": "lookup", "repeat": "restartable", "job_timeout": 2.5, "sla": 0.5, "threads": 1}`)
		a, b, out := c.startEngine("engine-a"), c.startEngine("engine-b"), c.startEngine("engine-c")
		// All others of the list take nothing new, so nobody has to listen at their addresses.
		others := func(n int) (entries []string) {
			for i := range n {
				entries = append(entries, fmt.Sprintf(`{"name": "finishing-engine-%04d.rack-%02d.north-room.east.printers.labels.example", "address": "127.0.%d.%d:9191", "zone": "east", "kind": "std", "cell": %d, "weight": 0}`,
					i, i%64, 100+i/250, 1+i%250, i%64))
			}
			return entries
		}
		list := func(generation int, n int, engines ...*engine) {
			entries := others(n)
			for _, e := range engines {
				entries = append(entries, e.entry("in_service"))
			}
			text := fmt.Sprintf(`{"format": 1, "generation": %d, "engines": [`, generation)
			for i, e := range entries {
				if i > 0 {
					text += ",\n"
				}
				text += e
			}
			text += fmt.Sprintf(`], "end": %d}`, generation)
			c.write(f.list, text)
			c.note("list %d: %d engines, %d KB, of them in use: %d", generation, len(entries), len(text)>>10, len(engines))
		}
		many := 2000
		list(1, many, a, b, out)
		f.prepare(`{"list": true}`)
		f.startAll(f.names...)
		for _, name := range f.names {
			c.wait(name+" has the published list", 20*time.Second, func() bool { return f.processes[name].says("published endpoint list applied") })
		}
		var sent, done atomic.Int32
		for _, name := range f.names {
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
		c.wait("engine-c gets jobs", 10*time.Second, func() bool { return len(out.received()) > 20 })
		if c.trouble {
			many = 3197
		}
		list(2, many, a, b)
		told := time.Now()
		const bound = 12 * time.Second // a lease of 2 s, the fall back of 10 s
		time.Sleep(bound + 6*time.Second)
		before, late, last := 0, 0, told
		for _, r := range out.received() {
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
