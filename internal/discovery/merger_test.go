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
