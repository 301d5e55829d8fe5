package requestlog

import (
	"errors"
	"time"

	"copperrock.example/copperrock/internal/storage/idempotency"
)

var (
	// ErrNotRecorded says that an attempt may not go: the record of it could not be had. The cause is joined to it.
	ErrNotRecorded = errors.New("the attempt could not be recorded")

	errSyncTimeout = errors.New("not on the disk in time")
)

// Answer is the final answer of a request.
type Answer struct {
	Outcome      idempotency.Outcome
	Rows         []byte
	RowsComplete bool // Rows is all of them
	Reason       string
	RetryAfter   float64 // seconds
}

// Request is one request of this process under a key. Its caller ends it with Finish.
type Request struct {
	store       *Store
	record      *idempotency.Record
	idempotency idempotency.Idempotency // as it was when the request was admitted
	finished    bool                    // guarded by the store's lock
}

// Admission is what a request may do. Request is there with Proceed and Retry, and nil where no record of it is stored.
type Admission struct {
	Decision idempotency.Decision
	Request  *Request
	Prior    []idempotency.Attempt // with Retry: StartedAt is how many seconds ago
	Answer   Answer                // with Answered
	Joined   <-chan Answer         // with InProgress, where repeats join: the answer, once there is one
}

// Admit decides whether a request may run that comes under a key. first is what its client says: that it is the first try
// of the key. window is for how many seconds after its first attempt a request with an idempotency key may run again.
func (s *Store) Admit(key string, idempotent idempotency.Idempotency, window float64, first bool) Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, record := s.index.Admit(s.now(), key, idempotent, window, first)
	admission := Admission{Decision: decision}
	switch decision {
	case idempotency.Proceed, idempotency.Retry:
		if record != nil {
			admission.Request = &Request{store: s, record: record, idempotency: record.Idempotency}
			admission.Prior = s.priorAttempts(record)
		}
	case idempotency.Answered:
		admission.Answer = Answer{Outcome: record.Outcome, Rows: record.Rows, RowsComplete: record.RowsComplete}
	case idempotency.InProgress:
		if s.options.OnRepeat == joinRepeat {
			admission.Joined = s.join(record)
		}
	}
	s.enqueue(s.index.DrainLog(), waiter{})
	return admission
}

// priorAttempts gives the attempts of a record with their ages.
func (s *Store) priorAttempts(record *idempotency.Record) (prior []idempotency.Attempt) {
	for _, attempt := range record.Attempts {
		attempt.StartedAt = s.now() - attempt.StartedAt
		prior = append(prior, attempt)
	}
	return prior
}

// join gives the answer of a request that is in progress, once there is one.
func (s *Store) join(record *idempotency.Record) <-chan Answer {
	answer := make(chan Answer, 1) // Finish does not wait for its reader
	s.joined[record] = append(s.joined[record], answer)
	return answer
}

// JoinedRequests is how many wait for another's answer.
func (s *Store) JoinedRequests() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, answers := range s.joined {
		count += len(answers)
	}
	return count
}

// StartAttempt puts an attempt on record, and gives its number among all of the key. Where the request needs that it waits
// until the record is on the disk, for so long at most. After an error nothing may go; it has been recorded as not sent.
func (r *Request) StartAttempt(engine string, zone, cell int, longest time.Duration) (number int, err error) {
	s := r.store
	var synced chan error
	if r.idempotency.NeedsRecord() {
		synced = make(chan error, 1)
	}
	s.mu.Lock()
	number = s.index.StartAttempt(s.now(), r.record, engine, zone, cell)
	s.enqueue(s.index.DrainLog(), waiter{done: synced, sync: true})
	s.mu.Unlock()
	if synced == nil {
		return number, nil
	}
	err = awaitSync(synced, min(longest, seconds(s.options.SyncTimeout)))
	if err == nil {
		return number, nil
	}
	if s.options.OnUnavailable == sendUnrecorded {
		s.log.Warn().Err(err).Str("engine", engine).Msg("attempt sent without its record: after a crash it could be sent again")
		return number, nil
	}
	r.EndAttempt(number, false)
	return number, errors.Join(ErrNotRecorded, err)
}

func awaitSync(synced <-chan error, timeout time.Duration) error {
	late := time.NewTimer(timeout)
	defer late.Stop()
	select {
	case err := <-synced:
		return err
	case <-late.C:
		return errSyncTimeout
	}
}

// EndAttempt records that an attempt is over, and whether it ran or may have.
func (r *Request) EndAttempt(number int, mayHaveRun bool) {
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.EndAttempt(s.now(), r.record, number, mayHaveRun)
	s.enqueue(s.index.DrainLog(), waiter{})
}

// Finish records the request's final answer and passes it to all who joined; only the first counts. An outcome of
// Pending is one that binds nobody. One that binds is written when it returns, though not on the disk yet: it outlives the
// process, and where the machine crashes the request may have run.
func (r *Request) Finish(answer Answer) {
	if written := r.finish(answer); written != nil {
		AwaitWritten(written)
	}
}

// finish returns what is notified once the answer is written, nil where nobody has to wait for that.
func (r *Request) finish(answer Answer) <-chan error {
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.finished {
		return nil
	}
	r.finished = true
	s.index.Finish(s.now(), r.record, answer.Outcome, answer.Rows, answer.RowsComplete)
	for _, joined := range s.joined[r.record] {
		joined <- answer
	}
	delete(s.joined, r.record)
	if answer.Outcome == idempotency.Pending || !r.idempotency.NeedsRecord() {
		s.enqueue(s.index.DrainLog(), waiter{})
		return nil
	}
	written := make(chan error, 1)
	s.enqueue(s.index.DrainLog(), waiter{done: written})
	return written
}
