package wal

import (
	"errors"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

// Each fault of a file is found by its kind, with the file and the offset.
func TestErrorsNameFileAndOffset(t *testing.T) {
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
	_, _, err := Open(newDisk(t, 0, 3), Identity{Name: "n2"}, func(byte, []byte) error { return nil })
	check("another owner's", err, name, int64(headerSize), ErrWrongIdentity, recordfile.ErrWrongIdentity)

	disk := newDisk(t, 0, 3)
	disk.FlipBit(name, int(header)+frameOverhead)
	_, _, found, err := openAndRead(disk)
	if err != nil || len(found.Damaged) != 1 || len(found.Torn) != 0 {
		t.Fatalf("%v, %+v", err, found)
	}
	check("damaged", found.Damaged[0], name, header, recordfile.ErrDamaged)

	disk = newDisk(t, 0, 3)
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
	disk.Fault = crashfs.FaultFull
	err = log.Append(numberRecord(1), true)
	var failed *WriteError
	if !errors.Is(err, ErrUnavailable) || !errors.Is(err, vfs.ErrDiskFull) || !errors.As(err, &failed) || failed.Path != segmentName(1) || failed.Offset < before {
		t.Errorf("%#v", err)
	}
	if !errors.Is(log.Err(), vfs.ErrDiskFull) {
		t.Errorf("%#v", log.Err())
	}
	disk.Fault = crashfs.FaultSync
	if _, err := log.BeginSnapshot(); !errors.Is(err, ErrUnavailable) || errors.Is(err, vfs.ErrDiskFull) {
		t.Errorf("%#v", err)
	}
}
