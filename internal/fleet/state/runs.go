package state

import "slices"

// RunState is how far a run of a scheduled job has come.
type RunState int

// The states of a run.
const (
	RunClaimed   RunState = iota // by the owner of the job's shard; nothing has been sent
	RunSent                      // its first byte may go, or has gone
	RunDone                      // it succeeded
	RunFailed                    // it ran and failed, or was given up unsent
	RunUncertain                 // it may have run; an operator has to say
	RunMissed                    // its time passed without a run
	RunResolved                  // an operator has said what became of it
)

// String is the word that operators read.
func (s RunState) String() string {
	return [...]string{"taken", "sent", "done", "failed", "may have run", "missed", "settled"}[s]
}

// Finished tells whether the state is final.
func (s RunState) Finished() bool { return s >= RunDone && s != RunUncertain }

// Run is a scheduled job's run for one of its due times.
type Run struct {
	Due           int64        `msgpack:"When"` // Unix seconds
	State         RunState     `msgpack:"State"`
	NonIdempotent bool         `msgpack:"Once"` // it may not be sent again unless nothing ran
	Owner         ControllerID `msgpack:"Holder"`
	Fence         uint64       `msgpack:"Fence"` // under which it was claimed last
	Executions    int          `msgpack:"Sent"`  // times that it may have run
	Attempts      int          `msgpack:"Tries"` // times that it was sent, with those of which nothing ran
	Outcome       string       `msgpack:"Told"`  // how it ended, for operators
}

// ScheduledJob is what is known of the runs of one scheduled job.
type ScheduledJob struct {
	LastDue int64 `msgpack:"Last"` // the latest due time, in Unix seconds, that was claimed or skipped
	Runs    []Run `msgpack:"Runs"` // the open ones and the latest finished ones, oldest first
}

// run finds the run of a due time, nil for none.
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

// OpenRuns counts the runs that are not finished.
func (j *ScheduledJob) OpenRuns() (count int) {
	for _, run := range j.Runs {
		if !run.State.Finished() {
			count++
		}
	}
	return count
}

// dropOldRuns forgets the oldest finished runs beyond those that are retained.
func (j *ScheduledJob) dropOldRuns() {
	finished := len(j.Runs) - j.OpenRuns()
	j.Runs = slices.DeleteFunc(j.Runs, func(run Run) bool {
		if finished <= retainedRuns || !run.State.Finished() {
			return false
		}
		finished--
		return true
	})
}

// dropUnnamedJobs forgets jobs that are configured no more, once none of their runs is open.
func (m *Machine) dropUnnamedJobs(names []string) {
	for name, job := range m.ScheduledJobs {
		if !slices.Contains(names, name) && job.OpenRuns() == 0 {
			delete(m.ScheduledJobs, name)
		}
	}
}

// addJob gives a job, made where it is new.
func (m *Machine) addJob(name string) *ScheduledJob {
	job := m.ScheduledJobs[name]
	if job == nil {
		job = &ScheduledJob{}
		m.ScheduledJobs[name] = job
	}
	return job
}

// runClaim is what the owner of a job's shard presents with a command on one of its runs.
type runClaim struct {
	shardClaim
	job string
	due int64 // Unix seconds
}

// claimRun claims a run for the owner of its job's shard.
type claimRun struct {
	runClaim
	nonIdempotent bool
	rerun         bool // the owner itself sent it before and knows that it may be sent again
}

// claimRun claims a new run, or one that another owner has claimed or sent before. A non-idempotent run that may have run
// is rejected.
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
		return reject(ErrInvalid, "%q: the occurrence of %d may have run", c.job, c.due)
	case run.State == RunSent && (c.fence > run.Fence || c.rerun):
		run.Owner, run.Fence, run.State = c.owner, c.fence, RunClaimed
	default:
		return reject(ErrInvalid, "%q: the occurrence of %d is %v", c.job, c.due, run.State)
	}
	m.ScheduledJobs[c.job].dropOldRuns()
	return nil
}

// addRun adds a run that is claimed for the first time.
func (m *Machine) addRun(c claimRun) error {
	job, exists := m.ScheduledJobs[c.job]
	switch {
	case !exists && len(m.ScheduledJobs) >= maxScheduledJobs:
		return reject(ErrLimit, "there are %d jobs, the most", maxScheduledJobs)
	case exists && c.due <= job.LastDue:
		return reject(ErrInvalid, "%q: the occurrence of %d is over or missed, the latest is %d", c.job, c.due, job.LastDue)
	case exists && job.OpenRuns() >= maxOpenRuns:
		return reject(ErrLimit, "%q has %d occurrences open, the most", c.job, maxOpenRuns)
	}
	job = m.addJob(c.job)
	job.LastDue = c.due
	job.Runs = append(job.Runs, Run{Due: c.due, NonIdempotent: c.nonIdempotent, Owner: c.owner, Fence: c.fence})
	return nil
}

// startRun records that a claimed run is sent. Its owner proposes that before the first byte goes.
func (m *Machine) startRun(c runClaim) error {
	if err := m.checkOwner(c.shardClaim); err != nil {
		return err
	}
	run := m.ScheduledJobs[c.job].run(c.due)
	switch {
	case run == nil || run.Fence != c.fence || run.State != RunClaimed && run.State != RunSent:
		return reject(ErrFenced, "%q: the occurrence of %d was not taken under fence %d", c.job, c.due, c.fence)
	case run.State == RunClaimed: // else the owner repeats a proposal whose result was lost
		run.State = RunSent
		run.Executions++
		run.Attempts++
	}
	return nil
}

// finishRun records how a run ended. RunClaimed says that nothing of it ran.
type finishRun struct {
	runClaim
	state   RunState
	outcome string
}

// finishRun counts also when the shard has another owner by now, unless that one has claimed the run anew.
func (m *Machine) finishRun(f finishRun) error {
	job := m.ScheduledJobs[f.job]
	run := job.run(f.due)
	switch {
	case run == nil || run.Fence != f.fence || run.Owner != f.owner:
		return reject(ErrFenced, "%q: the occurrence of %d is not %s's under fence %d", f.job, f.due, f.owner.Name, f.fence)
	case run.State.Finished():
		return reject(ErrInvalid, "%q: the occurrence of %d is %v", f.job, f.due, run.State)
	case f.state == RunClaimed && run.State != RunClaimed:
		run.State = RunClaimed
		run.Executions--
	case f.state == RunDone || f.state == RunFailed || f.state == RunUncertain:
		run.State, run.Outcome = f.state, truncate(f.outcome)
	default:
		return reject(ErrInvalid, "%q: an occurrence does not end as %v", f.job, f.state)
	}
	job.dropOldRuns()
	return nil
}

// markRunUncertain records, by the present owner, that a run which an earlier owner sent may have run.
func (m *Machine) markRunUncertain(c runClaim) error {
	if err := m.checkOwner(c.shardClaim); err != nil {
		return err
	}
	run := m.ScheduledJobs[c.job].run(c.due)
	if run == nil || run.State != RunSent || run.Fence >= c.fence && run.Owner != c.owner {
		return reject(ErrInvalid, "%q: the occurrence of %d was not sent before", c.job, c.due)
	}
	run.State, run.Outcome = RunUncertain, "its owner was lost after it was sent"
	return nil
}

// skipRun records that a due time passed without a run.
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
		return reject(ErrInvalid, "%q: the occurrence of %d is not the next", s.job, s.due)
	case !exists && len(m.ScheduledJobs) >= maxScheduledJobs:
		return reject(ErrLimit, "there are %d jobs, the most", maxScheduledJobs)
	}
	job = m.addJob(s.job)
	job.LastDue = s.due
	job.Runs = append(job.Runs, Run{Due: s.due, State: RunMissed, Owner: s.owner, Fence: s.fence, Outcome: truncate(s.reason)})
	job.dropOldRuns()
	return nil
}

// resolveRun is an operator's word on an uncertain run.
type resolveRun struct {
	job   string
	due   int64 // Unix seconds
	rerun bool  // nothing ran, and it is to run
	note  string
}

func (m *Machine) resolveRun(r resolveRun) error {
	job := m.ScheduledJobs[r.job]
	run := job.run(r.due)
	switch {
	case run == nil || run.State != RunUncertain:
		return reject(ErrInvalid, "%q: no occurrence of %d waits for a word", r.job, r.due)
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
