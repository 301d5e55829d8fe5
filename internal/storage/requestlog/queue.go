package requestlog

import (
	"time"

	"copperrock.example/copperrock/internal/storage/wal"
)

// maxPending bounds what waits to be written, in bytes; beyond it the disk is taken for stuck.
const maxPending = 8 << 20

// writeTimeout bounds how long an answer waits to be written. That takes some tens of microseconds where the disk is not
// stuck, and then the answer is not held back for it.
const writeTimeout = 20 * time.Millisecond

// waiter is notified once, when what was enqueued is written, or of why it can't be. done has room for that, and is nil for
// nobody.
type waiter struct {
	done chan<- error
	sync bool // it waits until that is on the disk
}

func (w waiter) notify(err error) {
	if w.done != nil {
		w.done <- err
	}
}

// AwaitWritten waits for what RecordRetry returned, as long as an answer would.
func AwaitWritten(written <-chan error) {
	late := time.NewTimer(writeTimeout)
	defer late.Stop()
	select {
	case <-written: //nolint:errcheck // the caller goes on after an error too
	case <-late.C:
	}
}

// enqueue adds records to what waits to be written. The lock is held.
func (s *Store) enqueue(records []byte, w waiter) {
	switch {
	case s.unavailable || s.dropped: // a snapshot of all in memory is written once the disk is back
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
	default: // the writer has not looked yet since it was woken
	}
}

// dropPending drops what waits to be written: a snapshot of all has to be written.
func (s *Store) dropPending() {
	s.dropped = true
	for _, w := range s.waiting {
		w.notify(wal.ErrUnavailable)
	}
	s.pending, s.waiting = nil, nil
}

// takePending takes what waits to be written, and who waits for it.
func (s *Store) takePending() (records []byte, waiting []waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, waiting = s.pending, s.waiting
	s.pending, s.waiting = nil, nil
	return records, waiting
}
