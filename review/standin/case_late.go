//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["late"] = runLate }

// finishingSettings are the settings of one controller of the site finishing-east, with the figures of its brief.
const finishingSettings = `{"group-size":3,"index":0,"zone":0,"areas":["north-room","south-room"],"host-types":["std-16"],
"allowed":{"cancel":true,"conn-idle":15,"connect-timeout":0.25,"streams-per-conn":32,"try-limit":3,"max-open":20000,
 "max-retry-after":2,"may-duplicate":true,"peers":false,"probing":true,"retry-after":true},
"classes":[
 {"name":"lookup","repeat":"pure","objective":0.5,"aim-stretch":1.5,"give-up":2.5,"worth":1,"late-value":0.1},
 {"name":"report","repeat":"pure","objective":1.5,"aim-stretch":2.5,"give-up":20,"worth":20,"late-value":0.4},
 {"name":"load","repeat":"side_effect","objective":4,"aim-stretch":3,"give-up":25,"worth":25,"late-value":0.6}],
"clients":{"marks-retry":false},
"contract":{"stop-sending-within":1,"cold":15,"cold-from":0.33,"fall":2,"fall-multiple":3,"grace-to-answer":0.02},
"family-info":{"dop":[1,4,2],"grants":true,"kind-cores":[16],"ram-of-kind-mb":[32768],"largest-share":0.4,"on-shortage":"wait",
 "says-cost":true,"takes-priority":true,"writes-tables":[false,false,true],"yields-to-loads":[false,false,false]},
"membership-mode":"pushed","report":{"fields":["busy_reqs","cpu_share","x1","x0"],"how":"on_probe"},"tick":0.005,"weights":"rough"}`

// The disruption and the bounds of runLate.
const (
	behind       = 3 * time.Second  // how much later the channel tells
	behindFor    = 28 * time.Second // how long that lasts
	drainAfter   = 3 * time.Second  // from its beginning to the event that an engine drains
	toldAtLatest = 7.0              // seconds after the event
	lateGrace    = 1.05             // seconds: 1 s, and 50 ms on sockets
	lateClients  = 6
	lateRate     = 66                     // lookups a second at one controller
	latePause    = 250 * time.Millisecond // between two loads
	endsAfter    = 20 * time.Second       // from the event that the engine drains to the end of its process
)

// runLate drains an engine, whose process ends 20 s later. With trouble, the command channel runs further behind: all that it
// tells comes 3 s later.
func runLate(r *run) ([]string, error) {
	c, err := r.startChannel()
	if err != nil {
		return nil, err
	}
	proxy, err := r.startDelayProxy(c.address)
	if err != nil {
		return nil, err
	}
	entry := func(e *engine, health string) host {
		return host{e.name, e.address, "north-room", "std-16", 0, health, 1, 0}
	}
	var engines []*engine
	var hosts []host
	for i := range 6 {
		e, err := r.startEngine(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		hosts = append(hosts, entry(e, "in_service"))
	}
	c.publish(true, hosts...)
	listen := freeAddress()
	direct := c.address
	c.address = proxy.address
	p, err := r.platformController("n1", listen, c, 192, 1024, finishingSettings)
	c.address = direct
	if err != nil {
		return nil, err
	}
	if err := p.startProcess(); err != nil {
		return nil, err
	}
	if err := r.waitFor("the controller is ready", 20*time.Second, func() bool { return r.ready(listen) }); err != nil {
		return nil, err
	}
	end := time.Now().Add(2*time.Second + behindFor + 6*time.Second)
	var clients sync.WaitGroup
	for i := range lateClients {
		client, err := r.dialClient(fmt.Sprintf("client-%d", i+1), listen)
		if err != nil {
			return nil, err
		}
		clients.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / lateRate)
			for n := 0; time.Now().Before(end); n++ {
				client.send(job{id: jobID(i*100000 + n), class: "lookup", allow: 2500 * time.Millisecond, effort: 80 * time.Millisecond,
					needMB: 20, statement: fmt.Sprintf("select a from runs_%d.b /* ms=80 */", (i*7+n)%11)})
				time.Sleep(lateClients * time.Second / lateRate)
			}
		})
	}
	loader, err := r.dialClient("loader", listen)
	if err != nil {
		return nil, err
	}
	var loads []*call
	clients.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			loads = append(loads, loader.send(job{id: jobID(900000 + n), class: "load", allow: 25 * time.Second, effort: 4300 * time.Millisecond,
				needMB: 150, statement: fmt.Sprintf("load runs_%d.b /* ms=2150 */", n%11)})...)
			time.Sleep(latePause)
		}
	})
	time.Sleep(2 * time.Second)
	if r.trouble {
		proxy.setDelay(behind)
		time.AfterFunc(behindFor, func() { proxy.setDelay(0) })
	}
	time.Sleep(drainAfter)
	drained, event := engines[1], r.seconds()
	c.publish(false, entry(drained, "terminating"))
	time.AfterFunc(endsAfter, func() {
		r.note(drained.name, "its process ends")
		drained.listener.Close()
		drained.resetPeers()
	})
	clients.Wait()
	ends := map[string]int{}
	for _, k := range loads {
		a, _ := k.wait(26 * time.Second)
		ends[a.word]++
		if a.word != "served" {
			r.note("seen", "run-once load %s, sent at %.3f, has ended as %q", k.id, k.sentAt, a.word)
		}
	}
	r.note("seen", "ends of the loads: %v", ends)
	var broken []string
	for _, d := range drained.received() {
		if d.receivedAt > event+toldAtLatest+lateGrace {
			broken = append(broken, fmt.Sprintf("job %s came to %s %.3f s after the event that it drains; that counts as told after %.0f s, and the grace is 1 s",
				d.id, d.engine, d.receivedAt-event, toldAtLatest))
		}
	}
	return broken, nil
}
