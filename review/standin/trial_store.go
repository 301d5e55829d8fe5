//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["join"], cases["past"] = runJoin, runPastOrder }

// storeController starts a controller with a store.
func (r *run) storeController(engines []*engine) (p *process, listen string, err error) {
	var entries []listed
	for _, e := range engines {
		entries = append(entries, listed{e, "in_service"})
	}
	file := filepath.Join(r.folder, "engines.jsonc")
	if err := r.writeList(file, 1, "east", "std", entries...); err != nil {
		return nil, "", err
	}
	listen = freeAddress()
	settings := filepath.Join(r.folder, "gateway-1.jsonc")
	text := fmt.Sprintf(`{"name": "gateway-1", "listen": %q, "deployment": %s, "engines": {"file": %q},
  "requests": {"retry": "key", "first": "first", "key": "order"}, "store": {"folder": %q, "window": 120}}`,
		listen, trialDeployment, file, filepath.Join(r.folder, "store"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	p = r.program("gateway-1", "COPPERROCK_SETTINGS="+settings)
	if err := p.startProcess(); err != nil {
		return nil, "", err
	}
	return p, listen, r.waitFor("ready", 20*time.Second, func() bool { return r.ready(listen) })
}

// runJoin: a client repeats a run-once job on a new connection, then its old connection ends.
func runJoin(r *run) ([]string, error) {
	e, err := r.startEngine("s-1")
	if err != nil {
		return nil, err
	}
	_, listen, err := r.storeController([]*engine{e})
	if err != nil {
		return nil, err
	}
	var broken []string
	for n := range 5 {
		a, err := r.dialClient("old", listen)
		if err != nil {
			return nil, err
		}
		b, err := r.dialClient("new", listen)
		if err != nil {
			return nil, err
		}
		j := job{id: jobID(10 * n), class: "load", allow: 30 * time.Second, effort: 3 * time.Second, needMB: 50,
			statement: "load runs_1.a /* ms=3000 */", fields: map[string]string{"key": fmt.Sprint("k", n), "first": "1"}}
		a.send(j)
		time.Sleep(500 * time.Millisecond)
		j.id, j.fields = jobID(10*n+1), map[string]string{"key": fmt.Sprint("k", n)}
		k := b.send(j)[0]
		time.Sleep(200 * time.Millisecond)
		if r.trouble {
			a.peer.Close()
		}
		end, _ := k.wait(10 * time.Second)
		if end.word == "Rejected" && len(e.dispatchesOf(jobID(10*n))) > 0 {
			broken = append(broken, fmt.Sprintf("the repeat of a run-once job, which has been dispatched, is answered %s %s", end.word, end.text))
		}
		j.id = jobID(10*n + 2)
		again, _ := b.send(j)[0].wait(10 * time.Second)
		r.note("seen", "a further repeat is answered %s %s", again.word, again.text)
	}
	return broken, nil
}

// runPastOrder: a keyed job in order is repeated after a reset, while a later one with its key is in flight.
func runPastOrder(r *run) ([]string, error) {
	var engines []*engine
	for i := range 2 {
		e, err := r.startEngine(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	p, listen, err := r.storeController(engines)
	if err != nil {
		return nil, err
	}
	c, err := r.dialClient("client", listen)
	if err != nil {
		return nil, err
	}
	mk := func(id int, key string, ms int) job {
		return job{id: jobID(id), class: "press", allow: 18 * time.Second, effort: time.Second, needMB: 50,
			statement: fmt.Sprintf("load runs_1.%s /* ms=%d */", key, ms), fields: map[string]string{"key": key, "replay": key, "order": "press-1"}}
	}
	c.send(mk(1, "a", 2000))
	time.Sleep(time.Second)
	if r.trouble {
		p.kill()
		if err := p.startProcess(); err != nil {
			return nil, err
		}
		if err := r.waitFor("ready", 20*time.Second, func() bool { return r.ready(listen) }); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if c, err = r.dialClient("client", listen); err != nil {
		return nil, err
	}
	later := c.send(mk(2, "b", 3000))[0]
	time.Sleep(500 * time.Millisecond)
	again := c.send(mk(3, "a", 500))[0]
	later.wait(20 * time.Second)
	again.wait(20 * time.Second)
	return outOfOrder(engines, []job{mk(2, "b", 0), mk(3, "a", 0)}), nil
}
