package requestlog

import (
	"time"

	"copperrock.example/copperrock/internal/storage/wal"
)

// maxPending bounds the size of the pending records, in bytes; beyond it the disk is considered stuck.
const maxPending = 8 << 20

// writeTimeout bounds how long an answer is held back until its record is written. A write takes some tens of microseconds;
// if it takes longer than this, the disk is stuck, and the answer is sent all the same.
const writeTimeout = 20 * time.Millisecond

// waiter is notified once: when its records are written, or with the reason why they can't be. done has a buffer for that, or
// is nil if nobody waits.
type waiter struct {
	done chan<- error
	sync bool // wait until the records are synced
}

func (w waiter) notify(err error) {
	if w.done != nil {
		w.done <- err
	}
}

// AwaitWritten waits on the channel returned by RecordRetry, no longer than an answer would wait for its record.
func AwaitWritten(written <-chan error) {
	timeout := time.NewTimer(writeTimeout)
	defer timeout.Stop()
	select {
	case <-written: //nolint:errcheck // the caller continues after an error, too
	case <-timeout.C:
	}
}

// enqueue adds records to the pending ones, to be written by Run. The caller holds the lock.
func (s *Store) enqueue(records []byte, w waiter) {
	switch {
	case s.unavailable || s.dropped: // a full snapshot is written once the disk accepts writes
		w.notify(wal.ErrUnavailable)
	case len(s.pending)+len(records) > maxPending:
		s.dropPending()
		w.notify(wal.ErrUnavailable)
	default:
		s.pending = append(s.pending, records...)
		if w.done != nil {
			s.waiting = append(s.waiting, w)
		}
	}
	select {
	case s.wake <- struct{}{}:
	default: // the writer has been woken already
	}
}

// dropPending drops the pending records, after which a full snapshot has to be written.
func (s *Store) dropPending() {
	s.dropped = true
	for _, w := range s.waiting {
		w.notify(wal.ErrUnavailable)
	}
	s.pending, s.waiting = nil, nil
}

// takePending removes and returns the pending records and their waiters.
func (s *Store) takePending() (records []byte, waiting []waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, waiting = s.pending, s.waiting
	s.pending, s.waiting = nil, nil
	return records, waiting
}
