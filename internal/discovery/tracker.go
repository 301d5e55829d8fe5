package discovery

import (
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Content is the result of reading the file: its text, or the problem that prevented the read.
type Content struct {
	Text    []byte
	Problem string // "" if Text is the complete file
}

// fingerprint returns a string that identifies the content, to detect changes.
func (c Content) fingerprint() string {
	if c.Problem != "" {
		return c.Problem
	}
	return fmt.Sprintf("%016x %d", xxhash.Sum64(c.Text), len(c.Text))
}

// Verdict is the tracker's decision on a version.
type Verdict int

// The verdicts on a version.
const (
	NoChange Verdict = iota
	Apply            // the list becomes the current one
	Reject           // the current list remains in effect, for the reason given
	HoldDown         // the list waits for the operator's confirmation or the end of the hold-down
)

// Decision is a verdict, the list that it is about, and the reason.
type Decision struct {
	Verdict    Verdict
	List       List
	Difference Difference // from the current list to List; set with Apply and HoldDown
	Reason     error      // set with Reject and HoldDown, and with Apply at the end of a hold-down
}

// Tracker decides which version of a file becomes the current list. The caller reports that the file may have changed
// (FileChanged) and what a read of it returned (Observe), and calls Tick at the time that NextTick returns. Each version is
// decided on once; apart from the end of a hold-down, nothing is scheduled for it afterwards. Times are in seconds on a
// monotonic clock. A Tracker must be used from one goroutine.
//
// Its invariants:
//
//	K1: the current list is always one complete version that was parsed and validated, and its generation only increases.
//	K2: a version is decided on only after it has not changed for SettleTime and two reads have returned the same content.
//	K3: each version is applied, held down or rejected once, until a different one is seen.
type Tracker struct {
	File               string // path of the file, with which errors begin
	Bounds             Bounds
	SettleTime         float64 // seconds without a change before a version is decided on
	UnsettledWarning   float64 // seconds after which a file that does not settle is reported
	MaxRemovedFraction float64 // fraction of the available endpoints that an unconfirmed version may remove
	HoldDownTime       float64 // seconds after which a list that is held down is applied; 0 for never

	current            List
	hasCurrent         bool
	decidedFingerprint string // of the version that was decided on last

	changing        bool    // the file has changed and no version has settled since
	changingSince   float64 // time at which changing became true
	lastChange      float64 // time of the latest change
	warned          bool    // whether it was reported that the file does not settle
	lastFingerprint string  // of the previous read; "" if there was none since the latest change
	lastReadAt      float64 // time of the previous read

	heldDown      *List // nil if none
	heldDownUntil float64
}

// Restore sets the list that was current when the process last ran.
func (t *Tracker) Restore(l List) { t.current, t.hasCurrent = l, true }

// Current returns the current list, and whether there is one yet.
func (t *Tracker) Current() (List, bool) { return t.current, t.hasCurrent }

// FileChanged tells the tracker that the file may have changed.
func (t *Tracker) FileChanged(now float64) {
	if !t.changing {
		t.changing, t.changingSince, t.warned = true, now, false
	}
	t.lastChange, t.lastFingerprint = now, ""
}

// NextTick returns the time at which Tick must be called, +Inf for never.
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

// nextRead returns the time at which the file must be read: halfway through the settle time, and at its end.
func (t *Tracker) nextRead() float64 {
	if t.lastFingerprint == "" {
		return t.lastChange + t.SettleTime/2
	}
	return max(t.lastChange+t.SettleTime, t.lastReadAt+t.SettleTime/2)
}

// Tick does what is due at the given time. If read is true, the caller must read the file and call Observe.
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

// Observe tells the tracker what a read of the file returned, and returns the decision that follows.
func (t *Tracker) Observe(now float64, c Content) Decision {
	fingerprint := c.fingerprint()
	if fingerprint == t.decidedFingerprint && (!t.changing || now >= t.lastChange+t.SettleTime) { // unchanged
		t.changing = false
		t.lastFingerprint = ""
		return Decision{}
	}
	if !t.changing { // changed without a notification
		t.FileChanged(now)
		t.lastFingerprint, t.lastReadAt = fingerprint, now
		return Decision{}
	}
	if fingerprint != t.lastFingerprint {
		if t.lastFingerprint != "" { // changed between two reads
			t.lastChange = now
		}
		t.lastFingerprint, t.lastReadAt = fingerprint, now
		return Decision{}
	}
	if now < t.lastChange+t.SettleTime {
		return Decision{}
	}
	t.changing, t.lastFingerprint, t.decidedFingerprint, t.heldDown = false, "", fingerprint, nil
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
		return t.decideStale(l)
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

// decideStale decides on a version whose generation is not higher than that of the current list.
func (t *Tracker) decideStale(l List) Decision {
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

// massRemoval returns the reason why a list needs the operator's confirmation, or nil: the list is empty or removes more than
// MaxRemovedFraction of the available endpoints. An endpoint whose address changes is a different process, so the old one
// counts as removed.
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
