package wal

import "slices"

// SnapshotWriter writes a snapshot in steps, while records are appended to the segment of the same number. It ends with
// Commit or Abort, or when another snapshot is begun.
type SnapshotWriter struct {
	log    *Log
	number uint64
	out    frameWriter
}

// BeginSnapshot begins a snapshot. From then on records go to a new segment. The snapshot must hold everything that was
// appended before, and may hold some of what is appended later. If the log is unavailable, this is the way to make it
// available again.
func (l *Log) BeginSnapshot() (*SnapshotWriter, error) {
	if l.snapshot != nil {
		l.snapshot.Abort()
	}
	if err := l.startSegment(); err != nil {
		return nil, err
	}
	w := &SnapshotWriter{log: l, number: l.current}
	file, err := l.dir.Create(snapshotName(w.number))
	if err != nil {
		return nil, err
	}
	w.out.file = file
	header := fileHeader(l.owner, 0)
	if _, err := file.Write(header); err != nil {
		w.Abort()
		return nil, err
	}
	w.out.frames, w.out.size = 1, int64(len(header))
	l.snapshot = w
	return w, nil
}

// Append appends records to the snapshot.
func (w *SnapshotWriter) Append(records []byte) error { return w.out.write(records) }

// Size returns the number of bytes written so far.
func (w *SnapshotWriter) Size() int64 { return w.out.size }

// Abort discards the snapshot; older files stay.
func (w *SnapshotWriter) Abort() {
	if w.out.file != nil {
		w.out.close()
		w.log.remove(snapshotName(w.number))
	}
	if w.log.snapshot == w {
		w.log.snapshot = nil
	}
}

// Commit completes the snapshot and removes the files that it replaces; damaged ones are renamed.
func (w *SnapshotWriter) Commit() error {
	if err := w.finish(); err != nil {
		w.Abort()
		return err
	}
	w.out.close()
	w.log.snapshot = nil
	return w.log.retire(w.number)
}

// finish writes the end of the snapshot and syncs the file and its name.
func (w *SnapshotWriter) finish() error {
	if err := w.out.write(AppendRecord(nil, kindEnd, nil)); err != nil {
		return err
	}
	if err := w.out.file.Sync(); err != nil {
		return err
	}
	return w.log.dir.Sync()
}

// retire removes the files that the snapshot replaces, and renames the damaged ones.
func (l *Log) retire(snapshot uint64) error {
	names, err := l.dir.List()
	for _, name := range names {
		number, _, ok := parseName(name)
		switch {
		case !ok || number >= snapshot:
		case slices.Contains(l.damaged, name):
			_ = l.dir.Rename(name, name+damagedEnding) // if this fails, the file keeps its name, with a number below the snapshot's
		default:
			l.remove(name)
		}
	}
	l.damaged = nil
	_ = l.dir.Sync() // a file that reappears after a crash is removed at the next opening
	return err
}
