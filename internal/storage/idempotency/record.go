package idempotency

// Idempotency says whether a request may run more than once, with the values of package admission. A greater value is
// stricter.
type Idempotency int

const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests may run again at engines that know their key, and while they know it.
	IdempotentWithKey
	// NonIdempotent requests may run only once.
	NonIdempotent
)

// NeedsRecord reports whether an attempt has to be recorded before its first byte is sent.
func (i Idempotency) NeedsRecord() bool { return i != Idempotent }

// Attempt is an attempt that was sent to an engine, or was about to be sent.
type Attempt struct {
	StartedAt  float64 // in seconds
	Engine     string
	Zone, Cell int
	Ended      bool // the attempt is known to have ended
	MayHaveRun bool // valid once Ended is set: the attempt ran, or may have run
}

// mayHaveRun reports whether the attempt ran or may have run. An attempt that is not known to have ended may have run.
func (a *Attempt) mayHaveRun() bool { return !a.Ended || a.MayHaveRun }

// Outcome is the final answer of a request.
type Outcome int

const (
	// Pending is the lack of an answer that binds repeats.
	Pending Outcome = iota
	// Succeeded is an answer with rows.
	Succeeded
	// Failed is a permanent error.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// The size of a record and of an attempt in memory, in bytes, without their strings and rows: an estimate of the maps, slices
// and structs.
const (
	recordOverhead  = 160
	attemptOverhead = 40
)

// Record is what is stored under a key. It belongs to its Index.
type Record struct {
	Key          string
	Idempotency  Idempotency
	Attempts     []Attempt
	Outcome      Outcome
	Rows         []byte  // rows of the answer, nil if they are not stored
	RowsComplete bool    // Rows holds all rows of the answer
	ExpiresAt    float64 // in seconds
	InFlight     bool    // a request of this process with the key is in flight

	heapIndex int // position in Index.byExpiry, -1 if not in it
}

// firstThatMayHaveRun returns the first attempt that ran or may have run, or nil if there is none.
func (r *Record) firstThatMayHaveRun() *Attempt {
	for i := range r.Attempts {
		if attempt := &r.Attempts[i]; attempt.mayHaveRun() {
			return attempt
		}
	}
	return nil
}

// allEnded reports whether every attempt is known to have ended.
func (r *Record) allEnded() bool {
	for _, attempt := range r.Attempts {
		if !attempt.Ended {
			return false
		}
	}
	return true
}

// rowsLost reports whether the request has succeeded, but may run again because its rows are not stored.
func (r *Record) rowsLost() bool {
	return r.Outcome == Succeeded && !r.RowsComplete && r.Idempotency == Idempotent
}

// memorySize returns the approximate size of the record in memory, in bytes.
func (r *Record) memorySize() int {
	size := recordOverhead + 2*len(r.Key) + len(r.Rows)
	for _, attempt := range r.Attempts {
		size += attemptOverhead + len(attempt.Engine)
	}
	return size
}
