package idempotency

import (
	"encoding/binary"
	"math"

	"copperrock.example/copperrock/internal/storage/wal"
)

// The kinds of log record. docs/notes/store-files.md has their bytes. Those up to kindRecord are each for one key, with its
// idempotency and when it was written.
const (
	kindAdmitted       = wal.FirstUserKind + iota // a request was admitted under the key
	kindRepeated                                  // its client has come again, and it stays as it is
	kindAttemptStarted                            // an attempt: its number, when, where
	kindAttemptEnded                              // an attempt: its number, whether it may have run
	kindOutcome                                   // the final answer
	kindRemoved                                   // nothing binds
	kindRecord                                    // all of one key, in a snapshot
	kindUncertain                                 // until when a key that is not known may be one that was lost
	kindResumed                                   // a process began on what was stored, and whether the machine was rebooted
	// NextKind is the first kind that is not the index's.
	NextKind
)

// OwnsKind reports whether a log record is one of the index's.
func OwnsKind(kind byte) bool { return kind >= kindAdmitted && kind < NextKind }

// DrainLog gives the log records since it was called last, as wal.Log.Append takes them.
func (x *Index) DrainLog() (records []byte) {
	records, x.pendingLog = x.pendingLog, nil
	return records
}

// logChange adds a log record on a record that is stored.
func (x *Index) logChange(kind byte, record *Record, details []byte) {
	if !x.contains(record) && kind != kindRemoved {
		return
	}
	body := append(x.appendRecordHeader(nil, record), details...)
	x.pendingLog = wal.AppendRecord(x.pendingLog, kind, body)
}

// logResumed adds the log record of the begin of a process.
func (x *Index) logResumed(now float64, rebooted bool) {
	x.pendingLog = appendResumed(x.pendingLog, now, rebooted)
}

func appendResumed(records []byte, at float64, rebooted bool) []byte {
	return wal.AppendRecord(records, kindResumed, append(appendFloat(nil, at), flagByte(rebooted)))
}

// AppendSnapshot appends the log record of everything that is stored under a key now, none where nothing is.
func (x *Index) AppendSnapshot(records []byte, key string) []byte {
	record := x.byKey[key]
	if record == nil {
		return records
	}
	body := x.appendRecordHeader(nil, record)
	body = binary.AppendUvarint(body, uint64(len(record.Attempts)))
	for number, attempt := range record.Attempts {
		body = appendAttempt(body, number, attempt)
		body = append(body, flagByte(attempt.Ended)<<1|flagByte(attempt.MayHaveRun))
	}
	body = appendOutcome(body, record)
	return wal.AppendRecord(records, kindRecord, body)
}

// AppendSnapshotHeader appends the log records that go with every snapshot beside the keys: until when a lost key counts,
// and since when the machine runs.
func (x *Index) AppendSnapshotHeader(records []byte) []byte {
	if x.uncertainUntil != 0 {
		records = wal.AppendRecord(records, kindUncertain, appendFloat(nil, x.uncertainUntil))
	}
	if x.rebootedAt > 0 {
		records = appendResumed(records, x.rebootedAt, true)
	}
	return records
}

// appendRecordHeader appends what begins the body of each log record on a key.
func (x *Index) appendRecordHeader(body []byte, record *Record) []byte {
	body = appendString(body, record.Key)
	body = binary.AppendUvarint(body, uint64(record.Idempotency))
	return appendFloat(body, x.latest)
}

func appendAttempt(body []byte, number int, attempt Attempt) []byte {
	body = binary.AppendUvarint(body, uint64(number))
	body = appendFloat(body, attempt.StartedAt)
	body = appendString(body, attempt.Engine)
	body = binary.AppendUvarint(body, uint64(attempt.Zone))
	return binary.AppendUvarint(body, uint64(attempt.Cell))
}

func appendAttemptEnd(body []byte, number int, mayHaveRun bool) []byte {
	body = binary.AppendUvarint(body, uint64(number))
	return append(body, flagByte(mayHaveRun))
}

func appendOutcome(body []byte, record *Record) []byte {
	body = binary.AppendUvarint(body, uint64(record.Outcome))
	body = append(body, flagByte(record.RowsComplete))
	body = appendFloat(body, record.ExpiresAt)
	body = binary.AppendUvarint(body, uint64(len(record.Rows)))
	return append(body, record.Rows...)
}

func appendString(body []byte, text string) []byte {
	return append(binary.AppendUvarint(body, uint64(len(text))), text...)
}

func appendFloat(body []byte, value float64) []byte {
	return binary.BigEndian.AppendUint64(body, math.Float64bits(value))
}

func flagByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}
