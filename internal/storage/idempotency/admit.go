package idempotency

// Decision is what a request may do that comes under a key.
type Decision int

const (
	// Proceed says that nothing is known that stands against it.
	Proceed Decision = iota
	// Retry says that earlier attempts are known; the admission module is told of them.
	Retry
	// Answered says that it has its answer.
	Answered
	// InProgress says that another try of it is open.
	InProgress
	// MayHaveRun says that an attempt may have run, and so it runs no more.
	MayHaveRun
	// NoCapacity says that nothing more can be kept, and the request needs that.
	NoCapacity
)

// Admit decides on a request that comes. first tells that its client says it is the first try of its key; window is for
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

// admitUnknown decides on a key of which nothing is kept.
func (x *Index) admitUnknown(now float64, key string, idempotency Idempotency, first bool) (Decision, *Record) {
	uncertain := x.uncertainUntil > 0 && x.latest < x.uncertainUntil
	if uncertain && idempotency.NeedsRecord() && !first {
		return MayHaveRun, nil
	}
	if !x.makeRoom(key) {
		if idempotency.NeedsRecord() {
			return NoCapacity, nil
		}
		return Proceed, nil // it is not kept, and needs not be
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

// mayRunAgain tells whether a request may run again of which an attempt may have run. With an idempotency key it may
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

// noteRepeat keeps a record longer because its client has come again.
func (x *Index) noteRepeat(record *Record) {
	x.extend(record)
	x.logChange(kindRepeated, record, nil)
}
