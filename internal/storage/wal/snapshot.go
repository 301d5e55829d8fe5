package wal

import "slices"

// SnapshotWriter is a snapshot that is being written, step by step, while records go into the segment beside it. It ends
// with Commit or Abort, or when another one begins.
type SnapshotWriter struct {
	log    *Log
	number uint64
	out    frameWriter
}

// BeginSnapshot begins a snapshot: from here on records go into a new segment, and the snapshot has to hold all that was
// appended before; it may hold some of what comes after. While the disk is unavailable this is the way back.
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

// Append appends records.
func (w *SnapshotWriter) Append(records []byte) error { return w.out.write(records) }

// Size is what was written so far, in bytes.
func (w *SnapshotWriter) Size() int64 { return w.out.size }

// Abort gives the snapshot up; the files before it stay.
func (w *SnapshotWriter) Abort() {
	if w.out.file != nil {
		w.out.close()
		w.log.remove(snapshotName(w.number))
	}
	if w.log.snapshot == w {
		w.log.snapshot = nil
	}
}

// Commit ends the snapshot: the files that it takes the place of are removed, damaged ones put aside.
func (w *SnapshotWriter) Commit() error {
	if err := w.finish(); err != nil {
		w.Abort()
		return err
	}
	w.out.close()
	w.log.snapshot = nil
	return w.log.retire(w.number)
}

// finish has all of the snapshot on the disk, with its name.
func (w *SnapshotWriter) finish() error {
	if err := w.out.write(AppendRecord(nil, kindEnd, nil)); err != nil {
		return err
	}
	if err := w.out.file.Sync(); err != nil {
		return err
	}
	return w.log.dir.Sync()
}

// retire removes the files that the snapshot of that number holds and puts damaged ones aside.
func (l *Log) retire(snapshot uint64) error {
	names, err := l.dir.List()
	for _, name := range names {
		number, _, ok := parseName(name)
		switch {
		case !ok || number >= snapshot:
		case slices.Contains(l.damaged, name):
			_ = l.dir.Rename(name, name+damagedEnding) // else it stays under its name, older than the snapshot
		default:
			l.remove(name)
		}
	}
	l.damaged = nil
	_ = l.dir.Sync() // a file that comes back after a crash is removed at the next opening
	return err
}
