package discovery

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := drawList(t, "before"), drawList(t, "after")
		if rapid.Bool().Draw(t, "kin") { // share engines
			y = Difference{Added: append(append([]Endpoint{}, x.Endpoints[len(x.Endpoints)/2:]...), y.Endpoints...)}.Apply(List{}, y.Generation)
		}
		d := Diff(x, y)
		if diff := cmp.Diff(y, d.Apply(x, y.Generation)); diff != "" {
			t.Fatal(diff)
		}
		if same := x.SameEndpoints(y); same != d.Empty() || len(d.Lines()) == 0 != same {
			t.Fatalf("same %v, difference %v", same, d.Lines())
		}
	})
}
