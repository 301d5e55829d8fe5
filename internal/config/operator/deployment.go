package operator

import (
	"slices"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/schema"
)

// Limits of the lists of a deployment.
const (
	maxMachineTypes = 64
	maxClasses      = 256
	maxTenants      = 10000
	maxGateways     = 100000
)

// declareDeployment declares the settings of the deployment, which replace those of the platform.
func (s *Settings) declareDeployment(o *schema.Object) {
	settings := deployment.Settings{}
	a := &settings.Admission
	schema.Integer(o, &a.GatewayCount, "gateways", "number of gateways that share the engines", schema.Default(1), schema.Between(1, maxGateways))
	schema.Integer(o, &a.GatewayIndex, "index", "index of this gateway, from 0", schema.Default(0), schema.Between(0, maxGateways-1))
	if a.GatewayIndex >= max(a.GatewayCount, 1) {
		o.AddError("index", "is %d, with %d gateways it must be below", a.GatewayIndex, a.GatewayCount)
	}
	o.Strings(&settings.Zones, "zones", "names of the zones", schema.Check(checkWord))
	zone := ""
	o.String(&zone, "zone", "zone of this gateway; by default the first of zones")
	a.Zone = max(slices.Index(settings.Zones, zone), 0)
	if zone != "" && !slices.Contains(settings.Zones, zone) {
		o.AddError("zone", "%q is not in zones", zone)
	}
	o.List("kinds", "kinds of machine that engines run on", maxMachineTypes, func(o *schema.Object, _ int) {
		declareMachineType(o, &settings)
	}, schema.Required())
	o.List("types", "reservation types, one of which each job names", maxClasses, func(o *schema.Object, _ int) {
		declareClass(o, &settings)
	}, schema.Required())
	if o.Has("types") && len(a.Classes) == 0 {
		o.AddError("types", "names no reservation type")
	}
	o.List("customers", "customers with a share; jobs in excess of it count less", maxTenants, func(o *schema.Object, _ int) {
		declareTenant(o, &settings)
	})
	o.Number(&a.OverQuotaWeight, "over_share", "fraction of its billed value for which a job in excess of its customer's share counts", schema.Default(0.5), schema.Between(0, 1))
	o.Object("engines", "what the engines support", func(o *schema.Object) { declareEngineFeatures(o, &settings) })
	o.Object("rules", "limits of retries, draining and warming up", func(o *schema.Object) { declareRules(o, &settings) })
	s.Settings = settings
}

func declareMachineType(o *schema.Object, settings *deployment.Settings) {
	var machine admission.MachineType
	var name string
	o.String(&name, "name", "name, as in the list of engines", schema.Required(), schema.Check(checkWord))
	o.Number(&machine.Cores, "cores", "cores available to jobs", schema.Required(), schema.Between(0.1, maxThreads))
	o.Number(&machine.Memory, "memory_mb", "memory available to jobs", schema.Required(), schema.Between(1, maxMemory), schema.Unit("MB"))
	if slices.Contains(settings.MachineTypes, name) {
		o.AddError("name", "%q stands there twice", name)
	}
	settings.MachineTypes = append(settings.MachineTypes, name)
	settings.Admission.MachineTypes = append(settings.Admission.MachineTypes, machine)
}

func declareTenant(o *schema.Object, settings *deployment.Settings) {
	var name string
	var rate float64
	o.String(&name, "name", "name, as in the request field", schema.Required())
	o.Number(&rate, "rate", "the share: jobs per second, over all gateways", schema.Required(), schema.Between(0, 1e9))
	settings.Tenants = append(settings.Tenants, name)
	settings.Admission.TenantQuotas = append(settings.Admission.TenantQuotas, rate)
}

// declareEngineFeatures declares what the engines support.
func declareEngineFeatures(o *schema.Object, settings *deployment.Settings) {
	a := &settings.Admission
	o.Bool(&a.MayCancel, "call_off", "engines can cancel a dispatch", schema.Default(true))
	o.Bool(&a.MayHedge, "copies", "a job may have a second dispatch while the first is in flight", schema.Default(true))
	o.Bool(&a.EnginesTakeGrants, "grants", "engines honor the memory grant of a dispatch", schema.Default(true))
	o.Bool(&a.EnginesTakePriorities, "priorities", "engines honor the priority of a dispatch", schema.Default(true))
	o.Bool(&a.EnginesQueue, "line", "engines queue a dispatch for which they lack memory; otherwise they reject it", schema.Default(true))
	o.Bool(&settings.LoadPolling, "probing", "engines answer keep-alives and probes of their load", schema.Default(true))
	o.Strings(&settings.LoadReportFields, "report", "fields of a load report: busy_reqs, pending, cpu_share, x0 (memory), x1 (disks)",
		schema.OneOf("busy_reqs", "pending", "cpu_share", "x0", "x1"))
	schema.Integer(o, &a.MaxAttempts, "dispatches", "largest number of dispatches of a job", schema.Default(3), schema.Between(1, 100))
	schema.Integer(o, &settings.AttemptsPerConn, "streams", "largest number of dispatches in flight on one connection", schema.Default(8), schema.Between(1, 10000))
	schema.Integer(o, &settings.MaxAttemptsPerEngine, "open", "largest number of dispatches of all gateways in flight at one engine; it is not enforced", schema.Default(0), schema.Between(0, 100000))
	o.Number(&a.MaxGrantShare, "largest_grant", "largest fraction of an engine's memory that a job may be granted; a value above 0.25 has the effect of 0.25", schema.Default(0.25), schema.Between(0.01, 1))
	o.Number(&settings.EngineIdleTimeout, "idle", "idle time after which engines close a connection", schema.Default(60.0), schema.Between(0.1, 86400),
		schema.Unit("s"))
	schema.Integer(o, &settings.IdleConnsPerEngine, "spare", "idle connections that all gateways together keep to an engine; 0 for no limit other than idle", schema.Default(0), schema.Between(0, 100000))
	o.Seconds(&settings.DialTimeout, "connect", "time for a connection to be established", schema.Default(1.0), schema.Between(0.01, 60))
	o.Seconds(&a.MinPolledWork, "ask_from", "work of a job above which engines are probed for their load before it is dispatched, while jobs of its type take more than 1.1 times as long as they would alone; a lower value spreads the load more evenly, at the cost of more probes, and a value above 0.3 has the effect of 0.3, because engines are always probed for longer jobs", schema.Default(0.3), schema.Between(0.001, 3600))
	a.EnginesReportMemory = settings.LoadPolling && slices.Contains(settings.LoadReportFields, "x0")
}

// declareRules declares the limits of retries, draining and slow start.
func declareRules(o *schema.Object, settings *deployment.Settings) {
	a := &settings.Admission
	seconds := func(target *float64, name, text string, defaultValue float64) {
		o.Seconds(target, name, text, schema.Default(defaultValue), schema.Between(0, secondsPerDay))
	}
	seconds(&a.MaxRetryAfter, "come_back", "longest time that the client of a throttled job is asked to wait before it tries again; 0 if clients ignore it", 2)
	seconds(&settings.DrainGrace, "drain", "time in which a draining engine may still get a dispatch whose write has begun; it limits dispatches.write, unless it is 0", 1)
	seconds(&a.SlowStartWindow, "cold", "time that an engine takes to warm up", 0)
	o.Number(&a.SlowStartInitialFactor, "cold_from", "fraction of its full speed at which an engine starts", schema.Default(1.0), schema.Between(0, 1))
	o.Number(&a.SlowStartBudgetMultiple, "cold_multiple", "work that all gateways together may send to a cold engine in cold_window, as a multiple of what it can do in that time at its initial speed",
		schema.Default(2.0), schema.Between(0, 100))
	seconds(&a.SlowStartBudgetWindow, "cold_window", "time over which that work is counted", 1)
	seconds(&a.OrderedKeyBackoff, "key_rest", "time for which an order key is blocked after a dispatch that may still run and, with a store, all order keys after a restart", 1)
	o.Number(&a.RetryBudgetFree, "further_free", "further dispatches that are allowed in any window", schema.Default(10.0), schema.Between(0, 1e6))
	o.Number(&a.RetryBudgetRatio, "further_share", "further dispatches that are allowed in addition for each job taken in the window", schema.Default(0.2), schema.Between(0, 10))
	seconds(&a.RetryBudgetWindow, "further_window", "length of that window; 0 for no limit of further dispatches", 10)
}
