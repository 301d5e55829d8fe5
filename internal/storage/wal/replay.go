package wal

import (
	"encoding/binary"
	"slices"

	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

// ReplayResult describes what a replay found.
type ReplayResult struct {
	Records   int
	Bytes     int64
	TornBytes int64 // total size of the writes in Torn
	// Torn lists the failed or unfinished writes, which were skipped. No acknowledged records can be in them.
	Torn []*recordfile.FileError
	// Damaged lists what is lost; acknowledged records may be among it. Each entry matches recordfile.ErrDamaged.
	Damaged       []*recordfile.FileError
	CleanShutdown bool // the last process has shut down cleanly, and nothing follows
}

// layout describes the files of a log after a replay.
type layout struct {
	files        []string // names of all files of the log
	snapshots    []uint64 // numbers of all snapshots
	segments     []uint64 // numbers of the segments; after the replay, only of those that were read
	snapshot     uint64   // number of the snapshot that is used, 0 for none
	snapshotSize int64    // in bytes
	previous     uint64   // number of the segment before the last one
	last         uint64   // number of the last segment
	lastEnd      fileEnd  // of the last segment
	damaged      []string // names of the damaged files
}

// replayer reads all files of a log once. It is used for one replay and changes no file.
type replayer struct {
	dir    vfs.Dir
	owner  *Identity
	visit  Visitor
	layout layout
	result ReplayResult

	previous uint64 // number of the segment that precedes the one being read, according to its header
}

// Replay reads all files without changing any. visit is called with every record in order, those of the snapshot first. A
// blank owner is filled in.
func Replay(dir vfs.Dir, owner *Identity, visit Visitor) (ReplayResult, error) {
	replay := &replayer{dir: dir, owner: owner, visit: visit}
	err := replay.run()
	return replay.result, err
}

func (r *replayer) run() error {
	if err := r.list(); err != nil {
		return err
	}
	if err := r.chooseSnapshot(); err != nil {
		return err
	}
	if err := r.replaySnapshot(); err != nil {
		return err
	}
	return r.replaySegments()
}

// list finds the files of the log.
func (r *replayer) list() error {
	names, err := r.dir.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		number, snapshot, ok := parseName(name)
		if !ok {
			continue
		}
		if snapshot {
			r.layout.snapshots = append(r.layout.snapshots, number)
		} else {
			r.layout.segments = append(r.layout.segments, number)
		}
		r.layout.files = append(r.layout.files, name)
	}
	return nil
}

// chooseSnapshot finds the latest complete snapshot. An incomplete one was being written when the last process ended, unless
// the segments that it replaces are gone: then it is damaged.
func (r *replayer) chooseSnapshot() error {
	for _, number := range slices.Backward(r.layout.snapshots) {
		name := snapshotName(number)
		content, err := r.dir.Read(name)
		if err != nil {
			return err
		}
		complete := false
		end, err := decodeFile(content, r.owner, func(kind byte, _ []byte) error {
			complete = kind == kindEnd
			return nil
		})
		if err != nil {
			return recordfile.InFile(name, err)
		}
		size := int64(len(content))
		if complete && end.complete == size {
			r.layout.snapshot = number
			return nil
		}
		olderSegment := func(segment uint64) bool { return segment < number }
		if number > 1 && !slices.ContainsFunc(r.layout.segments, olderSegment) {
			r.reportDamage(name, end.complete, "broken at byte %d of %d, and what it was made of is gone", end.complete, size)
			r.layout.snapshot = number
			return nil
		}
	}
	return nil
}

// replaySnapshot reads the chosen snapshot, if any.
func (r *replayer) replaySnapshot() error {
	if r.layout.snapshot == 0 {
		return nil
	}
	name := snapshotName(r.layout.snapshot)
	content, err := r.dir.Read(name)
	if err != nil {
		return err
	}
	if _, err := decodeFile(content, r.owner, r.handle); err != nil {
		return recordfile.InFile(name, err)
	}
	r.layout.snapshotSize = int64(len(content))
	r.result.Bytes += r.layout.snapshotSize
	return nil
}

// replaySegments reads the segments that are not part of the snapshot.
func (r *replayer) replaySegments() error {
	base := r.layout.snapshot
	segments := slices.DeleteFunc(r.layout.segments, func(segment uint64) bool { return segment < base })
	r.layout.segments = segments
	if base > 0 && (len(segments) == 0 || segments[0] != base) {
		r.reportMissing(base)
	}
	for _, number := range segments {
		if err := r.replaySegment(number); err != nil {
			return err
		}
	}
	return nil
}

func (r *replayer) replaySegment(number uint64) error {
	name := segmentName(number)
	content, err := r.dir.Read(name)
	if err != nil {
		return err
	}
	r.previous = 0
	end, err := decodeFile(content, r.owner, r.handle)
	if err != nil {
		return recordfile.InFile(name, err)
	}
	if r.previous >= max(r.layout.snapshot, 1) && !slices.Contains(r.layout.segments, r.previous) {
		r.reportMissing(r.previous)
	}
	r.result.Bytes += end.complete
	r.layout.previous, r.layout.last, r.layout.lastEnd = r.layout.last, number, end
	switch size := int64(len(content)); {
	case end.complete == size:
	case end.damaged:
		r.reportDamage(name, end.complete, "broken at byte %d of %d", end.complete, size)
	default:
		r.reportTorn(name, end.complete, size)
		isLast := number == r.layout.segments[len(r.layout.segments)-1]
		r.result.CleanShutdown = r.result.CleanShutdown && isLast
	}
	return nil
}

// handle processes a record: it interprets the log's own kinds and passes the others to visit.
func (r *replayer) handle(kind byte, body []byte) error {
	if kind == kindPrevious && len(body) == 8 {
		r.previous = binary.BigEndian.Uint64(body)
		return nil
	}
	r.result.CleanShutdown = kind == kindCleanShutdown
	if kind < FirstUserKind {
		return nil
	}
	r.result.Records++
	return r.visit(kind, body)
}

func (r *replayer) reportDamage(name string, offset int64, format string, arguments ...any) {
	fault := recordfile.Errorf(recordfile.ErrDamaged, format, arguments...)
	r.result.Damaged = append(r.result.Damaged, &recordfile.FileError{Path: name, Offset: offset, Err: fault})
	r.layout.damaged = append(r.layout.damaged, name)
}

func (r *replayer) reportMissing(segment uint64) {
	r.reportDamage(segmentName(segment), 0, "is missing")
}

func (r *replayer) reportTorn(name string, offset, size int64) {
	fault := recordfile.Errorf(recordfile.ErrTorn, "torn at byte %d of %d", offset, size)
	r.result.Torn = append(r.result.Torn, &recordfile.FileError{Path: name, Offset: offset, Err: fault})
	r.result.TornBytes += size - offset
}
