package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// What a fleet does as one: duties in slices, each with at most one owner; occurrences of scheduled jobs; operators'
// orders; lists that one owner publishes for all. Invariants: L5, fences only rise, over the whole ledger. L6, a slice is
// given only while it has no owner. L7, an occurrence of a run-once job is sent under one fence at most, unless a person
// or its sender has said that nothing ran. L8, nothing of an owner counts whose fence is not its slice's present one, but
// for the end of what it has sent.

// Duty is work for the whole fleet, cut into slices.
type Duty struct {
	Name   string `msgpack:"Name"`
	Slices int    `msgpack:"Slices"`
}

// Slice is a part of a duty.
type Slice struct {
	Owner  Holder `msgpack:"Owner"`  // none: the zero value
	Fence  uint64 `msgpack:"Fence"`  // of its latest grant
	Recall bool   `msgpack:"Recall"` // the owner is asked to finish and give it back
}

// RunState is how far an occurrence is.
type RunState int

const (
	RunTaken   RunState = iota // by the owner of its slice; nothing has been sent
	RunSent                    // its first byte may go, or has gone
	RunDone                    // with success
	RunFailed                  // it ran and failed, or was given up unsent
	RunUnclear                 // it may have run; a person has to say
	RunMissed                  // its time passed without a run
	RunCleared                 // a person has said what became of it
)

// String is the word for operators.
func (s RunState) String() string {
	return [...]string{"taken", "sent", "done", "failed", "may have run", "missed", "settled"}[s]
}

// Over tells whether nothing more is to come of it.
func (s RunState) Over() bool { return s >= RunDone && s != RunUnclear }

// Run is one occurrence of a job, by the Unix second at which it was due.
type Run struct {
	When   int64    `msgpack:"When"`
	State  RunState `msgpack:"State"`
	Once   bool     `msgpack:"Once"` // it may not go again unless nothing ran
	Holder Holder   `msgpack:"Holder"`
	Fence  uint64   `msgpack:"Fence"` // under which it was taken last
	Sent   int      `msgpack:"Sent"`  // times that it may have run
	Tries  int      `msgpack:"Tries"` // times that it was sent, those included of which nothing ran
	Told   string   `msgpack:"Told"`  // how it ended
}

// Job is a scheduled job.
type Job struct {
	Last int64 `msgpack:"Last"` // the latest occurrence that was taken or missed
	Runs []Run `msgpack:"Runs"` // what is open, and the latest that are over
}

// Order is what an operator ordered of one target. A later one takes its place.
type Order struct {
	Number uint64  `msgpack:"Number"` // rises over all orders
	Kind   string  `msgpack:"Kind"`
	Target string  `msgpack:"Target"`
	Amount float64 `msgpack:"Amount"`
	Ends   bool    `msgpack:"Ends"`  // it takes an earlier one back, and is forgotten once all have taken it up
	Until  int64   `msgpack:"Until"` // the Unix second at which it is taken back by itself, 0 for never
}

// Published is the latest list that an owner gave to all.
type Published struct {
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// The kinds of order.
const (
	Drain     = "drain"  // an engine takes nothing new
	BudgetFor = "budget" // a team's whole, in MB
)

// Bounds on what is kept. Jobs and orders are named by operators; open runs by their time tables.
const (
	mostJobs   = 1000
	mostOrders = 1000
	keptRuns   = 20  // over, of a job
	openRuns   = 100 // of a job; what would pass it is missed
	mostList   = 512 << 10
)

// owns tells whether a holder is the present owner of a slice under that fence.
func (l *Ledger) owns(h Holder, duty string, at int, fence uint64) bool {
	s := l.slice(duty, at)
	return s != nil && s.Owner == h && s.Fence == fence && h.Name != ""
}

func (l *Ledger) slice(duty string, at int) *Slice {
	if all := l.Slices[duty]; at >= 0 && at < len(all) {
		return &all[at]
	}
	return nil
}

// duties swaps what duties there are; slices of those that stay are kept.
func (l *Ledger) duties(all []Duty) error {
	next := map[string][]Slice{}
	for _, d := range all {
		old, there := l.Slices[d.Name]
		switch {
		case d.Name == "" || d.Slices < 1 || d.Slices > 1<<16:
			return fmt.Errorf("duty %q of %d slices", d.Name, d.Slices)
		case there && len(old) != d.Slices:
			return fmt.Errorf("duty %q can't change its slices from %d to %d: what is in which would move under its owners", d.Name, len(old), d.Slices)
		case there:
			next[d.Name] = old
		default:
			next[d.Name] = make([]Slice, d.Slices)
		}
	}
	l.Slices = next
	return nil
}

// assign gives a slice without an owner, at the fence that the proposer knew.
func (l *Ledger) assign(c Command) error {
	s := l.slice(c.What, c.At)
	h := l.Controllers[c.Holder]
	switch {
	case s == nil:
		return fmt.Errorf("no slice %d of %q", c.At, c.What)
	case h == nil || h.Replaced:
		return fmt.Errorf("%s of incarnation %d does not live", c.Holder.Name, c.Holder.Inc)
	case s.Owner.Name != "":
		return fmt.Errorf("slice %d of %q is %s's", c.At, c.What, s.Owner.Name)
	case s.Fence != c.Number:
		return fmt.Errorf("slice %d of %q has fence %d, not %d", c.At, c.What, s.Fence, c.Number)
	}
	*s = Slice{Owner: c.Holder, Fence: l.Applied}
	return nil
}

// release takes a slice from its owner: by the owner's own word, or because its lease is surely over.
func (l *Ledger) release(c Command) error {
	s := l.slice(c.What, c.At)
	if s == nil || s.Owner != c.Holder || s.Fence != c.Number {
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.At, c.What, c.Holder.Name, c.Number)
	}
	s.Owner, s.Recall = Holder{}, false
	return nil
}

// gone frees all slices of a holder that is given up.
func (l *Ledger) gone(h Holder) {
	for _, all := range l.Slices {
		for i := range all {
			if all[i].Owner == h {
				all[i].Owner, all[i].Recall = Holder{}, false
			}
		}
	}
}

// run finds an occurrence.
func (j *Job) run(when int64) *Run {
	if j != nil {
		for i := range j.Runs {
			if j.Runs[i].When == when {
				return &j.Runs[i]
			}
		}
	}
	return nil
}

// Open counts the runs that are not over.
func (j *Job) Open() (n int) {
	for _, r := range j.Runs {
		if !r.State.Over() {
			n++
		}
	}
	return n
}

// take has the owner of a job's slice take an occurrence: a new one, or one that another has taken or sent before it. What
// may have run and may not go again is refused.
func (l *Ledger) take(c Command) error {
	if !l.owns(c.Holder, c.Duty, c.At, c.Number) {
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.At, c.Duty, c.Holder.Name, c.Number)
	}
	j := l.Jobs[c.What]
	r := j.run(c.When)
	switch {
	case r == nil && j == nil && len(l.Jobs) >= mostJobs:
		return fmt.Errorf("there are %d jobs, the most", mostJobs)
	case r == nil && j != nil && c.When <= j.Last:
		return fmt.Errorf("%q: the occurrence of %d is over or missed, the latest is %d", c.What, c.When, j.Last)
	case r == nil && j != nil && j.Open() >= openRuns:
		return fmt.Errorf("%q has %d occurrences open, the most", c.What, openRuns)
	case r == nil:
		if j == nil {
			j = &Job{}
			l.Jobs[c.What] = j
		}
		j.Last = c.When
		j.Runs = append(j.Runs, Run{When: c.When, Once: c.Once, Holder: c.Holder, Fence: c.Number})
	case r.State == RunTaken:
		r.Holder, r.Fence = c.Holder, c.Number
	case r.State == RunSent && r.Once:
		return fmt.Errorf("%q: the occurrence of %d may have run", c.What, c.When)
	case r.State == RunSent && (c.Number > r.Fence || c.Again):
		r.Holder, r.Fence, r.State = c.Holder, c.Number, RunTaken
	default:
		return fmt.Errorf("%q: the occurrence of %d is %v", c.What, c.When, r.State)
	}
	j.trim()
	return nil
}

// send has the owner send what it has taken. It is in the ledger before the first byte goes.
func (l *Ledger) send(c Command) error {
	r := l.Jobs[c.What].run(c.When)
	switch {
	case !l.owns(c.Holder, c.Duty, c.At, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.At, c.Duty, c.Holder.Name, c.Number)
	case r == nil || r.Fence != c.Number || r.State != RunTaken && r.State != RunSent:
		return fmt.Errorf("%q: the occurrence of %d was not taken under fence %d", c.What, c.When, c.Number)
	case r.State == RunTaken: // else it is told twice, by an owner that waits for the first word still
		r.State = RunSent
		r.Sent++
		r.Tries++
	}
	return nil
}

// over takes the sender's word on how an occurrence ended. It counts also when the slice has gone to another since,
// unless that one has taken the occurrence anew.
func (l *Ledger) over(c Command) error {
	j := l.Jobs[c.What]
	r := j.run(c.When)
	switch {
	case r == nil || r.Fence != c.Number || r.Holder != c.Holder:
		return fmt.Errorf("%q: the occurrence of %d is not %s's under fence %d", c.What, c.When, c.Holder.Name, c.Number)
	case r.State.Over():
		return fmt.Errorf("%q: the occurrence of %d is %v", c.What, c.When, r.State)
	case c.State == RunTaken && r.State != RunTaken: // nothing of it ran
		r.State, r.Sent = RunTaken, r.Sent-1
	case c.State == RunDone || c.State == RunFailed || c.State == RunUnclear:
		r.State, r.Told = c.State, clip(c.Text)
	default:
		return fmt.Errorf("%q: an occurrence does not end as %v", c.What, c.State)
	}
	j.trim()
	return nil
}

// doubt has the present owner say that what one before it has sent may have run.
func (l *Ledger) doubt(c Command) error {
	r := l.Jobs[c.What].run(c.When)
	switch {
	case !l.owns(c.Holder, c.Duty, c.At, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.At, c.Duty, c.Holder.Name, c.Number)
	case r == nil || r.State != RunSent || r.Fence >= c.Number && r.Holder != c.Holder:
		return fmt.Errorf("%q: the occurrence of %d was not sent before", c.What, c.When)
	}
	r.State, r.Told = RunUnclear, "its owner was lost after it was sent"
	return nil
}

// miss passes an occurrence over.
func (l *Ledger) miss(c Command) error {
	j := l.Jobs[c.What]
	switch {
	case !l.owns(c.Holder, c.Duty, c.At, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.At, c.Duty, c.Holder.Name, c.Number)
	case j != nil && c.When <= j.Last:
		return fmt.Errorf("%q: the occurrence of %d is not the next", c.What, c.When)
	case j == nil && len(l.Jobs) >= mostJobs:
		return fmt.Errorf("there are %d jobs, the most", mostJobs)
	case j == nil:
		j = &Job{}
		l.Jobs[c.What] = j
	}
	j.Last = c.When
	j.Runs = append(j.Runs, Run{When: c.When, State: RunMissed, Holder: c.Holder, Fence: c.Number, Told: clip(c.Text)})
	j.trim()
	return nil
}

// clear takes a person's word on what may have run. Where nothing did it may be taken anew.
func (l *Ledger) clear(c Command) error {
	j := l.Jobs[c.What]
	r := j.run(c.When)
	switch {
	case r == nil || r.State != RunUnclear:
		return fmt.Errorf("%q: no occurrence of %d waits for a word", c.What, c.When)
	case c.Again:
		r.State, r.Fence, r.Sent, r.Holder, r.Told = RunTaken, 0, 0, Holder{}, ""
	default:
		r.State, r.Told = RunCleared, clip(c.Text)
	}
	j.trim()
	return nil
}

// trim forgets the oldest runs that are over.
func (j *Job) trim() {
	over := len(j.Runs) - j.Open()
	j.Runs = slices.DeleteFunc(j.Runs, func(r Run) bool {
		if over <= keptRuns || !r.State.Over() {
			return false
		}
		over--
		return true
	})
}

func clip(text string) string { return text[:min(len(text), 200)] }

// forgetJobs lets go of jobs that no owner names any more, once nothing of them is open.
func (l *Ledger) forgetJobs(names []string) {
	for name, j := range l.Jobs {
		if !slices.Contains(names, name) && j.Open() == 0 {
			delete(l.Jobs, name)
		}
	}
}

// OrderKey is what an order is about: one stands for each.
func OrderKey(kind, target string) string { return kind + " " + target }

// order takes an operator's order.
func (l *Ledger) order(c Command) error {
	key := OrderKey(c.Text, c.What)
	old, there := l.Orders[key]
	switch {
	case c.Text != Drain && c.Text != BudgetFor || c.What == "" || len(c.What) > 256 || !(c.Amount >= 0):
		return fmt.Errorf("no order %q of %q", c.Text, c.What)
	case c.Ends && (!there || old.Ends):
		return fmt.Errorf("nothing of that kind is ordered of %s", c.What)
	case !there && len(l.Orders) >= mostOrders:
		return fmt.Errorf("there are %d orders, the most", mostOrders)
	case c.Ends && c.Number != 0 && c.Number != old.Number: // one whose time was up, but another has been given since
		return fmt.Errorf("order %d of %s holds no more", c.Number, c.What)
	}
	o := Order{Number: l.Applied, Kind: c.Text, Target: c.What, Amount: c.Amount, Ends: c.Ends}
	if !c.Ends {
		o.Until = max(c.When, 0)
	}
	l.Orders[key] = o
	return nil
}

// forgetOrder lets go of an order that took another back, once all have taken it up.
func (l *Ledger) forgetOrder(c Command) error {
	key := OrderKey(c.Text, c.What)
	if o, there := l.Orders[key]; !there || o.Number != c.Number || !o.Ends {
		return fmt.Errorf("order %d of %s is not to be forgotten", c.Number, c.What)
	}
	delete(l.Orders, key)
	return nil
}

// Ordered lists the orders by number.
func (l *Ledger) Ordered() []Order {
	return slices.SortedFunc(maps.Values(l.Orders), func(x, y Order) int { return cmp.Compare(x.Number, y.Number) })
}

// whole is what of a quantity is divided: as ordered, else as the settings have it.
func (l *Ledger) whole(name string) float64 {
	if o, there := l.Orders[OrderKey(BudgetFor, name)]; there && !o.Ends {
		return o.Amount
	}
	return l.Quantities[name].Whole
}

// Whole is what of a quantity is divided, orders counted, and what of that is set aside.
func (l *Ledger) Whole(name string) (whole, aside float64) {
	q := l.Quantities[name]
	return l.whole(name), q.Aside
}

// publish takes a list from the owner of its slice. What comes under a lower fence, or is no later, changes nothing.
func (l *Ledger) publish(c Command) error {
	last := l.Lists[c.What]
	switch {
	case !l.owns(c.Holder, c.What, c.At, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.At, c.What, c.Holder.Name, c.Number)
	case len(c.Data) > mostList:
		return fmt.Errorf("a list of %d bytes; %d at most", len(c.Data), mostList)
	case c.Number < last.Fence:
		return fmt.Errorf("%q was published under fence %d, not %d", c.What, last.Fence, c.Number)
	}
	l.Lists[c.What] = Published{Fence: c.Number, Version: l.Applied, Data: c.Data}
	return nil
}

// checkDuties finds what breaks L5 to L7.
func (l *Ledger) checkDuties(was *Ledger) string {
	if was == nil {
		return ""
	}
	for name, all := range l.Slices {
		for i, s := range all {
			old := was.slice(name, i)
			switch {
			case old == nil:
			case s.Fence < old.Fence:
				return fmt.Sprintf("L5: slice %d of %q went from fence %d to %d", i, name, old.Fence, s.Fence)
			case s.Owner != old.Owner && s.Owner.Name != "" && old.Owner.Name != "" && l.Applied == was.Applied+1:
				return fmt.Sprintf("L6: slice %d of %q went from %s to %s", i, name, old.Owner.Name, s.Owner.Name)
			}
		}
	}
	for name, j := range l.Jobs {
		for _, r := range j.Runs {
			if r.Once && r.Sent > 1 {
				return fmt.Sprintf("L7: the occurrence %d of %q was sent %d times", r.When, name, r.Sent)
			}
		}
		if old := was.Jobs[name]; old != nil && j.Last < old.Last {
			return fmt.Sprintf("L7: %q went from occurrence %d to %d", name, old.Last, j.Last)
		}
	}
	return ""
}

// cloneDuties copies what Clone shares nothing of.
func (l *Ledger) cloneDuties(n *Ledger) {
	for name, all := range l.Slices {
		n.Slices[name] = slices.Clone(all)
	}
	for name, j := range l.Jobs {
		n.Jobs[name] = &Job{Last: j.Last, Runs: slices.Clone(j.Runs)}
	}
	n.Orders, n.Lists = maps.Clone(l.Orders), maps.Clone(l.Lists)
}

// Duties lists the duties there are.
func (l *Ledger) Duties() (all []Duty) {
	for _, name := range slices.Sorted(maps.Keys(l.Slices)) {
		all = append(all, Duty{name, len(l.Slices[name])})
	}
	return all
}
