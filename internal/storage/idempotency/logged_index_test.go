package idempotency

import "encoding/binary"

// usualLimits are large enough to retain all records of a test.
var usualLimits = Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20}

// loggedIndex is an index with its log as it would be on a disk, and a clock that the test sets.
type loggedIndex struct {
	*Index
	now    float64
	limits Limits
	log    [][]byte // records, each with its kind as the first byte
	synced int      // number of records that are synced
}

func newLoggedIndex(limits Limits) *loggedIndex {
	return &loggedIndex{Index: New(limits), limits: limits}
}

// drain appends the pending records of the index to the log.
func (x *loggedIndex) drain() {
	for rest := x.DrainLog(); len(rest) > 0; {
		size, prefix := binary.Uvarint(rest)
		end := prefix + int(size)
		x.log = append(x.log, rest[prefix:end])
		rest = rest[end:]
	}
}

// restart replays the first records of the log in a new process.
func (x *loggedIndex) restart(keep int, rebooted bool) error {
	x.drain()
	x.log = x.log[:keep]
	x.Index = New(x.limits)
	for _, record := range x.log {
		if err := x.Replay(record[0], record[1:]); err != nil {
			return err
		}
	}
	x.synced = len(x.log)
	x.Resume(max(x.now, x.LatestTime()), rebooted)
	return nil
}

// compact replaces the log with a snapshot.
func (x *loggedIndex) compact() {
	x.drain()
	x.log = nil
	snapshot := x.AppendSnapshotHeader(nil)
	for _, key := range x.Keys() {
		snapshot = x.AppendSnapshot(snapshot, key)
	}
	x.pendingLog = snapshot
	x.drain()
	x.synced = len(x.log)
}

// attempt starts an attempt and ends it.
func (x *loggedIndex) attempt(record *Record, mayHaveRun bool) {
	x.EndAttempt(x.now, record, x.StartAttempt(x.now, record, "e1", 1, 2), mayHaveRun)
}
