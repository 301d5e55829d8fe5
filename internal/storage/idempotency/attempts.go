package idempotency

// StartAttempt records that an attempt is about to be sent. Its log record is in DrainLog, and has to be on the disk before
// the first byte is sent where the request needs that. It returns the attempt's number.
func (x *Index) StartAttempt(now float64, record *Record, engine string, zone, cell int) (number int) {
	x.advance(now)
	attempt := Attempt{StartedAt: now, Engine: engine, Zone: zone, Cell: cell}
	number = len(record.Attempts)
	record.Attempts = append(record.Attempts, attempt)
	if x.contains(record) {
		x.size += attemptOverhead + len(engine)
	}
	x.extend(record)
	x.logChange(kindAttemptStarted, record, appendAttempt(nil, number, attempt))
	return number
}

// EndAttempt records that an attempt is over, and whether it ran or may have.
func (x *Index) EndAttempt(now float64, record *Record, number int, mayHaveRun bool) {
	x.advance(now)
	if number < 0 || number >= len(record.Attempts) || record.Attempts[number].Ended {
		return
	}
	attempt := &record.Attempts[number]
	attempt.Ended, attempt.MayHaveRun = true, mayHaveRun
	x.logChange(kindAttemptEnded, record, appendAttemptEnd(nil, number, mayHaveRun))
}

// Finish records the final answer of a request of this process; Pending is for one without an answer that binds: it was
// rejected, or its client disconnected. Rows are stored where they are complete. Repeats of the key are bound by success
// and, where the request may run once, by an attempt that may have run; otherwise they are treated as new.
func (x *Index) Finish(now float64, record *Record, outcome Outcome, rows []byte, complete bool) {
	x.advance(now)
	if record.Outcome != Pending || !x.contains(record) {
		return
	}
	record.InFlight = false
	switch attempt := record.firstThatMayHaveRun(); {
	case outcome == Succeeded:
		x.setOutcome(record, Succeeded, rows, complete)
	case attempt == nil || record.Idempotency == Idempotent: // nothing binds
		x.remove(record)
		x.logChange(kindRemoved, record, nil)
	case record.Idempotency == IdempotentWithKey: // it may run again inside its group and window
		x.extend(record)
	case outcome == Failed && record.allEnded():
		x.setOutcome(record, Failed, nil, false)
	default:
		x.setOutcome(record, Unknown, nil, false)
	}
}

// setOutcome gives a record its outcome, with the rows where there is room for them.
func (x *Index) setOutcome(record *Record, outcome Outcome, rows []byte, complete bool) {
	record.Outcome, record.RowsComplete = outcome, complete
	if len(rows) > 0 && x.size+len(rows) <= x.limits.MaxBytes {
		x.size += len(rows)
		record.Rows = rows
	} else if len(rows) > 0 {
		record.RowsComplete = false
	}
	x.extend(record)
	x.logChange(kindOutcome, record, appendOutcome(nil, record))
}
