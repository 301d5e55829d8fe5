package idempotency

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"

	"copperrock.example/copperrock/internal/storage/wal"
)

// The records, each for one key, with its effect and when it was written. docs/notes/store-files.md has their bytes.
const (
	kindAdmitted       = wal.FirstUserKind + iota // begun, or begun again
	kindRepeated                                  // its client has come again, and it stays as it is
	kindAttemptStarted                            // a dispatch: its number, when, where
	kindAttemptEnded                              // a dispatch: its number, whether it may have run
	kindOutcome                                   // the final answer
	kindRemoved                                   // nothing binds
	kindRecord                                    // all of one, in a whole
	// LastKind is the last of them.
	LastKind = kindRecord
)

// DrainLog gives the records since it was called last, framed as the journal wants them.
func (p *Index) DrainLog() (records []byte) {
	records, p.pendingLog = p.pendingLog, nil
	return records
}

// log adds a record on an entry.
func (p *Index) log(kind byte, e *Record, more func([]byte) []byte) {
	if p.byKey[e.Key] != e && kind != kindRemoved {
		return
	}
	b := appendString(nil, e.Key)
	b = binary.AppendUvarint(b, uint64(e.Idempotency))
	b = appendFloat(b, p.latest)
	if more != nil {
		b = more(b)
	}
	p.pendingLog = wal.AppendRecord(p.pendingLog, kind, b)
}

func appendString(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

func appendFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}

func appendAttempt(b []byte, number int, d Attempt) []byte {
	b = binary.AppendUvarint(b, uint64(number))
	b = appendFloat(b, d.StartedAt)
	b = appendString(b, d.Engine)
	b = binary.AppendUvarint(b, uint64(d.Zone))
	return binary.AppendUvarint(b, uint64(d.Cell))
}

func appendAttemptEnd(b []byte, number int, ran bool) []byte {
	b = binary.AppendUvarint(b, uint64(number))
	return append(b, flagByte(ran))
}

func flagByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func appendOutcome(e *Record) func([]byte) []byte {
	return func(b []byte) []byte {
		b = binary.AppendUvarint(b, uint64(e.Outcome))
		b = append(b, flagByte(e.RowsComplete))
		b = appendFloat(b, e.ExpiresAt)
		return append(binary.AppendUvarint(b, uint64(len(e.Rows))), e.Rows...)
	}
}

// Keys lists all keys, for a whole that is written step by step.
func (p *Index) Keys() []string { return slices.Sorted(maps.Keys(p.byKey)) }

// AppendSnapshot gives the record of all that is kept under a key now, nil where nothing is.
func (p *Index) AppendSnapshot(b []byte, key string) []byte {
	e := p.byKey[key]
	if e == nil {
		return b
	}
	body := appendString(nil, e.Key)
	body = binary.AppendUvarint(body, uint64(e.Idempotency))
	body = appendFloat(body, p.latest)
	body = binary.AppendUvarint(body, uint64(len(e.Attempts)))
	for i, d := range e.Attempts {
		body = appendAttempt(body, i, d)
		body = append(body, flagByte(d.Ended)<<1|flagByte(d.MayHaveRun))
	}
	body = appendOutcome(e)(body)
	return wal.AppendRecord(b, kindRecord, body)
}

func (p *Index) gaps(b []byte) []byte {
	if p.uncertainUntil == 0 {
		return b
	}
	return wal.AppendRecord(b, kindUncertain, appendFloat(nil, p.uncertainUntil))
}

// AppendSnapshotHeader gives the records that go with every whole beside the keys: up to when a gap counts, and since when the machine
// runs.
func (p *Index) AppendSnapshotHeader(b []byte) []byte {
	b = p.gaps(b)
	if p.rebootedAt > 0 {
		b = wal.AppendRecord(b, kindResumed, append(appendFloat(nil, p.rebootedAt), 1))
	}
	return b
}

// gapped is the record of up to when a gap counts, resumes that of when a life began on what was kept.
const (
	kindUncertain = LastKind + 1
	kindResumed   = LastKind + 2
)

// OwnsKind tells whether a record is one of the past's.
func OwnsKind(kind byte) bool { return kind >= kindAdmitted && kind <= kindResumed }

var errRecord = errors.New("a record that can't be read")

// decoder takes values off a record; the first that is not there spoils it.
type decoder struct {
	rest   []byte
	failed bool
}

func (r *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *decoder) count(most int) int {
	v := r.uvarint()
	if v > uint64(most) {
		r.failed = true
		return 0
	}
	return int(v)
}

func (r *decoder) bytes(n int) []byte {
	if n < 0 || n > len(r.rest) {
		r.failed, r.rest = true, nil
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *decoder) string() string { return string(r.bytes(r.count(wal.MaxRecordSize))) }

func (r *decoder) float() float64 {
	b := r.bytes(8)
	if b == nil {
		return 0
	}
	v := math.Float64frombits(binary.BigEndian.Uint64(b))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		r.failed = true
		return 0
	}
	return v
}

func (r *decoder) byte() byte {
	b := r.bytes(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (r *decoder) attempt() (number int, d Attempt) {
	number = r.count(maxAttempts - 1)
	d = Attempt{StartedAt: r.float(), Engine: r.string()}
	d.Zone, d.Cell = r.count(math.MaxInt32), r.count(math.MaxInt32)
	return number, d
}

// maxAttempts bounds those of one job, as settings do.
const maxAttempts = 1000

// Replay takes a record that was written by this life or one before. What it says counts whether or not records before
// it are there: the stricter reading is taken. An error says that it can't be read.
func (p *Index) Replay(kind byte, body []byte) error {
	r := &decoder{rest: body}
	if kind == kindUncertain || kind == kindResumed {
		at := r.float()
		switch machine := kind == kindResumed && r.byte() == 1; {
		case r.failed:
			return errRecord
		case kind == kindUncertain:
			p.uncertainUntil = max(p.uncertainUntil, at)
		default:
			p.advance(at)
			if p.beginRun(at); machine {
				p.rebootedAt = max(p.rebootedAt, at)
			}
		}
		return nil
	}
	key, effect, at := r.string(), Idempotency(r.count(int(NonIdempotent))), r.float()
	if r.failed || key == "" {
		return errRecord
	}
	p.advance(at)
	e := p.byKey[key]
	had := e != nil
	if !had {
		e = &Record{Key: key, Idempotency: effect, CreatedAt: at, heapIndex: -1}
	}
	e.Idempotency = max(e.Idempotency, effect)
	before := e.memorySize()
	switch kind {
	case kindRepeated:
	case kindAdmitted:
		if had && e.Outcome == Succeeded && e.Idempotency == Idempotent { // it was let run again
			e.Outcome, e.Rows, e.Attempts = Pending, nil, nil
		}
	case kindAttemptStarted:
		number, d := r.attempt()
		if r.failed {
			return errRecord
		}
		p.advance(d.StartedAt)
		for len(e.Attempts) <= number { // one whose record is not there may have run
			e.Attempts = append(e.Attempts, d)
		}
		e.Attempts[number] = d
	case kindAttemptEnded:
		number, ran := r.count(maxAttempts-1), r.byte() == 1
		if r.failed {
			return errRecord
		}
		for len(e.Attempts) <= number {
			e.Attempts = append(e.Attempts, Attempt{StartedAt: at})
		}
		e.Attempts[number].Ended, e.Attempts[number].MayHaveRun = true, ran
	case kindRecord:
		n := r.count(maxAttempts)
		all := make([]Attempt, 0, min(n, 16))
		for range n {
			_, d := r.attempt()
			flags := r.byte()
			d.Ended, d.MayHaveRun = flags&2 != 0, flags&1 != 0
			p.advance(d.StartedAt)
			all = append(all, d)
		}
		e.Attempts = all
		if !r.outcome(e) {
			return errRecord
		}
	case kindOutcome:
		if !r.outcome(e) {
			return errRecord
		}
	case kindRemoved:
		if had {
			p.remove(e)
		}
		return nil
	default:
		return errRecord
	}
	if r.failed {
		return errRecord
	}
	if !had {
		p.insert(e, p.latest)
	} else {
		p.size += e.memorySize() - before
		p.extend(e)
	}
	p.expireReplayed()
	return nil
}

// outcome reads a final answer into an entry.
func (r *decoder) outcome(e *Record) bool {
	o := Outcome(r.count(int(Unknown)))
	whole := r.byte() == 1
	r.float() // when it was to be dropped: kept a window from its last record on instead, which is no shorter
	rows := r.bytes(r.count(wal.MaxRecordSize))
	if r.failed {
		return false
	}
	e.Outcome, e.RowsComplete, e.Rows = o, whole, nil
	if len(rows) > 0 {
		e.Rows = append([]byte(nil), rows...)
	}
	return true
}
