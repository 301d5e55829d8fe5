// Package deployment decodes what a deployment tells its gateways, for the module and for the sockets. The
// simulator tells it as lines, the configuration as nested JSON; both give the same values.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	pathpkg "path"
	"slices"
	"strconv"
	"strings"

	"copperrock.example/copperrock/admission"
)

type flatSettings map[string]string

// validate tells what of the configuration can't be used, by field: it would hold for every job, unseen. What is not known is
// passed over, and what is missing is zero.
func (v flatSettings) validate() (all []error) {
	for path, text := range v {
		at := func(names ...string) bool {
			return slices.ContainsFunc(names, func(name string) bool { ok, _ := pathpkg.Match(name, path); return ok })
		}
		fault := func(what string) { all = append(all, fmt.Errorf("settings: %s: %q is no %s", path, text, what)) }
		numbers := func(items []string) {
			if slices.ContainsFunc(items, func(s string) bool { f, err := strconv.ParseFloat(s, 64); return err != nil || !(f >= 0) || f > 1e12 }) {
				fault("number, or out of range")
			}
		}
		switch {
		case at("allowed.conn-idle", "allowed.connect-timeout", "allowed.max-open", "allowed.max-retry-after", "allowed.streams-per-conn",
			"allowed.try-limit", "classes.*.aim-stretch", "classes.*.give-up", "classes.*.objective", "classes.*.window", "classes.*.worth",
			"contract.budget-free", "contract.cold", "contract.cold-from", "contract.counted-over", "contract.fall", "contract.fall-multiple",
			"contract.resend-ratio", "contract.stop-sending-within", "contract.turn-gap", "family-info.largest-share", "group-size", "index", "over-share-worth", "tenants.*.quota-rps", "zone"):
			numbers([]string{text})
		case at("family-info.dop", "family-info.kind-cores", "family-info.ram-of-kind-mb"):
			numbers(v.list(path))
		case at("allowed.cancel", "allowed.may-duplicate", "allowed.probing", "allowed.retry-after", "classes.*.fifo-by-key",
			"family-info.grants", "family-info.takes-priority") && text != "true" && text != "false":
			fault("true or false")
		case at("classes.*.repeat") && !slices.Contains([]string{"pure", "token", "side_effect"}, text):
			fault("effect that is known")
		case at("classes.*.group") && !slices.Contains([]string{"all", "zone", "cell"}, text):
			fault("group that is known")
		case at("classes.*.stays-in") && text != "" && len(v.indexes(path, "areas")) == 0:
			fault("zone among the areas")
		case at("classes.*.host-types-open") && text != "" && len(v.indexes(path, "host-types")) == 0:
			fault("kind among the host-types")
		}
	}
	slices.SortFunc(all, func(x, y error) int { return strings.Compare(x.Error(), y.Error()) })
	return all
}

func (v flatSettings) number(path string) float64 {
	f, err := strconv.ParseFloat(v[path], 64)
	if err != nil {
		return 0
	}
	return f
}

func (v flatSettings) count(path string) int { return min(max(int(v.number(path)), 0), 1<<16) }

func (v flatSettings) isTrue(path string) bool { return v[path] == "true" }

// list gives the items of a list of plain values.
func (v flatSettings) list(path string) []string {
	if v[path] == "" {
		return nil
	}
	return strings.Split(v[path], ",")
}

func (v flatSettings) item(path string, i int) string {
	if l := v.list(path); i < len(l) {
		return l[i]
	}
	return ""
}

func (v flatSettings) numberItem(path string, i int) float64 {
	f, err := strconv.ParseFloat(v.item(path, i), 64)
	if err != nil {
		return 0
	}
	return f
}

// indexes reads a binding: nil where it is not set; an item is an index or a name.
func (v flatSettings) indexes(path, names string) []int {
	if _, set := v[path]; !set {
		return nil
	}
	found := []int{}
	for _, item := range v.list(path) {
		if n, err := strconv.Atoi(item); err == nil {
			found = append(found, n)
		} else if n := slices.Index(v.list(names), item); n >= 0 {
			found = append(found, n)
		}
	}
	return found
}

// Settings is what is read of a deployment.
type Settings struct {
	Admission                                  admission.Settings
	LoadReportFields                           []string // of a load report, in their order
	Classes, Zones, MachineTypes               []string // names, by the module's numbers
	Tenants                                    []string
	ClassTimeouts                              []float64
	AttemptsPerConn, MaxAttemptsPerEngine      int
	LoadPolling                                bool
	IdleConnsPerEngine                         int // connections without a job that all gateways may keep at an engine, 0 for no bound
	EngineIdleTimeout, DialTimeout, DrainGrace float64
}

// ParseLines decodes the simulator's text; unknown keys are passed over, missing ones are zero.
func ParseLines(text string) Settings {
	v := flatSettings{}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			v[path] = value
		}
	}
	return v.decode()
}

// ParseJSON decodes the configuration's object.
func ParseJSON(text []byte) (Settings, error) {
	var tree map[string]any
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(tree) == 0 {
		return Settings{}, errors.New("settings: empty")
	}
	v := flatSettings{}
	v.flatten("", tree)
	if faults := v.validate(); faults != nil {
		return Settings{}, faults[0]
	}
	return v.decode(), nil
}

// EscapeName gives a name as the simulator's text writes it.
func EscapeName(s string) string { return nameEscapes.Replace(s) }

var nameEscapes = strings.NewReplacer(" ", "_", ",", "_")

// flatten puts a nested value down as the simulator's lines do.
func (v flatSettings) flatten(path string, x any) {
	under := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch x := x.(type) {
	case map[string]any:
		for key, item := range x {
			v.flatten(under(key), item)
		}
	case []any:
		if slices.ContainsFunc(x, func(item any) bool { _, ok := item.(map[string]any); return ok }) {
			v[under("count")] = strconv.Itoa(len(x))
			for i, item := range x {
				v.flatten(under(strconv.Itoa(i)), item)
			}
			return
		}
		items := make([]string, len(x))
		for i, item := range x {
			items[i] = EscapeName(fmt.Sprint(item))
		}
		v[path] = strings.Join(items, ",")
	case nil:
	default:
		v[path] = EscapeName(fmt.Sprint(x))
	}
}

func (v flatSettings) decode() Settings {
	s := admission.Settings{
		GatewayCount:            max(v.count("group-size"), 1),
		GatewayIndex:            v.count("index"),
		Zone:                    v.count("zone"),
		EndpointsOnRequest:      v["membership-mode"] == "on_request",
		MayCancel:               v.isTrue("allowed.cancel"),
		MayHedge:                v.isTrue("allowed.may-duplicate"),
		EnginesTakeGrants:       v.isTrue("family-info.grants"),
		EnginesTakePriorities:   v.isTrue("family-info.takes-priority"),
		EnginesQueue:            v["family-info.on-shortage"] == "wait",
		EnginesReportMemory:     v.isTrue("allowed.probing") && slices.Contains(v.list("report.fields"), "x0"),
		MaxAttempts:             v.count("allowed.try-limit"),
		SlowStartWindow:         v.number("contract.cold"),
		SlowStartInitialPace:    v.number("contract.cold-from"),
		SlowStartBudgetMultiple: v.number("contract.fall-multiple"),
		SlowStartBudgetWindow:   v.number("contract.fall"),
		OrderedKeyBackoff:       v.number("contract.turn-gap"),
		RetryBudgetFree:         v.number("contract.budget-free"),
		RetryBudgetRatio:        v.number("contract.resend-ratio"),
		RetryBudgetWindow:       v.number("contract.counted-over"),
		OverQuotaWeight:         v.number("over-share-worth"),
		MaxGrantShare:           v.number("family-info.largest-share"),
	}
	if v.isTrue("allowed.retry-after") {
		s.MaxRetryAfter = v.number("allowed.max-retry-after")
	}
	for i := range v.list("host-types") {
		s.MachineTypes = append(s.MachineTypes, admission.MachineType{
			Cores:  max(v.numberItem("family-info.kind-cores", i), 1),
			Memory: v.numberItem("family-info.ram-of-kind-mb", i),
		})
	}
	if s.MachineTypes == nil { // engines are listed by kind all the same
		s.MachineTypes = []admission.MachineType{{Cores: 1}}
	}
	for i := range v.count("classes.count") {
		p := "classes." + strconv.Itoa(i) + "."
		c := admission.Class{
			LatencyObjective:    v.number(p + "objective"),
			ObjectiveStretch:    v.number(p + "aim-stretch"),
			PriorityWeight:      v.number(p + "worth"),
			IdempotencyWindow:   v.number(p + "window"),
			Ordered:             v.isTrue(p + "fifo-by-key"),
			WritesTables:        v.item("family-info.writes-tables", i) == "true",
			BlockedByWrites:     v.item("family-info.yields-to-loads", i) == "true",
			Threads:             max(v.numberItem("family-info.dop", i), 1),
			AllowedZones:        v.indexes(p+"stays-in", "areas"),
			AllowedMachineTypes: v.indexes(p+"host-types-open", "host-types"),
			Idempotency:         map[string]admission.Idempotency{"pure": admission.Idempotent, "token": admission.IdempotentWithKey}[v[p+"repeat"]],
			DedupScope:          map[string]admission.DedupScope{"zone": admission.DedupInZone, "cell": admission.DedupInCell}[v[p+"group"]],
		}
		if v[p+"repeat"] != "pure" && v[p+"repeat"] != "token" {
			c.Idempotency = admission.NonIdempotent
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range v.count("tenants.count") {
		s.TenantQuotas = append(s.TenantQuotas, v.number("tenants."+strconv.Itoa(i)+".quota-rps"))
	}
	all := Settings{
		Admission:            s,
		LoadReportFields:     v.list("report.fields"),
		Zones:                v.list("areas"),
		MachineTypes:         v.list("host-types"),
		AttemptsPerConn:      max(v.count("allowed.streams-per-conn"), 1),
		MaxAttemptsPerEngine: v.count("allowed.max-open"),
		LoadPolling:          v.isTrue("allowed.probing"),
		EngineIdleTimeout:    v.number("allowed.conn-idle"),
		DialTimeout:          v.number("allowed.connect-timeout"),
		DrainGrace:           v.number("contract.stop-sending-within"),
	}
	for i := range s.TenantQuotas {
		all.Tenants = append(all.Tenants, v["tenants."+strconv.Itoa(i)+".name"])
	}
	for i := range s.Classes {
		p := "classes." + strconv.Itoa(i) + "."
		all.Classes = append(all.Classes, v[p+"name"])
		all.ClassTimeouts = append(all.ClassTimeouts, v.number(p+"give-up"))
	}
	return all
}

// Load is a load report: jobs, jobs waiting, share of the cores, of the memory and of the disks, -1 for what it
// does not tell.
type Load [5]float64

// NoLoad is a report that tells nothing.
var NoLoad = Load{-1, -1, -1, -1, -1}

// Report returns the load in the decision module's terms.
func (l Load) Report() admission.LoadReport {
	return admission.LoadReport{
		Waiting:       admission.Measured(l[1]),
		CPU:           admission.Measured(l[2]),
		MemoryGranted: admission.Measured(l[3]),
	}
}

// Set takes a value by its name; names that say nothing to the module are passed over.
func (l *Load) Set(name string, value float64) {
	if i := slices.Index([]string{"busy_reqs", "pending", "cpu_share", "x0", "x1"}, name); i >= 0 {
		l[i] = value
	}
}
