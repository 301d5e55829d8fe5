// Package recovery is how a controller with a store comes back: it opens its files, replays them, waits for the endpoint
// list, and is ready. It has no I/O and reads no clock: times are seconds that never go back, passed with each call. A
// Tracker is used from one goroutine.
package recovery

import (
	"fmt"
	"strings"
)

// State is how far a controller is.
type State int

const (
	// Opening the files.
	Opening State = iota
	// Replaying what they hold.
	Replaying
	// Reconciling with the endpoint list.
	Reconciling
	// Ready to take requests.
	Ready
	// Disabled is that the store can't be used, and the controller goes on without, as its settings say.
	Disabled

	stateCount = int(Disabled) + 1
)

// stateWords are the words for operators.
var stateWords = [stateCount]string{"opening", "replaying", "reconciling", "ready", "without a store"}

// String is the word for operators.
func (s State) String() string { return stateWords[s] }

// Event is something that happened.
type Event int

const (
	// Opened is that the files are there and this process has them.
	Opened Event = iota
	// Replayed is that all records were read.
	Replayed
	// EndpointsListed is that endpoints are known; it may come at any time, and again.
	EndpointsListed
	// Failed is that the store can't be used.
	Failed
)

// Tracker follows one recovery through its states.
type Tracker struct {
	state           State
	stateSince      float64
	endpointsListed bool
	durations       [stateCount]float64 // seconds that each state lasted, once it is over
}

// New begins one.
func New(now float64) *Tracker { return &Tracker{stateSince: now} }

// State is how far it is.
func (t *Tracker) State() State { return t.state }

// Ready reports whether the recovery is over.
func (t *Tracker) Ready() bool { return t.state >= Ready }

// Handle takes an event, and reports whether requests may be taken from now on. What does not belong to the state changes
// nothing.
func (t *Tracker) Handle(now float64, event Event) (ready bool) {
	if event == EndpointsListed {
		t.endpointsListed = true
	}
	for { // an event may lead through several states
		next := t.next(event)
		if next == t.state {
			return t.Ready() && (t.endpointsListed || t.state == Ready)
		}
		t.durations[t.state] = now - t.stateSince
		t.state, t.stateSince = next, now
	}
}

// next is the state after an event, which may be the same one.
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

// Durations reports how long each state lasted, in seconds, as far as they are over.
func (t *Tracker) Durations() string {
	var parts []string
	for state := Opening; state < min(t.state, Ready); state++ {
		parts = append(parts, fmt.Sprintf("%v %.3f s", state, t.durations[state]))
	}
	return strings.Join(parts, ", ")
}
