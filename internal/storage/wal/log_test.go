package wal

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
)

const numberKind = FirstUserKind

var owner = Identity{Name: "n1"}

func numberRecord(n uint64) []byte {
	return AppendRecord(nil, numberKind, binary.BigEndian.AppendUint64(nil, n))
}

// openAndRead opens a log and returns the numbers in it, sorted and without duplicates.
func openAndRead(disk *crashfs.Dir) (log *Log, got []uint64, found ReplayResult, err error) {
	log, found, err = Open(disk, owner, func(_ byte, body []byte) error {
		if n := binary.BigEndian.Uint64(body); !slices.Contains(got, n) {
			got = append(got, n)
		}
		return nil
	})
	slices.Sort(got)
	return log, got, found, err
}

// appendAll appends numbers as a store does: each with a sync, and with a snapshot now and then and after failures. It
// returns the highest acknowledged number.
func appendAll(log *Log, from, to uint64) (acked uint64) {
	acked = from
	for n := from + 1; n <= to; n++ {
		if log.Err() != nil {
			writeSnapshot(log, n-1)
		}
		if log.Append(numberRecord(n), true) == nil {
			acked = n
		} else {
			writeSnapshot(log, n) // the store's memory has the number even if Append failed
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

// writeSnapshot writes a snapshot of all numbers up to last.
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

// checkPrefix checks that the numbers are 1 to n without gaps, and that no acknowledged number is missing (J1, J2).
func checkPrefix(got []uint64, acked uint64) error {
	for i, n := range got {
		if n != uint64(i+1) {
			return fmt.Errorf("%v: %d is missing", got, i+1)
		}
	}
	if uint64(len(got)) < acked {
		return fmt.Errorf("got %v, want at least 1 to %d", got, acked)
	}
	return nil
}

// newDisk returns a disk with a log of the numbers up to last, and a snapshot of those up to snapshot, 0 for none.
func newDisk(t *testing.T, snapshot, last uint64) *crashfs.Dir {
	t.Helper()
	disk := crashfs.New(1)
	log, _, _, err := openAndRead(disk)
	if err != nil {
		t.Fatal(err)
	}
	appendAll(log, 0, snapshot)
	if snapshot > 0 && !writeSnapshot(log, snapshot) {
		t.Fatal("the snapshot could not be written")
	}
	appendAll(log, snapshot, last)
	return disk
}
