package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// engineUsage is the memory in use at all engines, by their own word, and what was in use when it was most.
type engineUsage struct {
	running map[string]runningAttempt // by engine and request
	asked   map[string]int            // attempts of each request that have arrived
	most    float64                   // MB in use at once
	atMost  []runningAttempt
	mostAt  float64 // Unix seconds
	twice   int     // attempts that came to an engine which had one of the request
}

// runningAttempt is an attempt that an engine has in progress.
type runningAttempt struct {
	engine, request string
	number          int // of the request's attempts, from 1
	grant           float64
	since           float64 // Unix seconds
}

func newEngineUsage() engineUsage {
	return engineUsage{running: map[string]runningAttempt{}, asked: map[string]int{}}
}

// observe takes an event of an engine.
func (u *engineUsage) observe(event fakeengine.Event) {
	key := event.Engine + " " + event.RequestID
	if event.Kind != fakeengine.AttemptReceived {
		delete(u.running, key)
		return
	}
	if _, there := u.running[key]; there {
		u.twice++
	}
	u.asked[event.RequestID]++
	u.running[key] = runningAttempt{event.Engine, event.RequestID, u.asked[event.RequestID], event.Grant, event.At}
	if sum := u.inUse(); sum > u.most {
		u.most, u.mostAt = sum, event.At
		u.atMost = slices.Collect(maps.Values(u.running))
	}
}

// inUse is the sum of the grants of all attempts in progress, in MB.
func (u *engineUsage) inUse() (sum float64) {
	for _, attempt := range u.running {
		sum += attempt.grant
	}
	return sum
}

// describeMost lists the attempts that were in progress when most was in use, the oldest first.
func (u *engineUsage) describeMost() string {
	slices.SortFunc(u.atMost, func(x, y runningAttempt) int { return cmp.Compare(x.since, y.since) })
	var lines []string
	for _, a := range u.atMost {
		lines = append(lines, fmt.Sprintf("%s at %s: attempt %d, %.0f MB, for %.3f s", a.request, a.engine, a.number, a.grant, u.mostAt-a.since))
	}
	return strings.Join(lines, "\n")
}
