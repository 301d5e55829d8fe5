package requestlog

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// Guards against files and memory that grow without bound under a continuous load: only the keys of the retention time may
// stay.
func TestBounded(t *testing.T) {
	const maxKeys, maxMemory, maxDisk = 250, 200_000, 500_000
	disk, clock := crashfs.New(1), &clock{bootID: "one", now: 100}
	o := options()
	o.Retention, o.SegmentMB, o.BackgroundMBPerSecond = 1, 0.05, 1000
	p := startProcess(t, o, disk, clock.clock())
	largest := 0
	for i := range 4000 {
		if err := p.send(t, fmt.Sprint("k", i), idempotency.Idempotency(i%3)); err != nil {
			t.Fatal(err)
		}
		clock.advance(0.01)
		if i%100 != 0 {
			continue
		}
		largest = max(largest, diskUse(t, disk))
		if keys, size, _ := p.Usage(); keys > maxKeys || size > maxMemory {
			t.Fatalf("got %d keys and %d bytes in memory, want at most %d and %d", keys, size, maxKeys, maxMemory)
		}
	}
	p.stop()
	if largest > maxDisk {
		t.Errorf("got %d bytes in files, want at most %d", largest, maxDisk)
	}
	for line := range strings.Lines(p.log.String()) {
		var entry map[string]any
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Errorf("log: %s", line)
		}
	}
}

// diskUse returns the size of all files in bytes.
func diskUse(t *testing.T, disk *crashfs.Dir) (size int) {
	t.Helper()
	names, err := disk.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		size += disk.Size(name)
	}
	return size
}
