package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// engineUsage is the memory granted to attempts in progress at all engines, by the engines' own events, and its maximum.
type engineUsage struct {
	running      map[string]runningAttempt // by engine and request
	received     map[string]int            // attempts received, by request
	maxInUse     float64                   // MB
	runningAtMax []runningAttempt          // attempts in progress at the maximum
	maxAt        float64                   // time of the maximum, Unix seconds
	duplicates   int                       // attempts received by an engine that already ran one of the same request
}

// runningAttempt is an attempt in progress at an engine.
type runningAttempt struct {
	engine, request string
	number          int     // of the attempt within its request, from 1
	grant           float64 // MB
	since           float64 // Unix seconds
}

func newEngineUsage() engineUsage {
	return engineUsage{running: map[string]runningAttempt{}, received: map[string]int{}}
}

// observe updates the usage by an engine's event.
func (u *engineUsage) observe(event fakeengine.Event) {
	key := event.Engine + " " + event.RequestID
	if event.Kind != fakeengine.AttemptReceived {
		delete(u.running, key)
		return
	}
	if _, there := u.running[key]; there {
		u.duplicates++
	}
	u.received[event.RequestID]++
	u.running[key] = runningAttempt{event.Engine, event.RequestID, u.received[event.RequestID], event.Grant, event.At}
	if sum := u.inUse(); sum > u.maxInUse {
		u.maxInUse, u.maxAt = sum, event.At
		u.runningAtMax = slices.Collect(maps.Values(u.running))
	}
}

// inUse is the sum of the grants of all attempts in progress, in MB.
func (u *engineUsage) inUse() (sum float64) {
	for _, attempt := range u.running {
		sum += attempt.grant
	}
	return sum
}

// describeMax lists the attempts that were in progress at the maximum, the oldest first.
func (u *engineUsage) describeMax() string {
	slices.SortFunc(u.runningAtMax, func(x, y runningAttempt) int { return cmp.Compare(x.since, y.since) })
	var lines []string
	for _, a := range u.runningAtMax {
		lines = append(lines, fmt.Sprintf("%s at %s: attempt %d, %.0f MB, for %.3f s", a.request, a.engine, a.number, a.grant, u.maxAt-a.since))
	}
	return strings.Join(lines, "\n")
}
