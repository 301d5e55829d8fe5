package sharedwork

import (
	"slices"
	"strings"

	"github.com/robfig/cron/v3"

	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// SectionText describes the section of the settings.
const SectionText = "what the fleet does as one; docs/operators/duties.md"

// TeamQuantityPrefix is the prefix of a team's budget among the quantities of a fleet.
const TeamQuantityPrefix = "team/"

// Bounds of the settings.
const (
	maxJobs        = 1000
	maxJobName     = 64      // bytes
	maxStatement   = 1 << 16 // bytes
	maxInterval    = 60      // seconds between health checks
	secondsOfDay   = 86400
	maxMemory      = 1e9 // MB
	maxJobAttempts = 1000
	minRetryDelay  = 0.05 // seconds
)

// Options are the operator's settings of shared work. Times are seconds.
type Options struct {
	HealthCheckInterval float64 // between health checks of an engine on the fleet's behalf, 0 for none
	ReduceWidelyPolled  bool    // engines that several controllers poll for their own requests are checked seldom
	PublishList         bool    // one controller publishes the endpoint list for all
	ListFallback        float64 // after so long without the fleet a controller uses its local list
	SendFencingToken    bool    // engines get a fencing token with each attempt
	Jobs                []Job
}

// Job is a scheduled statement.
type Job struct {
	Name, Class, Team, Statement string
	Schedule                     cron.Schedule
	Timeout, Work, Memory        float64 // 0 for the class's timeout, and for estimates that are not known
	assignment.JobSpec
}

// Class is what scheduled jobs need to know of a workload class.
type Class struct {
	Name       string
	Idempotent bool
	Timeout    float64 // seconds
}

// catchUpPolicies are the settings' words for the policies.
var catchUpPolicies = map[string]assignment.CatchUpPolicy{
	"skip":   assignment.CatchUpNone,
	"latest": assignment.CatchUpLatest,
	"each":   assignment.CatchUpAll,
}

// Declare declares the section.
func (d *Options) Declare(o *schema.Object, classes []Class, teams []string) {
	declareSeconds(o, &d.HealthCheckInterval, "probe", "between questions to an engine for its load, by one controller for all; 0 for none", 0, 0, maxInterval)
	o.Bool(&d.ReduceWidelyPolled, "sparing", "engines that three controllers or more have asked for their own jobs are probed a quarter as often: fewer questions, older readings for the others", schema.Default(false))
	o.Bool(&d.PublishList, "list", "one controller reads the file of engines for all; the others fall back to their own reading", schema.Default(false))
	declareSeconds(o, &d.ListFallback, "fallback", "without a word from the fleet, after which a controller takes its own reading of the list", 10, 0.1, secondsOfDay)
	o.Bool(&d.SendFencingToken, "fence", "engines take a field fence with a dispatch, JOB:NUMBER, and refuse one lower than they have seen of that job", schema.Default(false))
	o.List("jobs", "statements that the fleet runs by time table, each occurrence by one controller", maxJobs, func(o *schema.Object, _ int) {
		j := declareJob(o)
		d.checkJob(o, &j, classes, teams)
		d.Jobs = append(d.Jobs, j)
	})
}

func declareSeconds(o *schema.Object, to *float64, name, text string, fallback, low, high float64) {
	o.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
}

// declareJob declares the options of one job.
func declareJob(o *schema.Object) Job {
	var j Job
	var late, schedule, zone string
	var grace, retryDelay float64
	o.String(&j.Name, "name", "the same for good: what has run is known by it", schema.Required(), schema.Length(maxJobName))
	o.String(&schedule, "schedule", "when: minute hour day month weekday, or @every 1h30m, @hourly, @daily", schema.Required())
	o.String(&zone, "zone", "time zone of the schedule, as Europe/Berlin", schema.Default("UTC"))
	o.String(&j.Statement, "statement", "what is run", schema.Required(), schema.Length(maxStatement))
	o.String(&j.Class, "type", "reservation type", schema.Required())
	o.String(&j.Team, "team", "whose budget it counts against")
	declareSeconds(o, &j.Timeout, "timeout", "job timeout; 0 for its type's", 0, 0, secondsOfDay)
	declareSeconds(o, &j.Work, "work", "estimated work; 0 for not known", 0, 0, secondsOfDay)
	o.Number(&j.Memory, "memory_mb", "estimated memory; 0 for not known", schema.Default(0.0), schema.Between(0, maxMemory), schema.Unit("MB"))
	o.String(&late, "late", "of occurrences that nobody could run in their time: skip, run the latest of them late, or run each", schema.Default("skip"), schema.OneOf("skip", "latest", "each"))
	declareSeconds(o, &grace, "grace", "after its time that an occurrence is not late yet", 60, 1, secondsOfDay)
	declareSeconds(o, &retryDelay, "rest", "before an occurrence that did not run is tried again", 5, minRetryDelay, secondsOfDay)
	schema.Integer(o, &j.MaxAttempts, "tries", "of one occurrence, at the most", schema.Default(5), schema.Between(1, maxJobAttempts))
	if schedule != "" {
		parsed, err := parseSchedule(schedule, zone)
		if err != nil {
			o.AddError("schedule", "%v", err)
		}
		j.Schedule = parsed
	}
	j.CatchUp = catchUpPolicies[late]
	j.Grace = int64(grace)
	j.RetryDelay = int64(max(retryDelay, 1))
	return j
}

// checkJob checks a job against the rest of the settings, and takes what its class says.
func (d *Options) checkJob(o *schema.Object, j *Job, classes []Class, teams []string) {
	index := slices.IndexFunc(classes, func(c Class) bool { return c.Name == j.Class })
	switch {
	case index < 0 && j.Class != "":
		o.AddError("type", "%q is no reservation type", j.Class)
	case index >= 0:
		j.NonIdempotent = !classes[index].Idempotent
		if j.Timeout == 0 {
			j.Timeout = classes[index].Timeout
		}
	}
	if j.Team != "" && !slices.Contains(teams, j.Team) {
		o.AddError("team", "%q is no team", j.Team)
	}
	if slices.ContainsFunc(d.Jobs, func(other Job) bool { return other.Name == j.Name }) {
		o.AddError("name", "%q stands there twice", j.Name)
	}
}

// Enabled reports whether there is any shared work.
func (d *Options) Enabled() bool {
	return d != nil && (d.HealthCheckInterval > 0 || d.PublishList || len(d.Jobs) > 0)
}

// Tasks are the tasks whose shards the fleet assigns. Overrides need none.
func (d *Options) Tasks() []state.Task {
	var names []string
	if d.HealthCheckInterval > 0 {
		names = append(names, assignment.HealthChecks)
	}
	if d.PublishList {
		names = append(names, assignment.EngineList)
	}
	if len(d.Jobs) > 0 {
		names = append(names, assignment.ScheduledJobs)
	}
	var tasks []state.Task
	for _, name := range names {
		tasks = append(tasks, state.Task{Name: name, Shards: assignment.ShardCounts[name]})
	}
	return tasks
}

// JobNames are the names of the scheduled jobs.
func (d *Options) JobNames() []string {
	var names []string
	for _, j := range d.Jobs {
		names = append(names, j.Name)
	}
	return names
}

// teamOfQuantity is the team whose budget a quantity of the fleet is.
func teamOfQuantity(quantity string) string { return strings.TrimPrefix(quantity, TeamQuantityPrefix) }
