package idempotency

import "errors"

// ErrMalformed reports that a log record can't be decoded.
var ErrMalformed = errors.New("malformed log record")

// Replay applies a log record that was written by this process or an earlier one. Log records before it may be missing: the
// record is applied anyway, in the stricter reading. Any error is ErrMalformed.
func (x *Index) Replay(kind byte, body []byte) error {
	d := &decoder{rest: body}
	switch kind {
	case kindUncertain:
		x.replayUncertain(d)
	case kindResumed:
		x.replayResumed(d)
	default:
		x.replayChange(kind, d)
	}
	if d.failed {
		return ErrMalformed
	}
	return nil
}

func (x *Index) replayUncertain(d *decoder) {
	if until := d.float(); !d.failed {
		x.uncertainUntil = max(x.uncertainUntil, until)
	}
}

func (x *Index) replayResumed(d *decoder) {
	at, rebooted := d.float(), d.byte() == 1
	if d.failed {
		return
	}
	x.advance(at)
	x.beginRun(at)
	if rebooted {
		x.rebootedAt = max(x.rebootedAt, at)
	}
}

// replayChange applies a log record about one key.
func (x *Index) replayChange(kind byte, d *decoder) {
	key, idempotency, at := d.string(), Idempotency(d.count(int(NonIdempotent))), d.float()
	if d.failed || key == "" {
		d.fail()
		return
	}
	x.advance(at)
	record, known := x.byKey[key]
	if kind == kindRemoved {
		if known {
			x.remove(record)
		}
		return
	}
	if !known {
		record = &Record{Key: key, Idempotency: idempotency, heapIndex: -1}
	}
	record.Idempotency = max(record.Idempotency, idempotency)
	sizeBefore := record.memorySize()
	if x.applyChange(kind, d, record, at); d.failed {
		return
	}
	if known {
		x.size += record.memorySize() - sizeBefore
		x.extend(record)
	} else {
		x.insert(record, x.latest)
	}
	x.expireReplayed()
}

// applyChange applies the body of a log record to the record of its key. at is the time at which the log record was written.
func (x *Index) applyChange(kind byte, d *decoder, record *Record, at float64) {
	switch kind {
	case kindRepeated:
	case kindAdmitted:
		if record.Outcome == Succeeded && record.Idempotency == Idempotent { // it was allowed to run again because its rows were lost
			record.Outcome, record.Rows, record.Attempts = Pending, nil, nil
		}
	case kindAttemptStarted:
		x.replayAttemptStarted(d, record)
	case kindAttemptEnded:
		replayAttemptEnded(d, record, at)
	case kindRecord:
		x.replayRecord(d, record)
	case kindOutcome:
		d.outcome(record)
	default:
		d.fail()
	}
}

func (x *Index) replayAttemptStarted(d *decoder, record *Record) {
	number, attempt := d.attempt()
	if d.failed {
		return
	}
	x.advance(attempt.StartedAt)
	for len(record.Attempts) <= number { // an attempt whose log record is missing may have run
		record.Attempts = append(record.Attempts, attempt)
	}
	record.Attempts[number] = attempt
}

func replayAttemptEnded(d *decoder, record *Record, at float64) {
	number, mayHaveRun := d.count(maxAttempts-1), d.byte() == 1
	if d.failed {
		return
	}
	for len(record.Attempts) <= number {
		record.Attempts = append(record.Attempts, Attempt{StartedAt: at})
	}
	attempt := &record.Attempts[number]
	attempt.Ended, attempt.MayHaveRun = true, mayHaveRun
}

// replayRecord applies the complete record of a key from a snapshot.
func (x *Index) replayRecord(d *decoder, record *Record) {
	const maxInitialCapacity = 16 // bounds the allocation: the encoded count is not trusted
	count := d.count(maxAttempts)
	attempts := make([]Attempt, 0, min(count, maxInitialCapacity))
	for range count {
		_, attempt := d.attempt()
		flags := d.byte()
		attempt.Ended, attempt.MayHaveRun = flags&2 != 0, flags&1 != 0
		x.advance(attempt.StartedAt)
		attempts = append(attempts, attempt)
	}
	record.Attempts = attempts
	d.outcome(record)
}
