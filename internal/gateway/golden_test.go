package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Learned state with every field set is encoded and decoded in the same format as by earlier builds.
func TestGoldenLearned(t *testing.T) {
	var want, got learnedState
	testutil.FillFields(&want)
	text, err := msgpack.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(testutil.CheckGolden(t, "Learned", text), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("read from the golden file (-want +got):\n%s", diff)
	}
}
