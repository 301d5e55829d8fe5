package requestlog

import (
	"errors"
	"time"

	"copperrock.example/copperrock/internal/storage/idempotency"
)

var (
	// ErrNotRecorded reports that an attempt must not be sent because its record could not be written. It is joined with the
	// cause.
	ErrNotRecorded = errors.New("the attempt could not be recorded")

	errSyncTimeout = errors.New("record not on disk in time")
)

// Answer is the final answer of a request.
type Answer struct {
	Outcome      idempotency.Outcome
	Rows         []byte
	RowsComplete bool // Rows holds all rows of the result
	Reason       string
	RetryAfter   float64 // seconds
}

// Request is a request of this process with an idempotency key. Its caller ends it with Finish.
type Request struct {
	store       *Store
	record      *idempotency.Record
	idempotency idempotency.Idempotency // at the time the request was admitted
	finished    bool                    // guarded by Store.mu
}

// Admission is the result of Admit. With Proceed and Retry, Request is set unless no record of the request is stored.
type Admission struct {
	Decision idempotency.Decision
	Request  *Request
	Prior    []idempotency.Attempt // with Retry: earlier attempts; StartedAt is their age in seconds
	Answer   Answer                // with Answered: the stored answer
	Joined   <-chan Answer         // with InProgress, if repeats join: receives the answer of the request in progress
}

// Admit decides whether a request with a key may run. first reports whether the client says that this is its first try of the
// key. window is how many seconds after its first attempt a request with an idempotency key may run again.
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

// priorAttempts returns the attempts of a record, with their ages in place of their start times.
func (s *Store) priorAttempts(record *idempotency.Record) (prior []idempotency.Attempt) {
	for _, attempt := range record.Attempts {
		attempt.StartedAt = s.now() - attempt.StartedAt
		prior = append(prior, attempt)
	}
	return prior
}

// join returns a channel that receives the answer of a request in progress.
func (s *Store) join(record *idempotency.Record) <-chan Answer {
	answer := make(chan Answer, 1) // buffered: Finish must not wait for the reader
	s.joined[record] = append(s.joined[record], answer)
	return answer
}

// JoinedRequests returns the number of requests that wait for the answer of another one.
func (s *Store) JoinedRequests() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, answers := range s.joined {
		count += len(answers)
	}
	return count
}

// StartAttempt records that an attempt is about to be sent, and returns its number among all attempts of the key. If the
// request needs a record, it waits until the record is on disk, but not longer than maxWait. After an error the attempt must
// not be sent; it has been recorded as not run.
func (r *Request) StartAttempt(engine string, zone, cell int, maxWait time.Duration) (number int, err error) {
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
	err = awaitSync(synced, min(maxWait, seconds(s.options.SyncTimeout)))
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
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-synced:
		return err
	case <-timer.C:
		return errSyncTimeout
	}
}

// EndAttempt records that an attempt has ended, and whether it ran or may have run.
func (r *Request) EndAttempt(number int, mayHaveRun bool) {
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.EndAttempt(s.now(), r.record, number, mayHaveRun)
	s.enqueue(s.index.DrainLog(), waiter{})
}

// Finish records the final answer of the request and passes it to all joined requests; only the first call has an effect. The
// outcome Pending binds no repeat of the key. Any other outcome of a request that needs a record is written, but not synced,
// when Finish returns, unless the disk is stuck: it survives the process, but may be lost if the machine crashes. Then the
// request counts as one that may have run.
func (r *Request) Finish(answer Answer) {
	if written := r.finish(answer); written != nil {
		AwaitWritten(written)
	}
}

// finish returns a channel that is notified once the answer is written, or nil if the caller need not wait for that.
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
