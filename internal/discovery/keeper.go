package discovery

import (
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Content is what a look at the file found: its text, or what kept it from being read.
type Content struct {
	Text  []byte
	Wrong string // "" where the text is the whole file
}

// key tells contents apart.
func (c Content) key() string {
	if c.Wrong != "" {
		return c.Wrong
	}
	return fmt.Sprintf("%016x %d", xxhash.Sum64(c.Text), len(c.Text))
}

// Verdict is what the keeper decides on a version.
type Verdict int

const (
	Nothing Verdict = iota
	Apply           // the list holds from now on
	Refuse          // what holds stays, for the reason given
	Hold            // the list waits for the operator, or for its time
)

// Decision is a verdict with what it is about.
type Decision struct {
	Verdict    Verdict
	List       List
	Difference Difference // from what held before, with Apply and Hold
	Why        error      // with Refuse and Hold, and with Apply where a list held back got its time
}

// Keeper decides which version of a file holds. It is told when the file may have changed and what looks at it
// found; Next tells when Due is to be called. One that is done with a version says nothing more of it.
//
// K1: what holds is always one whole version that was parsed and checked, the generations of those applied rise.
// K2: a version is judged only when it has stood still for Still seconds and two looks agree.
// K3: each version is applied, held or refused once, until another one is seen.
type Keeper struct {
	File        string // as faults name it
	Bounds      Bounds
	Still       float64 // seconds without a change before a version counts
	Restless    float64 // seconds of change after which that is told
	MostRemoved float64 // part of the engines that may go at once
	HoldFor     float64 // seconds after which a list held back is taken, 0 for never

	held    List
	holds   bool
	settled string // the key of the version that was judged last

	moving    bool
	began     float64 // of the stretch of changes
	stirred   float64 // the latest change
	told      bool    // that it does not stand still
	seen      string  // the key at the look before, "" for none since the latest change
	seenAt    float64
	waiting   *List // held back
	waitingTo float64
}

// Restore sets the list that held when the controller ran last.
func (k *Keeper) Restore(l List) { k.held, k.holds = l, true }

// Held is the list that holds; false where none does yet.
func (k *Keeper) Held() (List, bool) { return k.held, k.holds }

// Stirred tells that the file may have changed.
func (k *Keeper) Stirred(now float64) {
	if !k.moving {
		k.moving, k.began, k.told = true, now, false
	}
	k.stirred, k.seen = now, ""
}

// Next is when Due is to be called, infinity for never.
func (k *Keeper) Next() float64 {
	next := math.Inf(1)
	if k.moving {
		next = k.lookAt()
		if !k.told {
			next = min(next, k.began+k.Restless)
		}
	}
	if k.waiting != nil {
		next = min(next, k.waitingTo)
	}
	return next
}

// lookAt is when the file is to be looked at: half-way through its rest, and at its end.
func (k *Keeper) lookAt() float64 {
	if k.seen == "" {
		return k.stirred + k.Still/2
	}
	return max(k.stirred+k.Still, k.seenAt+k.Still/2)
}

// Due tells that the time has come. Where look is true the file is to be read and Looked called.
func (k *Keeper) Due(now float64) (look bool, d Decision) {
	switch {
	case k.moving && now >= k.lookAt():
		return true, Decision{}
	case k.moving && !k.told && now >= k.began+k.Restless:
		k.told = true
		return false, Decision{Verdict: Refuse, Why: fmt.Errorf("%s: has not stood still for %.3g s in the last %.3g s",
			k.File, k.Still, k.Restless)}
	case k.waiting != nil && now >= k.waitingTo:
		why := fmt.Errorf("%s: stood unconfirmed for %.3g s", k.File, k.HoldFor)
		return false, k.apply(*k.waiting, why)
	}
	return false, Decision{}
}

// Looked tells what a look found.
func (k *Keeper) Looked(now float64, c Content) Decision {
	key := c.key()
	switch {
	case k.moving && key == k.settled && now >= k.stirred+k.Still: // as it was
		k.moving, k.seen = false, ""
		return Decision{}
	case !k.moving && key == k.settled:
		return Decision{}
	case !k.moving: // nobody told of a change
		k.Stirred(now)
		k.seen, k.seenAt = key, now
		return Decision{}
	case key != k.seen:
		if k.seen != "" { // it has changed between the looks
			k.stirred = now
		}
		k.seen, k.seenAt = key, now
		return Decision{}
	case now < k.stirred+k.Still:
		return Decision{}
	}
	k.moving, k.seen, k.settled, k.waiting = false, "", key, nil
	return k.judge(now, c)
}

// judge decides on a version that stands still.
func (k *Keeper) judge(now float64, c Content) Decision {
	refuse := func(err error) Decision { return Decision{Verdict: Refuse, Why: err} }
	if c.Wrong != "" {
		return refuse(fmt.Errorf("%s: %s", k.File, c.Wrong))
	}
	l, err := Parse(k.File, c.Text, k.Bounds)
	switch {
	case err != nil:
		return refuse(err)
	case k.holds && l.Generation < k.held.Generation:
		return refuse(fmt.Errorf("%s: generation: %d is lower than %d, which holds", k.File, l.Generation, k.held.Generation))
	case k.holds && l.Generation == k.held.Generation && l.Same(k.held):
		return Decision{}
	case k.holds && l.Generation == k.held.Generation:
		return refuse(fmt.Errorf("%s: generation: %d holds already, with other engines", k.File, l.Generation))
	}
	if why := k.tooMuch(l); why != nil && !l.Confirmed {
		k.waiting, k.waitingTo = &l, math.Inf(1)
		if k.HoldFor > 0 {
			k.waitingTo = now + k.HoldFor
		}
		return Decision{Verdict: Hold, List: l, Difference: Compare(k.held, l), Why: why}
	}
	return k.apply(l, nil)
}

func (k *Keeper) apply(l List, why error) Decision {
	d := Decision{Verdict: Apply, List: l, Difference: Compare(k.held, l), Why: why}
	k.held, k.holds, k.waiting = l, true, nil
	return d
}

// tooMuch tells why a list needs the operator's word: it leaves no engine, or takes away more than MostRemoved of
// those that take jobs. One that moves to another address is another process, so it counts as taken away too.
func (k *Keeper) tooMuch(l List) error {
	if len(l.Engines) == 0 {
		return errors.New(k.File + ": names no engine")
	}
	had, gone := 0, 0
	for _, e := range k.held.Engines {
		if !e.Takes() {
			continue
		}
		had++
		if after, there := l.Find(e.Name); !there || !after.Takes() || after.Address != e.Address {
			gone++
		}
	}
	if float64(gone) > k.MostRemoved*float64(had) {
		return fmt.Errorf("%s: takes %d of %d engines away", k.File, gone, had)
	}
	return nil
}
