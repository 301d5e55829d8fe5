//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["scheduled"] = runScheduled }

const (
	markWindow     = 12.0 // seconds for which the engines remember a mark
	scheduledEvery = 20   // seconds between two occurrences of the load
	watchedFor     = 45 * time.Second
)

// runScheduled has a fleet run a scheduled load of a keyed type. The load spills and takes 8.5 s instead of 2.5 s. With trouble,
// the connection of its first dispatch is reset when the load has run, before its answer.
func runScheduled(r *run) ([]string, error) {
	var mu sync.Mutex
	firstSent := map[string]float64{} // by mark
	applied := map[string]int{}
	troubled := ""
	var engines []*engine
	var entries []listed
	for i := range 3 {
		e, err := r.startEngine(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return nil, err
		}
		// All engines drop a repeat of a mark within the window; a scheduled load is marked by its id.
		e.runMillis = func(d *dispatch) float64 {
			mu.Lock()
			defer mu.Unlock()
			if at, known := firstSent[d.id]; known && d.receivedAt-at <= markWindow {
				r.note(e.name, "job %s is a repeat, dropped: first sent %.3f s ago", d.id, d.receivedAt-at)
				return 1
			}
			if _, known := firstSent[d.id]; !known {
				firstSent[d.id] = d.receivedAt
				if troubled == "" && r.trouble {
					troubled = d.id
				}
			}
			return 8500
		}
		e.resets = func(d *dispatch) bool {
			mu.Lock()
			defer mu.Unlock()
			if d.receivedAt == firstSent[d.id] || d.receivedAt-firstSent[d.id] > markWindow {
				applied[d.id]++
				r.note(e.name, "job %s has been applied, for the %d. time", d.id, applied[d.id])
			}
			return d.id == troubled && d.receivedAt == firstSent[d.id]
		}
		engines = append(engines, e)
		entries = append(entries, listed{e, "in_service"})
	}
	file := filepath.Join(r.folder, "engines.jsonc")
	if err := r.writeList(file, 1, "east-wing", "model-a", entries...); err != nil {
		return nil, err
	}
	members, err := r.startFleet(gulfDeployment, file, fmt.Sprintf(`"duties": {"jobs": [
   {"name": "night-records", "schedule": "@every %ds", "type": "press-load", "statement": "load press_7.records", "work": 5, "memory_mb": 64}]},`, scheduledEvery))
	if err != nil {
		return nil, err
	}
	time.Sleep(watchedFor)
	for _, m := range members {
		for _, line := range m.log("scheduled run") {
			r.note(m.name, "logs %s", line)
		}
		if err := r.operator("duties", "history", "night-records", "--settings", m.settings); err != nil {
			return nil, err
		}
		break
	}
	var broken []string
	sent := 0
	for _, e := range engines {
		for _, d := range e.received() {
			sent++
			if age := d.receivedAt - firstSent[d.id]; age > markWindow {
				broken = append(broken, fmt.Sprintf("keyed job %s was sent again to %s, %.3f s after its first dispatch, which had run; its mark is remembered for %.0f s; it has been applied %d times",
					d.id, e.name, age, markWindow, applied[d.id]))
			}
		}
	}
	if sent == 0 {
		return nil, fmt.Errorf("no scheduled load was sent")
	}
	return broken, nil
}
