package idempotency

// Decision is the result of Index.Admit: what a request with a key may do.
type Decision int

const (
	// Proceed means that the request may run: nothing is known that forbids it.
	Proceed Decision = iota
	// Retry means that the request may run again. Its earlier attempts are known and have to be passed to the admission
	// controller.
	Retry
	// Answered means that the request has its final answer.
	Answered
	// InProgress means that another try of the request is in flight.
	InProgress
	// MayHaveRun means that an attempt may have run, so the request must not run again.
	MayHaveRun
	// NoCapacity means that the request needs a record and no further record can be stored.
	NoCapacity
)

// Admit decides whether a request may run. first reports whether the client says that this is its first try of the key.
// window is how many seconds after its first attempt a request with an idempotency key may run again. The returned record is
// nil if none is stored; the caller must read it before its next call.
func (x *Index) Admit(now float64, key string, idempotency Idempotency, window float64, first bool) (Decision, *Record) {
	x.advance(now)
	x.expire(now)
	switch record := x.byKey[key]; {
	case record == nil:
		return x.admitUnknown(now, key, idempotency, first)
	case record.InFlight:
		x.noteRepeat(record)
		return InProgress, record
	case record.rowsLost() && idempotency == Idempotent:
		x.resize(record, func() { record.Outcome, record.Attempts, record.Rows = Pending, nil, nil })
		return x.admitAgain(now, record, window)
	case record.Outcome != Pending:
		x.noteRepeat(record)
		if record.Outcome == Unknown {
			return MayHaveRun, record
		}
		return Answered, record
	default:
		// The workload class of the key may have changed: the stricter idempotency applies.
		record.Idempotency = max(record.Idempotency, idempotency)
		return x.admitAgain(now, record, window)
	}
}

// admitUnknown decides on a key that has no record.
func (x *Index) admitUnknown(now float64, key string, idempotency Idempotency, first bool) (Decision, *Record) {
	uncertain := x.uncertainUntil > 0 && x.latest < x.uncertainUntil
	if uncertain && idempotency.NeedsRecord() && !first {
		return MayHaveRun, nil
	}
	if !x.makeRoom(key) {
		if idempotency.NeedsRecord() {
			return NoCapacity, nil
		}
		return Proceed, nil // an idempotent request can run without a record
	}
	record := &Record{Key: key, Idempotency: idempotency, InFlight: true}
	x.insert(record, now)
	x.logChange(kindAdmitted, record, nil)
	return Proceed, record
}

// admitAgain decides on a key that has no answer and no request in flight.
func (x *Index) admitAgain(now float64, record *Record, window float64) (Decision, *Record) {
	decision := Proceed
	if attempt := record.firstThatMayHaveRun(); attempt != nil {
		if !x.mayRunAgain(now, record.Idempotency, attempt, window) {
			x.setOutcome(record, Unknown, nil, false)
			return MayHaveRun, record
		}
		decision = Retry
	} else { // no attempt ran: same as no attempts at all
		x.resize(record, func() { record.Attempts = nil })
	}
	record.InFlight = true
	x.extend(record)
	x.logChange(kindAdmitted, record, nil)
	return decision, record
}

// mayRunAgain reports whether a request may run again after an attempt that may have run. A request with an idempotency key
// may, within its window and if the age of the attempt is known.
func (x *Index) mayRunAgain(now float64, idempotency Idempotency, attempt *Attempt, window float64) bool {
	switch idempotency {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		ageKnown := attempt.StartedAt >= x.rebootedAt && now >= attempt.StartedAt
		return ageKnown && now < attempt.StartedAt+window
	default:
		return true
	}
}

// noteRepeat extends the retention of a record because its client has repeated the key.
func (x *Index) noteRepeat(record *Record) {
	x.extend(record)
	x.logChange(kindRepeated, record, nil)
}
