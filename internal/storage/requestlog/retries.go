package requestlog

// retryRetention is for how many seconds retries are stored; settings may ask for less.
const retryRetention = 3600

// RecordRetry records that a retry is about to be sent. What it returns is notified once that is written; an attempt that
// waits for it counts against its window also where the process is killed a moment later.
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

// RetriesWithin is how many retries were sent in the last seconds, by this process and those before. Where the last one
// did not end in order on this run of the machine, or records were lost, that is not known.
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
