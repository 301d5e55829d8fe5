package requestlog

import "copperrock.example/copperrock/internal/storage/wal"

// LearnedState returns the latest recorded learned state and its age in seconds, or nil if there is none.
func (s *Store) LearnedState() (state []byte, age float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.learned) < timeSize {
		return nil, 0
	}
	return s.learned[timeSize:], max(s.now()-decodeTime(s.learned), 0)
}

// recordLearned enqueues a record of the current learned state. State too large for a record is dropped.
func (s *Store) recordLearned() (bytes int) {
	if s.SnapshotLearned == nil || s.options.LearnedInterval == 0 {
		return 0
	}
	state := s.SnapshotLearned()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(state) > 0 && len(state) < wal.MaxRecordSize-timeSize {
		s.learned = append(appendTime(nil, s.now()), state...)
		s.enqueue(wal.AppendRecord(nil, kindLearned, s.learned), waiter{})
	}
	return len(state)
}
