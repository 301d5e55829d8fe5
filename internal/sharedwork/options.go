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
const SectionText = "work that the controllers of a fleet share; see docs/operators/duties.md"

// TeamQuantityPrefix precedes the team's name in the name of the quantity that is the team's budget.
const TeamQuantityPrefix = "team/"

// Limits of the settings.
const (
	maxJobs                = 1000
	maxJobName             = 64      // bytes
	maxStatement           = 1 << 16 // bytes
	maxHealthCheckInterval = 60      // seconds between health checks
	secondsPerDay          = 86400
	maxMemory              = 1e9 // MB
	maxJobAttempts         = 1000
	minRetryDelay          = 0.05 // seconds
)

// Options are the operator's settings of shared work. Times are seconds.
type Options struct {
	HealthCheckInterval float64 // interval between health checks of an engine on behalf of the fleet, 0 for none
	ReduceWidelyPolled  bool    // whether engines that several controllers poll for their own requests are checked less often
	PublishList         bool    // whether one controller publishes the endpoint list for all
	ListFallback        float64 // time without the fleet after which a controller uses its local list
	SendFencingToken    bool    // whether engines get a fencing token with each attempt of a scheduled job
	Jobs                []Job
}

// Job is a scheduled statement.
type Job struct {
	Name, Class, Team, Statement string
	Schedule                     cron.Schedule
	Timeout, Work, Memory        float64 // Memory is in MB; Work and Memory are 0 if not known, Timeout defaults to that of Class
	assignment.JobSpec
}

// Class holds the properties of a workload class that scheduled jobs depend on.
type Class struct {
	Name       string
	Idempotent bool
	Timeout    float64 // seconds
}

// catchUpPolicies maps the values of the setting "late" to policies.
var catchUpPolicies = map[string]assignment.CatchUpPolicy{
	"skip":   assignment.CatchUpNone,
	"latest": assignment.CatchUpLatest,
	"each":   assignment.CatchUpAll,
}

// Declare declares the settings of the section.
func (d *Options) Declare(o *schema.Object, classes []Class, teams []string) {
	o.Seconds(&d.HealthCheckInterval, "probe", "interval between polls of an engine for its load, by one controller for all; 0 for none", schema.Default(0.0), schema.Between(0, maxHealthCheckInterval))
	o.Bool(&d.ReduceWidelyPolled, "sparing", "engines that three or more controllers poll for their own jobs are probed a quarter as often: fewer polls, but older load reports for the others", schema.Default(false))
	o.Bool(&d.PublishList, "list", "one controller reads the file of engines and publishes it to the others, which fall back to reading it themselves", schema.Default(false))
	o.Seconds(&d.ListFallback, "fallback", "time without contact with the fleet after which a controller uses the list that it has read itself", schema.Default(10.0), schema.Between(0.1, secondsPerDay))
	o.Bool(&d.SendFencingToken, "fence", "engines get a field fence with each dispatch of a scheduled job, JOB:NUMBER, and refuse a number lower than one they have seen for that job", schema.Default(false))
	o.List("jobs", "statements that the fleet runs on a schedule, each occurrence by one controller", maxJobs, func(o *schema.Object, _ int) {
		j := declareJob(o)
		d.checkJob(o, &j, classes, teams)
		d.Jobs = append(d.Jobs, j)
	})
}

// declareJob declares the settings of one job.
func declareJob(o *schema.Object) Job {
	var j Job
	var late, schedule, zone string
	var grace, retryDelay float64
	o.String(&j.Name, "name", "name of the job, which must not change: past occurrences are recorded under it", schema.Required(), schema.MaxLength(maxJobName))
	o.String(&schedule, "schedule", "when the job runs: minute hour day month weekday, or @every 1h30m, @hourly, @daily", schema.Required())
	o.String(&zone, "zone", "time zone of the schedule, such as Europe/Berlin", schema.Default("UTC"))
	o.String(&j.Statement, "statement", "statement to run", schema.Required(), schema.MaxLength(maxStatement))
	o.String(&j.Class, "type", "reservation type", schema.Required())
	o.String(&j.Team, "team", "team whose budget the job counts against")
	o.Seconds(&j.Timeout, "timeout", "job timeout; 0 for that of its type", schema.Default(0.0), schema.Between(0, secondsPerDay))
	o.Seconds(&j.Work, "work", "estimated work; 0 if not known", schema.Default(0.0), schema.Between(0, secondsPerDay))
	o.Number(&j.Memory, "memory_mb", "estimated memory; 0 if not known", schema.Default(0.0), schema.Between(0, maxMemory), schema.Unit("MB"))
	o.String(&late, "late", "what to do with occurrences that no controller could run in time: skip them, run the latest of them late, or run each", schema.Default("skip"), schema.OneOf("skip", "latest", "each"))
	o.Seconds(&grace, "grace", "time after which an occurrence that has not started is late", schema.Default(60.0), schema.Between(1, secondsPerDay))
	o.Seconds(&retryDelay, "rest", "delay before an occurrence that did not run is tried again", schema.Default(5.0), schema.Between(minRetryDelay, secondsPerDay))
	schema.Integer(o, &j.MaxAttempts, "tries", "largest number of tries of one occurrence", schema.Default(5), schema.Between(1, maxJobAttempts))
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

// checkJob checks a job against the rest of the settings, and sets what follows from its class.
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

// Enabled reports whether any shared work is configured. It may be called on nil.
func (d *Options) Enabled() bool {
	return d != nil && (d.HealthCheckInterval > 0 || d.PublishList || len(d.Jobs) > 0)
}

// Tasks returns the tasks whose shards the fleet has to assign. Overrides need no task, because every controller applies
// them.
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

// JobNames returns the names of the scheduled jobs.
func (d *Options) JobNames() []string {
	var names []string
	for _, j := range d.Jobs {
		names = append(names, j.Name)
	}
	return names
}

// teamOfQuantity returns the name of the team whose budget a quantity is.
func teamOfQuantity(quantity string) string { return strings.TrimPrefix(quantity, TeamQuantityPrefix) }
