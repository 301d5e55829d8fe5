// Package recovery is how a controller with a store comes back: it opens its files, replays them, waits for the list of
// engines, and is ready. It has no I/O and reads no clock: times are seconds that never go back, told with each call.
package recovery

import (
	"fmt"
	"strings"
)

// State is how far a controller is.
type State int

const (
	Opening     State = iota // the files
	Replaying                // what they hold
	Reconciling              // with the list of engines
	Ready
	Disabled // the store can't be used: the controller goes on without, by its settings' choice
)

// String is the word for operators.
func (s State) String() string {
	return [...]string{"opening", "replaying", "reconciling", "ready", "without a store"}[s]
}

// Event is something that happened.
type Event int

const (
	Opened          Event = iota // the files are there and this process has them
	Replayed                     // all records were read
	EndpointsListed              // engines are known; may come at any time, and again
	Failed                       // the store can't be used
)

// Tracker is one coming back.
type Tracker struct {
	state      State
	stateSince float64
	listed     bool
	durations  [Disabled + 1]float64
}

// New begins one.
func New(now float64) *Tracker { return &Tracker{stateSince: now} }

// State is how far it is.
func (r *Tracker) State() State { return r.state }

// Ready tells whether jobs may be taken.
func (r *Tracker) Ready() bool { return r.state >= Ready }

// Handle takes an event, and tells whether jobs may be taken from now on. What does not belong to the state changes nothing.
func (r *Tracker) Handle(now float64, e Event) (ready bool) {
	if e == EndpointsListed {
		r.listed = true
	}
	for { // an event may lead through several states
		next := r.state
		switch {
		case e == Failed && r.state < Ready:
			next = Disabled
		case r.state == Opening && e == Opened:
			next = Replaying
		case r.state == Replaying && e == Replayed:
			next = Reconciling
		case r.state == Reconciling && r.listed:
			next = Ready
		}
		if next == r.state {
			return r.Ready() && (r.listed || r.state == Ready)
		}
		r.durations[r.state] = now - r.stateSince
		r.state, r.stateSince = next, now
	}
}

// Durations tells how long each state lasted, in seconds, as far as they are over.
func (r *Tracker) Durations() string {
	var parts []string
	for s := Opening; s < min(r.state, Ready); s++ {
		parts = append(parts, fmt.Sprintf("%v %.3f s", s, r.durations[s]))
	}
	return strings.Join(parts, ", ")
}
