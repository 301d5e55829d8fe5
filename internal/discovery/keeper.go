package discovery

import (
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Content is what a look at the file found: its text, or what kept it from being read.
type Content struct {
	Text    []byte
	Problem string // "" where the text is the whole file
}

// fingerprint tells contents apart.
func (c Content) fingerprint() string {
	if c.Problem != "" {
		return c.Problem
	}
	return fmt.Sprintf("%016x %d", xxhash.Sum64(c.Text), len(c.Text))
}

// Verdict is what the keeper decides on a version.
type Verdict int

const (
	NoChange Verdict = iota
	Apply            // the list holds from now on
	Reject           // what holds stays, for the reason given
	HoldDown         // the list waits for the operator, or for its time
)

// Decision is a verdict with what it is about.
type Decision struct {
	Verdict    Verdict
	List       List
	Difference Difference // from what held before, with Apply and Hold
	Reason     error      // with Refuse and Hold, and with Apply where a list held back got its time
}

// Tracker decides which version of a file holds. It is told when the file may have changed and what looks at it
// found; Next tells when Due is to be called. One that is done with a version says nothing more of it.
//
// K1: what holds is always one whole version that was parsed and checked, the generations of those applied rise.
// K2: a version is judged only when it has stood still for Still seconds and two looks agree.
// K3: each version is applied, held or refused once, until another one is seen.
type Tracker struct {
	File               string // as faults name it
	Bounds             Bounds
	SettleTime         float64 // seconds without a change before a version counts
	UnsettledWarning   float64 // seconds of change after which that is told
	MaxRemovedFraction float64 // part of the engines that may go at once
	HoldDownTime       float64 // seconds after which a list held back is taken, 0 for never

	current    List
	hasCurrent bool
	judged     string // the key of the version that was judged last

	changing        bool
	changingSince   float64 // of the stretch of changes
	lastChange      float64 // the latest change
	warned          bool    // that it does not stand still
	lastFingerprint string  // the key at the look before, "" for none since the latest change
	lastReadAt      float64
	heldDown        *List // held back
	heldDownUntil   float64
}

// Restore sets the list that held when the controller ran last.
func (k *Tracker) Restore(l List) { k.current, k.hasCurrent = l, true }

// Current is the list that holds; false where none does yet.
func (k *Tracker) Current() (List, bool) { return k.current, k.hasCurrent }

// FileChanged tells that the file may have changed.
func (k *Tracker) FileChanged(now float64) {
	if !k.changing {
		k.changing, k.changingSince, k.warned = true, now, false
	}
	k.lastChange, k.lastFingerprint = now, ""
}

// NextTick is when Due is to be called, infinity for never.
func (k *Tracker) NextTick() float64 {
	next := math.Inf(1)
	if k.changing {
		next = k.nextRead()
		if !k.warned {
			next = min(next, k.changingSince+k.UnsettledWarning)
		}
	}
	if k.heldDown != nil {
		next = min(next, k.heldDownUntil)
	}
	return next
}

// nextRead is when the file is to be looked at: half-way through its rest, and at its end.
func (k *Tracker) nextRead() float64 {
	if k.lastFingerprint == "" {
		return k.lastChange + k.SettleTime/2
	}
	return max(k.lastChange+k.SettleTime, k.lastReadAt+k.SettleTime/2)
}

// Tick tells that the time has come. Where look is true the file is to be read and Looked called.
func (k *Tracker) Tick(now float64) (look bool, d Decision) {
	switch {
	case k.changing && now >= k.nextRead():
		return true, Decision{}
	case k.changing && !k.warned && now >= k.changingSince+k.UnsettledWarning:
		k.warned = true
		return false, Decision{Verdict: Reject, Reason: fmt.Errorf("%s: has not stood still for %.3g s in the last %.3g s",
			k.File, k.SettleTime, k.UnsettledWarning)}
	case k.heldDown != nil && now >= k.heldDownUntil:
		why := fmt.Errorf("%s: stood unconfirmed for %.3g s", k.File, k.HoldDownTime)
		return false, k.apply(*k.heldDown, why)
	}
	return false, Decision{}
}

// Observe tells what a look found.
func (k *Tracker) Observe(now float64, c Content) Decision {
	key := c.fingerprint()
	switch {
	case k.changing && key == k.judged && now >= k.lastChange+k.SettleTime: // as it was
		k.changing, k.lastFingerprint = false, ""
		return Decision{}
	case !k.changing && key == k.judged:
		return Decision{}
	case !k.changing: // nobody told of a change
		k.FileChanged(now)
		k.lastFingerprint, k.lastReadAt = key, now
		return Decision{}
	case key != k.lastFingerprint:
		if k.lastFingerprint != "" { // it has changed between the looks
			k.lastChange = now
		}
		k.lastFingerprint, k.lastReadAt = key, now
		return Decision{}
	case now < k.lastChange+k.SettleTime:
		return Decision{}
	}
	k.changing, k.lastFingerprint, k.judged, k.heldDown = false, "", key, nil
	return k.judge(now, c)
}

// judge decides on a version that stands still.
func (k *Tracker) judge(now float64, c Content) Decision {
	refuse := func(err error) Decision { return Decision{Verdict: Reject, Reason: err} }
	if c.Problem != "" {
		return refuse(fmt.Errorf("%s: %s", k.File, c.Problem))
	}
	l, err := Parse(k.File, c.Text, k.Bounds)
	switch {
	case err != nil:
		return refuse(err)
	case k.hasCurrent && l.Generation < k.current.Generation:
		return refuse(fmt.Errorf("%s: generation: %d is lower than %d, which holds", k.File, l.Generation, k.current.Generation))
	case k.hasCurrent && l.Generation == k.current.Generation && l.SameEndpoints(k.current):
		return Decision{}
	case k.hasCurrent && l.Generation == k.current.Generation:
		return refuse(fmt.Errorf("%s: generation: %d holds already, with other engines", k.File, l.Generation))
	}
	if why := k.massRemoval(l); why != nil && !l.Confirmed {
		k.heldDown, k.heldDownUntil = &l, math.Inf(1)
		if k.HoldDownTime > 0 {
			k.heldDownUntil = now + k.HoldDownTime
		}
		return Decision{Verdict: HoldDown, List: l, Difference: Diff(k.current, l), Reason: why}
	}
	return k.apply(l, nil)
}

func (k *Tracker) apply(l List, why error) Decision {
	d := Decision{Verdict: Apply, List: l, Difference: Diff(k.current, l), Reason: why}
	k.current, k.hasCurrent, k.heldDown = l, true, nil
	return d
}

// massRemoval tells why a list needs the operator's word: it leaves no engine, or takes away more than MostRemoved of
// those that take jobs. One that moves to another address is another process, so it counts as taken away too.
func (k *Tracker) massRemoval(l List) error {
	if len(l.Endpoints) == 0 {
		return errors.New(k.File + ": names no engine")
	}
	had, gone := 0, 0
	for _, e := range k.current.Endpoints {
		if !e.Available() {
			continue
		}
		had++
		if after, there := l.Lookup(e.Name); !there || !after.Available() || after.Address != e.Address {
			gone++
		}
	}
	if float64(gone) > k.MaxRemovedFraction*float64(had) {
		return fmt.Errorf("%s: takes %d of %d engines away", k.File, gone, had)
	}
	return nil
}
