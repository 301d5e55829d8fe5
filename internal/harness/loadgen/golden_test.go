package loadgen

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// A recording is written and read as the builds before did.
func TestGoldenRecording(t *testing.T) {
	file := filepath.Join(t.TempDir(), "recording")
	mix := Mix{Seed: 7, DataSet: 3, Classes: []WorkloadClass{
		{Name: "report", Team: "finance", WantsEstimates: true, Idempotency: admission.NonIdempotent, Rate: 20, Work: 0.5, Memory: 64, Timeout: 4, Pages: 3},
		{Name: "lookup", Idempotency: admission.IdempotentWithKey, Rate: 20, Work: 0.1, Memory: 8, Timeout: 1, Pages: 1},
	}}
	if err := mix.Record(file, 0.1); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, testutil.CheckGolden(t, "Recording", text), 0o600); err != nil {
		t.Fatal(err)
	}
	var replayed Mix
	if err := replayed.Replay(file); err != nil {
		t.Fatal(err)
	}
	if len(replayed.Recording) < 3 {
		t.Fatalf("%d entries", len(replayed.Recording))
	}
	drawn := Mix{Seed: mix.Seed, DataSet: mix.DataSet, Classes: mix.Classes}
	total := mix.Classes[0].Rate + mix.Classes[1].Rate
	for i, got := range replayed.Recording {
		want, _ := drawn.next(i, total)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("entry %d read from the golden file (-want +got):\n%s", i, diff)
		}
	}
}
