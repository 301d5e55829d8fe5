package idempotency

// StartAttempt records that an attempt is about to be sent and returns its number. If the request needs a record, the log
// record from DrainLog has to be on disk before the first byte is sent.
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

// EndAttempt records that an attempt has ended, and whether it ran or may have run.
func (x *Index) EndAttempt(now float64, record *Record, number int, mayHaveRun bool) {
	x.advance(now)
	if number < 0 || number >= len(record.Attempts) || record.Attempts[number].Ended {
		return
	}
	attempt := &record.Attempts[number]
	attempt.Ended, attempt.MayHaveRun = true, mayHaveRun
	x.logChange(kindAttemptEnded, record, appendAttemptEnd(nil, number, mayHaveRun))
}

// Finish records the final answer of a request of this process. Pending stands for no binding answer: the request was
// rejected, or its client disconnected. complete reports whether rows holds all rows of the answer; rows are stored if there
// is room. Success binds repeats of the key, and so does an attempt of a non-idempotent request that may have run. If an
// attempt of a request with an idempotency key may have run, repeats get Retry within its window and MayHaveRun afterwards.
// Otherwise repeats are treated as new requests.
func (x *Index) Finish(now float64, record *Record, outcome Outcome, rows []byte, complete bool) {
	x.advance(now)
	if record.Outcome != Pending || !x.contains(record) {
		return
	}
	record.InFlight = false
	switch attempt := record.firstThatMayHaveRun(); {
	case outcome == Succeeded:
		x.setOutcome(record, Succeeded, rows, complete)
	case attempt == nil || record.Idempotency == Idempotent: // nothing binds repeats
		x.remove(record)
		x.logChange(kindRemoved, record, nil)
	case record.Idempotency == IdempotentWithKey: // it may run again within its group and window
		x.extend(record)
	case outcome == Failed && record.allEnded():
		x.setOutcome(record, Failed, nil, false)
	default:
		x.setOutcome(record, Unknown, nil, false)
	}
}

// setOutcome sets the outcome of a record, and stores the rows if there is room for them.
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
