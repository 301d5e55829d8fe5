package assignment

import "slices"

// CatchUpPolicy determines what happens to due times that passed while no controller could run the job.
type CatchUpPolicy int

// The policies.
const (
	CatchUpNone   CatchUpPolicy = iota // they are skipped, unless they are late by no more than the grace period
	CatchUpLatest                      // the latest runs late, the others are skipped
	CatchUpAll                         // each runs, one after the other
)

// JobSpec defines how a scheduled job is run. Times are seconds.
type JobSpec struct {
	CatchUp       CatchUpPolicy
	Grace         int64 // grace period after a due time in which it does not count as late
	NonIdempotent bool  // a run that may have had an effect must not be repeated
	RetryDelay    int64 // delay after an attempt of which nothing ran
	MaxAttempts   int   // limit on the attempts of one run, 0 for none
}

// OpenRun is a run in the replicated state that is not finished.
type OpenRun struct {
	Due       int64 // Unix seconds; identifies the run
	Sent      bool  // its first byte may have been sent
	Uncertain bool  // it may have run; an operator has to resolve it
	Fence     uint64
	Attempts  int
}

// JobHistory holds what the replicated state records about a job.
type JobHistory struct {
	LastDue  int64 // latest due time, in Unix seconds, that was claimed or skipped
	OpenRuns []OpenRun
}

// LocalRuns holds what the owner of a job's shard knows about its own runs, by due time in Unix seconds.
type LocalRuns struct {
	IsRunning   func(due int64) bool  // reports whether the run is in progress in this process
	LastAttempt func(due int64) int64 // returns when this process last attempted it, in Unix seconds; far in the past for never
}

// Action is what to do about the run for one due time.
type Action struct {
	Kind   ActionKind
	Due    int64  // Unix seconds
	Reason string // for operators
}

// ActionKind is a kind of Action.
type ActionKind int

// The kinds of action.
const (
	ActionRun           ActionKind = iota // claim the run, record that it is sent, and send it
	ActionSkip                            // record that the run is skipped
	ActionMarkUncertain                   // record that the run may have run
	ActionGiveUp                          // record that the run is given up
)

// NextActions returns what the owner of a job's shard should do at the time now, in Unix seconds. due holds the job's due
// times after history.LastDue and up to now; others are ignored. A run begins only when no earlier run is in progress or
// waiting for a retry, so a run that takes longer than the interval between due times makes the next one late.
func NextActions(spec JobSpec, history JobHistory, now int64, due []int64, local LocalRuns) (actions []Action) {
	actions, busy := actionsForOpenRuns(spec, history.OpenRuns, now, local)
	due = slices.DeleteFunc(slices.Clone(due), func(at int64) bool { return at <= history.LastDue || at > now })
	slices.Sort(due)
	skips, due := skipLate(spec, now, due, busy)
	actions = append(actions, skips...)
	if len(due) > 0 && !busy {
		actions = append(actions, Action{Kind: ActionRun, Due: due[0]})
	}
	return actions
}

// actionsForOpenRuns returns the actions for the open runs. busy reports that no other run may begin.
func actionsForOpenRuns(spec JobSpec, runs []OpenRun, now int64, local LocalRuns) (actions []Action, busy bool) {
	for _, run := range runs {
		switch {
		case local.IsRunning(run.Due):
			busy = true
		case run.Uncertain: // does not delay later runs, because an operator may take long to resolve it
		case run.Sent && spec.NonIdempotent: // by an earlier owner, or by this one without a recorded outcome: it may have run
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

// skipLate returns actions that skip late due times according to the job's policy, and the remaining due times.
func skipLate(spec JobSpec, now int64, due []int64, busy bool) (actions []Action, remaining []int64) {
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
