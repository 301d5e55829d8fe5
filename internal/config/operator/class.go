package operator

import (
	"slices"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/schema"
)

const (
	secondsOfDay = 86400
	maxMemory    = 1e9  // MB
	maxThreads   = 4096 // and cores

	// pingMethod is what clients call to ask whether the gateway is ready; no class may have its name.
	pingMethod = "ping"
)

// The settings' words for what a retry of a class may do, and for the engines that drop its duplicates.
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
	seconds := func(to *float64, name, text string, rules ...schema.Rule) {
		o.Number(to, name, text, append(rules, schema.Between(0, secondsOfDay), schema.Unit("s"))...)
	}
	o.String(&name, "name", "one word", schema.Required(), schema.Check(checkWord))
	o.String(&repeat, "repeat", "what a further dispatch may do", schema.Required(), schema.OneOf("restartable", "keyed", "run_once"))
	seconds(&timeout, "job_timeout", "after which the client waits no more", schema.Required())
	seconds(&c.LatencyObjective, "sla", "SLA time", schema.Required())
	o.Number(&c.ObjectiveStretch, "stretch", "added to the SLA time, times the job's work over its threads", schema.Default(0.0),
		schema.Between(0, 1000))
	o.Number(&c.PriorityWeight, "value", "billed value of a job in time", schema.Default(1.0), schema.Between(0, 1e9))
	o.Number(&c.Threads, "threads", "that one job uses", schema.Default(1.0), schema.Between(0.1, maxThreads))
	seconds(&c.IdempotencyWindow, "window", "in which engines drop repeats of a keyed job, from the first dispatch", schema.Default(0.0))
	o.String(&group, "group", "engines that drop each other's repeats", schema.Default("all"), schema.OneOf("all", "zone", "cell"))
	o.Bool(&c.Ordered, "in_order", "jobs of one key run one after the other", schema.Default(false))
	o.Bool(&c.WritesTables, "load", "writes its data set and holds it", schema.Default(false))
	o.Bool(&c.BlockedByWrites, "waits", "stands still behind a load of its data set", schema.Default(false))
	c.AllowedZones = declareBinding(o, "zones", "it may run in these only", settings.Zones)
	c.AllowedMachineTypes = declareBinding(o, "kinds", "it may run on these only", settings.MachineTypes)
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

// declareBinding declares a list that binds a class to some of the known names. It returns their indexes, nil without it.
func declareBinding(o *schema.Object, name, text string, known []string) []int {
	var bound []string
	o.Strings(&bound, name, text)
	if bound == nil {
		return nil
	}
	indexes := []int{}
	for _, item := range bound {
		index := slices.Index(known, item)
		if index < 0 {
			o.AddError(name, "%q is not known", item)
		}
		indexes = append(indexes, index)
	}
	return indexes
}
