//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota"] = runQuota }

// runQuota: a controller stands still for longer than lease and linger with its team's queue full; others get its quota.
func runQuota(r *run) ([]string, error) {
	var engines []*engine
	var entries []listed
	for i := range 3 {
		e, err := r.startEngine(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		entries = append(entries, listed{e, "in_service"})
	}
	file := filepath.Join(r.folder, "engines.jsonc")
	if err := r.writeList(file, 1, "east", "std", entries...); err != nil {
		return nil, err
	}
	const total = 20000
	deployment := `{"gateways": 3, "zones": ["east"], "kinds": [{"name": "std", "cores": 16, "memory_mb": 32768}],
    "types": [{"name": "report", "repeat": "restartable", "job_timeout": 60, "sla": 55, "threads": 1}],
    "engines": {"report": ["busy_reqs", "x0"]}}`
	members, err := r.startFleet(deployment, file, fmt.Sprintf(`"requests": {"team": "team"},
  "teams": {"default": "analysts", "budgets": [{"name": "analysts", "scope": "fleet", "most_mb": %d}]},`, total))
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(75 * time.Second)
	var group sync.WaitGroup
	loadOn := func(m *member, who, base int, from time.Time) {
		for c := range 6 {
			group.Go(func() {
				time.Sleep(time.Until(from))
				client, err := r.dialClient(fmt.Sprintf("c-%d-%d", who, c), m.listen)
				if err != nil {
					return
				}
				for n := 0; time.Now().Before(end); n++ {
					client.mu.Lock()
					open := len(client.open)
					client.mu.Unlock()
					if open < 12 {
						client.send(job{id: jobID(base + c*10000 + n), class: "report", allow: 60 * time.Second, effort: time.Second, needMB: 1000,
							statement: "select /* ms=1000 */"})
					}
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	loadOn(members[0], 1, 1000000, time.Now())
	loadOn(members[1], 2, 2000000, time.Now().Add(12*time.Second))
	time.Sleep(10 * time.Second)
	for range 4 {
		if r.trouble {
			members[0].signal(syscall.SIGSTOP)
		}
		time.Sleep(11 * time.Second)
		if r.trouble {
			members[0].signal(syscall.SIGCONT)
		}
		time.Sleep(3 * time.Second)
	}
	group.Wait()
	// Sum of the grants in force at the engines.
	type change struct{ at, mb float64 }
	var changes []change
	for _, e := range engines {
		for _, d := range e.received() {
			mb := numberIn(d.fields, "reserve")
			changes = append(changes, change{d.receivedAt, mb})
			if d.endedAt > 0 {
				changes = append(changes, change{d.endedAt, -mb})
			}
		}
	}
	sort.Slice(changes, func(i, k int) bool { return changes[i].at < changes[k].at })
	sum, most, mostAt := 0.0, 0.0, 0.0
	var broken []string
	over := 0.0
	for i, c := range changes {
		sum += c.mb
		if sum > most {
			most, mostAt = sum, c.at
		}
		if sum > total && i+1 < len(changes) {
			over += changes[i+1].at - c.at
		}
	}
	r.note("seen", "most %.0f MB at %.3f, total %d; over for %.3f s", most, mostAt, total, over)
	if most > total {
		broken = append(broken, fmt.Sprintf("%.0f MB of the team's %d are granted at %.3f", most, total, mostAt))
	}
	return broken, nil
}
