package wal

import (
	"errors"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

// Each fault in a file can be found by its kind, with the file and the offset.
func TestErrorsNameFileAndOffset(t *testing.T) {
	check := func(what string, err error, name string, offset int64, kinds ...error) {
		t.Helper()
		var fault *recordfile.FileError
		if !errors.As(err, &fault) || fault.Path != name || fault.Offset != offset {
			t.Errorf("%s: got %#v, want a fault in %s at %d", what, err, name, offset)
		}
		for _, kind := range kinds {
			if !errors.Is(err, kind) {
				t.Errorf("%s: got %v, want kind %v", what, err, kind)
			}
		}
	}
	name := segmentName(1)
	header := int64(len(fileHeader(owner, 0)))
	_, _, err := Open(newDisk(t, 0, 3), Identity{Name: "n2"}, func(byte, []byte) error { return nil })
	check("another owner's", err, name, int64(headerSize), ErrWrongIdentity, recordfile.ErrWrongIdentity)

	disk := newDisk(t, 0, 3)
	disk.FlipBit(name, int(header)+frameOverhead)
	_, _, found, err := openAndRead(disk)
	if err != nil || len(found.Damaged) != 1 || len(found.Torn) != 0 {
		t.Fatalf("one damaged file: got error %v, %+v", err, found)
	}
	check("damaged", found.Damaged[0], name, header, recordfile.ErrDamaged)

	disk = newDisk(t, 0, 3)
	disk.TruncateFile(name, int(header)+5)
	_, _, found, err = openAndRead(disk)
	if err != nil || len(found.Damaged) != 0 || len(found.Torn) != 1 {
		t.Fatalf("one torn file: got error %v, %+v", err, found)
	}
	check("torn", found.Torn[0], name, header, recordfile.ErrTorn)
}

// A full disk is distinguished from other failures, and the error has the segment and the offset.
func TestDiskFull(t *testing.T) {
	disk := crashfs.New(1)
	log, _, _, err := openAndRead(disk)
	if err != nil {
		t.Fatal(err)
	}
	before := log.SegmentSize()
	disk.Fault = crashfs.FaultNoSpace
	err = log.Append(numberRecord(1), true)
	var failed *WriteError
	if !errors.Is(err, ErrUnavailable) || !errors.Is(err, vfs.ErrDiskFull) || !errors.As(err, &failed) || failed.Path != segmentName(1) || failed.Offset < before {
		t.Errorf("append: got %#v, want a full disk", err)
	}
	if !errors.Is(log.Err(), vfs.ErrDiskFull) {
		t.Errorf("Err: got %#v, want a full disk", log.Err())
	}
	disk.Fault = crashfs.FaultSyncError
	if _, err := log.BeginSnapshot(); !errors.Is(err, ErrUnavailable) || errors.Is(err, vfs.ErrDiskFull) {
		t.Errorf("snapshot: got %#v, want a failure other than a full disk", err)
	}
}
