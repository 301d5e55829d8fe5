package wal

import (
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
)

// The machine crashes at every write, sync, rename and removal of a process in turn, and again at every operation of the next
// opening.
func TestCrashAtEveryOperation(t *testing.T) {
	const minOperations, openingOperations = 50, 14
	disk := crashfs.New(1)
	appendUntilCrash(disk)
	operations := disk.Operations()
	if operations < minOperations {
		t.Fatalf("only %d operations", operations)
	}
	for at := 1; at <= operations; at++ {
		for again := range openingOperations {
			testCrash(t, at, again)
		}
	}
}

// appendUntilCrash appends numbers and closes the log. It returns the highest number that was acknowledged: its Append or a
// snapshot with it succeeded.
func appendUntilCrash(disk *crashfs.Dir) (acked uint64) {
	log, _, _, err := openAndRead(disk)
	if err != nil {
		return 0
	}
	acked = appendAll(log, 0, 20)
	_ = log.Close() // may fail at the crash
	return acked
}

// testCrash crashes at one operation of a process and, if again is not 0, at that operation of the next opening.
func testCrash(t *testing.T, at, again int) {
	disk := crashfs.New(uint64(100*at + again))
	disk.CrashAtOperation = at
	acked := appendUntilCrash(disk)
	disk.Restart()
	if again > 0 {
		disk.CrashAtOperation = disk.Operations() + again
		_, _, _, _ = openAndRead(disk) // fails at the crash
		disk.Restart()
	}
	log, got, found, err := openAndRead(disk)
	if err != nil || len(found.Damaged) > 0 {
		t.Fatalf("crash at %d, again at %d: %v, %v", at, again, err, found)
	}
	if err := checkPrefix(got, acked); err != nil {
		t.Fatalf("crash at %d, again at %d: %v", at, again, err)
	}
	next := uint64(len(got))
	acked = appendAll(log, next, next+9) // the log must remain usable
	if err := log.Close(); err != nil {
		t.Fatalf("crash at %d, again at %d, second process: %v", at, again, err)
	}
	if _, got, _, err := openAndRead(disk); err != nil || checkPrefix(got, acked) != nil || acked < next+9 {
		t.Fatalf("crash at %d, again at %d, second process: %v, %v", at, again, err, got)
	}
}

// The process is killed at every operation in turn, another process opens the store, and then the machine crashes: what the
// second process read, and may have acted on, must be on disk.
func TestKilledThenCrashed(t *testing.T) {
	for at := 1; at <= 60; at++ {
		disk := crashfs.New(uint64(at))
		disk.CrashAtOperation = at
		acked := uint64(0)
		if log, _, _, err := openAndRead(disk); err == nil {
			acked = appendAll(log, 0, 20)
		}
		disk.Resume()
		_, seen, _, err := openAndRead(disk)
		if err == nil {
			err = checkPrefix(seen, acked)
		}
		if err != nil {
			t.Fatalf("killed at %d: %v", at, err)
		}
		disk.Crash()
		disk.Restart()
		if _, got, found, err := openAndRead(disk); err != nil || len(found.Damaged) > 0 || checkPrefix(got, uint64(len(seen))) != nil {
			t.Fatalf("killed at %d, then crashed: %v, %v; got %[5]v, want %[4]v, which was read before", at, err, found, seen, got)
		}
	}
}

// The process is killed at every operation in turn, another process continues, and then the machine crashes at each of its
// first operations: what either process acknowledged must be on disk, also if the second one built on records that the first
// one had not synced.
func TestKilledThenCrashedLater(t *testing.T) {
	const laterOperations = 30
	for at := 1; at <= 60; at++ {
		for later := 1; later <= laterOperations; later++ {
			disk := crashfs.New(uint64(100*at + later))
			disk.CrashAtOperation = at
			acked := appendUntilCrash(disk)
			disk.Resume()
			disk.CrashAtOperation = disk.Operations() + later
			if log, got, _, err := openAndRead(disk); err == nil {
				read, usable := uint64(len(got)), log.Err() == nil
				appended := appendAll(log, read, read+9)
				if usable || appended > read {
					acked = appended
				}
			}
			disk.Crash()
			disk.Restart()
			if _, got, found, err := openAndRead(disk); err != nil || len(found.Damaged) > 0 || checkPrefix(got, acked) != nil {
				t.Fatalf("killed at %d, crashed %d later: %v, %v; got %v, want at least 1 to %d", at, later, err, found, got, acked)
			}
		}
	}
}

// One disk operation fails, each in turn, or all of them do: acknowledged records must be read, and the log must continue
// once the disk works again. A disk that falsely reports a sync may lose records, but a loss in the middle of the log must be
// reported as damage.
func TestFailAtEveryOperation(t *testing.T) {
	for _, fault := range []string{crashfs.FaultNoSpace, crashfs.FaultSyncError, crashfs.FaultReadOnly, crashfs.FaultSyncIgnored} {
		for at := 1; at <= 90; at++ {
			testFault(t, uint64(at), fault, at)
			testFault(t, uint64(at), fault, 0)
		}
	}
}

// testFault injects a fault into one operation of a disk, or into all if at is 0.
func testFault(t *testing.T, seed uint64, fault string, at int) {
	disk := crashfs.New(seed)
	log, _, _, err := openAndRead(disk)
	if err != nil {
		t.Fatal(err)
	}
	disk.Fault, disk.FaultAtOperation = fault, at
	appendAll(log, 0, 12)
	disk.Fault = ""
	honest := fault != crashfs.FaultSyncIgnored
	acked := uint64(0)
	if honest {
		if acked = appendAll(log, 12, 16); acked != 16 {
			t.Fatalf("%s at %d: the log does not continue: %v", fault, at, log.Err())
		}
	}
	disk.Crash()
	disk.Restart()
	_, got, found, err := openAndRead(disk)
	if err := checkPrefix(got, acked); err != nil && len(found.Damaged) == 0 {
		t.Fatalf("%s at %d: %v, %v", fault, at, err, found)
	}
	if err != nil && honest {
		t.Fatalf("%s at %d: %v", fault, at, err)
	}
}

// A bit of every byte of every file is flipped in turn: no loss of acknowledged records may go unnoticed, except in the last
// frame, where it looks like an unfinished write.
func TestEveryByteFlipped(t *testing.T) {
	disk := newDisk(t, 5, 6)
	names, err := disk.List()
	if err != nil {
		t.Fatal(err)
	}
	unnoticed := 0
	for _, name := range names {
		for at := range disk.Size(name) {
			if !noticesFlip(t, name, at) {
				unnoticed++
			}
		}
	}
	if lastFrame := frameOverhead + 10 + 4; unnoticed > lastFrame {
		t.Errorf("got %d unnoticed flips, want at most %d, the bytes of the last frame", unnoticed, lastFrame)
	}
}

// noticesFlip flips a bit of a byte and reports whether the next opening notices it. If records are lost, that must be
// reported; damaged files must be renamed, and the log must continue.
func noticesFlip(t *testing.T, name string, at int) bool {
	disk := newDisk(t, 5, 6)
	disk.FlipBit(name, at)
	log, got, found, err := openAndRead(disk)
	if err != nil {
		return true
	}
	if len(found.Damaged) == 0 {
		if checkPrefix(got, 5) != nil {
			t.Fatalf("%s, byte %d: got %v without a report of damage: %+v", name, at, got, found)
		}
		return checkPrefix(got, 6) == nil
	}
	if err := checkPrefix(got, 0); err != nil && !strings.Contains(err.Error(), "missing") {
		t.Fatal(err)
	}
	if !writeSnapshot(log, 9) || log.Append(numberRecord(10), true) != nil {
		t.Fatalf("%s, byte %d: the log does not continue", name, at)
	}
	if _, got, found, err := openAndRead(disk); err != nil || len(found.Damaged) > 0 || checkPrefix(got, 10) != nil {
		t.Fatalf("%s, byte %d, second process: %v, %v, %v", name, at, err, found, got)
	}
	missing := strings.Contains(found.Damaged[0].Error(), "missing")
	if names, err := disk.List(); err != nil || !missing && !strings.Contains(strings.Join(names, " ")+" ", damagedEnding+" ") {
		t.Fatalf("%s, byte %d: got no renamed damaged file: %v, %v", name, at, names, err)
	}
	return true
}
