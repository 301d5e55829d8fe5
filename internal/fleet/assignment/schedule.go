package assignment

import "slices"

// CatchUpPolicy is what becomes of an occurrence whose time passed while nobody could run it.
type CatchUpPolicy int

const (
	CatchUpNone   CatchUpPolicy = iota // it is missed, unless it is no later than the grace
	CatchUpLatest                      // the last of them runs late, the others are missed
	CatchUpAll                         // each runs, one after the other
)

// JobSpec is what the settings say of a scheduled job. Times are seconds.
type JobSpec struct {
	CatchUp       CatchUpPolicy
	Grace         int64 // after its time an occurrence is no later than due
	NonIdempotent bool  // a dispatch of it may not be repeated
	RetryDelay    int64 // after one that did not run, before it is tried again
	MaxAttempts   int   // of one occurrence, at the most
}

// Occurrence is one that the fleet knows of and that is not over.
type Occurrence struct {
	Due       int64
	Sent      bool // its first byte may have gone
	Uncertain bool // it waits for a person's word
	Fence     uint64
	Attempts  int
}

// JobHistory is what the fleet knows of a job: the latest occurrence that was taken or missed, and those not over.
type JobHistory struct {
	LastDue int64
	Open    []Occurrence
}

// Action is a step for one occurrence.
type Action struct {
	Kind   ActionKind
	Due    int64
	Reason string
}

// ActionKind is a kind of step.
type ActionKind int

const (
	ActionRun           ActionKind = iota // take it, record that it is sent, send it
	ActionSkip                            // record that it is missed
	ActionMarkUncertain                   // record that it may have run
	ActionGiveUp                          // record that it is given up
)

// NextActions tells the owner of a job's slice, under that fence, what to do now. due are the times after View.Last up to now
// by the time table; mine tells whether an occurrence is under way here. An occurrence begins while none before it is
// open, so one longer than the interval delays the next, which then is late.
func NextActions(spec JobSpec, v JobHistory, due []int64, now int64, fence uint64, mine func(when int64) bool, tried func(when int64) int64) (actions []Action) {
	open := false
	for _, o := range v.Open {
		switch {
		case mine(o.Due):
			open = true
		case o.Uncertain: // it holds up none that follow: a person may be long in coming
		case o.Sent && spec.NonIdempotent:
			// Sent under an earlier fence, or under this one by a life that is no more: it may have run.
			actions = append(actions, Action{ActionMarkUncertain, o.Due, "may have run"})
		case spec.MaxAttempts > 0 && o.Attempts >= spec.MaxAttempts && !o.Sent:
			actions = append(actions, Action{ActionGiveUp, o.Due, "did not run in any try"})
		case open:
		case now < tried(o.Due)+spec.RetryDelay:
			open = true
		default:
			actions = append(actions, Action{Kind: ActionRun, Due: o.Due})
			open = true
		}
	}
	due = slices.DeleteFunc(slices.Clone(due), func(when int64) bool { return when <= v.LastDue || when > now })
	slices.Sort(due)
	if spec.CatchUp == CatchUpNone {
		for len(due) > 0 && due[0]+spec.Grace < now {
			why := "nobody could run it in its time"
			if open {
				why = "the one before it ran until then"
			}
			actions = append(actions, Action{ActionSkip, due[0], why})
			due = due[1:]
		}
	}
	if spec.CatchUp == CatchUpLatest {
		for len(due) > 1 {
			actions = append(actions, Action{ActionSkip, due[0], "a later one runs in its place"})
			due = due[1:]
		}
	}
	if len(due) > 0 && !open {
		actions = append(actions, Action{Kind: ActionRun, Due: due[0]})
	}
	return actions
}
