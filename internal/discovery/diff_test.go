package discovery

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawList(t, "before"), drawList(t, "after")
		if rapid.Bool().Draw(t, "share engines") {
			after = Difference{Added: append(append([]Endpoint{}, before.Endpoints[len(before.Endpoints)/2:]...), after.Endpoints...)}.
				Apply(List{}, after.Generation)
		}
		d := Diff(before, after)
		if diff := cmp.Diff(after, d.Apply(before, after.Generation)); diff != "" {
			t.Fatalf("Diff then Apply (-want +got):\n%s", diff)
		}
		if same := before.SameEndpoints(after); same != d.Empty() || len(d.Lines()) == 0 != same {
			t.Fatalf("SameEndpoints = %v, difference %q", same, d.Lines())
		}
	})
}
