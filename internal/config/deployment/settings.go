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

type values map[string]string

// faults tells what of the configuration can't be used, by field: it would hold for every job, unseen. What is not known is
// passed over, and what is missing is zero.
func (v values) faults() (all []error) {
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

func (v values) num(path string) float64 {
	f, err := strconv.ParseFloat(v[path], 64)
	if err != nil {
		return 0
	}
	return f
}

func (v values) count(path string) int { return min(max(int(v.num(path)), 0), 1<<16) }

func (v values) yes(path string) bool { return v[path] == "true" }

// list gives the items of a list of plain values.
func (v values) list(path string) []string {
	if v[path] == "" {
		return nil
	}
	return strings.Split(v[path], ",")
}

func (v values) at(path string, i int) string {
	if l := v.list(path); i < len(l) {
		return l[i]
	}
	return ""
}

func (v values) numAt(path string, i int) float64 {
	f, err := strconv.ParseFloat(v.at(path, i), 64)
	if err != nil {
		return 0
	}
	return f
}

// indexes reads a binding: nil where it is not set; an item is an index or a name.
func (v values) indexes(path, names string) []int {
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
	Admission             admission.Settings
	Fields                []string // of a load report, in their order
	Classes, Zones, Kinds []string // names, by the module's numbers
	Customers             []string
	JobTimeouts           []float64
	Streams, MostOpen     int
	Probing               bool
	Spare                 int // connections without a job that all gateways may keep at an engine, 0 for no bound
	Idle, Connect, Drain  float64
}

// Lines decodes the simulator's text; unknown keys are passed over, missing ones are zero.
func Lines(text string) Settings {
	v := values{}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			v[path] = value
		}
	}
	return v.decode()
}

// JSON decodes the configuration's object.
func JSON(text []byte) (Settings, error) {
	var tree map[string]any
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(tree) == 0 {
		return Settings{}, errors.New("settings: empty")
	}
	v := values{}
	v.lay("", tree)
	if faults := v.faults(); faults != nil {
		return Settings{}, faults[0]
	}
	return v.decode(), nil
}

// Name gives a name as the simulator's text writes it.
func Name(s string) string { return underlined.Replace(s) }

var underlined = strings.NewReplacer(" ", "_", ",", "_")

// lay puts a nested value down as the simulator's lines do.
func (v values) lay(path string, x any) {
	under := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch x := x.(type) {
	case map[string]any:
		for key, item := range x {
			v.lay(under(key), item)
		}
	case []any:
		if slices.ContainsFunc(x, func(item any) bool { _, ok := item.(map[string]any); return ok }) {
			v[under("count")] = strconv.Itoa(len(x))
			for i, item := range x {
				v.lay(under(strconv.Itoa(i)), item)
			}
			return
		}
		items := make([]string, len(x))
		for i, item := range x {
			items[i] = Name(fmt.Sprint(item))
		}
		v[path] = strings.Join(items, ",")
	case nil:
	default:
		v[path] = Name(fmt.Sprint(x))
	}
}

func (v values) decode() Settings {
	s := admission.Settings{
		GatewayCount:            max(v.count("group-size"), 1),
		GatewayIndex:            v.count("index"),
		Zone:                    v.count("zone"),
		EndpointsOnRequest:      v["membership-mode"] == "on_request",
		MayCancel:               v.yes("allowed.cancel"),
		MayHedge:                v.yes("allowed.may-duplicate"),
		EnginesTakeGrants:       v.yes("family-info.grants"),
		EnginesTakePriorities:   v.yes("family-info.takes-priority"),
		EnginesQueue:            v["family-info.on-shortage"] == "wait",
		EnginesReportMemory:     v.yes("allowed.probing") && slices.Contains(v.list("report.fields"), "x0"),
		MaxAttempts:             v.count("allowed.try-limit"),
		SlowStartWindow:         v.num("contract.cold"),
		SlowStartInitialPace:    v.num("contract.cold-from"),
		SlowStartBudgetMultiple: v.num("contract.fall-multiple"),
		SlowStartBudgetWindow:   v.num("contract.fall"),
		OrderedKeyBackoff:       v.num("contract.turn-gap"),
		RetryBudgetFree:         v.num("contract.budget-free"),
		RetryBudgetRatio:        v.num("contract.resend-ratio"),
		RetryBudgetWindow:       v.num("contract.counted-over"),
		OverQuotaWeight:         v.num("over-share-worth"),
		MaxGrantShare:           v.num("family-info.largest-share"),
	}
	if v.yes("allowed.retry-after") {
		s.MaxRetryAfter = v.num("allowed.max-retry-after")
	}
	for i := range v.list("host-types") {
		s.MachineTypes = append(s.MachineTypes, admission.MachineType{
			Cores:  max(v.numAt("family-info.kind-cores", i), 1),
			Memory: v.numAt("family-info.ram-of-kind-mb", i),
		})
	}
	if s.MachineTypes == nil { // engines are listed by kind all the same
		s.MachineTypes = []admission.MachineType{{Cores: 1}}
	}
	for i := range v.count("classes.count") {
		p := "classes." + strconv.Itoa(i) + "."
		c := admission.Class{
			LatencyObjective:    v.num(p + "objective"),
			ObjectiveStretch:    v.num(p + "aim-stretch"),
			PriorityWeight:      v.num(p + "worth"),
			IdempotencyWindow:   v.num(p + "window"),
			Ordered:             v.yes(p + "fifo-by-key"),
			WritesTables:        v.at("family-info.writes-tables", i) == "true",
			BlockedByWrites:     v.at("family-info.yields-to-loads", i) == "true",
			Threads:             max(v.numAt("family-info.dop", i), 1),
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
		s.TenantQuotas = append(s.TenantQuotas, v.num("tenants."+strconv.Itoa(i)+".quota-rps"))
	}
	all := Settings{
		Admission: s,
		Fields:    v.list("report.fields"),
		Zones:     v.list("areas"),
		Kinds:     v.list("host-types"),
		Streams:   max(v.count("allowed.streams-per-conn"), 1),
		MostOpen:  v.count("allowed.max-open"),
		Probing:   v.yes("allowed.probing"),
		Idle:      v.num("allowed.conn-idle"),
		Connect:   v.num("allowed.connect-timeout"),
		Drain:     v.num("contract.stop-sending-within"),
	}
	for i := range s.TenantQuotas {
		all.Customers = append(all.Customers, v["tenants."+strconv.Itoa(i)+".name"])
	}
	for i := range s.Classes {
		p := "classes." + strconv.Itoa(i) + "."
		all.Classes = append(all.Classes, v[p+"name"])
		all.JobTimeouts = append(all.JobTimeouts, v.num(p+"give-up"))
	}
	return all
}

// Load is a load report: jobs, jobs waiting, share of the cores, of the memory and of the disks, -1 for what it
// does not tell.
type Load [5]float64

// Untold is a report that tells nothing.
var Untold = Load{-1, -1, -1, -1, -1}

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
