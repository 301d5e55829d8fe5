package discovery

import (
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Content is what a read of the file found: its text, or what kept it from being read.
type Content struct {
	Text    []byte
	Problem string // "" where the text is the complete file
}

// fingerprint tells contents apart.
func (c Content) fingerprint() string {
	if c.Problem != "" {
		return c.Problem
	}
	return fmt.Sprintf("%016x %d", xxhash.Sum64(c.Text), len(c.Text))
}

// Verdict is what the tracker decides on a version.
type Verdict int

// The verdicts on a version.
const (
	NoChange Verdict = iota
	Apply            // the list is the current one from now on
	Reject           // the current list stays, for the reason given
	HoldDown         // the list waits for the operator's confirmation, or for the end of the hold-down
)

// Decision is a verdict with what it is about.
type Decision struct {
	Verdict    Verdict
	List       List
	Difference Difference // from the current list, with Apply and HoldDown
	Reason     error      // with Reject and HoldDown, and with Apply at the end of a hold-down
}

// Tracker decides which version of a file is the current list. The caller reports that the file may have changed
// (FileChanged) and what a read of it found (Observe), and calls Tick at the time that NextTick names. Each version is
// decided on once; then the tracker has no more timers for it. Times are seconds on a clock that never goes back. A
// Tracker is used from one goroutine.
//
// Its invariants:
//
//	K1: the current list is always one complete version that was parsed and validated; its generation rises.
//	K2: a version is decided on only when it has not changed for SettleTime and two reads agree.
//	K3: each version is applied, held down or rejected once, until another one is seen.
type Tracker struct {
	File               string // as errors name it
	Bounds             Bounds
	SettleTime         float64 // seconds without a change before a version counts
	UnsettledWarning   float64 // seconds of change after which that is reported
	MaxRemovedFraction float64 // part of the available endpoints that may go at once
	HoldDownTime       float64 // seconds after which a list that is held down is applied, 0 for never

	current    List
	hasCurrent bool
	decided    string // fingerprint of the version that was decided on last

	changing        bool // since changingSince, until a version settles
	changingSince   float64
	lastChange      float64
	warned          bool    // that it does not settle
	lastFingerprint string  // of the read before, "" for none since the latest change
	lastReadAt      float64 // time of that read

	heldDown      *List // nil for none
	heldDownUntil float64
}

// Restore sets the list that was current when the process ran last.
func (t *Tracker) Restore(l List) { t.current, t.hasCurrent = l, true }

// Current is the list in force; false where there is none yet.
func (t *Tracker) Current() (List, bool) { return t.current, t.hasCurrent }

// FileChanged reports that the file may have changed.
func (t *Tracker) FileChanged(now float64) {
	if !t.changing {
		t.changing, t.changingSince, t.warned = true, now, false
	}
	t.lastChange, t.lastFingerprint = now, ""
}

// NextTick is when Tick is to be called, infinity for never.
func (t *Tracker) NextTick() float64 {
	next := math.Inf(1)
	if t.changing {
		next = t.nextRead()
		if !t.warned {
			next = min(next, t.changingSince+t.UnsettledWarning)
		}
	}
	if t.heldDown != nil {
		next = min(next, t.heldDownUntil)
	}
	return next
}

// nextRead is when the file is to be read: half-way through the settle time, and at its end.
func (t *Tracker) nextRead() float64 {
	if t.lastFingerprint == "" {
		return t.lastChange + t.SettleTime/2
	}
	return max(t.lastChange+t.SettleTime, t.lastReadAt+t.SettleTime/2)
}

// Tick does what is due. Where read is true the file is to be read and Observe called.
func (t *Tracker) Tick(now float64) (read bool, d Decision) {
	switch {
	case t.changing && now >= t.nextRead():
		return true, Decision{}
	case t.changing && !t.warned && now >= t.changingSince+t.UnsettledWarning:
		t.warned = true
		return false, reject(fmt.Errorf("%s: has not stood still for %.3g s in the last %.3g s",
			t.File, t.SettleTime, t.UnsettledWarning))
	case t.heldDown != nil && now >= t.heldDownUntil:
		reason := fmt.Errorf("%s: stood unconfirmed for %.3g s", t.File, t.HoldDownTime)
		return false, t.apply(*t.heldDown, reason)
	}
	return false, Decision{}
}

// Observe reports what a read of the file found.
func (t *Tracker) Observe(now float64, c Content) Decision {
	fingerprint := c.fingerprint()
	if fingerprint == t.decided && (!t.changing || now >= t.lastChange+t.SettleTime) { // it is as it was
		t.changing = false
		t.lastFingerprint = ""
		return Decision{}
	}
	if !t.changing { // without a notification
		t.FileChanged(now)
		t.lastFingerprint, t.lastReadAt = fingerprint, now
		return Decision{}
	}
	if fingerprint != t.lastFingerprint {
		if t.lastFingerprint != "" { // it has changed between the reads
			t.lastChange = now
		}
		t.lastFingerprint, t.lastReadAt = fingerprint, now
		return Decision{}
	}
	if now < t.lastChange+t.SettleTime {
		return Decision{}
	}
	t.changing, t.lastFingerprint, t.decided, t.heldDown = false, "", fingerprint, nil
	return t.decide(now, c)
}

// decide decides on a version that has settled.
func (t *Tracker) decide(now float64, c Content) Decision {
	if c.Problem != "" {
		return reject(fmt.Errorf("%s: %s", t.File, c.Problem))
	}
	l, err := Parse(t.File, c.Text, t.Bounds)
	if err != nil {
		return reject(err)
	}
	if t.hasCurrent && l.Generation <= t.current.Generation {
		return t.decideOld(l)
	}
	if reason := t.massRemoval(l); reason != nil && !l.Confirmed {
		t.heldDown, t.heldDownUntil = &l, math.Inf(1)
		if t.HoldDownTime > 0 {
			t.heldDownUntil = now + t.HoldDownTime
		}
		return Decision{Verdict: HoldDown, List: l, Difference: Diff(t.current, l), Reason: reason}
	}
	return t.apply(l, nil)
}

// decideOld decides on a version whose generation is not higher than the current one.
func (t *Tracker) decideOld(l List) Decision {
	switch {
	case l.Generation < t.current.Generation:
		return reject(fmt.Errorf("%s: generation: %d is lower than %d, which holds", t.File, l.Generation, t.current.Generation))
	case l.SameEndpoints(t.current):
		return Decision{}
	}
	return reject(fmt.Errorf("%s: generation: %d holds already, with other engines", t.File, l.Generation))
}

func reject(reason error) Decision { return Decision{Verdict: Reject, Reason: reason} }

func (t *Tracker) apply(l List, reason error) Decision {
	d := Decision{Verdict: Apply, List: l, Difference: Diff(t.current, l), Reason: reason}
	t.current, t.hasCurrent, t.heldDown = l, true, nil
	return d
}

// massRemoval tells why a list needs the operator's confirmation: it has no endpoint, or removes more than
// MaxRemovedFraction of the available ones. One that moves to another address is another process, so it counts as removed.
func (t *Tracker) massRemoval(l List) error {
	if len(l.Endpoints) == 0 {
		return errors.New(t.File + ": names no engine")
	}
	available, removed := 0, 0
	for _, before := range t.current.Endpoints {
		if !before.Available() {
			continue
		}
		available++
		after, listed := l.Lookup(before.Name)
		if !listed || !after.Available() || after.Address != before.Address {
			removed++
		}
	}
	if float64(removed) > t.MaxRemovedFraction*float64(available) {
		return fmt.Errorf("%s: takes %d of %d engines away", t.File, removed, available)
	}
	return nil
}
