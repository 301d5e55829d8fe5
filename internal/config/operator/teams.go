package operator

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fairshare"
)

// maxBudgets bounds the teams.
const maxBudgets = 10000

// Teams are the budgets. Without any, no request waits for its team.
type Teams struct {
	Options fairshare.Options
	Budgets []fairshare.Budget
}

func (s *Settings) declareTeams(o *schema.Object) {
	t, options := &s.Teams, &s.Teams.Options
	options.Classes = fairshareClasses(s.Settings.Admission.Classes)
	options.MaxRetryAfter = s.Settings.Admission.MaxRetryAfter
	o.String(&options.DefaultTeam, "default", "team of the jobs that name none, or one that is not known; needed where there are budgets")
	schema.Integer(o, &options.MaxUndispatched, "window", "jobs that the module may hold undispatched at most, of each type and of all but those held for long; fewer where it dispatches fewer than that in a twentieth of a second", schema.Default(8), schema.Between(1, 1000))
	declareSeconds(o, &options.StarvationTimeout, "unserved", "after so long without a dispatch a team's next job goes first", 30, 0.1, 60)
	o.Number(&options.AgingRate, "ageing", "seconds of work that a second unserved counts for in the order", schema.Default(0.05), schema.Between(0, 10))
	o.Number(&options.MinEstimateChange, "retell", "part by which a wait must have moved to be told again", schema.Default(0.25), schema.Between(0.01, 10))
	o.Object("preempt", "jobs that fit nowhere may have restartable ones called off", s.declarePreemption)
	o.List("budgets", "a team each", maxBudgets, func(o *schema.Object, _ int) {
		t.Budgets = append(t.Budgets, declareBudget(o))
	})
	t.check(o)
}

// fairshareClasses are the classes as fair sharing needs to know them.
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

// declareSeconds declares a time with a default of its own.
func declareSeconds(o *schema.Object, to *float64, name, text string, fallback, low, high float64) {
	o.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
}

func (s *Settings) declarePreemption(o *schema.Object) {
	options := &s.Teams.Options
	var classes []string
	o.Strings(&classes, "types", "reservation types whose jobs may; none without it")
	for _, name := range classes {
		index := slices.Index(s.Settings.Classes, name)
		if index < 0 {
			o.AddError("types", "%q is no reservation type", name)
			continue
		}
		options.Classes[index].MayPreempt = true
	}
	declareSeconds(o, &options.PreemptAfter, "after", "that such a job has fitted nowhere", 0.1, 0.01, 60)
	o.Number(&options.PreemptWeightRatio, "value", "times the victim's billed value for its work, at least", schema.Default(3.0), schema.Between(1.5, 1e6))
	schema.Integer(o, &options.MaxPreemptions, "times", "that one job may be a victim", schema.Default(1), schema.Between(0, 10))
	if len(classes) == 0 {
		options.MaxPreemptions = 0
	}
}

func declareBudget(o *schema.Object) fairshare.Budget {
	var b fairshare.Budget
	var scope string
	o.String(&b.Name, "name", "as the request field has it", schema.Required(), schema.Check(checkWord))
	o.String(&b.Parent, "parent", "team whose budget bounds this one's")
	o.String(&scope, "scope", "fleet: most_mb is that of all controllers together, divided among them as the section fleet has it", schema.Default("gateway"), schema.OneOf("gateway", "fleet"))
	b.FleetWide = scope == "fleet"
	o.Number(&b.Guaranteed, "guaranteed_mb", "memory of grants that goes before all borrowing", schema.Default(0.0), schema.Between(0, maxMemory), schema.Unit("MB"))
	o.Number(&b.Limit, "most_mb", "memory of grants at once; 0 for no bound", schema.Default(0.0), schema.Between(0, maxMemory), schema.Unit("MB"))
	o.Number(&b.Weight, "weight", "part of what is left; 0 gets what no other wants", schema.Default(1.0), schema.Between(0, 1000))
	schema.Integer(o, &b.MaxRunning, "running", "jobs at once; 0 for no bound", schema.Default(0), schema.Between(0, 1e6))
	schema.Integer(o, &b.MaxQueued, "waiting", "jobs at once; more are refused; 0 for no bound", schema.Default(1000), schema.Between(0, 1e6))
	declareSeconds(o, &b.MaxWait, "longest_wait", "after which a job is refused; 0 for none", 0, 0, secondsOfDay)
	if b.FleetWide && b.Limit == 0 {
		o.AddError("scope", "needs most_mb, the whole that is divided")
	}
	return b
}

// check checks the budgets against each other.
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
