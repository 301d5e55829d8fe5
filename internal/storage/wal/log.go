package wal

import (
	"slices"

	"copperrock.example/copperrock/internal/storage/vfs"
)

// Log is an open write-ahead log. It owns the files of its directory until Close.
type Log struct {
	dir         vfs.Dir
	owner       Identity
	current     uint64 // the number of the segment that is appended to, or was tried last
	lastStarted uint64 // the number of the last segment that was started with success
	segment     frameWriter
	err         error           // why nothing can be appended; nil while it can
	snapshot    *SnapshotWriter // the one that is being written, nil for none
	damaged     []string        // files to be put aside once a snapshot has taken their place
}

// Open replays all files as Replay does, cuts off a torn end and makes the last segment ready to be appended to. Where
// something is damaged, or the disk fails, Err is not nil until a snapshot was written.
func Open(dir vfs.Dir, owner Identity, visit Visitor) (*Log, ReplayResult, error) {
	found := owner
	replay := &replayer{dir: dir, owner: &found, visit: visit}
	if err := replay.run(); err != nil {
		return nil, replay.result, err
	}
	files := &replay.layout
	l := &Log{dir: dir, owner: owner, current: files.last, lastStarted: files.last, err: ErrUnavailable, damaged: files.damaged}
	l.resume(files)
	return l, replay.result, nil
}

// resume makes the log ready to be appended to. Where the disk fails Err stays set, and a snapshot is the way on.
func (l *Log) resume(files *layout) {
	// What was replayed may be in the machine's memory alone, where only the process had ended. Nothing older is removed
	// before it is on the disk.
	if files.snapshot > 0 && l.syncExisting(snapshotName(files.snapshot), files.snapshotSize) != nil {
		return
	}
	l.removeSuperseded(files)
	switch {
	case len(files.damaged) > 0:
		l.current = max(files.last, files.snapshot)
	case files.last == 0 || files.lastEnd.complete < int64(headerSize+frameOverhead): // none, or one without its header
		if files.last > 0 {
			l.remove(segmentName(files.last))
		}
		l.current, l.lastStarted = max(files.last, files.snapshot, 1)-1, files.previous
		_ = l.startSegment() // Err has its error
	default:
		l.reopenSegment(files.last, files.lastEnd)
	}
}

// removeSuperseded removes what the snapshot holds, and snapshots that were not completed.
func (l *Log) removeSuperseded(files *layout) {
	for _, name := range files.files {
		number, snapshot, _ := parseName(name)
		incomplete := snapshot && number != files.snapshot && !slices.Contains(files.damaged, name)
		if number < files.snapshot || incomplete {
			l.remove(name)
		}
	}
}

// remove removes a file that is not needed any more. Where that fails it is done at the next opening.
func (l *Log) remove(name string) { _ = l.dir.Remove(name) }

// reopenSegment cuts the last segment where it is complete and appends to it from there.
func (l *Log) reopenSegment(number uint64, end fileEnd) {
	file, err := l.openSynced(segmentName(number), end.complete)
	if err != nil {
		return
	}
	l.segment = frameWriter{file: file, frames: end.frames, size: end.complete}
	l.err = nil
}

// syncExisting has a file that is there on the disk, with its name.
func (l *Log) syncExisting(name string, size int64) error {
	file, err := l.openSynced(name, size)
	if err != nil {
		return err
	}
	return file.Close()
}

// openSynced opens a file that an earlier process made, cut to a size in bytes, and has it on the disk, with its name: a
// process that was killed may have synced neither.
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
		l.remove(name) // so that it does not stand there as a torn one before later ones
		return l.fail(name, 0, err)
	}
	l.segment = frameWriter{file: file, frames: 1, size: int64(len(header))}
	l.err, l.lastStarted = nil, l.current
	return nil
}

// endSegment closes the current segment. Its last record says that it ended, so that what is broken before it is no write
// that was under way.
func (l *Log) endSegment() {
	if l.segment.file == nil {
		return
	}
	if l.err == nil && l.segment.write(AppendRecord(nil, kindEnd, nil)) == nil {
		_ = l.segment.file.Sync() // what was waited for is synced already
	}
	l.segment.close()
}

// writeHeader has the header of a new file on the disk, with the file's name.
func (l *Log) writeHeader(file vfs.File, header []byte) error {
	if _, err := file.Write(header); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return l.dir.Sync()
}

// fail notes why nothing can be appended any more.
func (l *Log) fail(name string, offset int64, err error) error {
	l.err = &WriteError{Path: name, Offset: offset, Err: err}
	return l.err
}

// Err reports why nothing can be appended, nil while it can. It is ErrUnavailable.
func (l *Log) Err() error { return l.err }

// SegmentSize is the size of the segment that is appended to, in bytes.
func (l *Log) SegmentSize() int64 { return l.segment.size }

// Append appends records, in frames, and with sync has them on the disk when it returns. After an error nothing more is
// appended until a snapshot was written: what of the records is on the disk is not known.
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

// Close notes that the process ends in order, once all is appended, and closes the files.
func (l *Log) Close() error {
	if l.snapshot != nil {
		l.snapshot.Abort()
	}
	err := l.Append(AppendRecord(nil, kindCleanShutdown, nil), true)
	l.segment.close()
	l.err = ErrUnavailable // nothing is appended any more
	return err
}
