package state

import (
	"cmp"
	"slices"
)

// RunState is the state of a run of a scheduled job.
type RunState int

// The states of a run.
const (
	RunClaimed   RunState = iota // claimed by the owner of the job's shard; nothing has been sent
	RunSent                      // its first byte may be sent, or has been
	RunDone                      // it succeeded
	RunFailed                    // it ran and failed, or was given up without being sent
	RunUncertain                 // it may have run; an operator has to resolve it
	RunMissed                    // its due time passed without a run
	RunResolved                  // an operator has resolved an uncertain run as finished
)

// String returns the state as operators see it.
func (s RunState) String() string {
	return [...]string{"taken", "sent", "done", "failed", "may have run", "missed", "settled"}[s]
}

// Finished reports whether the state is final.
func (s RunState) Finished() bool { return s >= RunDone && s != RunUncertain }

// Run is a scheduled job's run for one due time.
type Run struct {
	Due           int64        `msgpack:"When"` // due time in Unix seconds; identifies the run within its job
	State         RunState     `msgpack:"State"`
	NonIdempotent bool         `msgpack:"Once"` // the run must not be sent again unless nothing ran
	Owner         ControllerID `msgpack:"Holder"`
	Fence         uint64       `msgpack:"Fence"` // fencing token of the latest claim
	Executions    int          `msgpack:"Sent"`  // number of times that it may have run
	Attempts      int          `msgpack:"Tries"` // number of times that it was sent, including those of which nothing ran
	Outcome       string       `msgpack:"Told"`  // how it ended, for operators
}

// ScheduledJob holds the runs of one scheduled job.
type ScheduledJob struct {
	LastDue int64   `msgpack:"Last"`              // latest due time, in Unix seconds, that was claimed or skipped
	Runs    []Run   `msgpack:"Runs"`              // the open runs and the latest finished ones, oldest first
	Listing Listing `msgpack:"Listing,omitempty"` // whether the job is configured
}

// Listing says whether the fleet's current configuration lists a scheduled job.
type Listing int

// The listings of a job.
const (
	ListingCurrent  Listing = iota // configured
	ListingRemoved                 // no longer configured; controllers with earlier settings may still run it
	ListingRestored                // configured again after it was removed, and not claimed since
)

// run returns the run for a due time, nil if there is none.
func (j *ScheduledJob) run(due int64) *Run {
	if j == nil {
		return nil
	}
	for i := range j.Runs {
		if j.Runs[i].Due == due {
			return &j.Runs[i]
		}
	}
	return nil
}

// OpenRuns returns the number of runs that are not finished.
func (j *ScheduledJob) OpenRuns() (count int) {
	for _, run := range j.Runs {
		if !run.State.Finished() {
			count++
		}
	}
	return count
}

// dropOldRuns drops the oldest finished runs, so that at most retainedRuns remain.
func (j *ScheduledJob) dropOldRuns() { j.dropFinishedRuns(retainedRuns) }

// dropFinishedRuns drops the oldest finished runs, so that at most the given number remain.
func (j *ScheduledJob) dropFinishedRuns(retained int) {
	finished := len(j.Runs) - j.OpenRuns()
	j.Runs = slices.DeleteFunc(j.Runs, func(run Run) bool {
		if finished <= retained || !run.State.Finished() {
			return false
		}
		finished--
		return true
	})
}

// listJobs records which jobs are configured from now on. A job that no longer is keeps its latest due time: controllers that
// still have earlier settings must not run again what has run.
func (m *Machine) listJobs(names []string) {
	for name, job := range m.ScheduledJobs {
		switch listed := slices.Contains(names, name); {
		case !listed:
			job.Listing = ListingRemoved
			job.dropFinishedRuns(0)
		case job.Listing == ListingRemoved:
			job.Listing = ListingRestored
		}
	}
	m.dropRemovedJobs()
}

// dropRemovedJobs drops removed jobs without an open run, those with the earliest due times first, so that at most
// retainedRemovedJobs remain.
func (m *Machine) dropRemovedJobs() {
	var removed []string
	for name, job := range m.ScheduledJobs {
		if job.Listing == ListingRemoved && job.OpenRuns() == 0 {
			removed = append(removed, name)
		}
	}
	slices.SortFunc(removed, func(x, y string) int {
		return cmp.Or(cmp.Compare(m.ScheduledJobs[x].LastDue, m.ScheduledJobs[y].LastDue), cmp.Compare(x, y))
	})
	for _, name := range removed[:max(len(removed)-retainedRemovedJobs, 0)] {
		delete(m.ScheduledJobs, name)
	}
}

// atJobLimit reports whether no further job may be added.
func (m *Machine) atJobLimit() bool {
	count := 0
	for _, job := range m.ScheduledJobs {
		if job.Listing != ListingRemoved {
			count++
		}
	}
	return count >= maxScheduledJobs
}

// appendRun adds a run that is later than all earlier ones of a job, which is created if necessary.
func (m *Machine) appendRun(name string, run Run) {
	job := m.ScheduledJobs[name]
	if job == nil {
		job = &ScheduledJob{}
		m.ScheduledJobs[name] = job
	}
	if job.Listing == ListingRestored {
		job.Listing = ListingCurrent
	}
	job.LastDue = run.Due
	job.Runs = append(job.Runs, run)
	job.dropOldRuns()
}

// runClaim is what the owner of a job's shard presents with a command on one of its runs.
type runClaim struct {
	shardClaim
	job string
	due int64 // Unix seconds
}

// claimRun is the command by which the owner of a job's shard claims a run.
type claimRun struct {
	runClaim
	nonIdempotent bool
	rerun         bool // the owner knows that the run was sent earlier, perhaps by itself, and that it may be sent again
}

// claimRun claims a new run, or one that another owner claimed or sent earlier. The claim of a non-idempotent run that may
// have run is rejected.
func (m *Machine) claimRun(c claimRun) error {
	if err := m.checkOwner(c.shardClaim); err != nil {
		return err
	}
	run := m.ScheduledJobs[c.job].run(c.due)
	switch {
	case run == nil:
		if err := m.addRun(c); err != nil {
			return err
		}
	case run.State == RunClaimed:
		run.Owner, run.Fence = c.owner, c.fence
	case run.State == RunSent && run.NonIdempotent:
		return reject(ErrInvalid, "job %q: the run due at %d may have run", c.job, c.due)
	case run.State == RunSent && (c.fence > run.Fence || c.rerun):
		run.Owner, run.Fence, run.State = c.owner, c.fence, RunClaimed
	default:
		return reject(ErrInvalid, "job %q: the run due at %d is in state %q", c.job, c.due, run.State)
	}
	m.ScheduledJobs[c.job].dropOldRuns()
	return nil
}

// addRun adds a run that is claimed for the first time.
func (m *Machine) addRun(c claimRun) error {
	job, exists := m.ScheduledJobs[c.job]
	switch {
	case !exists && m.atJobLimit():
		return reject(ErrLimit, "there are already %d scheduled jobs, the limit", maxScheduledJobs)
	case exists && c.due <= job.LastDue:
		return reject(ErrInvalid, "job %q: the run due at %d is finished or was missed, the latest is due at %d", c.job, c.due, job.LastDue)
	case exists && job.OpenRuns() >= maxOpenRuns:
		return reject(ErrLimit, "job %q already has %d open runs, the limit", c.job, maxOpenRuns)
	}
	m.appendRun(c.job, Run{Due: c.due, NonIdempotent: c.nonIdempotent, Owner: c.owner, Fence: c.fence})
	return nil
}

// startRun records that a claimed run is sent. Its owner proposes this before it sends the first byte.
func (m *Machine) startRun(c runClaim) error {
	if err := m.checkOwner(c.shardClaim); err != nil {
		return err
	}
	run := m.ScheduledJobs[c.job].run(c.due)
	switch {
	case run == nil || run.Fence != c.fence || run.State != RunClaimed && run.State != RunSent:
		return reject(ErrFenced, "job %q: the run due at %d is not claimed with fencing token %d", c.job, c.due, c.fence)
	case run.State == RunClaimed: // otherwise the owner repeats a proposal whose result was lost
		run.State = RunSent
		run.Executions++
		run.Attempts++
	}
	return nil
}

// finishRun is the command that records how a run ended. The state RunClaimed means that nothing of it ran.
type finishRun struct {
	runClaim
	state   RunState
	outcome string
}

// finishRun accepts the outcome even if the shard has a new owner by now, unless the new owner has claimed the run again.
func (m *Machine) finishRun(f finishRun) error {
	job := m.ScheduledJobs[f.job]
	run := job.run(f.due)
	switch {
	case run == nil || run.Fence != f.fence || run.Owner != f.owner:
		return reject(ErrFenced, "job %q: the run due at %d is not claimed by %s with fencing token %d", f.job, f.due, f.owner.Name, f.fence)
	case run.State.Finished():
		return reject(ErrInvalid, "job %q: the run due at %d is in state %q", f.job, f.due, run.State)
	case f.state == RunClaimed && run.State != RunClaimed:
		run.State = RunClaimed
		run.Executions--
	case f.state == RunDone || f.state == RunFailed || f.state == RunUncertain:
		run.State, run.Outcome = f.state, truncate(f.outcome)
	default:
		return reject(ErrInvalid, "job %q: a run can't end in state %q", f.job, f.state)
	}
	job.dropOldRuns()
	return nil
}

// markRunUncertain records that a run may have run. The current owner of the job's shard proposes it for a run that an
// earlier owner sent, or that it sent itself without being able to record the outcome.
func (m *Machine) markRunUncertain(c runClaim) error {
	if err := m.checkOwner(c.shardClaim); err != nil {
		return err
	}
	run := m.ScheduledJobs[c.job].run(c.due)
	if run == nil || run.State != RunSent || run.Fence >= c.fence && run.Owner != c.owner {
		return reject(ErrInvalid, "job %q: the run due at %d was not sent earlier", c.job, c.due)
	}
	run.State, run.Outcome = RunUncertain, "its owner was lost after it was sent"
	return nil
}

// skipRun is the command that records that a due time passed without a run.
type skipRun struct {
	runClaim
	reason string
}

func (m *Machine) skipRun(s skipRun) error {
	if err := m.checkOwner(s.shardClaim); err != nil {
		return err
	}
	job, exists := m.ScheduledJobs[s.job]
	switch {
	case exists && s.due <= job.LastDue:
		return reject(ErrInvalid, "job %q: the run due at %d is not later than the latest", s.job, s.due)
	case !exists && m.atJobLimit():
		return reject(ErrLimit, "there are already %d scheduled jobs, the limit", maxScheduledJobs)
	}
	m.appendRun(s.job, Run{Due: s.due, State: RunMissed, Owner: s.owner, Fence: s.fence, Outcome: truncate(s.reason)})
	return nil
}

// resolveRun is the command by which an operator decides what happened to an uncertain run.
type resolveRun struct {
	job   string
	due   int64 // Unix seconds
	rerun bool  // nothing ran, and the run is to be made now
	note  string
}

func (m *Machine) resolveRun(r resolveRun) error {
	job := m.ScheduledJobs[r.job]
	run := job.run(r.due)
	switch {
	case run == nil || run.State != RunUncertain:
		return reject(ErrInvalid, "job %q: no run due at %d waits to be resolved", r.job, r.due)
	case r.rerun:
		run.State, run.Outcome = RunClaimed, ""
		run.Owner, run.Fence, run.Executions = ControllerID{}, 0, 0
	default:
		run.State, run.Outcome = RunResolved, truncate(r.note)
	}
	job.dropOldRuns()
	return nil
}

func truncate(text string) string { return text[:min(len(text), maxOutcomeLength)] }
