package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// What was learned, every field set, is written and read as the builds before did.
func TestGoldenLearned(t *testing.T) {
	var want, got learnedState
	testutil.Fill(&want)
	text, err := msgpack.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(testutil.Golden(t, "Learned", text), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("read from the golden file (-want +got):\n%s", diff)
	}
}
