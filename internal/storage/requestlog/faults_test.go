package requestlog

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// The disk fails in each way and recovers, or hangs for a while. Requests that need no record must continue, those that need
// one must be rejected in bounded time, and after the next crash all that was recorded must be there.
func TestDiskFaults(t *testing.T) {
	for _, fault := range []string{crashfs.FaultNoSpace, crashfs.FaultSyncError, crashfs.FaultReadOnly} {
		t.Run(fault, func(t *testing.T) {
			testDiskFault(t,
				func(disk *crashfs.Dir) { disk.Fault = fault },
				func(disk *crashfs.Dir) { disk.Fault = "" })
		})
	}
	t.Run("slow", func(t *testing.T) {
		release := make(chan bool)
		testDiskFault(t,
			func(disk *crashfs.Dir) { disk.BeforeSync = func() { <-release } },
			func(disk *crashfs.Dir) { disk.BeforeSync = nil; close(release) })
	})
}

// testDiskFault sends requests before, during and after a fault, and repeats them after a crash of the machine.
func testDiskFault(t *testing.T, begin, end func(disk *crashfs.Dir)) {
	disk, clock := crashfs.New(1), &clock{bootID: "one", now: 100}
	o := options()
	o.SyncTimeout = 0.05
	p := startProcess(t, o, disk, clock.clock())
	if err := p.send(t, "before", idempotency.NonIdempotent); err != nil {
		t.Fatal(err)
	}
	disk.Configure(begin)
	sendDuringFault(t, p)
	disk.Configure(end)
	waitUntil(t, "the disk accepts records again", func() bool { return p.send(t, "again", idempotency.NonIdempotent) == nil })
	p.stop()
	disk.Crash()
	disk.Restart()
	clock.bootID = "two"
	p = startProcess(t, options(), disk, clock.clock())
	for _, key := range []string{"before", "again"} {
		if admission := p.Admit(key, idempotency.NonIdempotent, 60, false); admission.Decision != idempotency.Answered || string(admission.Answer.Rows) != key {
			t.Errorf("%s after the crash: got %+v, want its answer", key, admission)
		}
	}
	if decision := p.decide("meanwhile", false); decision != idempotency.Proceed {
		t.Errorf("a request that was never sent: got decision %d, want %d", decision, idempotency.Proceed)
	}
	p.stop()
}

// sendDuringFault sends one request that needs a record, which must be rejected, and many that need none, which must be sent.
func sendDuringFault(t *testing.T, p *process) {
	t.Helper()
	began := time.Now()
	if err := p.send(t, "meanwhile", idempotency.NonIdempotent); !errors.Is(err, ErrNotRecorded) {
		t.Errorf("a non-idempotent request: got error %v, want ErrNotRecorded", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("rejected after %v, want at most 1s", took)
	}
	for i := range 200 {
		if err := p.send(t, fmt.Sprint("light", i), idempotency.Idempotent); err != nil {
			t.Errorf("an idempotent request was not sent: %v", err)
		}
	}
}

// If the settings say so, an attempt is sent although its record can't be written, and a log line reports it.
func TestSentUnrecorded(t *testing.T) {
	disk, clock := crashfs.New(1), &clock{bootID: "one", now: 100}
	o := options()
	o.OnUnavailable = sendUnrecorded
	p := startProcess(t, o, disk, clock.clock())
	disk.Configure(func(disk *crashfs.Dir) { disk.Fault = crashfs.FaultSyncError })
	if err := p.send(t, "k", idempotency.NonIdempotent); err != nil {
		t.Error(err)
	}
	p.stop()
	if !strings.Contains(p.log.String(), "without its record") {
		t.Errorf("no log line about the unrecorded attempt:\n%s", p.log.String())
	}
}
