package requestlog

import (
	"copperrock.example/copperrock/internal/storage/wal"
)

// keysPerStep is how many keys one step writes: a few tens of KB, and well under a millisecond of the lock.
const keysPerStep = 128

// snapshotProgress is a snapshot that is being written by the steps of a task.
type snapshotProgress struct {
	writer *wal.SnapshotWriter
	keys   []string // that are still to be written
	repair bool     // the disk had failed, or records were lost
}

// snapshotStep writes a part of a snapshot of everything that is stored. A repair goes first and takes the place of a
// compaction that had begun.
func (s *Store) snapshotStep(repair bool) (bytes int, more bool, err error) {
	if s.snapshot != nil && repair && !s.snapshot.repair {
		s.abortSnapshot()
	}
	if s.snapshot == nil {
		return s.beginSnapshot(repair)
	}
	return s.continueSnapshot(s.snapshot)
}

// beginSnapshot begins a snapshot with all but the keys.
func (s *Store) beginSnapshot(repair bool) (bytes int, more bool, err error) {
	header, err := s.openSnapshot(repair)
	if err != nil {
		return 0, false, err
	}
	if err := s.snapshot.writer.Append(header); err != nil {
		s.failSnapshot()
		return len(header), false, err
	}
	return len(header), true, nil
}

// openSnapshot opens a snapshot and gives what it begins with. What was pending goes into the segment before, or is in
// memory, from where all is written.
func (s *Store) openSnapshot(repair bool) (header []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writer, err := s.wal.BeginSnapshot()
	if err != nil {
		return nil, err
	}
	s.snapshot = &snapshotProgress{writer: writer, keys: s.index.Keys(), repair: repair}
	if repair { // from here on records go to the new segment
		s.dropped, s.unavailable, s.pending = false, false, nil
	}
	return s.snapshotHeader(), nil
}

func (s *Store) snapshotHeader() []byte {
	header := s.appendRun(nil)
	header = s.index.AppendSnapshotHeader(header)
	for _, at := range s.retries {
		header = appendRetry(header, at)
	}
	if len(s.learned) > 0 {
		header = wal.AppendRecord(header, kindLearned, s.learned)
	}
	return header
}

// continueSnapshot writes some keys, and ends the snapshot after the last one.
func (s *Store) continueSnapshot(progress *snapshotProgress) (bytes int, more bool, err error) {
	records := s.nextKeys(progress)
	if err := progress.writer.Append(records); err != nil {
		s.failSnapshot()
		return len(records), false, err
	}
	if len(progress.keys) > 0 {
		return len(records), true, nil
	}
	s.snapshot = nil
	if err := progress.writer.Commit(); err != nil {
		s.failSnapshot()
		return len(records), false, err
	}
	size := progress.writer.Size()
	if progress.repair {
		s.log.Info().Int64("bytes", size).Msg("the store's disk accepts writes again: a snapshot was written")
	} else {
		s.log.Debug().Int64("bytes", size).Msg("the store was compacted")
	}
	return len(records), false, nil
}

// nextKeys takes the records of the next keys.
func (s *Store) nextKeys(progress *snapshotProgress) (records []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(keysPerStep, len(progress.keys))
	for _, key := range progress.keys[:count] {
		records = s.index.AppendSnapshot(records, key)
	}
	progress.keys = progress.keys[count:]
	return records
}

// failSnapshot gives up a snapshot that the disk did not take. Where it was a repair, or was complete but for its end,
// records since went to a segment that stands alone, so the disk counts as unavailable again.
func (s *Store) failSnapshot() {
	s.mu.Lock()
	if s.snapshot == nil || s.snapshot.repair {
		s.unavailable, s.dropped = true, true
	}
	s.mu.Unlock()
	s.abortSnapshot()
}

// abortSnapshot gives up the snapshot that is being written, if there is one; the files before it stay.
func (s *Store) abortSnapshot() {
	if s.snapshot != nil {
		s.snapshot.writer.Abort()
		s.snapshot = nil
	}
}
