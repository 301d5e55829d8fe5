package discovery

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Two sources never give a name or an address twice, and a source that is silent keeps what it said.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMerger(2)
		lists := make([]List, 2)
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			source := rapid.IntRange(0, 1).Draw(t, "source")
			l := drawList(t, "list")
			mode := rapid.SampledFrom([]UpdateMode{Delta, Snapshot, DrainingSnapshot}).Draw(t, "mode")
			lists[source] = ApplyUpdate(lists[source], mode, l.Endpoints)
			merged, gaveWay := m.Set(source, lists[source])
			names, addresses := map[string]bool{}, map[string]bool{}
			for _, e := range merged.Endpoints {
				if names[e.Name] || addresses[e.Address] && e.State != Terminated {
					t.Fatalf("%v stands there twice", e)
				}
				names[e.Name] = true
				addresses[e.Address] = addresses[e.Address] || e.State != Terminated
			}
			for _, e := range lists[0].Endpoints { // the first source has its way, but for its own twins
				twin := slices.ContainsFunc(lists[0].Endpoints, func(o Endpoint) bool { return o.Address == e.Address && o.Name != e.Name })
				if got, there := merged.Lookup(e.Name); !twin && (!there || got != e) {
					t.Fatalf("%v became %v", e, got)
				}
			}
			if all := len(lists[0].Endpoints) + len(lists[1].Endpoints); all != len(merged.Endpoints)+len(gaveWay) {
				t.Fatalf("%d entries, %d merged and %d left out", all, len(merged.Endpoints), len(gaveWay))
			}
		}
	})
}
