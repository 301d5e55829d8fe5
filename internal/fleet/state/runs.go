package state

import (
	"fmt"
	"slices"
)

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

// dropUnnamedJobs lets go of jobs that no owner names any more, once nothing of them is open.
func (l *Machine) dropUnnamedJobs(names []string) {
	for name, j := range l.ScheduledJobs {
		if !slices.Contains(names, name) && j.OpenRuns() == 0 {
			delete(l.ScheduledJobs, name)
		}
	}
}

func truncate(text string) string { return text[:min(len(text), 200)] }
