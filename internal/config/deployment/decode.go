package deployment

import (
	"slices"
	"strconv"

	"copperrock.example/copperrock/admission"
)

// memoryField is the field of a load report with the fraction of memory that is granted.
const memoryField = "x0"

var idempotencyOf = map[string]admission.Idempotency{
	"pure":        admission.Idempotent,
	"token":       admission.IdempotentWithKey,
	"side_effect": admission.NonIdempotent,
}

var dedupScopeOf = map[string]admission.DedupScope{
	"all":  admission.DedupEverywhere,
	"zone": admission.DedupInZone,
	"cell": admission.DedupInCell,
}

// decode converts the settings. Their external names appear in no other package.
func (s flatSettings) decode() Settings {
	settings := Settings{
		Admission:            s.decodeAdmission(),
		LoadReportFields:     s.list("report.fields"),
		Zones:                s.list("areas"),
		MachineTypes:         s.list("host-types"),
		AttemptsPerConn:      max(s.count("allowed.streams-per-conn"), 1),
		MaxAttemptsPerEngine: s.count("allowed.max-open"),
		LoadPolling:          s.isTrue("allowed.probing"),
		EngineIdleTimeout:    s.number("allowed.conn-idle"),
		DialTimeout:          s.number("allowed.connect-timeout"),
		DrainGrace:           s.number("contract.stop-sending-within"),
	}
	for i := range settings.Admission.TenantQuotas {
		settings.Tenants = append(settings.Tenants, s[tenantPath(i)+"name"])
	}
	for i := range settings.Admission.Classes {
		settings.Classes = append(settings.Classes, s[classPath(i)+"name"])
		settings.ClassTimeouts = append(settings.ClassTimeouts, s.number(classPath(i)+"give-up"))
	}
	return settings
}

func classPath(i int) string  { return "classes." + strconv.Itoa(i) + "." }
func tenantPath(i int) string { return "tenants." + strconv.Itoa(i) + "." }

func (s flatSettings) decodeAdmission() admission.Settings {
	settings := admission.Settings{
		GatewayCount:            max(s.count("group-size"), 1),
		GatewayIndex:            s.count("index"),
		Zone:                    s.count("zone"),
		EndpointsOnRequest:      s["membership-mode"] == "on_request",
		MayCancel:               s.isTrue("allowed.cancel"),
		MayHedge:                s.isTrue("allowed.may-duplicate"),
		EnginesTakeGrants:       s.isTrue("family-info.grants"),
		EnginesTakePriorities:   s.isTrue("family-info.takes-priority"),
		EnginesQueue:            s["family-info.on-shortage"] == "wait",
		EnginesReportMemory:     s.isTrue("allowed.probing") && slices.Contains(s.list("report.fields"), memoryField),
		MaxAttempts:             s.count("allowed.try-limit"),
		SlowStartWindow:         s.number("contract.cold"),
		SlowStartInitialFactor:  s.number("contract.cold-from"),
		SlowStartBudgetMultiple: s.number("contract.fall-multiple"),
		SlowStartBudgetWindow:   s.number("contract.fall"),
		OrderedKeyBackoff:       s.number("contract.turn-gap"),
		RetryBudgetFree:         s.number("contract.budget-free"),
		RetryBudgetRatio:        s.number("contract.resend-ratio"),
		RetryBudgetWindow:       s.number("contract.counted-over"),
		OverQuotaWeight:         s.number("over-share-worth"),
		MaxGrantShare:           s.number("family-info.largest-share"),
		MachineTypes:            s.decodeMachineTypes(),
	}
	if s.isTrue("allowed.retry-after") {
		settings.MaxRetryAfter = s.number("allowed.max-retry-after")
	}
	for i := range s.count("classes.count") {
		settings.Classes = append(settings.Classes, s.decodeClass(i))
	}
	for i := range s.count("tenants.count") {
		settings.TenantQuotas = append(settings.TenantQuotas, s.number(tenantPath(i)+"quota-rps"))
	}
	return settings
}

// decodeMachineTypes returns at least one machine type, because endpoints have one even if the settings have none.
func (s flatSettings) decodeMachineTypes() []admission.MachineType {
	var types []admission.MachineType
	for i := range s.list("host-types") {
		types = append(types, admission.MachineType{
			Cores:  max(s.numberItem("family-info.kind-cores", i), 1),
			Memory: s.numberItem("family-info.ram-of-kind-mb", i),
		})
	}
	if types == nil {
		types = []admission.MachineType{{Cores: 1}}
	}
	return types
}

func (s flatSettings) decodeClass(i int) admission.Class {
	path := classPath(i)
	idempotency, ok := idempotencyOf[s[path+"repeat"]]
	if !ok {
		idempotency = admission.NonIdempotent
	}
	return admission.Class{
		LatencyObjective:    s.number(path + "objective"),
		ObjectiveStretch:    s.number(path + "aim-stretch"),
		PriorityWeight:      s.number(path + "worth"),
		IdempotencyWindow:   s.number(path + "window"),
		Ordered:             s.isTrue(path + "fifo-by-key"),
		WritesTables:        s.item("family-info.writes-tables", i) == "true",
		BlockedByWrites:     s.item("family-info.yields-to-loads", i) == "true",
		Threads:             max(s.numberItem("family-info.dop", i), 1),
		AllowedZones:        s.indexes(path+"stays-in", "areas"),
		AllowedMachineTypes: s.indexes(path+"host-types-open", "host-types"),
		Idempotency:         idempotency,
		DedupScope:          dedupScopeOf[s[path+"group"]],
	}
}
