package requestlog

// retryRetention is how many seconds records of retries are stored; settings may use a shorter window.
const retryRetention = 3600

// RecordRetry records that a retry is about to be sent. The returned channel is notified once the record is written. A retry
// that waits for it counts against its window even if the process is killed right after.
func (s *Store) RecordRetry() <-chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for len(s.retries) > 0 && s.retries[0] < now-retryRetention {
		s.retries = s.retries[1:]
	}
	s.retries = append(s.retries, now)
	written := make(chan error, 1)
	s.enqueue(appendRetry(nil, now), waiter{done: written})
	return written
}

// RetriesWithin returns how many retries were sent in the last seconds, by this process and earlier ones. The number is not
// known if records were lost, or if the machine was rebooted after a process that did not shut down cleanly.
func (s *Store) RetriesWithin(seconds float64) (count int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.retries {
		if at > s.now()-seconds {
			count++
		}
	}
	return count, s.index.UncertainUntil() == 0 && (s.replayed.CleanShutdown || !s.rebooted)
}
