//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["order"] = runOrder }

// gulfSettings are the settings of one controller of the site gulf-sleeve-pack, with the figures of its brief.
const gulfSettings = `{"group-size":2,"index":0,"zone":0,"areas":["east-wing","west-wing"],"host-types":["model-a"],
"allowed":{"cancel":true,"conn-idle":15,"connect-timeout":0.25,"streams-per-conn":32,"try-limit":6,"max-open":20000,
 "max-retry-after":2,"may-duplicate":false,"peers":false,"probing":true,"retry-after":true},
"classes":[
 {"name":"run-lookup","repeat":"pure","objective":0.25,"aim-stretch":2,"give-up":1.2,"worth":1,"late-value":0.3},
 {"name":"cost-report","repeat":"pure","objective":3,"aim-stretch":2.5,"give-up":20,"worth":20,"late-value":0.3},
 {"name":"press-load","repeat":"token","group":"all","window":12,"fifo-by-key":true,"objective":3,"aim-stretch":2.5,"give-up":20,"worth":30,"late-value":0.3}],
"clients":{"marks-retry":false},
"contract":{"stop-sending-within":0.25,"cold":15,"cold-from":0.35,"fall":1,"fall-multiple":2.5,"grace-to-answer":0.02,"turn-gap":1},
"family-info":{"dop":[1,4,2],"grants":true,"kind-cores":[8],"ram-of-kind-mb":[16384],"largest-share":0.4,"on-shortage":"wait",
 "says-cost":true,"takes-priority":false,"writes-tables":[false,false,true],"yields-to-loads":[true,false,false]},
"membership-mode":"pushed","report":{"fields":["cpu_share","pending","x0"],"how":"on_probe"},"tick":0.005,"weights":"off"}`

// runOrder sends pairs of loads with the same key on one connection. With trouble, the client sends both commands at once;
// without it, the second follows 20 ms after the first. Loads with the same key have to be dispatched in the order in which the
// client sent them, each after the end of the one before.
func runOrder(r *run) ([]string, error) {
	c, err := r.startChannel()
	if err != nil {
		return nil, err
	}
	var engines []*engine
	var hosts []host
	var mu sync.Mutex
	data := map[string]string{} // what a load has left under its key
	for i := range 3 {
		e, err := r.startEngine(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		e.rows = func(d *dispatch) string {
			var key, turn int
			_, _ = fmt.Sscanf(d.statement, "load press_%d.records turn %d", &key, &turn)
			mu.Lock()
			defer mu.Unlock()
			data[fmt.Sprint("press-", key)] = d.id
			return fmt.Sprintf("press-%d\tturn %d\t%s\n", key, turn, d.id)
		}
		engines = append(engines, e)
		hosts = append(hosts, host{e.name, e.address, "east-wing", "model-a", 0, "in_service", 1, 0})
	}
	c.publish(true, hosts...)
	listen := freeAddress()
	p, err := r.platformController("n1", listen, c, 192, 1024, gulfSettings)
	if err != nil {
		return nil, err
	}
	if err := p.startProcess(); err != nil {
		return nil, err
	}
	if err := r.waitFor("the controller is ready", 20*time.Second, func() bool { return r.ready(listen) }); err != nil {
		return nil, err
	}
	const keys, perKey = 12, 2
	var broken []string
	client, err := r.dialClient("client", listen)
	if err != nil {
		return nil, err
	}
	n := 0
	for key := range keys {
		var batch []job
		for turn := range perKey {
			n++
			batch = append(batch, job{
				id:        jobID(n),
				class:     "press-load",
				allow:     20 * time.Second,
				effort:    150 * time.Millisecond,
				needMB:    64,
				statement: fmt.Sprintf("load press_%d.records turn %d /* ms=100 */", key, turn),
				fields:    map[string]string{"lookup": fmt.Sprintf("press-%d", key), "replay": fmt.Sprintf("mark-%d-%d", key, turn)},
			})
		}
		var calls []*call
		if r.trouble {
			calls = client.send(batch...)
		} else {
			for _, j := range batch {
				calls = append(calls, client.send(j)...)
				time.Sleep(20 * time.Millisecond)
			}
		}
		for _, k := range calls {
			if _, ok := k.wait(21 * time.Second); !ok {
				broken = append(broken, fmt.Sprintf("job %s has no answer", k.id))
			}
		}
		broken = append(broken, outOfOrder(engines, batch)...)
		mu.Lock()
		if last, want := data[batch[0].fields["lookup"]], batch[perKey-1].id; last != want {
			broken = append(broken, fmt.Sprintf("%s holds the records of job %s; those of %s, which the client sent last, are overwritten",
				batch[0].fields["lookup"], last, want))
		}
		mu.Unlock()
	}
	return broken, nil
}

// outOfOrder returns how the loads of one key broke the rule on order: a load came to an engine before an earlier one was over.
func outOfOrder(engines []*engine, batch []job) (broken []string) {
	first := func(id string) (at, end float64) {
		for _, e := range engines {
			for _, d := range e.dispatchesOf(id) {
				if at == 0 || d.receivedAt < at {
					at = d.receivedAt
				}
				end = max(end, d.endedAt)
			}
		}
		return at, end
	}
	for i := 1; i < len(batch); i++ {
		at, _ := first(batch[i].id)
		before, end := first(batch[i-1].id)
		if at > 0 && (before == 0 || at < end) {
			broken = append(broken, fmt.Sprintf("job %s, taken after %s with the same key, was dispatched at %.4f; the earlier one ran from %.4f to %.4f",
				batch[i].id, batch[i-1].id, at, before, end))
		}
	}
	return broken
}
