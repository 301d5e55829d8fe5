package discovery

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A merged list has no name or address twice, and the latest list of a source remains in effect while others change.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMerger(2)
		lists := make([]List, 2)
		for range rapid.IntRange(1, 6).Draw(t, "updates") {
			source := rapid.IntRange(0, 1).Draw(t, "source")
			l := drawList(t, "list")
			mode := rapid.SampledFrom([]UpdateMode{Delta, Snapshot, DrainingSnapshot}).Draw(t, "mode")
			lists[source] = ApplyUpdate(lists[source], mode, l.Endpoints)
			merged, conflicts := m.Set(source, lists[source])
			names, addresses := map[string]bool{}, map[string]bool{}
			for _, e := range merged.Endpoints {
				if names[e.Name] || addresses[e.Address] && e.State != Terminated {
					t.Fatalf("duplicate name or address in the merged list: %v", e)
				}
				names[e.Name] = true
				addresses[e.Address] = addresses[e.Address] || e.State != Terminated
			}
			for _, e := range lists[0].Endpoints { // the first source wins, except over its own duplicate addresses
				sharesAddress := slices.ContainsFunc(lists[0].Endpoints, func(o Endpoint) bool { return o.Address == e.Address && o.Name != e.Name })
				if got, found := merged.Lookup(e.Name); !sharesAddress && (!found || got != e) {
					t.Fatalf("merged entry: got %v, want %v", got, e)
				}
			}
			if all := len(lists[0].Endpoints) + len(lists[1].Endpoints); all != len(merged.Endpoints)+len(conflicts) {
				t.Fatalf("got %d entries merged and %d left out, want %d in total", len(merged.Endpoints), len(conflicts), all)
			}
		}
	})
}

// Guards against an engine that is left out because it has the address of one that has gone and that its source still lists.
func TestMergerAddressTakenOver(t *testing.T) {
	entry := func(name string, startedAt float64) Endpoint {
		return Endpoint{Name: name, Address: "10.0.0.1:1", State: InService, StartedAt: startedAt}
	}
	for _, list := range [][]Endpoint{{entry("a-old", 0), entry("b-new", 100)}, {entry("a-new", 100), entry("b-old", 0)}} {
		m := NewMerger(2)
		merged, conflicts := m.Set(1, List{Endpoints: list})
		if len(merged.Endpoints) != 1 || merged.Endpoints[0].StartedAt != 100 || len(conflicts) != 1 {
			t.Errorf("%v: got %v and conflicts %q, want the entry that started at 100 and one conflict", list, merged.Endpoints, conflicts)
		}
	}
}
