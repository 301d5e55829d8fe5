package main

import (
	"fmt"
	"time"
)

func init() { cases["6"] = clientsLeave }

// clientsLeave has seven of ten clients close their connections and try again at once, while engines that can't cancel a dispatch run
// their reports. The controller runs as the platform starts it. Other clients that come then have to be answered.
func clientsLeave(t *trial) {
	var engines []*engine
	for i := range 6 {
		engines = append(engines, t.startEngine(fmt.Sprintf("e-%d", i+1)))
	}
	listen := t.address()
	t.startPlatformController("g-1", t.write("g-1.json", t.platformConfig("g-1", listen, 256, engines...)))
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	// 4.2 s of work on 2 threads. 80 of them at once share 72 cores of a speed of 0.9, so each takes 80 * 4.2 / 72 / 0.9 s.
	report := func(c *client, n int) {
		c.send("report", fmt.Sprintf("select * from sales_%d.orders /* work=4200 ms=5200 */", n+1), 19*time.Second)
	}
	const aim = 6750 * time.Millisecond    // 1.5 s and 2.5 times the work over the threads
	const clients, leave, come = 80, 57, 5 // at any time 85 connections at most, a third of the 256 descriptors
	var before, again []*client
	for n := range clients {
		c := t.dial(fmt.Sprintf("client %d", n+1), listen)
		report(c, n)
		before = append(before, c)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(aim * 35 / 100)
	n := 0
	for _, e := range engines {
		n += e.inFlight()
	}
	t.log("%d reports are at the engines", n)
	if t.trouble {
		for _, c := range before[:leave] {
			c.close()
		}
		t.log("%d of %d clients have closed their connections, and try again at once", leave, clients)
		for n := range leave {
			c := t.dial(fmt.Sprintf("client %d, again", n+1), listen)
			report(c, n)
			again = append(again, c)
		}
	}
	time.Sleep(100 * time.Millisecond)
	var lookups []*request
	for n := range come {
		c := t.dial(fmt.Sprintf("new client %d", n+1), listen)
		lookups = append(lookups, c.send("lookup", "select a from sales_99.orders /* ms=20 */", 1500*time.Millisecond))
	}
	lost := 0
	for _, r := range lookups {
		if a := r.wait(time.Until(r.sentAt.Add(2 * time.Second))); a.word == "no answer" || a.word == "closed" {
			lost++
		}
	}
	if lost > 0 {
		t.breaks("%d of %d lookups have no answer half a second after their time", lost, come)
		since := time.Now()
		answered := t.ready(listen, 20*time.Second)
		t.log("a ping on a new connection is answered with true: %v, %.1f s later", answered, time.Since(since).Seconds())
	}
}
