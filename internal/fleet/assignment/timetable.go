package assignment

import "slices"

// Late is what becomes of an occurrence whose time passed while nobody could run it.
type Late int

const (
	Skip   Late = iota // it is missed, unless it is no later than the grace
	Latest             // the last of them runs late, the others are missed
	Each               // each runs, one after the other
)

// Spec is what the settings say of a scheduled job. Times are seconds.
type Spec struct {
	Late  Late
	Grace int64 // after its time an occurrence is no later than due
	Once  bool  // a dispatch of it may not be repeated
	Rest  int64 // after one that did not run, before it is tried again
	Tries int   // of one occurrence, at the most
}

// Occurrence is one that the fleet knows of and that is not over.
type Occurrence struct {
	When  int64
	Sent  bool // its first byte may have gone
	Doubt bool // it waits for a person's word
	Fence uint64
	Tries int
}

// View is what the fleet knows of a job: the latest occurrence that was taken or missed, and those not over.
type View struct {
	Last int64
	Open []Occurrence
}

// Action is a step for one occurrence.
type Action struct {
	Do   Do
	When int64
	Why  string
}

// Do is a kind of step.
type Do int

const (
	Run    Do = iota // take it, record that it is sent, send it
	Miss             // record that it is missed
	Doubt            // record that it may have run
	GiveUp           // record that it is given up
)

// Decide tells the owner of a job's slice, under that fence, what to do now. due are the times after View.Last up to now
// by the time table; mine tells whether an occurrence is under way here. An occurrence begins while none before it is
// open, so one longer than the interval delays the next, which then is late.
func Decide(spec Spec, v View, due []int64, now int64, fence uint64, mine func(when int64) bool, tried func(when int64) int64) (actions []Action) {
	open := false
	for _, o := range v.Open {
		switch {
		case mine(o.When):
			open = true
		case o.Doubt: // it holds up none that follow: a person may be long in coming
		case o.Sent && spec.Once:
			// Sent under an earlier fence, or under this one by a life that is no more: it may have run.
			actions = append(actions, Action{Doubt, o.When, "may have run"})
		case spec.Tries > 0 && o.Tries >= spec.Tries && !o.Sent:
			actions = append(actions, Action{GiveUp, o.When, "did not run in any try"})
		case open:
		case now < tried(o.When)+spec.Rest:
			open = true
		default:
			actions = append(actions, Action{Do: Run, When: o.When})
			open = true
		}
	}
	due = slices.DeleteFunc(slices.Clone(due), func(when int64) bool { return when <= v.Last || when > now })
	slices.Sort(due)
	if spec.Late == Skip {
		for len(due) > 0 && due[0]+spec.Grace < now {
			why := "nobody could run it in its time"
			if open {
				why = "the one before it ran until then"
			}
			actions = append(actions, Action{Miss, due[0], why})
			due = due[1:]
		}
	}
	if spec.Late == Latest {
		for len(due) > 1 {
			actions = append(actions, Action{Miss, due[0], "a later one runs in its place"})
			due = due[1:]
		}
	}
	if len(due) > 0 && !open {
		actions = append(actions, Action{Do: Run, When: due[0]})
	}
	return actions
}
