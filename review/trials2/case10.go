package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["10"] = repeatAtShutdown }

// repeatAtShutdown has a client leave before its time and try again at once, under the same key of a store, at engines that cannot
// cancel a dispatch. Then the controller is told to end. The next try, which the controller has taken, needs an answer.
func repeatAtShutdown(t *trial) {
	e := t.startEngine("e-1")
	listen := t.address()
	s := settings("g-1", listen, t.write("engines.jsonc", engineList(1, e)), 3, `"requests": {"retry": "job"}`,
		fmt.Sprintf(`"store": {"folder": %q}`, filepath.Join(t.folder, "store")))
	s = strings.Replace(s, `"streams": 8}`, `"streams": 8, "call_off": false}`, 1)
	s = strings.Replace(s, `"job_timeout": 30, "sla": 20, "threads": 4}`, `"job_timeout": 20, "sla": 1.5, "stretch": 2.5, "threads": 2}`, 1)
	p := t.startController("g-1", t.write("g-1.jsonc", s))
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	client, other := t.dial("client", listen), t.dial("other client", listen)
	var first, next []*request
	send := func(job int) *request {
		// 10 s of work on 2 threads, at an engine that two more controllers fill: it runs them 2.2 times slower than alone.
		return client.send("report", fmt.Sprintf("select * from sales_%d.orders /* work=10000 ms=11000 */", job), 20*time.Second, "job", fmt.Sprintf("report-%d", job))
	}
	for job := range 3 {
		first = append(first, send(job+1))
	}
	staying := other.send("report", "select * from sales_9.orders /* work=10000 ms=11000 */", 20*time.Second, "job", "report-9")
	t.require(t.wait(2*time.Second, func() bool { return e.inFlight() == 4 }), "the reports were not sent")
	const aim = 14 * time.Second // 1.5 s and 2.5 times the work over the threads
	time.Sleep(aim * 35 / 100)
	for job, r := range first {
		client.abort(r)
		next = append(next, send(job+1))
	}
	time.Sleep(time.Second)
	within := 20 * time.Second // of its own time
	if t.trouble {
		t.signal(p, syscall.SIGTERM)
		within = 8 * time.Second // the process ends before that
	}
	for job, r := range next {
		if a := r.wait(within); a.word == "closed" || a.word == "no answer" {
			t.breaks("the next try of report %d has no answer: %s", job+1, a.word)
		}
	}
	t.log("the report of the client that stays: %s", staying.wait(within).word)
	if t.trouble {
		t.log("the process has ended: %v", p.hasEnded(time.Second))
	}
}
