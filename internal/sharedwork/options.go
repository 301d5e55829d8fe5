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
	HealthCheckInterval float64 // between questions to an engine, 0 for none on the fleet's behalf
	ReduceWidelyRead    bool    // engines that several controllers read are probed seldom
	PublishList         bool    // one controller reads the list of engines for all
	ListFallback        float64 // after so long without the fleet each takes its own reading
	SendFencingToken    bool    // engines take a fence with a dispatch
	Jobs                []Job
}

// Job is a scheduled one.
type Job struct {
	Name, Class, Team, Statement string
	Schedule                     cron.Schedule
	Timeout, Work, Memory        float64
	assignment.JobSpec
}

// Class is a reservation type, as far as scheduled jobs need to know it.
type Class struct {
	Name       string
	Idempotent bool
	Timeout    float64 // job timeout
}

// catchUpPolicies are the words for what becomes of late occurrences.
var catchUpPolicies = map[string]assignment.CatchUpPolicy{"skip": assignment.CatchUpNone, "latest": assignment.CatchUpLatest, "each": assignment.CatchUpAll}

// Declare declares the section.
func (d *Options) Declare(o *schema.Object, types []Class, teams []string) {
	seconds := func(o *schema.Object, to *float64, name, text string, fallback, low, high float64) {
		o.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
	}
	seconds(o, &d.HealthCheckInterval, "probe", "between questions to an engine for its load, by one controller for all; 0 for none", 0, 0, 60)
	o.Bool(&d.ReduceWidelyRead, "sparing", "engines that three controllers or more have asked for their own jobs are probed a quarter as often: fewer questions, older readings for the others", schema.Default(false))
	o.Bool(&d.PublishList, "list", "one controller reads the file of engines for all; the others fall back to their own reading", schema.Default(false))
	seconds(o, &d.ListFallback, "fallback", "without a word from the fleet, after which a controller takes its own reading of the list", 10, 0.1, 86400)
	o.Bool(&d.SendFencingToken, "fence", "engines take a field fence with a dispatch, JOB:NUMBER, and refuse one lower than they have seen of that job", schema.Default(false))
	o.List("jobs", "statements that the fleet runs by time table, each occurrence by one controller", 1000, func(o *schema.Object, i int) {
		j := Job{}
		late, schedule, zone, tries, grace, rest := "", "", "", 0, 0.0, 0.0
		o.Text(&j.Name, "name", "the same for good: what has run is known by it", schema.Required(), schema.Length(64))
		o.Text(&schedule, "schedule", "when: minute hour day month weekday, or @every 1h30m, @hourly, @daily", schema.Required())
		o.Text(&zone, "zone", "time zone of the schedule, as Europe/Berlin", schema.Default("UTC"))
		o.Text(&j.Statement, "statement", "what is run", schema.Required(), schema.Length(1<<16))
		o.Text(&j.Class, "type", "reservation type", schema.Required())
		o.Text(&j.Team, "team", "whose budget it counts against")
		seconds(o, &j.Timeout, "timeout", "job timeout; 0 for its type's", 0, 0, 86400)
		seconds(o, &j.Work, "work", "estimated work; 0 for not known", 0, 0, 86400)
		o.Number(&j.Memory, "memory_mb", "estimated memory; 0 for not known", schema.Default(0.0), schema.Between(0, 1e9), schema.Unit("MB"))
		o.Text(&late, "late", "of occurrences that nobody could run in their time: skip, run the latest of them late, or run each", schema.Default("skip"), schema.OneOf("skip", "latest", "each"))
		seconds(o, &grace, "grace", "after its time that an occurrence is not late yet", 60, 1, 86400)
		seconds(o, &rest, "rest", "before an occurrence that did not run is tried again", 5, 0.05, 86400)
		schema.Whole(o, &tries, "tries", "of one occurrence, at the most", schema.Default(5), schema.Between(1, 1000))
		if schedule != "" {
			s, err := parseSchedule(schedule, zone)
			if err != nil {
				o.Fault("schedule", "%v", err)
			}
			j.Schedule = s
		}
		at := slices.IndexFunc(types, func(t Class) bool { return t.Name == j.Class })
		switch {
		case at < 0 && j.Class != "":
			o.Fault("type", "%q is no reservation type", j.Class)
		case at >= 0:
			j.NonIdempotent = !types[at].Idempotent
			if j.Timeout == 0 {
				j.Timeout = types[at].Timeout
			}
		}
		if j.Team != "" && !slices.Contains(teams, j.Team) {
			o.Fault("team", "%q is no team", j.Team)
		}
		if slices.ContainsFunc(d.Jobs, func(other Job) bool { return other.Name == j.Name }) {
			o.Fault("name", "%q stands there twice", j.Name)
		}
		j.CatchUp, j.Grace, j.RetryDelay, j.MaxAttempts = catchUpPolicies[late], int64(grace), int64(max(rest, 1)), tries
		d.Jobs = append(d.Jobs, j)
	})
}

// parseSchedule reads a schedule. Its times are whole seconds of the Unix clock, at all controllers the same.
func parseSchedule(schedule, zone string) (cron.Schedule, error) {
	if _, err := time.LoadLocation(zone); err != nil {
		return nil, fmt.Errorf("time zone %q is not known here", zone)
	}
	s, err := cron.ParseStandard("CRON_TZ=" + zone + " " + schedule)
	if every, is := s.(cron.ConstantDelaySchedule); err == nil && is {
		return alignedInterval(every.Delay / time.Second), nil // from the clock, not from when a controller started
	}
	return s, err
}

// alignedInterval are whole multiples of a time.
type alignedInterval int64

func (a alignedInterval) Next(t time.Time) time.Time {
	every := max(int64(a), 1)
	return time.Unix((t.Unix()/every+1)*every, 0)
}

// Enabled tells whether anything is done as one.
func (d *Options) Enabled() bool {
	return d != nil && (d.HealthCheckInterval > 0 || d.PublishList || len(d.Jobs) > 0)
}

// Tasks are those that the fleet parts. Orders need none.
func (d *Options) Tasks() (all []state.Task) {
	add := func(name string) { all = append(all, state.Task{Name: name, Shards: assignment.ShardCounts[name]}) }
	if d.HealthCheckInterval > 0 {
		add(assignment.HealthChecks)
	}
	if d.PublishList {
		add(assignment.EngineList)
	}
	if len(d.Jobs) > 0 {
		add(assignment.ScheduledJobs)
	}
	return all
}

// JobNames are those of the jobs.
func (d *Options) JobNames() (names []string) {
	for _, j := range d.Jobs {
		names = append(names, j.Name)
	}
	return names
}

// SectionText is what the section of the settings is for.
const SectionText = "what the fleet does as one; docs/operators/duties.md"

// TeamQuantityPrefix is the prefix of a team's budget among what a fleet divides.
const TeamQuantityPrefix = "team/"

func teamOfQuantity(quantity string) string { return strings.TrimPrefix(quantity, TeamQuantityPrefix) }
