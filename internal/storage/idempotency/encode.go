package idempotency

import (
	"encoding/binary"
	"math"

	"copperrock.example/copperrock/internal/storage/wal"
)

// The kinds of log record. docs/notes/store-files.md describes their encoding. Each record of a kind up to kindRecord
// concerns one key, and has its idempotency and the time of writing.
const (
	kindAdmitted       = wal.FirstUserKind + iota // a request was admitted under the key
	kindRepeated                                  // the client has repeated the key; nothing else has changed
	kindAttemptStarted                            // an attempt: its number, start time, engine, zone and cell
	kindAttemptEnded                              // an attempt: its number, whether it may have run
	kindOutcome                                   // the final answer
	kindRemoved                                   // the record was removed: nothing binds repeats of the key
	kindRecord                                    // the complete record of a key, in a snapshot
	kindUncertain                                 // the time until which an unknown key may be one that was lost
	kindResumed                                   // a process has started, and whether the machine was rebooted
	// NextKind is the first kind that the index does not use.
	NextKind
)

// OwnsKind reports whether a log record belongs to the index.
func OwnsKind(kind byte) bool { return kind >= kindAdmitted && kind < NextKind }

// DrainLog returns the log records since its last call, encoded for wal.Log.Append.
func (x *Index) DrainLog() (records []byte) {
	records, x.pendingLog = x.pendingLog, nil
	return records
}

// logChange adds a log record about a stored record.
func (x *Index) logChange(kind byte, record *Record, details []byte) {
	if !x.contains(record) && kind != kindRemoved {
		return
	}
	body := append(x.appendRecordHeader(nil, record), details...)
	x.pendingLog = wal.AppendRecord(x.pendingLog, kind, body)
}

// logResumed adds a log record of the start of a process.
func (x *Index) logResumed(now float64, rebooted bool) {
	x.pendingLog = appendResumed(x.pendingLog, now, rebooted)
}

func appendResumed(records []byte, at float64, rebooted bool) []byte {
	return wal.AppendRecord(records, kindResumed, append(appendFloat(nil, at), flagByte(rebooted)))
}

// AppendSnapshot appends a log record with everything that is stored under a key, or nothing if the key has no record.
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

// AppendSnapshotHeader appends the log records that every snapshot has beside those of the keys: until when unknown keys may
// be lost ones, and when the machine was rebooted.
func (x *Index) AppendSnapshotHeader(records []byte) []byte {
	if x.uncertainUntil != 0 {
		records = wal.AppendRecord(records, kindUncertain, appendFloat(nil, x.uncertainUntil))
	}
	if x.rebootedAt > 0 {
		records = appendResumed(records, x.rebootedAt, true)
	}
	return records
}

// appendRecordHeader appends the fields at the start of each log record about a key.
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
