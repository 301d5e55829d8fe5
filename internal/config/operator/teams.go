package operator

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fairshare"
)

// maxBudgets is the largest number of budgets.
const maxBudgets = 10000

// Teams holds the budgets of the teams and the settings of fair sharing. Without budgets, there is no fair sharing.
type Teams struct {
	Options fairshare.Options
	Budgets []fairshare.Budget
}

func (s *Settings) declareTeams(o *schema.Object) {
	t, options := &s.Teams, &s.Teams.Options
	options.Classes = fairshareClasses(s.Settings.Admission.Classes)
	options.MaxRetryAfter = s.Settings.Admission.MaxRetryAfter
	o.String(&options.DefaultTeam, "default", "team of the jobs that name no team or an unknown one; required if there are budgets")
	schema.Integer(o, &options.MaxUndispatched, "window", "largest number of jobs of each type that are admitted but not dispatched yet, and of all types together, not counting jobs admitted long ago; it is lower while fewer than that are dispatched in a twentieth of a second", schema.Default(8), schema.Between(1, 1000))
	o.Seconds(&options.StarvationTimeout, "unserved", "time without a dispatch after which the next job of a team goes first", schema.Default(30.0), schema.Between(0.1, 60))
	o.Number(&options.AgingRate, "ageing", "seconds of work that a team's next job gains in the order for each second without a dispatch", schema.Default(0.05), schema.Between(0, 10))
	o.Number(&options.MinEstimateChange, "retell", "fraction by which an estimated wait must change to be sent to the client again", schema.Default(0.25), schema.Between(0.01, 10))
	o.Object("preempt", "cancelling restartable jobs in favor of jobs that fit on no engine", s.declarePreemption)
	o.List("budgets", "budgets, one for each team", maxBudgets, func(o *schema.Object, _ int) {
		t.Budgets = append(t.Budgets, declareBudget(o))
	})
	t.check(o)
}

// fairshareClasses converts the classes to those of package fairshare.
func fairshareClasses(classes []admission.Class) []fairshare.Class {
	var converted []fairshare.Class
	for _, c := range classes {
		converted = append(converted, fairshare.Class{
			Idempotent:       c.Idempotency == admission.Idempotent,
			PriorityWeight:   c.PriorityWeight,
			LatencyObjective: c.LatencyObjective,
			Threads:          c.Threads,
		})
	}
	return converted
}

func (s *Settings) declarePreemption(o *schema.Object) {
	options := &s.Teams.Options
	var classes []string
	o.Strings(&classes, "types", "reservation types whose jobs may have others cancelled; without it, none")
	for _, name := range classes {
		index := slices.Index(s.Settings.Classes, name)
		if index < 0 {
			o.AddError("types", "%q is no reservation type", name)
			continue
		}
		options.Classes[index].MayPreempt = true
	}
	o.Seconds(&options.PreemptAfter, "after", "time that such a job must have waited for an engine since its admission", schema.Default(0.1), schema.Between(0.01, 60))
	o.Number(&options.PreemptWeightRatio, "value", "least ratio of the job's billed value per work to that of the job that is cancelled", schema.Default(3.0), schema.Between(1.5, 1e6))
	schema.Integer(o, &options.MaxPreemptions, "times", "how often a job may be cancelled for others", schema.Default(1), schema.Between(0, 10))
	if len(classes) == 0 {
		options.MaxPreemptions = 0
	}
}

func declareBudget(o *schema.Object) fairshare.Budget {
	var b fairshare.Budget
	var scope string
	o.String(&b.Name, "name", "name, as in the request field", schema.Required(), schema.Check(checkWord))
	o.String(&b.Parent, "parent", "team whose budget includes this one")
	o.String(&scope, "scope", "whether most_mb is that of each gateway (gateway) or that of all controllers together, divided among them as set in the section fleet (fleet)", schema.Default("gateway"), schema.OneOf("gateway", "fleet"))
	b.FleetWide = scope == "fleet"
	o.Number(&b.Guaranteed, "guaranteed_mb", "memory of grants up to which the team goes before teams that exceed theirs", schema.Default(0.0), schema.Between(0, maxMemory), schema.Unit("MB"))
	o.Number(&b.Limit, "most_mb", "largest memory of grants in use at once; 0 for no limit", schema.Default(0.0), schema.Between(0, maxMemory), schema.Unit("MB"))
	o.Number(&b.Weight, "weight", "relative share of what remains; 0 gets only what no other team uses", schema.Default(1.0), schema.Between(0, 1000))
	schema.Integer(o, &b.MaxRunning, "running", "largest number of running jobs; 0 for no limit", schema.Default(0), schema.Between(0, 1e6))
	schema.Integer(o, &b.MaxQueued, "waiting", "largest number of waiting jobs; more are refused; 0 for no limit", schema.Default(1000), schema.Between(0, 1e6))
	o.Seconds(&b.MaxWait, "longest_wait", "time after which a waiting job is refused; 0 for no limit", schema.Default(0.0), schema.Between(0, secondsPerDay))
	if b.FleetWide && b.Limit == 0 {
		o.AddError("scope", "needs most_mb, which is divided among the controllers")
	}
	return b
}

// check validates the budgets together.
func (t *Teams) check(o *schema.Object) {
	if len(t.Budgets) == 0 {
		return
	}
	if t.Options.DefaultTeam == "" {
		o.AddError("default", "is missing; it must name one of the budgets")
	}
	faults := fairshare.Validate(t.Budgets, t.Options.DefaultTeam)
	for _, index := range slices.Sorted(maps.Keys(faults)) {
		if index == fairshare.DefaultTeamFault {
			o.AddError("default", "%v", faults[index])
			continue
		}
		o.AddError("budgets", "[%d] %s: %v", index, t.Budgets[index].Name, faults[index])
	}
}
