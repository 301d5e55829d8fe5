//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stall"] = runStall }

// portoSettings are the settings of one controller of the site porto-central, with the figures of its brief.
const portoSettings = `{"group-size":3,"index":0,"zone":0,"areas":["predio-a","predio-b","predio-c"],"host-types":["c12","c8"],
"allowed":{"cancel":true,"conn-idle":15,"connect-timeout":0.25,"streams-per-conn":32,"try-limit":6,"max-open":20000,
 "max-retry-after":2,"may-duplicate":false,"peers":false,"probing":false,"retry-after":true},
"classes":[
 {"name":"lookup","repeat":"pure","objective":1.5,"aim-stretch":2,"give-up":7.5,"worth":1,"late-value":0.3},
 {"name":"report","repeat":"pure","objective":3,"aim-stretch":2.5,"give-up":25,"worth":4,"late-value":0.3,"host-types-open":["c12"]},
 {"name":"load","repeat":"token","group":"all","window":20,"objective":3,"aim-stretch":3,"give-up":20,"worth":4,"late-value":0.3}],
"clients":{"marks-retry":false},
"contract":{"stop-sending-within":0.5,"cold":15,"cold-from":0.3,"fall":1,"fall-multiple":2.5,"grace-to-answer":0.02,
 "budget-free":2,"resend-ratio":0.1,"counted-over":10},
"family-info":{"dop":[1,3,2],"grants":true,"kind-cores":[12,8],"ram-of-kind-mb":[24576,16384],"largest-share":0.4,"on-shortage":"page",
 "says-cost":true,"takes-priority":true,"writes-tables":[false,false,true],"yields-to-loads":[true,false,false]},
"membership-mode":"pushed","report":{"fields":["busy_reqs","x1","x0"],"how":"inline"},"tick":0.005,"weights":"off"}`

// The traffic and the disruption of runStall.
const (
	portoGrace   = 0.5 + 0.05 // seconds; each limit is 50 ms longer on sockets
	stallPeriod  = 3 * time.Second
	stallLength  = 1800 * time.Millisecond
	drainInStall = 300 * time.Millisecond // from the beginning of a stall to the event that an engine drains
	stalls       = 12
	portoClients = 12
	portoRate    = 26 // jobs a second at one controller
)

// runStall drains one engine after the other. With trouble, the controller stands still over each of these events, for longer
// than the grace.
func runStall(r *run) ([]string, error) {
	c, err := r.startChannel()
	if err != nil {
		return nil, err
	}
	entry := func(e *engine, health string, born int64) host {
		return host{e.name, e.address, "predio-a", "c12", 0, health, 1, born}
	}
	var engines []*engine
	add := func() (*engine, error) {
		e, err := r.startEngine(fmt.Sprintf("s-%d", len(engines)+1))
		engines = append(engines, e)
		return e, err
	}
	var hosts []host
	for range 10 {
		e, err := add()
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, entry(e, "in_service", 0))
	}
	c.publish(true, hosts...)
	listen := freeAddress()
	p, err := r.platformController("n1", listen, c, 192, 1024, portoSettings)
	if err != nil {
		return nil, err
	}
	if err := p.startProcess(); err != nil {
		return nil, err
	}
	if err := r.waitFor("the controller is ready", 20*time.Second, func() bool { return r.ready(listen) }); err != nil {
		return nil, err
	}
	end := time.Now().Add(stalls*stallPeriod + 2*time.Second)
	var clients sync.WaitGroup
	for i := range portoClients {
		client, err := r.dialClient(fmt.Sprintf("client-%d", i+1), listen)
		if err != nil {
			return nil, err
		}
		clients.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / portoRate)
			for n := 0; time.Now().Before(end); n++ {
				client.send(job{id: jobID(i*100000 + n), class: "lookup", allow: 7500 * time.Millisecond, effort: 280 * time.Millisecond,
					needMB: 40, statement: fmt.Sprintf("select a from houses_%d.b /* ms=280 */", (i*7+n)%11)})
				time.Sleep(portoClients * time.Second / portoRate)
			}
		})
	}
	time.Sleep(2 * time.Second)
	told := map[string]float64{} // by engine
	for k := range stalls {
		began := time.Now()
		if r.trouble {
			p.signal(syscall.SIGSTOP)
		}
		time.Sleep(drainInStall)
		drained := engines[k]
		told[drained.name] = r.seconds()
		c.publish(false, entry(drained, "terminating", 0))
		time.Sleep(time.Until(began.Add(stallLength)))
		if r.trouble {
			p.signal(syscall.SIGCONT)
		}
		next, err := add()
		if err != nil {
			return nil, err
		}
		c.publish(false, entry(next, "in_service", time.Now().UnixMilli()))
		time.Sleep(time.Until(began.Add(stallPeriod)))
	}
	clients.Wait()
	time.Sleep(time.Second)
	var broken []string
	for _, e := range engines {
		at, drains := told[e.name]
		for _, d := range e.received() {
			if drains && d.receivedAt > at+portoGrace {
				broken = append(broken, fmt.Sprintf("job %s came to %s at %.4f, %.3f s after the channel told that it drains", d.id, e.name, d.receivedAt, d.receivedAt-at))
			}
		}
	}
	return broken, nil
}
