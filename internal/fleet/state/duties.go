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

// Task is work for the whole fleet, cut into slices.
type Task struct {
	Name   string `msgpack:"Name"`
	Shards int    `msgpack:"Slices"`
}

// Shard is a part of a duty.
type Shard struct {
	Owner    ControllerID `msgpack:"Owner"`  // none: the zero value
	Fence    uint64       `msgpack:"Fence"`  // of its latest grant
	Recalled bool         `msgpack:"Recall"` // the owner is asked to finish and give it back
}

// RunState is how far an occurrence is.
type RunState int

const (
	RunClaimed   RunState = iota // by the owner of its slice; nothing has been sent
	RunSent                      // its first byte may go, or has gone
	RunDone                      // with success
	RunFailed                    // it ran and failed, or was given up unsent
	RunUncertain                 // it may have run; a person has to say
	RunMissed                    // its time passed without a run
	RunResolved                  // a person has said what became of it
)

// String is the word for operators.
func (s RunState) String() string {
	return [...]string{"taken", "sent", "done", "failed", "may have run", "missed", "settled"}[s]
}

// Finished tells whether nothing more is to come of it.
func (s RunState) Finished() bool { return s >= RunDone && s != RunUncertain }

// Run is one occurrence of a job, by the Unix second at which it was due.
type Run struct {
	Due           int64        `msgpack:"When"`
	State         RunState     `msgpack:"State"`
	NonIdempotent bool         `msgpack:"Once"` // it may not go again unless nothing ran
	Owner         ControllerID `msgpack:"Holder"`
	Fence         uint64       `msgpack:"Fence"` // under which it was taken last
	Executions    int          `msgpack:"Sent"`  // times that it may have run
	Attempts      int          `msgpack:"Tries"` // times that it was sent, those included of which nothing ran
	Outcome       string       `msgpack:"Told"`  // how it ended
}

// ScheduledJob is a scheduled job.
type ScheduledJob struct {
	LastDue int64 `msgpack:"Last"` // the latest occurrence that was taken or missed
	Runs    []Run `msgpack:"Runs"` // what is open, and the latest that are over
}

// Override is what an operator ordered of one target. A later one takes its place.
type Override struct {
	Number    uint64  `msgpack:"Number"` // rises over all orders
	Kind      string  `msgpack:"Kind"`
	Target    string  `msgpack:"Target"`
	Amount    float64 `msgpack:"Amount"`
	Revoked   bool    `msgpack:"Ends"`  // it takes an earlier one back, and is forgotten once all have taken it up
	ExpiresAt int64   `msgpack:"Until"` // the Unix second at which it is taken back by itself, 0 for never
}

// PublishedList is the latest list that an owner gave to all.
type PublishedList struct {
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// The kinds of order.
const (
	DrainEngine = "drain"  // an engine takes nothing new
	TeamBudget  = "budget" // a team's whole, in MB
)

// Bounds on what is kept. Jobs and orders are named by operators; open runs by their time tables.
const (
	maxScheduledJobs = 1000
	maxOverrides     = 1000
	retainedRuns     = 20  // over, of a job
	maxOpenRuns      = 100 // of a job; what would pass it is missed
	maxListBytes     = 512 << 10
)

// owns tells whether a holder is the present owner of a slice under that fence.
func (l *Machine) owns(h ControllerID, duty string, at int, fence uint64) bool {
	s := l.shard(duty, at)
	return s != nil && s.Owner == h && s.Fence == fence && h.Name != ""
}

func (l *Machine) shard(duty string, at int) *Shard {
	if all := l.Shards[duty]; at >= 0 && at < len(all) {
		return &all[at]
	}
	return nil
}

// configureTasks swaps what duties there are; slices of those that stay are kept.
func (l *Machine) configureTasks(all []Task) error {
	next := map[string][]Shard{}
	for _, d := range all {
		old, there := l.Shards[d.Name]
		switch {
		case d.Name == "" || d.Shards < 1 || d.Shards > 1<<16:
			return fmt.Errorf("duty %q of %d slices", d.Name, d.Shards)
		case there && len(old) != d.Shards:
			return fmt.Errorf("duty %q can't change its slices from %d to %d: what is in which would move under its owners", d.Name, len(old), d.Shards)
		case there:
			next[d.Name] = old
		default:
			next[d.Name] = make([]Shard, d.Shards)
		}
	}
	l.Shards = next
	return nil
}

// assignShard gives a slice without an owner, at the fence that the proposer knew.
func (l *Machine) assignShard(c Command) error {
	s := l.shard(c.Subject, c.Shard)
	h := l.Controllers[c.Controller]
	switch {
	case s == nil:
		return fmt.Errorf("no slice %d of %q", c.Shard, c.Subject)
	case h == nil || h.Replaced:
		return fmt.Errorf("%s of incarnation %d does not live", c.Controller.Name, c.Controller.Incarnation)
	case s.Owner.Name != "":
		return fmt.Errorf("slice %d of %q is %s's", c.Shard, c.Subject, s.Owner.Name)
	case s.Fence != c.Number:
		return fmt.Errorf("slice %d of %q has fence %d, not %d", c.Shard, c.Subject, s.Fence, c.Number)
	}
	*s = Shard{Owner: c.Controller, Fence: l.AppliedCommands}
	return nil
}

// releaseShard takes a slice from its owner: by the owner's own word, or because its lease is surely over.
func (l *Machine) releaseShard(c Command) error {
	s := l.shard(c.Subject, c.Shard)
	if s == nil || s.Owner != c.Controller || s.Fence != c.Number {
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Subject, c.Controller.Name, c.Number)
	}
	s.Owner, s.Recalled = ControllerID{}, false
	return nil
}

// releaseAllShards frees all slices of a holder that is given up.
func (l *Machine) releaseAllShards(h ControllerID) {
	for _, all := range l.Shards {
		for i := range all {
			if all[i].Owner == h {
				all[i].Owner, all[i].Recalled = ControllerID{}, false
			}
		}
	}
}

// run finds an occurrence.
func (j *ScheduledJob) run(when int64) *Run {
	if j != nil {
		for i := range j.Runs {
			if j.Runs[i].Due == when {
				return &j.Runs[i]
			}
		}
	}
	return nil
}

// OpenRuns counts the runs that are not over.
func (j *ScheduledJob) OpenRuns() (n int) {
	for _, r := range j.Runs {
		if !r.State.Finished() {
			n++
		}
	}
	return n
}

// claimRun has the owner of a job's slice take an occurrence: a new one, or one that another has taken or sent before it. What
// may have run and may not go again is refused.
func (l *Machine) claimRun(c Command) error {
	if !l.owns(c.Controller, c.Task, c.Shard, c.Number) {
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Task, c.Controller.Name, c.Number)
	}
	j := l.ScheduledJobs[c.Subject]
	r := j.run(c.Time)
	switch {
	case r == nil && j == nil && len(l.ScheduledJobs) >= maxScheduledJobs:
		return fmt.Errorf("there are %d jobs, the most", maxScheduledJobs)
	case r == nil && j != nil && c.Time <= j.LastDue:
		return fmt.Errorf("%q: the occurrence of %d is over or missed, the latest is %d", c.Subject, c.Time, j.LastDue)
	case r == nil && j != nil && j.OpenRuns() >= maxOpenRuns:
		return fmt.Errorf("%q has %d occurrences open, the most", c.Subject, maxOpenRuns)
	case r == nil:
		if j == nil {
			j = &ScheduledJob{}
			l.ScheduledJobs[c.Subject] = j
		}
		j.LastDue = c.Time
		j.Runs = append(j.Runs, Run{Due: c.Time, NonIdempotent: c.NonIdempotent, Owner: c.Controller, Fence: c.Number})
	case r.State == RunClaimed:
		r.Owner, r.Fence = c.Controller, c.Number
	case r.State == RunSent && r.NonIdempotent:
		return fmt.Errorf("%q: the occurrence of %d may have run", c.Subject, c.Time)
	case r.State == RunSent && (c.Number > r.Fence || c.Rerun):
		r.Owner, r.Fence, r.State = c.Controller, c.Number, RunClaimed
	default:
		return fmt.Errorf("%q: the occurrence of %d is %v", c.Subject, c.Time, r.State)
	}
	j.dropOldRuns()
	return nil
}

// startRun has the owner send what it has taken. It is in the ledger before the first byte goes.
func (l *Machine) startRun(c Command) error {
	r := l.ScheduledJobs[c.Subject].run(c.Time)
	switch {
	case !l.owns(c.Controller, c.Task, c.Shard, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Task, c.Controller.Name, c.Number)
	case r == nil || r.Fence != c.Number || r.State != RunClaimed && r.State != RunSent:
		return fmt.Errorf("%q: the occurrence of %d was not taken under fence %d", c.Subject, c.Time, c.Number)
	case r.State == RunClaimed: // else it is told twice, by an owner that waits for the first word still
		r.State = RunSent
		r.Executions++
		r.Attempts++
	}
	return nil
}

// finishRun takes the sender's word on how an occurrence ended. It counts also when the slice has gone to another since,
// unless that one has taken the occurrence anew.
func (l *Machine) finishRun(c Command) error {
	j := l.ScheduledJobs[c.Subject]
	r := j.run(c.Time)
	switch {
	case r == nil || r.Fence != c.Number || r.Owner != c.Controller:
		return fmt.Errorf("%q: the occurrence of %d is not %s's under fence %d", c.Subject, c.Time, c.Controller.Name, c.Number)
	case r.State.Finished():
		return fmt.Errorf("%q: the occurrence of %d is %v", c.Subject, c.Time, r.State)
	case c.State == RunClaimed && r.State != RunClaimed: // nothing of it ran
		r.State, r.Executions = RunClaimed, r.Executions-1
	case c.State == RunDone || c.State == RunFailed || c.State == RunUncertain:
		r.State, r.Outcome = c.State, truncate(c.Text)
	default:
		return fmt.Errorf("%q: an occurrence does not end as %v", c.Subject, c.State)
	}
	j.dropOldRuns()
	return nil
}

// markRunUncertain has the present owner say that what one before it has sent may have run.
func (l *Machine) markRunUncertain(c Command) error {
	r := l.ScheduledJobs[c.Subject].run(c.Time)
	switch {
	case !l.owns(c.Controller, c.Task, c.Shard, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Task, c.Controller.Name, c.Number)
	case r == nil || r.State != RunSent || r.Fence >= c.Number && r.Owner != c.Controller:
		return fmt.Errorf("%q: the occurrence of %d was not sent before", c.Subject, c.Time)
	}
	r.State, r.Outcome = RunUncertain, "its owner was lost after it was sent"
	return nil
}

// skipRun passes an occurrence over.
func (l *Machine) skipRun(c Command) error {
	j := l.ScheduledJobs[c.Subject]
	switch {
	case !l.owns(c.Controller, c.Task, c.Shard, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Task, c.Controller.Name, c.Number)
	case j != nil && c.Time <= j.LastDue:
		return fmt.Errorf("%q: the occurrence of %d is not the next", c.Subject, c.Time)
	case j == nil && len(l.ScheduledJobs) >= maxScheduledJobs:
		return fmt.Errorf("there are %d jobs, the most", maxScheduledJobs)
	case j == nil:
		j = &ScheduledJob{}
		l.ScheduledJobs[c.Subject] = j
	}
	j.LastDue = c.Time
	j.Runs = append(j.Runs, Run{Due: c.Time, State: RunMissed, Owner: c.Controller, Fence: c.Number, Outcome: truncate(c.Text)})
	j.dropOldRuns()
	return nil
}

// resolveRun takes a person's word on what may have run. Where nothing did it may be taken anew.
func (l *Machine) resolveRun(c Command) error {
	j := l.ScheduledJobs[c.Subject]
	r := j.run(c.Time)
	switch {
	case r == nil || r.State != RunUncertain:
		return fmt.Errorf("%q: no occurrence of %d waits for a word", c.Subject, c.Time)
	case c.Rerun:
		r.State, r.Fence, r.Executions, r.Owner, r.Outcome = RunClaimed, 0, 0, ControllerID{}, ""
	default:
		r.State, r.Outcome = RunResolved, truncate(c.Text)
	}
	j.dropOldRuns()
	return nil
}

// dropOldRuns forgets the oldest runs that are over.
func (j *ScheduledJob) dropOldRuns() {
	over := len(j.Runs) - j.OpenRuns()
	j.Runs = slices.DeleteFunc(j.Runs, func(r Run) bool {
		if over <= retainedRuns || !r.State.Finished() {
			return false
		}
		over--
		return true
	})
}

func truncate(text string) string { return text[:min(len(text), 200)] }

// dropUnnamedJobs lets go of jobs that no owner names any more, once nothing of them is open.
func (l *Machine) dropUnnamedJobs(names []string) {
	for name, j := range l.ScheduledJobs {
		if !slices.Contains(names, name) && j.OpenRuns() == 0 {
			delete(l.ScheduledJobs, name)
		}
	}
}

// OverrideKey is what an order is about: one stands for each.
func OverrideKey(kind, target string) string { return kind + " " + target }

// setOverride takes an operator's order.
func (l *Machine) setOverride(c Command) error {
	key := OverrideKey(c.Text, c.Subject)
	old, there := l.Overrides[key]
	switch {
	case c.Text != DrainEngine && c.Text != TeamBudget || c.Subject == "" || len(c.Subject) > 256 || !(c.Amount >= 0):
		return fmt.Errorf("no order %q of %q", c.Text, c.Subject)
	case c.Revoke && (!there || old.Revoked):
		return fmt.Errorf("nothing of that kind is ordered of %s", c.Subject)
	case !there && len(l.Overrides) >= maxOverrides:
		return fmt.Errorf("there are %d orders, the most", maxOverrides)
	case c.Revoke && c.Number != 0 && c.Number != old.Number: // one whose time was up, but another has been given since
		return fmt.Errorf("order %d of %s holds no more", c.Number, c.Subject)
	}
	o := Override{Number: l.AppliedCommands, Kind: c.Text, Target: c.Subject, Amount: c.Amount, Revoked: c.Revoke}
	if !c.Revoke {
		o.ExpiresAt = max(c.Time, 0)
	}
	l.Overrides[key] = o
	return nil
}

// deleteOverride lets go of an order that took another back, once all have taken it up.
func (l *Machine) deleteOverride(c Command) error {
	key := OverrideKey(c.Text, c.Subject)
	if o, there := l.Overrides[key]; !there || o.Number != c.Number || !o.Revoked {
		return fmt.Errorf("order %d of %s is not to be forgotten", c.Number, c.Subject)
	}
	delete(l.Overrides, key)
	return nil
}

// SortedOverrides lists the orders by number.
func (l *Machine) SortedOverrides() []Override {
	return slices.SortedFunc(maps.Values(l.Overrides), func(x, y Override) int { return cmp.Compare(x.Number, y.Number) })
}

// effectiveTotal is what of a quantity is divided: as ordered, else as the settings have it.
func (l *Machine) effectiveTotal(name string) float64 {
	if o, there := l.Overrides[OverrideKey(TeamBudget, name)]; there && !o.Revoked {
		return o.Amount
	}
	return l.Quantities[name].Total
}

// Total is what of a quantity is divided, orders counted, and what of that is set aside.
func (l *Machine) Total(name string) (whole, aside float64) {
	q := l.Quantities[name]
	return l.effectiveTotal(name), q.FloorReserve
}

// publishList takes a list from the owner of its slice. What comes under a lower fence, or is no later, changes nothing.
func (l *Machine) publishList(c Command) error {
	last := l.Lists[c.Subject]
	switch {
	case !l.owns(c.Controller, c.Subject, c.Shard, c.Number):
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Subject, c.Controller.Name, c.Number)
	case len(c.Data) > maxListBytes:
		return fmt.Errorf("a list of %d bytes; %d at most", len(c.Data), maxListBytes)
	case c.Number < last.Fence:
		return fmt.Errorf("%q was published under fence %d, not %d", c.Subject, last.Fence, c.Number)
	}
	l.Lists[c.Subject] = PublishedList{Fence: c.Number, Version: l.AppliedCommands, Data: c.Data}
	return nil
}

// checkSharedWork finds what breaks L5 to L7.
func (l *Machine) checkSharedWork(was *Machine) string {
	if was == nil {
		return ""
	}
	for name, all := range l.Shards {
		for i, s := range all {
			old := was.shard(name, i)
			switch {
			case old == nil:
			case s.Fence < old.Fence:
				return fmt.Sprintf("L5: slice %d of %q went from fence %d to %d", i, name, old.Fence, s.Fence)
			case s.Owner != old.Owner && s.Owner.Name != "" && old.Owner.Name != "" && l.AppliedCommands == was.AppliedCommands+1:
				return fmt.Sprintf("L6: slice %d of %q went from %s to %s", i, name, old.Owner.Name, s.Owner.Name)
			}
		}
	}
	for name, j := range l.ScheduledJobs {
		for _, r := range j.Runs {
			if r.NonIdempotent && r.Executions > 1 {
				return fmt.Sprintf("L7: the occurrence %d of %q was sent %d times", r.Due, name, r.Executions)
			}
		}
		if old := was.ScheduledJobs[name]; old != nil && j.LastDue < old.LastDue {
			return fmt.Sprintf("L7: %q went from occurrence %d to %d", name, old.LastDue, j.LastDue)
		}
	}
	return ""
}

// cloneSharedWork copies what Clone shares nothing of.
func (l *Machine) cloneSharedWork(n *Machine) {
	for name, all := range l.Shards {
		n.Shards[name] = slices.Clone(all)
	}
	for name, j := range l.ScheduledJobs {
		n.ScheduledJobs[name] = &ScheduledJob{LastDue: j.LastDue, Runs: slices.Clone(j.Runs)}
	}
	n.Overrides, n.Lists = maps.Clone(l.Overrides), maps.Clone(l.Lists)
}

// Tasks lists the duties there are.
func (l *Machine) Tasks() (all []Task) {
	for _, name := range slices.Sorted(maps.Keys(l.Shards)) {
		all = append(all, Task{name, len(l.Shards[name])})
	}
	return all
}
