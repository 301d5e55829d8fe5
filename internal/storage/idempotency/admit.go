package idempotency

// Decision is what a request may do that comes under a key.
type Decision int

const (
	// Proceed says that nothing is known that stands against it.
	Proceed Decision = iota
	// Retry says that earlier attempts are known, and are to be passed to the admission controller.
	Retry
	// Answered says that it has its answer.
	Answered
	// InProgress says that another try of it is open.
	InProgress
	// MayHaveRun says that an attempt may have run, and so it runs no more.
	MayHaveRun
	// NoCapacity says that no further record can be stored, and the request needs one.
	NoCapacity
)

// Admit decides whether a request may run. first is what its client says: that it is the first try of its key; window is for
// how many seconds after its first attempt a request with an idempotency key may run again. The record, nil where nothing
// is kept, is read before the next call.
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
		// Where the class was changed under the key the stricter of the two counts.
		record.Idempotency = max(record.Idempotency, idempotency)
		return x.admitAgain(now, record, window)
	}
}

// admitUnknown decides on a key without a record.
func (x *Index) admitUnknown(now float64, key string, idempotency Idempotency, first bool) (Decision, *Record) {
	uncertain := x.uncertainUntil > 0 && x.latest < x.uncertainUntil
	if uncertain && idempotency.NeedsRecord() && !first {
		return MayHaveRun, nil
	}
	if !x.makeRoom(key) {
		if idempotency.NeedsRecord() {
			return NoCapacity, nil
		}
		return Proceed, nil // it needs no record
	}
	record := &Record{Key: key, Idempotency: idempotency, InFlight: true}
	x.insert(record, now)
	x.logChange(kindAdmitted, record, nil)
	return Proceed, record
}

// admitAgain decides on a key without an answer that no request has open.
func (x *Index) admitAgain(now float64, record *Record, window float64) (Decision, *Record) {
	decision := Proceed
	if attempt := record.firstThatMayHaveRun(); attempt != nil {
		if !x.mayRunAgain(now, record.Idempotency, attempt, window) {
			x.setOutcome(record, Unknown, nil, false)
			return MayHaveRun, record
		}
		decision = Retry
	} else { // none ran: as if there had been none
		x.resize(record, func() { record.Attempts = nil })
	}
	record.InFlight = true
	x.extend(record)
	x.logChange(kindAdmitted, record, nil)
	return decision, record
}

// mayRunAgain reports whether a request may run again after an attempt that may have run. With an idempotency key it may
// inside its window, where it is known how long ago the attempt was.
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

// noteRepeat extends a record's retention because its client has repeated the key.
func (x *Index) noteRepeat(record *Record) {
	x.extend(record)
	x.logChange(kindRepeated, record, nil)
}
