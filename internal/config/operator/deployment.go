package operator

import (
	"slices"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/schema"
)

// Bounds on the lists of a deployment.
const (
	maxMachineTypes = 64
	maxClasses      = 256
	maxTenants      = 10000
	maxGateways     = 100000
)

// declareDeployment declares the deployment, which otherwise the platform tells.
func (s *Settings) declareDeployment(o *schema.Object) {
	all := deployment.Settings{}
	b := &all.Admission
	schema.Integer(o, &b.GatewayCount, "gateways", "gateways that share the engines", schema.Default(1), schema.Between(1, maxGateways))
	schema.Integer(o, &b.GatewayIndex, "index", "this gateway's number among them, from 0", schema.Default(0), schema.Between(0, maxGateways-1))
	if b.GatewayIndex >= max(b.GatewayCount, 1) {
		o.AddError("index", "is %d, with %d gateways it must be below", b.GatewayIndex, b.GatewayCount)
	}
	o.Strings(&all.Zones, "zones", "names of the zones", schema.Check(checkWord))
	zone := ""
	o.String(&zone, "zone", "this gateway's; the first without it")
	b.Zone = max(slices.Index(all.Zones, zone), 0)
	if zone != "" && !slices.Contains(all.Zones, zone) {
		o.AddError("zone", "%q is none of the zones", zone)
	}
	o.List("kinds", "kinds of machine that engines run on", maxMachineTypes, func(o *schema.Object, _ int) {
		declareMachineType(o, &all)
	}, schema.Required())
	o.List("types", "reservation types, by the name that jobs are asked for with", maxClasses, func(o *schema.Object, _ int) {
		declareClass(o, &all)
	}, schema.Required())
	if o.Has("types") && len(b.Classes) == 0 {
		o.AddError("types", "names no reservation type")
	}
	o.List("customers", "customers with a share; past it their jobs count less", maxTenants, func(o *schema.Object, _ int) {
		declareTenant(o, &all)
	})
	o.Number(&b.OverQuotaWeight, "over_share", "part of its billed value that a job past its customer's share counts for", schema.Default(0.5), schema.Between(0, 1))
	o.Object("engines", "what engines understand", func(o *schema.Object) { declareEngineFeatures(o, &all) })
	o.Object("rules", "the figures that the seven rules are kept by", func(o *schema.Object) { declareRules(o, &all) })
	s.Settings = all
}

func declareMachineType(o *schema.Object, settings *deployment.Settings) {
	var machine admission.MachineType
	var name string
	o.String(&name, "name", "as the list of engines has it", schema.Required(), schema.Check(checkWord))
	o.Number(&machine.Cores, "cores", "cores for jobs", schema.Required(), schema.Between(0.1, maxThreads))
	o.Number(&machine.Memory, "memory_mb", "memory for jobs", schema.Required(), schema.Between(1, maxMemory), schema.Unit("MB"))
	if slices.Contains(settings.MachineTypes, name) {
		o.AddError("name", "%q stands there twice", name)
	}
	settings.MachineTypes = append(settings.MachineTypes, name)
	settings.Admission.MachineTypes = append(settings.Admission.MachineTypes, machine)
}

func declareTenant(o *schema.Object, settings *deployment.Settings) {
	var name string
	var rate float64
	o.String(&name, "name", "as the request field has it", schema.Required())
	o.Number(&rate, "rate", "jobs a second within its share, over all gateways", schema.Required(), schema.Between(0, 1e9))
	settings.Tenants = append(settings.Tenants, name)
	settings.Admission.TenantQuotas = append(settings.Admission.TenantQuotas, rate)
}

// declareEngineFeatures declares what the engines support.
func declareEngineFeatures(o *schema.Object, all *deployment.Settings) {
	b := &all.Admission
	o.Bool(&b.MayCancel, "call_off", "a dispatch can be called off", schema.Default(true))
	o.Bool(&b.MayHedge, "copies", "a second dispatch may go while the first is out", schema.Default(true))
	o.Bool(&b.EnginesTakeGrants, "grants", "a dispatch names its memory grant", schema.Default(true))
	o.Bool(&b.EnginesTakePriorities, "priorities", "a dispatch names its priority", schema.Default(true))
	o.Bool(&b.EnginesQueue, "line", "what finds no memory waits there", schema.Default(true))
	o.Bool(&all.LoadPolling, "probing", "may be asked for a sign of life and its load", schema.Default(true))
	o.Strings(&all.LoadReportFields, "report", "fields of a load report: busy_reqs, pending, cpu_share, x0 (memory), x1 (disks)",
		schema.OneOf("busy_reqs", "pending", "cpu_share", "x0", "x1"))
	schema.Integer(o, &b.MaxAttempts, "dispatches", "of one job at most", schema.Default(3), schema.Between(1, 100))
	schema.Integer(o, &all.AttemptsPerConn, "streams", "dispatches on one connection", schema.Default(8), schema.Between(1, 10000))
	schema.Integer(o, &all.MaxAttemptsPerEngine, "open", "dispatches at one engine", schema.Default(0), schema.Between(0, 100000))
	o.Number(&b.MaxGrantShare, "largest_grant", "part of an engine's memory", schema.Default(0.25), schema.Between(0.01, 1))
	o.Number(&all.EngineIdleTimeout, "idle", "after which engines close a connection", schema.Default(60.0), schema.Between(0.1, 86400),
		schema.Unit("s"))
	schema.Integer(o, &all.IdleConnsPerEngine, "spare", "connections without a job that all gateways together keep at an engine; 0 for no bound but idle", schema.Default(0), schema.Between(0, 100000))
	o.Number(&all.DialTimeout, "connect", "for a connection to come up", schema.Default(1.0), schema.Between(0.01, 60), schema.Unit("s"))
	o.Number(&b.MinPolledWork, "ask_from", "work of a job from which engines are asked for their load while its type takes over 1.1 times its time alone; shorter spreads a load more evenly for more questions", schema.Default(0.3), schema.Between(0.001, 3600), schema.Unit("s"))
	b.EnginesReportMemory = all.LoadPolling && slices.Contains(all.LoadReportFields, "x0")
}

// declareRules declares the bounds that retries, draining and slow start keep to.
func declareRules(o *schema.Object, all *deployment.Settings) {
	b := &all.Admission
	seconds := func(to *float64, name, text string, fallback float64) {
		o.Number(to, name, text, schema.Default(fallback), schema.Between(0, secondsOfDay), schema.Unit("s"))
	}
	seconds(&b.MaxRetryAfter, "come_back", "when clients of throttled jobs may come back; 0 where they heed no word", 2)
	seconds(&all.DrainGrace, "drain", "grace in which a draining engine may still be sent to", 1)
	seconds(&b.SlowStartWindow, "cold", "that an engine takes to warm up", 0)
	o.Number(&b.SlowStartInitialFactor, "cold_from", "part of its pace that an engine starts with", schema.Default(1.0), schema.Between(0, 1))
	o.Number(&b.SlowStartBudgetMultiple, "cold_multiple", "of that pace, work that all gateways may send to a cold engine",
		schema.Default(2.0), schema.Between(0, 100))
	seconds(&b.SlowStartBudgetWindow, "cold_window", "over which that is counted", 1)
	seconds(&b.OrderedKeyBackoff, "key_rest", "of a key after a dispatch that may still run", 1)
	o.Number(&b.RetryBudgetFree, "further_free", "further dispatches that any window may hold", schema.Default(10.0), schema.Between(0, 1e6))
	o.Number(&b.RetryBudgetRatio, "further_share", "and for each job taken in the window", schema.Default(0.2), schema.Between(0, 10))
	seconds(&b.RetryBudgetWindow, "further_window", "the window; 0 for no such budget", 10)
}
