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

// What the disk may do while requests come: fail each way and come back, take long, stand still. Requests that need no
// record go on, those that need one are rejected in bounded time, and all is there after the next crash.
func TestDiskFaults(t *testing.T) {
	for _, fault := range []string{crashfs.FaultFull, crashfs.FaultSync, crashfs.FaultReadOnly} {
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

// testDiskFault has requests come before, during and after a fault, and again after a crash of the machine.
func testDiskFault(t *testing.T, begin, end func(disk *crashfs.Dir)) {
	disk, clock := crashfs.New(1), &clock{start: "one", at: 100}
	o := options()
	o.SyncTimeout = 0.05
	p := startProcess(t, o, disk, clock.clock())
	if err := p.send(t, "before", idempotency.NonIdempotent); err != nil {
		t.Fatal(err)
	}
	disk.Configure(begin)
	sendDuringFault(t, p)
	disk.Configure(end)
	waitUntil(t, "records are taken again", func() bool { return p.send(t, "again", idempotency.NonIdempotent) == nil })
	p.stop()
	disk.Crash()
	disk.Restart()
	clock.start = "two"
	p = startProcess(t, options(), disk, clock.clock())
	for _, key := range []string{"before", "again"} {
		if admission := p.Admit(key, idempotency.NonIdempotent, 60, false); admission.Decision != idempotency.Answered || string(admission.Answer.Rows) != key {
			t.Errorf("%s after the crash: %+v", key, admission)
		}
	}
	if decision := p.decide("meanwhile", false); decision != idempotency.Proceed {
		t.Errorf("what never went: decision %d", decision)
	}
	p.stop()
}

// sendDuringFault sends a request that needs a record, and more of the others than wait to be written at once.
func sendDuringFault(t *testing.T, p *process) {
	t.Helper()
	began := time.Now()
	if err := p.send(t, "meanwhile", idempotency.NonIdempotent); !errors.Is(err, ErrNotRecorded) {
		t.Errorf("a non-idempotent request goes: %v", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("rejected after %v", took)
	}
	for i := range 200 {
		if err := p.send(t, fmt.Sprint("light", i), idempotency.Idempotent); err != nil {
			t.Errorf("an idempotent request does not go: %v", err)
		}
	}
}

// An attempt whose record can't be had goes all the same where the settings say so, with a log line.
func TestSentUnrecorded(t *testing.T) {
	disk, clock := crashfs.New(1), &clock{start: "one", at: 100}
	o := options()
	o.OnUnavailable = sendUnrecorded
	p := startProcess(t, o, disk, clock.clock())
	disk.Configure(func(disk *crashfs.Dir) { disk.Fault = crashfs.FaultSync })
	if err := p.send(t, "k", idempotency.NonIdempotent); err != nil {
		t.Error(err)
	}
	p.stop()
	if !strings.Contains(p.log.String(), "without its record") {
		t.Error(p.log.String())
	}
}
