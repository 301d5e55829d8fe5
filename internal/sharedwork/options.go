package sharedwork

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/robfig/cron/v3"

	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Options are the operator's settings of what a fleet does as one. Times are seconds.
type Options struct {
	Probe    float64 // between questions to an engine, 0 for none on the fleet's behalf
	Sparing  bool    // engines that several controllers read are probed seldom
	List     bool    // one controller reads the list of engines for all
	Fallback float64 // after so long without the fleet each takes its own reading
	Fence    bool    // engines take a fence with a dispatch
	Jobs     []Job
}

// Job is a scheduled one.
type Job struct {
	Name, Type, Team, Statement string
	Schedule                    cron.Schedule
	Allow, Work, Memory         float64
	assignment.JobSpec
}

// Type is a reservation type, as far as scheduled jobs need to know it.
type Type struct {
	Name        string
	Restartable bool
	Timeout     float64 // job timeout
}

// lates are the words for what becomes of late occurrences.
var lates = map[string]assignment.CatchUpPolicy{"skip": assignment.CatchUpNone, "latest": assignment.CatchUpLatest, "each": assignment.CatchUpAll}

// Declare declares the section.
func (d *Options) Declare(o *schema.Object, types []Type, teams []string) {
	seconds := func(o *schema.Object, to *float64, name, text string, fallback, low, high float64) {
		o.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
	}
	seconds(o, &d.Probe, "probe", "between questions to an engine for its load, by one controller for all; 0 for none", 0, 0, 60)
	o.Bool(&d.Sparing, "sparing", "engines that three controllers or more have asked for their own jobs are probed a quarter as often: fewer questions, older readings for the others", schema.Default(false))
	o.Bool(&d.List, "list", "one controller reads the file of engines for all; the others fall back to their own reading", schema.Default(false))
	seconds(o, &d.Fallback, "fallback", "without a word from the fleet, after which a controller takes its own reading of the list", 10, 0.1, 86400)
	o.Bool(&d.Fence, "fence", "engines take a field fence with a dispatch, JOB:NUMBER, and refuse one lower than they have seen of that job", schema.Default(false))
	o.List("jobs", "statements that the fleet runs by time table, each occurrence by one controller", 1000, func(o *schema.Object, i int) {
		j := Job{}
		late, schedule, zone, tries, grace, rest := "", "", "", 0, 0.0, 0.0
		o.Text(&j.Name, "name", "the same for good: what has run is known by it", schema.Required(), schema.Length(64))
		o.Text(&schedule, "schedule", "when: minute hour day month weekday, or @every 1h30m, @hourly, @daily", schema.Required())
		o.Text(&zone, "zone", "time zone of the schedule, as Europe/Berlin", schema.Default("UTC"))
		o.Text(&j.Statement, "statement", "what is run", schema.Required(), schema.Length(1<<16))
		o.Text(&j.Type, "type", "reservation type", schema.Required())
		o.Text(&j.Team, "team", "whose budget it counts against")
		seconds(o, &j.Allow, "timeout", "job timeout; 0 for its type's", 0, 0, 86400)
		seconds(o, &j.Work, "work", "estimated work; 0 for not known", 0, 0, 86400)
		o.Number(&j.Memory, "memory_mb", "estimated memory; 0 for not known", schema.Default(0.0), schema.Between(0, 1e9), schema.Unit("MB"))
		o.Text(&late, "late", "of occurrences that nobody could run in their time: skip, run the latest of them late, or run each", schema.Default("skip"), schema.OneOf("skip", "latest", "each"))
		seconds(o, &grace, "grace", "after its time that an occurrence is not late yet", 60, 1, 86400)
		seconds(o, &rest, "rest", "before an occurrence that did not run is tried again", 5, 0.05, 86400)
		schema.Whole(o, &tries, "tries", "of one occurrence, at the most", schema.Default(5), schema.Between(1, 1000))
		if schedule != "" {
			s, err := parse(schedule, zone)
			if err != nil {
				o.Fault("schedule", "%v", err)
			}
			j.Schedule = s
		}
		at := slices.IndexFunc(types, func(t Type) bool { return t.Name == j.Type })
		switch {
		case at < 0 && j.Type != "":
			o.Fault("type", "%q is no reservation type", j.Type)
		case at >= 0:
			j.NonIdempotent = !types[at].Restartable
			if j.Allow == 0 {
				j.Allow = types[at].Timeout
			}
		}
		if j.Team != "" && !slices.Contains(teams, j.Team) {
			o.Fault("team", "%q is no team", j.Team)
		}
		if slices.ContainsFunc(d.Jobs, func(other Job) bool { return other.Name == j.Name }) {
			o.Fault("name", "%q stands there twice", j.Name)
		}
		j.CatchUp, j.Grace, j.RetryDelay, j.MaxAttempts = lates[late], int64(grace), int64(max(rest, 1)), tries
		d.Jobs = append(d.Jobs, j)
	})
}

// parse reads a schedule. Its times are whole seconds of the Unix clock, at all controllers the same.
func parse(schedule, zone string) (cron.Schedule, error) {
	if _, err := time.LoadLocation(zone); err != nil {
		return nil, fmt.Errorf("time zone %q is not known here", zone)
	}
	s, err := cron.ParseStandard("CRON_TZ=" + zone + " " + schedule)
	if every, is := s.(cron.ConstantDelaySchedule); err == nil && is {
		return aligned(every.Delay / time.Second), nil // from the clock, not from when a controller started
	}
	return s, err
}

// aligned are whole multiples of a time.
type aligned int64

func (a aligned) Next(t time.Time) time.Time {
	every := max(int64(a), 1)
	return time.Unix((t.Unix()/every+1)*every, 0)
}

// On tells whether anything is done as one.
func (d *Options) On() bool { return d != nil && (d.Probe > 0 || d.List || len(d.Jobs) > 0) }

// Duties are those that the fleet parts. Orders need none.
func (d *Options) Duties() (all []state.Task) {
	add := func(name string) { all = append(all, state.Task{Name: name, Shards: assignment.ShardCounts[name]}) }
	if d.Probe > 0 {
		add(assignment.HealthChecks)
	}
	if d.List {
		add(assignment.EngineList)
	}
	if len(d.Jobs) > 0 {
		add(assignment.ScheduledJobs)
	}
	return all
}

// Names are those of the jobs.
func (d *Options) Names() (names []string) {
	for _, j := range d.Jobs {
		names = append(names, j.Name)
	}
	return names
}

// About is what the section of the settings is for.
const About = "what the fleet does as one; docs/operators/duties.md"

// TeamQuantity is the prefix of a team's budget among what a fleet divides.
const TeamQuantity = "team/"

func teamOf(quantity string) string { return strings.TrimPrefix(quantity, TeamQuantity) }
