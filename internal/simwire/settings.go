package simwire

import (
	"slices"
	"strconv"
	"strings"

	"copperrock.example/copperrock/brain"
)

type values map[string]string

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

// settings decodes a setup text; unknown keys are passed over, missing ones are zero.
// It also gives the names of the load report's values, in their order.
func settings(text string) (brain.Settings, []string) {
	v := values{}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			v[path] = value
		}
	}
	s := brain.Settings{
		Gateways:       max(v.count("group-size"), 1),
		Index:          v.count("index"),
		Zone:           v.count("zone"),
		AskRoster:      v["membership-mode"] == "on_request",
		MayCancel:      v.yes("allowed.cancel"),
		MayCopy:        v.yes("allowed.may-duplicate"),
		Grants:         v.yes("family-info.grants"),
		Priorities:     v.yes("family-info.takes-priority"),
		Line:           v["family-info.on-shortage"] == "wait",
		TellsMemory:    v.yes("allowed.probing") && slices.Contains(v.list("report.fields"), "x0"),
		MostDispatches: v.count("allowed.try-limit"),
		Cold:           v.num("contract.cold"),
		ColdFrom:       v.num("contract.cold-from"),
		FallMultiple:   v.num("contract.fall-multiple"),
		FallWindow:     v.num("contract.fall"),
		KeyRest:        v.num("contract.turn-gap"),
		ExtraFree:      v.num("contract.budget-free"),
		ExtraShare:     v.num("contract.resend-ratio"),
		ExtraWindow:    v.num("contract.counted-over"),
		OverValue:      v.num("over-share-worth"),
		LargestShare:   v.num("family-info.largest-share"),
	}
	if v.yes("allowed.retry-after") {
		s.MostComeBack = v.num("allowed.max-retry-after")
	}
	for i := range v.list("host-types") {
		s.Kinds = append(s.Kinds, brain.Kind{
			Cores:  max(v.numAt("family-info.kind-cores", i), 1),
			Memory: v.numAt("family-info.ram-of-kind-mb", i),
		})
	}
	if s.Kinds == nil { // engines are listed by kind all the same
		s.Kinds = []brain.Kind{{Cores: 1}}
	}
	for i := range v.count("classes.count") {
		p := "classes." + strconv.Itoa(i) + "."
		c := brain.Class{
			SLA:     v.num(p + "objective"),
			Stretch: v.num(p + "aim-stretch"),
			Value:   v.num(p + "worth"),
			Window:  v.num(p + "window"),
			InOrder: v.yes(p + "fifo-by-key"),
			Load:    v.at("family-info.writes-tables", i) == "true",
			Waits:   v.at("family-info.yields-to-loads", i) == "true",
			Threads: max(v.numAt("family-info.dop", i), 1),
			Zones:   v.indexes(p+"stays-in", "areas"),
			Kinds:   v.indexes(p+"host-types-open", "host-types"),
			Effect:  map[string]brain.Effect{"pure": brain.Restartable, "token": brain.Keyed}[v[p+"repeat"]],
			Group:   map[string]brain.Group{"zone": brain.GroupZone, "cell": brain.GroupCell}[v[p+"group"]],
		}
		if v[p+"repeat"] != "pure" && v[p+"repeat"] != "token" {
			c.Effect = brain.RunOnce
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range v.count("tenants.count") {
		s.Tenants = append(s.Tenants, v.num("tenants."+strconv.Itoa(i)+".quota-rps"))
	}
	return s, v.list("report.fields")
}
