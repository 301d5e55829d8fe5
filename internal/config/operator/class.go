package operator

import (
	"slices"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/schema"
)

const (
	secondsPerDay = 86400
	maxMemory     = 1e9  // MB
	maxThreads    = 4096 // also the largest number of cores

	// pingMethod is the method that clients call to ask whether the gateway is ready. No class may have its name.
	pingMethod = "ping"
)

// The values of the settings "repeat" and "group".
var (
	idempotencyOf = map[string]admission.Idempotency{
		"restartable": admission.Idempotent,
		"keyed":       admission.IdempotentWithKey,
		"run_once":    admission.NonIdempotent,
	}
	dedupScopeOf = map[string]admission.DedupScope{
		"all":  admission.DedupEverywhere,
		"zone": admission.DedupInZone,
		"cell": admission.DedupInCell,
	}
)

// declareClass declares one workload class and adds it to the settings.
func declareClass(o *schema.Object, settings *deployment.Settings) {
	var c admission.Class
	var name, repeat, group string
	var timeout float64
	seconds := func(target *float64, name, text string, rules ...schema.Rule) {
		o.Number(target, name, text, append(rules, schema.Between(0, secondsPerDay), schema.Unit("s"))...)
	}
	o.String(&name, "name", "name of the type, one word", schema.Required(), schema.Check(checkWord))
	o.String(&repeat, "repeat", "whether a job may be dispatched again after a dispatch that may have run: at any time (restartable), within window because engines drop repeats of its key (keyed), or never (run_once)", schema.Required(), schema.OneOf("restartable", "keyed", "run_once"))
	seconds(&timeout, "job_timeout", "time after which the client stops waiting", schema.Required())
	seconds(&c.LatencyObjective, "sla", "SLA time, within which an answered job has its full value", schema.Required())
	o.Number(&c.ObjectiveStretch, "stretch", "time added to sla for each second that the job's work takes on its threads", schema.Default(0.0),
		schema.Between(0, 1000))
	o.Number(&c.PriorityWeight, "value", "billed value of a job that is answered within sla", schema.Default(1.0), schema.Between(0, 1e9))
	o.Number(&c.Threads, "threads", "threads that a job uses", schema.Default(1.0), schema.Between(0.1, maxThreads))
	seconds(&c.IdempotencyWindow, "window", "time from the first dispatch in which engines drop repeats of a keyed job", schema.Default(0.0))
	o.String(&group, "group", "engines that drop repeats of each other's keyed jobs: all, or those of a zone or cell", schema.Default("all"), schema.OneOf("all", "zone", "cell"))
	o.Bool(&c.Ordered, "in_order", "jobs with the same order key run one after another", schema.Default(false))
	o.Bool(&c.WritesTables, "load", "jobs write their data set and lock it while they run", schema.Default(false))
	o.Bool(&c.BlockedByWrites, "waits", "jobs make no progress while their data set is locked by a load", schema.Default(false))
	c.AllowedZones = declareAllowed(o, "zones", "zones in which jobs may run; without it, all", settings.Zones)
	c.AllowedMachineTypes = declareAllowed(o, "kinds", "kinds of machine on which jobs may run; without it, all", settings.MachineTypes)
	c.Idempotency = idempotencyOf[repeat]
	c.DedupScope = dedupScopeOf[group]
	switch {
	case slices.Contains(settings.Classes, name):
		o.AddError("name", "%q stands there twice", name)
	case name == pingMethod:
		o.AddError("name", "ping is what clients ask whether the gateway is ready")
	}
	if c.Idempotency == admission.IdempotentWithKey && c.IdempotencyWindow == 0 {
		o.AddError("window", "is needed for a keyed type")
	}
	if o.Has("sla") && o.Has("job_timeout") && c.LatencyObjective > timeout {
		o.AddError("sla", "is beyond the job timeout")
	}
	settings.Classes = append(settings.Classes, name)
	settings.ClassTimeouts = append(settings.ClassTimeouts, timeout)
	settings.Admission.Classes = append(settings.Admission.Classes, c)
}

// declareAllowed declares a list that restricts a class to some of the known names. It returns their indexes in known, or nil if
// the list is missing.
func declareAllowed(o *schema.Object, name, text string, known []string) []int {
	var allowed []string
	o.Strings(&allowed, name, text)
	if allowed == nil {
		return nil
	}
	indexes := []int{}
	for _, item := range allowed {
		index := slices.Index(known, item)
		if index < 0 {
			o.AddError(name, "%q is not known", item)
		}
		indexes = append(indexes, index)
	}
	return indexes
}
