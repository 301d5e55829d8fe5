package requestlog

import (
	"copperrock.example/copperrock/internal/storage/wal"
)

// keysPerStep is how many keys one step writes: some tens of KB, holding the lock for well under a millisecond.
const keysPerStep = 128

// snapshotProgress is a snapshot that is being written in steps of a maintenance task.
type snapshotProgress struct {
	writer *wal.SnapshotWriter
	keys   []string // keys that are not written yet
	repair bool     // written after a disk failure or lost records
}

// snapshotStep writes a part of a full snapshot. A repair aborts a compaction that is in progress and starts over.
func (s *Store) snapshotStep(repair bool) (bytes int, more bool, err error) {
	if s.snapshot != nil && repair && !s.snapshot.repair {
		s.abortSnapshot()
	}
	if s.snapshot == nil {
		return s.beginSnapshot(repair)
	}
	return s.continueSnapshot(s.snapshot)
}

// beginSnapshot starts a snapshot and writes everything except the keys.
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

// openSnapshot creates a snapshot and returns its first records. The snapshot is written from memory, so it covers the records
// that are still pending: a repair drops them, otherwise they go to the new segment as well.
func (s *Store) openSnapshot(repair bool) (header []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writer, err := s.wal.BeginSnapshot()
	if err != nil {
		return nil, err
	}
	s.snapshot = &snapshotProgress{writer: writer, keys: s.index.Keys(), repair: repair}
	if repair { // from now on records go to the new segment
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

// continueSnapshot writes the next keys, and commits the snapshot after the last one.
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

// nextKeys returns the records of the next keys.
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

// failSnapshot aborts a snapshot after a disk error. If it was a repair, or failed at its commit, the records written since it
// began are in a segment that may not continue a complete log, so the disk counts as unavailable again.
func (s *Store) failSnapshot() {
	s.mu.Lock()
	if s.snapshot == nil || s.snapshot.repair {
		s.unavailable, s.dropped = true, true
	}
	s.mu.Unlock()
	s.abortSnapshot()
}

// abortSnapshot aborts the snapshot in progress, if any; older files stay.
func (s *Store) abortSnapshot() {
	if s.snapshot != nil {
		s.snapshot.writer.Abort()
		s.snapshot = nil
	}
}
