package assignment

import "slices"

// CatchUpPolicy is what becomes of due times that passed while nobody could run the job.
type CatchUpPolicy int

// The policies.
const (
	CatchUpNone   CatchUpPolicy = iota // they are skipped, except one that is late by no more than the grace
	CatchUpLatest                      // the latest runs late, the others are skipped
	CatchUpAll                         // each runs, one after the other
)

// JobSpec is how a scheduled job is run. Times are seconds.
type JobSpec struct {
	CatchUp       CatchUpPolicy
	Grace         int64 // for which a due time is not late yet
	NonIdempotent bool  // a run that may have had an effect must not be repeated
	RetryDelay    int64 // after an attempt of which nothing ran
	MaxAttempts   int   // of one run, 0 for no limit
}

// OpenRun is a run that is known to the fleet and not finished.
type OpenRun struct {
	Due       int64 // Unix seconds; names the run
	Sent      bool  // its first byte may have gone
	Uncertain bool  // an operator has to say whether it ran
	Fence     uint64
	Attempts  int
}

// JobHistory is what the fleet knows of a job.
type JobHistory struct {
	LastDue  int64 // the latest due time, in Unix seconds, that was claimed or skipped
	OpenRuns []OpenRun
}

// LocalRuns is what the owner of a job's shard knows of its own runs, by due time in Unix seconds.
type LocalRuns struct {
	IsRunning   func(due int64) bool  // it is in progress in this process
	LastAttempt func(due int64) int64 // when it was last tried here, in Unix seconds; far in the past for never
}

// Action is what to do about the run of one due time.
type Action struct {
	Kind   ActionKind
	Due    int64  // Unix seconds
	Reason string // for operators
}

// ActionKind is a kind of action.
type ActionKind int

// The kinds of action.
const (
	ActionRun           ActionKind = iota // claim it, record that it is sent, send it
	ActionSkip                            // record that it is skipped
	ActionMarkUncertain                   // record that it may have run
	ActionGiveUp                          // record that it is given up
)

// NextActions tells the owner of a job's shard what to do now, in Unix seconds. due are the due times after
// history.LastDue up to now. A run begins only while no earlier one is open, so one that takes longer than the interval
// makes the next one late.
func NextActions(spec JobSpec, history JobHistory, now int64, due []int64, local LocalRuns) (actions []Action) {
	actions, busy := actionsForOpenRuns(spec, history.OpenRuns, now, local)
	due = slices.DeleteFunc(slices.Clone(due), func(at int64) bool { return at <= history.LastDue || at > now })
	slices.Sort(due)
	skipped, due := skipLate(spec, now, due, busy)
	actions = append(actions, skipped...)
	if len(due) > 0 && !busy {
		actions = append(actions, Action{Kind: ActionRun, Due: due[0]})
	}
	return actions
}

// actionsForOpenRuns decides about the runs that are open. busy tells that no other run may begin.
func actionsForOpenRuns(spec JobSpec, runs []OpenRun, now int64, local LocalRuns) (actions []Action, busy bool) {
	for _, run := range runs {
		switch {
		case local.IsRunning(run.Due):
			busy = true
		case run.Uncertain: // it delays no later run: an operator may take long to answer
		case run.Sent && spec.NonIdempotent: // under an earlier token, or by an earlier process under this one: it may have run
			actions = append(actions, Action{ActionMarkUncertain, run.Due, "may have run"})
		case spec.MaxAttempts > 0 && run.Attempts >= spec.MaxAttempts && !run.Sent:
			actions = append(actions, Action{ActionGiveUp, run.Due, "did not run in any try"})
		case busy:
		case now < local.LastAttempt(run.Due)+spec.RetryDelay:
			busy = true
		default:
			actions = append(actions, Action{Kind: ActionRun, Due: run.Due})
			busy = true
		}
	}
	return actions, busy
}

// skipLate skips due times by the job's policy, and gives those that are left.
func skipLate(spec JobSpec, now int64, due []int64, busy bool) (actions []Action, left []int64) {
	switch spec.CatchUp {
	case CatchUpNone:
		reason := "nobody could run it in its time"
		if busy {
			reason = "the one before it ran until then"
		}
		for len(due) > 0 && due[0]+spec.Grace < now {
			actions = append(actions, Action{ActionSkip, due[0], reason})
			due = due[1:]
		}
	case CatchUpLatest:
		for len(due) > 1 {
			actions = append(actions, Action{ActionSkip, due[0], "a later one runs in its place"})
			due = due[1:]
		}
	}
	return actions, due
}
