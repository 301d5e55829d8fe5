package loadgen

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// Recordings are written and read in the same format as by earlier builds.
func TestGoldenRecording(t *testing.T) {
	file := filepath.Join(t.TempDir(), "recording")
	mix := Mix{Seed: 7, DataSets: 3, Classes: []WorkloadClass{
		{Name: "report", Team: "finance", WantsEstimates: true, Idempotency: admission.NonIdempotent, Rate: 20, Work: 0.5,
			Memory: 64, Timeout: 4, Pages: 3},
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
		t.Fatalf("got %d entries, want at least 3", len(replayed.Recording))
	}
	redrawn := Mix{Seed: mix.Seed, DataSets: mix.DataSets, Classes: mix.Classes}
	totalRate := mix.Classes[0].Rate + mix.Classes[1].Rate
	for i, got := range replayed.Recording {
		want, _ := redrawn.next(i, totalRate)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("entry %d of the golden file differs (-want +got):\n%s", i, diff)
		}
	}
}
