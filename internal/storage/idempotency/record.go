package idempotency

// Idempotency says what a repeat of a request may do, with the values of package admission. A greater one is stricter.
type Idempotency int

const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests may run again where and while the engines know their key.
	IdempotentWithKey
	// NonIdempotent requests may run once.
	NonIdempotent
)

// NeedsRecord reports whether an attempt has to be on record before its first byte goes out.
func (i Idempotency) NeedsRecord() bool { return i != Idempotent }

// Attempt is one that was sent to an engine, or was about to be.
type Attempt struct {
	StartedAt  float64 // seconds
	Engine     string
	Zone, Cell int
	Ended      bool // its end is known
	MayHaveRun bool // once it has ended: it ran, or may have
}

// mayHaveRun reports whether the attempt ran, or may have: also one whose end is not known.
func (a *Attempt) mayHaveRun() bool { return !a.Ended || a.MayHaveRun }

// Outcome is the final answer of a request.
type Outcome int

const (
	// Pending is no answer that binds.
	Pending Outcome = iota
	// Succeeded is an answer with rows.
	Succeeded
	// Failed is an error for good.
	Failed
	// Unknown is that it may have run.
	Unknown
)

// The memory that a record takes, in bytes, beside its texts and rows: what the maps, slices and structs come to.
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
	Rows         []byte // of the answer, where they are kept
	RowsComplete bool   // Rows is all of them
	ExpiresAt    float64
	InFlight     bool // a request of this process is open under the key

	heapIndex int // in the index's heap by ExpiresAt, -1 outside
}

// firstThatMayHaveRun gives the first attempt that ran or may have, nil for none.
func (r *Record) firstThatMayHaveRun() *Attempt {
	for i := range r.Attempts {
		if attempt := &r.Attempts[i]; attempt.mayHaveRun() {
			return attempt
		}
	}
	return nil
}

// allEnded reports whether the end of every attempt is known.
func (r *Record) allEnded() bool {
	for _, attempt := range r.Attempts {
		if !attempt.Ended {
			return false
		}
	}
	return true
}

// rowsLost reports whether the request has succeeded, and may run again because its rows are not stored.
func (r *Record) rowsLost() bool {
	return r.Outcome == Succeeded && !r.RowsComplete && r.Idempotency == Idempotent
}

// memorySize is about what a record takes in memory, in bytes.
func (r *Record) memorySize() int {
	size := recordOverhead + 2*len(r.Key) + len(r.Rows)
	for _, attempt := range r.Attempts {
		size += attemptOverhead + len(attempt.Engine)
	}
	return size
}
