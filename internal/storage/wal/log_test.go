package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

const numberKind = FirstUserKind

var owner = Identity{Name: "n1"}

func numberRecord(n uint64) []byte {
	return AppendRecord(nil, numberKind, binary.BigEndian.AppendUint64(nil, n))
}

// openAndRead opens a folder and gives the numbers that are there, in order and each once.
func openAndRead(folder *crashfs.Dir) (log *Log, got []uint64, found ReplayResult, err error) {
	log, found, err = Open(folder, owner, func(_ byte, body []byte) error {
		if n := binary.BigEndian.Uint64(body); !slices.Contains(got, n) {
			got = append(got, n)
		}
		return nil
	})
	slices.Sort(got)
	return log, got, found, err
}

// appendAll plays a life of a store: records are written, each waited for, and all is written anew in between. It gives the
// highest number that was waited for with success.
func appendAll(log *Log, from, to uint64) (acked uint64) {
	acked = from
	for n := from + 1; n <= to; n++ {
		if log.Err() != nil {
			writeSnapshot(log, n-1)
		}
		if log.Append(numberRecord(n), true) == nil {
			acked = n
		} else {
			writeSnapshot(log, n) // also what failed is in memory
			if log.Err() == nil {
				acked = n
			}
		}
		if n%7 == 0 {
			writeSnapshot(log, n)
		}
	}
	return acked
}

// writeSnapshot writes a whole of all up to a number.
func writeSnapshot(log *Log, last uint64) bool {
	snapshot, err := log.BeginSnapshot()
	if err != nil {
		return false
	}
	for n := uint64(1); n <= last; n++ {
		if snapshot.Append(numberRecord(n)) != nil {
			snapshot.Abort()
			return false
		}
	}
	return snapshot.Commit() == nil
}

// checkPrefix tells whether the numbers are 1 to the last of them, and no fewer than were waited for (J1, J2).
func checkPrefix(got []uint64, acked uint64) error {
	for i, n := range got {
		if n != uint64(i+1) {
			return fmt.Errorf("%v: %d is missing", got, i+1)
		}
	}
	if uint64(len(got)) < acked {
		return fmt.Errorf("%v, but %d was waited for", got, acked)
	}
	return nil
}

// The machine crashes at every write, sync, rename and removal of a life in turn, and again at every one of the opening
// after it.
func TestCrashAtEveryOperation(t *testing.T) {
	operations := func() int {
		disk := crashfs.New(1)
		log, _, _, _ := openAndRead(disk)
		appendAll(log, 0, 20)
		_ = log.Close()
		return disk.Operations()
	}()
	if operations < 50 {
		t.Fatalf("only %d operations", operations)
	}
	for at := 1; at <= operations; at++ {
		for again := 0; again < 14; again++ {
			disk := crashfs.New(uint64(100*at + again))
			disk.CrashAtOperation = at
			acked := uint64(0)
			if log, _, _, err := openAndRead(disk); err == nil {
				acked = appendAll(log, 0, 20)
				_ = log.Close() // the crash may be in it
			}
			disk.Restart()
			if again > 0 {
				disk.CrashAtOperation = disk.Operations() + again
				_, _, _, _ = openAndRead(disk) // the crash is in it
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
			acked = appendAll(log, next, next+9) // it goes on
			if err := log.Close(); err != nil {
				t.Fatalf("crash at %d, again at %d, second life: %v", at, again, err)
			}
			if _, got, _, err := openAndRead(disk); err != nil || checkPrefix(got, acked) != nil || acked < next+9 {
				t.Fatalf("crash at %d, again at %d, second life: %v, %v", at, again, err, got)
			}
		}
	}
}

// The process is killed at every operation in turn, another opens the store, and then the machine crashes: what the second
// one read and built on is on the disk.
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
			t.Fatalf("killed at %d, then crashed: %v, %v; %v was read before, now %v", at, err, found, seen, got)
		}
	}
}

// A write or sync fails at every operation in turn, once or from then on: what was waited for is read, and once the disk is
// sound again all goes on. One that says it has synced and has not loses records, but never those between others.
func TestFailAtEveryOperation(t *testing.T) {
	for _, fault := range []string{"full", "sync", "read only", "lie"} {
		for at := 1; at <= 90; at++ {
			for _, once := range []bool{true, false} {
				disk := crashfs.New(uint64(at))
				log, _, _, _ := openAndRead(disk)
				disk.Fault = fault
				disk.FaultAtOperation = at
				if !once {
					disk.FaultAtOperation = 0
				}
				acked := appendAll(log, 0, 12)
				sound := fault != "lie"
				disk.Fault = ""
				if sound {
					if acked = appendAll(log, 12, 16); acked != 16 {
						t.Fatalf("%s at %d, once %v: does not go on: %v", fault, at, once, log.Err())
					}
				}
				disk.Crash()
				disk.Restart()
				_, got, found, err := openAndRead(disk)
				if !sound {
					acked = 0
				}
				if err := checkPrefix(got, acked); err != nil && len(found.Damaged) == 0 {
					t.Fatalf("%s at %d, once %v: %v, %v", fault, at, once, err, found)
				}
				if err != nil && sound {
					t.Fatalf("%s at %d, once %v: %v", fault, at, once, err)
				}
			}
		}
	}
}

// Every bit place of every file is turned in turn: nothing that was waited for goes unnoticed, but for the last frame,
// which a write that had not ended looks like.
func TestEveryByteFlipped(t *testing.T) {
	fill := func() (*crashfs.Dir, []string) {
		disk := crashfs.New(1)
		log, _, _, _ := openAndRead(disk)
		appendAll(log, 0, 5)
		writeSnapshot(log, 5)
		appendAll(log, 5, 6)
		names, _ := disk.List()
		return disk, names
	}
	disk, names := fill()
	silent := 0
	for _, name := range names {
		for at := range disk.Size(name) {
			disk, _ := fill()
			disk.FlipBit(name, at)
			log, got, found, err := openAndRead(disk)
			if err != nil {
				continue
			}
			if len(found.Damaged) == 0 && checkPrefix(got, 6) != nil {
				if silent++; checkPrefix(got, 5) != nil {
					t.Fatalf("%s, byte %d: %v, and nothing is said: %+v", name, at, got, found)
				}
			}
			if len(found.Damaged) > 0 { // it is put aside, and goes on
				if err := checkPrefix(got, 0); err != nil && !strings.Contains(err.Error(), "missing") {
					t.Fatal(err)
				}
				if !writeSnapshot(log, 9) || log.Append(numberRecord(10), true) != nil {
					t.Fatalf("%s, byte %d: does not go on", name, at)
				}
				if _, got, found, err := openAndRead(disk); err != nil || len(found.Damaged) > 0 || checkPrefix(got, 10) != nil {
					t.Fatalf("%s, byte %d, second life: %v, %v, %v", name, at, err, found, got)
				}
				if left, _ := disk.List(); !slices.ContainsFunc(left, func(n string) bool { return strings.HasSuffix(n, ".damaged") }) && !strings.Contains(found.Damaged[0].Error(), "missing") {
					t.Fatalf("%s, byte %d: nothing was put aside: %v", name, at, left)
				}
			}
		}
	}
	if most := frameOverhead + 10 + 4; silent > most {
		t.Errorf("%d turned bits went unnoticed, the last frame has %d bytes", silent, most)
	}
}

// What openings find and say, as a trace.
func TestReplayResults(t *testing.T) {
	var lines []string
	say := func(what string, disk *crashfs.Dir) {
		_, got, found, err := openAndRead(disk)
		names, _ := disk.List()
		lines = append(lines, fmt.Sprintf("%s: %v, torn %d, damaged %q, clean %v, %v; files %v", what, got, found.TornBytes, found.Damaged, found.CleanShutdown, err, names))
	}
	fill := func(end bool) *crashfs.Dir {
		disk := crashfs.New(1)
		log, _, _, _ := openAndRead(disk)
		appendAll(log, 0, 3)
		writeSnapshot(log, 3)
		appendAll(log, 3, 5)
		if end {
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
		}
		return disk
	}
	say("new", crashfs.New(1))
	say("clean shutdown", fill(true))
	say("killed", fill(false))
	disk := fill(false)
	remove := func(name string) {
		if err := disk.Remove(name); err != nil {
			t.Fatal(err)
		}
	}
	create := func(name string, content []byte) {
		file, err := disk.Create(name)
		if err == nil {
			_, err = file.Write(content)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	log, _, _, _ := openAndRead(disk)
	if _, err := log.BeginSnapshot(); err != nil {
		t.Fatal(err)
	}
	say("killed during a snapshot", disk)
	disk = fill(false)
	disk.TruncateFile(segmentName(2), disk.Size(segmentName(2))-3)
	say("the last record is torn", disk)
	disk = fill(false)
	disk.FlipBit(segmentName(2), disk.Size(segmentName(2))-50)
	say("a bit is flipped in the middle", disk)
	say("and opened again", disk)
	disk = fill(false)
	remove(segmentName(2))
	say("a file is missing", disk)
	disk = fill(false)
	remove(snapshotName(2))
	say("a snapshot is missing", disk)
	disk = fill(false)
	disk.FlipBit(snapshotName(2), 60)
	say("a snapshot is damaged", disk)
	disk = fill(false) // the next generation beside the one before
	content, err := disk.Read(segmentName(2))
	if err != nil {
		t.Fatal(err)
	}
	create(segmentName(1), content)
	say("a segment that the snapshot holds", disk)
	disk = fill(false)
	create("notes.txt", []byte("mine"))
	say("a file of somebody else's", disk)
	_, _, err = Open(fill(true), Identity{Name: "n2"}, func(byte, []byte) error { return nil })
	lines = append(lines, fmt.Sprint("a copy from another controller: ", err, errors.Is(err, ErrWrongIdentity)))
	disk = crashfs.New(1)
	create(segmentName(1), []byte("CRSTOR02 and what comes then"))
	say("of a later format", disk)
	testutil.Check(t, lines)
}

// Any bytes at all make no opening fail but with a word, and nothing is read beyond bounds.
func FuzzDecodeFile(f *testing.F) {
	f.Add(fileHeader(owner, 0))
	f.Add(appendFrame(fileHeader(owner, 3), 1, numberRecord(7)))
	f.Add([]byte("CRSTOR01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		end, err := decodeFile(b, &Identity{}, func(byte, []byte) error { return nil })
		if err == nil && (end.complete < 0 || end.complete > int64(len(b))) {
			t.Fatalf("%d of %d bytes are complete", end.complete, len(b))
		}
	})
}

// Each fault of a file is found by its kind, with the file and the offset.
func TestErrorsNameFileAndOffset(t *testing.T) {
	fill := func() *crashfs.Dir {
		disk := crashfs.New(1)
		log, _, _, _ := openAndRead(disk)
		appendAll(log, 0, 3)
		return disk
	}
	check := func(what string, err error, name string, offset int64, kinds ...error) {
		t.Helper()
		var fault *recordfile.FileError
		if !errors.As(err, &fault) || fault.Path != name || fault.Offset != offset {
			t.Errorf("%s: %#v", what, err)
		}
		for _, kind := range kinds {
			if !errors.Is(err, kind) {
				t.Errorf("%s: %v is no %v", what, err, kind)
			}
		}
	}
	name := segmentName(1)
	header := int64(len(fileHeader(owner, 0)))
	_, _, err := Open(fill(), Identity{Name: "n2"}, func(byte, []byte) error { return nil })
	check("another owner's", err, name, int64(headerSize), ErrWrongIdentity, recordfile.ErrWrongIdentity)

	disk := fill()
	disk.FlipBit(name, int(header)+frameOverhead)
	_, _, found, err := openAndRead(disk)
	if err != nil || len(found.Damaged) != 1 || len(found.Torn) != 0 {
		t.Fatalf("%v, %+v", err, found)
	}
	check("damaged", found.Damaged[0], name, header, recordfile.ErrDamaged)

	disk = fill()
	disk.TruncateFile(name, int(header)+5)
	_, _, found, err = openAndRead(disk)
	if err != nil || len(found.Damaged) != 0 || len(found.Torn) != 1 {
		t.Fatalf("%v, %+v", err, found)
	}
	check("torn", found.Torn[0], name, header, recordfile.ErrTorn)
}

// A full disk is told from other failures, with the segment and how far it was written.
func TestDiskFull(t *testing.T) {
	disk := crashfs.New(1)
	log, _, _, err := openAndRead(disk)
	if err != nil {
		t.Fatal(err)
	}
	before := log.SegmentSize()
	disk.Fault = "full"
	err = log.Append(numberRecord(1), true)
	var failed *WriteError
	if !errors.Is(err, ErrUnavailable) || !errors.Is(err, vfs.ErrDiskFull) || !errors.As(err, &failed) || failed.Path != segmentName(1) || failed.Offset < before {
		t.Errorf("%#v", err)
	}
	if !errors.Is(log.Err(), vfs.ErrDiskFull) {
		t.Errorf("%#v", log.Err())
	}
	disk.Fault = "sync"
	if _, err := log.BeginSnapshot(); !errors.Is(err, ErrUnavailable) || errors.Is(err, vfs.ErrDiskFull) {
		t.Errorf("%#v", err)
	}
}
