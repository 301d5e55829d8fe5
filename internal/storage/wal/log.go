package wal

import (
	"slices"

	"copperrock.example/copperrock/internal/storage/vfs"
)

// Log is an open write-ahead log. It owns the files of its directory until Close.
type Log struct {
	dir         vfs.Dir
	owner       Identity
	current     uint64 // number of the segment that is appended to, or that could not be started
	lastStarted uint64 // number of the last segment that was started successfully
	segment     frameWriter
	err         error           // why nothing can be appended; nil if records can be appended
	snapshot    *SnapshotWriter // the snapshot in progress, nil for none
	damaged     []string        // files to be renamed once a snapshot has replaced them
}

// Open replays all files as Replay does, cuts off a torn end and makes the last segment ready for appending. If files are
// damaged or the disk fails, Err is not nil until a snapshot has been written.
func Open(dir vfs.Dir, owner Identity, visit Visitor) (*Log, ReplayResult, error) {
	identity := owner
	replay := &replayer{dir: dir, owner: &identity, visit: visit}
	if err := replay.run(); err != nil {
		return nil, replay.result, err
	}
	files := &replay.layout
	l := &Log{dir: dir, owner: owner, current: files.last, lastStarted: files.last, err: ErrUnavailable, damaged: files.damaged}
	l.resume(files)
	return l, replay.result, nil
}

// resume makes the log ready for appending. If the disk fails, Err stays set until a snapshot has been written.
func (l *Log) resume(files *layout) {
	// If the previous process was killed and the machine kept running, what was replayed may be unsynced: in the machine's
	// memory only. Nothing older is removed before the snapshot is on disk.
	if files.snapshot > 0 && l.syncExisting(snapshotName(files.snapshot), files.snapshotSize) != nil {
		return
	}
	l.removeSuperseded(files)
	switch {
	case len(files.damaged) > 0:
		l.current = max(files.last, files.snapshot)
	case files.last == 0 || files.lastEnd.complete < int64(headerSize+frameOverhead): // no segment, or one without its header
		if files.last > 0 {
			l.remove(segmentName(files.last))
		}
		l.current, l.lastStarted = max(files.last, files.snapshot, 1)-1, files.previous
		_ = l.startSegment() // Err returns its error
	default:
		l.reopenSegment(files.last, files.lastEnd)
	}
}

// removeSuperseded removes the files that the snapshot replaces, and incomplete snapshots.
func (l *Log) removeSuperseded(files *layout) {
	for _, name := range files.files {
		number, snapshot, _ := parseName(name)
		incomplete := snapshot && number != files.snapshot && !slices.Contains(files.damaged, name)
		if number < files.snapshot || incomplete {
			l.remove(name)
		}
	}
}

// remove removes a file that is no longer needed. If that fails, the next opening does it.
func (l *Log) remove(name string) { _ = l.dir.Remove(name) }

// reopenSegment truncates the last segment behind its last complete frame and opens it for appending.
func (l *Log) reopenSegment(number uint64, end fileEnd) {
	file, err := l.openSynced(segmentName(number), end.complete)
	if err != nil {
		return
	}
	l.segment = frameWriter{file: file, frames: end.frames, size: end.complete}
	l.err = nil
}

// syncExisting syncs an existing file and its name.
func (l *Log) syncExisting(name string, size int64) error {
	file, err := l.openSynced(name, size)
	if err != nil {
		return err
	}
	return file.Close()
}

// openSynced opens a file of an earlier process, truncated to a size in bytes, and syncs it and its name: a process that was
// killed may have synced neither.
func (l *Log) openSynced(name string, size int64) (vfs.File, error) {
	file, err := l.dir.Append(name, size)
	if err != nil {
		return nil, err
	}
	err = file.Sync()
	if err == nil {
		err = l.dir.Sync()
	}
	if err != nil {
		_ = file.Close() // nothing was written to it
		return nil, err
	}
	return file, nil
}

// startSegment ends the current segment and starts the next one.
func (l *Log) startSegment() error {
	l.endSegment()
	l.current++
	name := segmentName(l.current)
	file, err := l.dir.Create(name)
	if err != nil {
		return l.fail(name, 0, err)
	}
	header := fileHeader(l.owner, l.lastStarted)
	if err := l.writeHeader(file, header); err != nil {
		_ = file.Close()
		l.remove(name) // otherwise it would look like a torn segment before later ones
		return l.fail(name, 0, err)
	}
	l.segment = frameWriter{file: file, frames: 1, size: int64(len(header))}
	l.err, l.lastStarted = nil, l.current
	return nil
}

// endSegment closes the current segment. Its last record marks the end, so that a broken frame before it can't be mistaken
// for an unfinished write.
func (l *Log) endSegment() {
	if l.segment.file == nil {
		return
	}
	if l.err == nil && l.segment.write(AppendRecord(nil, kindEnd, nil)) == nil {
		_ = l.segment.file.Sync() // acknowledged records are already synced
	}
	l.segment.close()
}

// writeHeader writes the header of a new file and syncs it and the file's name.
func (l *Log) writeHeader(file vfs.File, header []byte) error {
	if _, err := file.Write(header); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return l.dir.Sync()
}

// fail sets and returns the error that stops all appending.
func (l *Log) fail(name string, offset int64, err error) error {
	l.err = &WriteError{Path: name, Offset: offset, Err: err}
	return l.err
}

// Err returns why nothing can be appended, or nil if records can be appended. The error matches ErrUnavailable.
func (l *Log) Err() error { return l.err }

// SegmentSize returns the size of the current segment in bytes.
func (l *Log) SegmentSize() int64 { return l.segment.size }

// Append appends records, in one or more frames, and with sync returns only once they are on disk. After an error it is
// unknown which of the records are on disk, and nothing more is appended until a snapshot has been written.
func (l *Log) Append(records []byte, sync bool) error {
	if l.err != nil {
		return l.err
	}
	err := l.segment.write(records)
	if err == nil && sync {
		err = l.segment.file.Sync()
	}
	if err != nil {
		l.segment.close()
		return l.fail(segmentName(l.current), l.segment.size, err)
	}
	return nil
}

// Close aborts a snapshot in progress, records a clean shutdown and closes the files. All records must have been appended
// before.
func (l *Log) Close() error {
	if l.snapshot != nil {
		l.snapshot.Abort()
	}
	err := l.Append(AppendRecord(nil, kindCleanShutdown, nil), true)
	l.segment.close()
	l.err = ErrUnavailable // nothing can be appended after Close
	return err
}
