package file

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// Copies of a list must remain compatible with earlier builds, in both directions. Only the time of writing differs.
func TestGoldenCopy(t *testing.T) {
	const goldenMillis = 1700000000123
	want := discovery.List{Generation: 42, Confirmed: true, Endpoints: []discovery.Endpoint{
		{Name: "a", Address: "10.0.0.1:9000", Zone: "east", Kind: "large", Cell: 3, Weight: 0.5, State: discovery.InService, StartedAt: 1700000000.25},
		{Name: "b", Address: "[::1]:9000", Zone: "west", Kind: "small", Weight: 1, State: discovery.Terminating},
		{Name: "c", Address: "10.0.0.3:9000", Zone: "west", Kind: "small", State: discovery.InService},
	}}
	file := filepath.Join(t.TempDir(), "copy")
	if err := writeCopy(file, want); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var writtenMillis int64
	if n, err := fmt.Sscanf(string(text), "// copperrock copy of the engines, written_ms %d", &writtenMillis); n != 1 {
		t.Fatalf("no time of writing in %q: %v", text, err)
	}
	text = bytes.Replace(text, fmt.Append(nil, writtenMillis), fmt.Append(nil, goldenMillis), 1)
	if err := os.WriteFile(file, testutil.CheckGolden(t, "CopyOfAList", text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, writtenAt, err := readCopy(file, discovery.Bounds{MaxEndpoints: 10, MaxBytes: 1 << 16, Zones: []string{"east", "west"}, Kinds: []string{"large", "small"}})
	if err != nil || !writtenAt.Equal(time.UnixMilli(goldenMillis)) {
		t.Fatalf("readCopy of the golden file: got time %v, error %v, want %v", writtenAt, err, time.UnixMilli(goldenMillis))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("list read from the golden file (-want +got):\n%s", diff)
	}
}
