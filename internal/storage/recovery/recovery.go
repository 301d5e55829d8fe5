// Package recovery tracks how a controller with a store becomes ready: it opens the store's files, replays them and waits for
// the endpoint list. The package does no I/O and reads no clock: times are in seconds, never go back, and are passed with
// each call. A Tracker is used from one goroutine.
package recovery

import (
	"fmt"
	"strings"
)

// State is a stage of the recovery.
type State int

const (
	// Opening means that the store's files are being opened.
	Opening State = iota
	// Replaying means that the records of the store are being read.
	Replaying
	// Reconciling means that the controller waits for the endpoint list.
	Reconciling
	// Ready means that the controller can take requests.
	Ready
	// Disabled means that the store can't be used and the controller, as its settings allow, runs without it.
	Disabled

	stateCount = int(Disabled) + 1
)

// stateWords are the names of the states for operators.
var stateWords = [stateCount]string{"opening", "replaying", "reconciling", "ready", "without a store"}

// String returns the name of the state for operators.
func (s State) String() string { return stateWords[s] }

// Event is an event that may change the state.
type Event int

const (
	// Opened means that this process has opened and locked the files.
	Opened Event = iota
	// Replayed means that all records were read.
	Replayed
	// EndpointsListed means that the endpoints are known; it may come at any time and repeatedly.
	EndpointsListed
	// Failed means that the store can't be used.
	Failed
)

// Tracker tracks the state of one recovery.
type Tracker struct {
	state           State
	stateSince      float64
	endpointsListed bool
	durations       [stateCount]float64 // seconds spent in each state that is over
}

// New returns a Tracker in the state Opening.
func New(now float64) *Tracker { return &Tracker{stateSince: now} }

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Ready reports whether the recovery is over, with a store or without one.
func (t *Tracker) Ready() bool { return t.state >= Ready }

// Handle applies an event and reports whether requests may be taken now. Events that do not apply to the current state have
// no effect.
func (t *Tracker) Handle(now float64, event Event) (ready bool) {
	if event == EndpointsListed {
		t.endpointsListed = true
	}
	for { // one event may lead through several states
		next := t.next(event)
		if next == t.state {
			return t.Ready() && (t.endpointsListed || t.state == Ready)
		}
		t.durations[t.state] = now - t.stateSince
		t.state, t.stateSince = next, now
	}
}

// next returns the state after an event, which may be the current one.
func (t *Tracker) next(event Event) State {
	switch {
	case event == Failed && t.state < Ready:
		return Disabled
	case t.state == Opening && event == Opened:
		return Replaying
	case t.state == Replaying && event == Replayed:
		return Reconciling
	case t.state == Reconciling && t.endpointsListed:
		return Ready
	}
	return t.state
}

// Durations returns the time spent in each state that is over, in seconds, as text for operators.
func (t *Tracker) Durations() string {
	var parts []string
	for state := Opening; state < min(t.state, Ready); state++ {
		parts = append(parts, fmt.Sprintf("%v %.3f s", state, t.durations[state]))
	}
	return strings.Join(parts, ", ")
}
