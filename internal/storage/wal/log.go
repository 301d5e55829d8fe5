// Package wal is the files of the store: records in segments that are appended to, and wholes that hold all that
// segments before them told. docs/notes/store-files.md describes the bytes. It does no I/O but through a disk.Folder, knows
// nothing of what records mean, and is used from one goroutine.
//
// Invariants, named by tests: J1, what Write has returned nil from, with sync, is read at the next opening. J2, what is
// read is a first part of what was written, in order, unless damage is told. J3, nothing is written to a file after one
// of its writes or syncs has failed. J4, a whole takes the place of older files only once it is synced, name and all.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"copperrock.example/copperrock/internal/storage/vfs"
)

// formatVersion is that of the files: 01 is the first.
const formatVersion = 1

const (
	magic         = "CRSTOR"   // and two digits: the format
	frameMarker   = 0xc0b7a11e // opens each frame, so that one behind a damaged one can be found
	frameOverhead = 4 + 4 + 8 + 4
	// MaxFrameSize bounds a frame; a batch that is larger goes in several.
	MaxFrameSize = 16 << 20
	// MaxRecordSize bounds a record.
	MaxRecordSize = 4 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Identity says whose store it is.
type Identity struct{ Name string }

var (
	// ErrWrongIdentity tells that the files are another controller's.
	ErrWrongIdentity = errors.New("the store is another controller's")
	// ErrNewerFormat tells that they are of a format that this program does not know.
	ErrNewerFormat = errors.New("the store is of a format that this program does not know")
	// ErrUnavailable tells that the disk has failed and no file can be written to.
	ErrUnavailable = errors.New("the store's disk does not take records")
)

// ReplayResult is what an opening found.
type ReplayResult struct {
	Records       int
	Bytes         int64
	TornBytes     int64    // bytes of writes that had failed or not ended, passed over; nothing that was waited for can be in them
	Damaged       []string // what is lost, and where it is kept aside; what was acted on may be in it
	CleanShutdown bool     // the last life ended in order, and nothing came after
}

// Log is the open files.
type Log struct {
	dir         vfs.Dir
	owner       Identity
	current     uint64 // of the segment that is written to, or was tried last
	lastStarted uint64 // of the last one that was begun
	file        vfs.File
	size        int64
	frames      uint64
	err         error
	snapshot    *SnapshotWriter
	damaged     []string // damaged files, to be put aside once a whole has taken their place
}

func segmentName(n uint64) string  { return fmt.Sprintf("%016x.log", n) }
func snapshotName(n uint64) string { return fmt.Sprintf("%016x.whole", n) }

// parseName reads a name.
func parseName(name string) (n uint64, whole, ok bool) {
	text, ending, _ := strings.Cut(name, ".")
	n, err := strconv.ParseUint(text, 16, 64)
	return n, ending == "whole", err == nil && len(text) == 16 && (ending == "log" || ending == "whole")
}

// appendFrame puts records into a frame.
func appendFrame(b []byte, number uint64, records []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, frameMarker)
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	b = binary.BigEndian.AppendUint64(b, number)
	sum := crc32.Update(crc32.Checksum(b[at+4:], table), table, records)
	b = binary.BigEndian.AppendUint32(b, sum)
	return append(b, records...)
}

// decodeFrame reads the frame at the start of b; false where there is none that is whole.
func decodeFrame(b []byte) (number uint64, records []byte, ok bool) {
	if len(b) < frameOverhead || binary.BigEndian.Uint32(b) != frameMarker {
		return 0, nil, false
	}
	n := int64(binary.BigEndian.Uint32(b[4:]))
	if n > MaxFrameSize || int64(len(b)) < frameOverhead+n {
		return 0, nil, false
	}
	records = b[frameOverhead : frameOverhead+n]
	sum := crc32.Update(crc32.Checksum(b[4:16], table), table, records)
	if sum != binary.BigEndian.Uint32(b[16:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(b[8:]), records, true
}

// AppendRecord puts a record behind others.
func AppendRecord(b []byte, kind byte, body []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(body)+1))
	return append(append(b, kind), body...)
}

// The kinds of record that the journal has for itself; those of its user begin above them.
const (
	kindIdentity      byte = iota
	kindEnd                // of a whole, and of a segment that another follows: all of it stands before
	kindCleanShutdown      // a life ended in order
	kindPrevious           // of a segment: the number of the one before, 0 for none
	FirstUserKind
)

// fileHeader opens a file; before is the number of the segment before a segment.
func (j *Log) fileHeader(before uint64) []byte {
	b := fmt.Appendf(nil, "%s%02d", magic, formatVersion)
	records := AppendRecord(nil, kindIdentity, []byte(j.owner.Name))
	return appendFrame(b, 0, AppendRecord(records, kindPrevious, binary.BigEndian.AppendUint64(nil, before)))
}

// decodeFile reads a file: its records go to each, up to the first frame that is not whole. good is how far that is; more tells
// that a whole frame stands behind it.
func decodeFile(text []byte, who *Identity, each func(kind byte, body []byte) error) (good int64, more bool, err error) {
	if len(text) < len(magic)+2 {
		return 0, false, nil
	}
	digits := string(text[len(magic) : len(magic)+2])
	n, bad := strconv.Atoi(digits)
	switch {
	case string(text[:len(magic)]) != magic || bad != nil:
		_, more = findFrame(text)
		return 0, more, nil
	case n > formatVersion:
		return 0, false, fmt.Errorf("%w: %d, this program writes %d", ErrNewerFormat, n, formatVersion)
	}
	at := len(magic) + 2
	for frames := uint64(0); ; frames++ {
		number, records, ok := decodeFrame(text[at:])
		if !ok || number != frames {
			_, more = findFrame(text[at:])
			return int64(at), more, nil
		}
		for len(records) > 0 {
			size, n := binary.Uvarint(records)
			if n <= 0 || size == 0 || size > MaxRecordSize || uint64(len(records)-n) < size {
				return int64(at), true, nil // whole and yet no records: written wrong
			}
			body := records[n : n+int(size)]
			records = records[n+int(size):]
			if body[0] == kindIdentity {
				if who.Name != "" && who.Name != string(body[1:]) {
					return 0, false, fmt.Errorf("%w: %q, not %q", ErrWrongIdentity, body[1:], who.Name)
				}
				who.Name = string(body[1:])
			} else if err := each(body[0], body[1:]); err != nil {
				return 0, false, err
			}
		}
		at += frameOverhead + int(binary.BigEndian.Uint32(text[at+4:]))
	}
}

// findFrame finds a whole frame anywhere behind the first byte.
func findFrame(b []byte) (at int, there bool) {
	for at = 1; at+frameOverhead <= len(b); at++ {
		if binary.BigEndian.Uint32(b[at:]) == frameMarker {
			if _, _, ok := decodeFrame(b[at:]); ok {
				return at, true
			}
		}
	}
	return 0, false
}

// Replay reads all files without changing any: each hears every record, in order, those of a whole first. The body is its
// own only during the call. who is filled in where it is blank.
func Replay(folder vfs.Dir, who *Identity, each func(kind byte, body []byte) error) (found ReplayResult, err error) {
	_, found, err = read(folder, who, each)
	return found, err
}

// layout is what read found of files.
type layout struct {
	base    uint64   // of the whole that counts, 0 for none
	whole   int64    // its size
	last    uint64   // segment
	before  uint64   // the one before it
	files   []string // all
	cut     int64    // good bytes of the last segment, where more is there
	size    int64    // of it
	frames  uint64
	damaged []string
}

func read(folder vfs.Dir, who *Identity, each func(kind byte, body []byte) error) (l layout, found ReplayResult, err error) {
	names, err := folder.List()
	if err != nil {
		return l, found, err
	}
	var segments, wholes []uint64
	for _, name := range names {
		n, whole, ok := parseName(name)
		switch {
		case !ok:
			continue
		case whole:
			wholes = append(wholes, n)
		default:
			segments = append(segments, n)
		}
		l.files = append(l.files, name)
	}
	lose := func(name, why string) {
		found.Damaged = append(found.Damaged, name+": "+why)
		l.damaged = append(l.damaged, name)
	}
	// The latest whole that is complete. One that is not was being written when the last life ended, or is damaged: then the
	// segments that it took in are gone.
	for _, n := range slices.Backward(wholes) {
		text, err := folder.Read(snapshotName(n))
		if err != nil {
			return l, found, err
		}
		complete := false
		good, _, err := decodeFile(text, who, func(kind byte, _ []byte) error { complete = kind == kindEnd; return nil })
		if err != nil {
			return l, found, fmt.Errorf("%s: %w", snapshotName(n), err)
		}
		if complete && good == int64(len(text)) {
			l.base = n
			break
		}
		if !slices.ContainsFunc(segments, func(s uint64) bool { return s < n }) && n > 1 {
			lose(snapshotName(n), fmt.Sprintf("broken at byte %d of %d, and what it was made of is gone", good, len(text)))
			l.base = n
			break
		}
	}
	before := uint64(0)
	count := func(kind byte, body []byte) error {
		if kind == kindPrevious && len(body) == 8 {
			before = binary.BigEndian.Uint64(body)
			return nil
		}
		found.CleanShutdown = kind == kindCleanShutdown
		if kind < FirstUserKind {
			return nil
		}
		found.Records++
		return each(kind, body)
	}
	if l.base > 0 {
		text, err := folder.Read(snapshotName(l.base))
		if err != nil {
			return l, found, err
		}
		if _, _, err := decodeFile(text, who, count); err != nil {
			return l, found, fmt.Errorf("%s: %w", snapshotName(l.base), err)
		}
		l.whole = int64(len(text))
		found.Bytes += l.whole
	}
	segments = slices.DeleteFunc(segments, func(s uint64) bool { return s < l.base })
	if l.base > 0 && (len(segments) == 0 || segments[0] != l.base) {
		lose(segmentName(l.base), "is missing")
	}
	for i, n := range segments {
		text, err := folder.Read(segmentName(n))
		if err != nil {
			return l, found, err
		}
		frames := uint64(0)
		before = 0
		good, more, err := decodeFile(text, who, count)
		if err != nil {
			return l, found, fmt.Errorf("%s: %w", segmentName(n), err)
		}
		if before >= max(l.base, 1) && !slices.Contains(segments, before) {
			lose(segmentName(before), "is missing")
		}
		found.Bytes += good
		l.before, l.last, l.size, l.cut = l.last, n, int64(len(text)), good
		for at := int64(len(magic) + 2); at < good; at += frameOverhead + int64(binary.BigEndian.Uint32(text[at+4:])) {
			frames++
		}
		l.frames = frames
		switch last := i == len(segments)-1; {
		case good == int64(len(text)):
		case more:
			lose(segmentName(n), fmt.Sprintf("broken at byte %d of %d", good, len(text)))
		default: // a write that failed, or had not ended: nothing waited for it
			found.TornBytes += int64(len(text)) - good
			found.CleanShutdown = found.CleanShutdown && last
		}
	}
	return l, found, nil
}

// Open reads all files as Read does, cuts off what is torn and makes the last segment ready to be written to. Where
// something is damaged a whole has to be written before anything else: Damaged says so, and Begin makes it.
func Open(folder vfs.Dir, who Identity, each func(kind byte, body []byte) error) (*Log, ReplayResult, error) {
	named := who
	l, found, err := read(folder, &named, each)
	if err != nil {
		return nil, found, err
	}
	j := &Log{dir: folder, owner: who, current: l.last, lastStarted: l.last, err: ErrUnavailable, damaged: l.damaged}
	// What was read may be in the machine's memory alone, where only the process had ended. Nothing older goes before it is
	// on the disk.
	if l.base > 0 && j.syncExisting(snapshotName(l.base), l.whole) != nil {
		return j, found, nil // down: nothing is removed, and it is tried again
	}
	for _, name := range l.files { // what a whole took in, and wholes that were not ended
		n, whole, _ := parseName(name)
		if n < l.base || whole && n != l.base && !slices.Contains(l.damaged, name) {
			folder.Remove(name)
		}
	}
	switch {
	case len(l.damaged) > 0:
		j.current = max(l.last, l.base)
		return j, found, nil
	case l.last == 0 || l.cut < int64(len(magic)+2)+frameOverhead: // none, or one without its head
		if l.last > 0 {
			folder.Remove(segmentName(l.last))
		}
		j.current, j.lastStarted = max(l.last, l.base, 1)-1, l.before
		j.startSegment() // down where that fails, and tried again
		return j, found, nil
	}
	if j.file, err = folder.Append(segmentName(l.last), l.cut); err != nil {
		return j, found, nil // down: it is tried again
	}
	if err := j.file.Sync(); err != nil {
		j.file.Close()
		j.file = nil
		return j, found, nil
	}
	j.err, j.size, j.frames = nil, l.cut, l.frames
	return j, found, nil
}

// syncExisting has a file that is there on the disk, with its name.
func (j *Log) syncExisting(name string, size int64) error {
	f, err := j.dir.Append(name, size)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return err
	}
	return j.dir.Sync()
}

// startSegment begins the next segment.
func (j *Log) startSegment() error {
	fail := func(err error) error {
		j.err = fmt.Errorf("%w: %w", ErrUnavailable, err)
		return j.err
	}
	if j.file != nil { // its end says so, so that what is broken before it is no write that had not ended
		if j.err == nil && j.write(j.file, &j.frames, &j.size, AppendRecord(nil, kindEnd, nil)) == nil {
			j.file.Sync()
		}
		j.file.Close()
		j.file = nil
	}
	j.current++
	file, err := j.dir.Create(segmentName(j.current))
	if err != nil {
		return fail(err)
	}
	head := j.fileHeader(j.lastStarted)
	if _, err = file.Write(head); err == nil {
		if err = file.Sync(); err == nil {
			err = j.dir.Sync()
		}
	}
	if err != nil {
		file.Close()
		j.dir.Remove(segmentName(j.current)) // so that it does not stand there as a torn one before later ones
		return fail(err)
	}
	j.file, j.size, j.frames, j.err, j.lastStarted = file, int64(len(head)), 1, nil, j.current
	return nil
}

// Err tells why nothing can be written, nil while it can.
func (j *Log) Err() error { return j.err }

// SegmentSize is that of the segment that is written to, in bytes.
func (j *Log) SegmentSize() int64 { return j.size }

// Append writes records, in frames, and with sync has them on the disk when it returns. After an error nothing more is
// written until a whole has been: what of the records is on the disk is not known.
func (j *Log) Append(records []byte, sync bool) error {
	if j.err != nil {
		return j.err
	}
	err := j.write(j.file, &j.frames, &j.size, records)
	if err == nil && sync {
		err = j.file.Sync()
	}
	if err != nil {
		j.file.Close()
		j.file = nil
		j.err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return j.err
}

// write writes records to a file, cut into frames between records.
func (j *Log) write(to vfs.File, frames *uint64, size *int64, records []byte) error {
	for len(records) > 0 {
		n := 0
		for n < len(records) {
			length, w := binary.Uvarint(records[n:])
			if w <= 0 || uint64(len(records)-n-w) < length {
				return errors.New("no records")
			}
			if step := w + int(length); n == 0 || n+step <= MaxFrameSize {
				n += step
				continue
			}
			break
		}
		text := appendFrame(make([]byte, 0, frameOverhead+n), *frames, records[:n])
		w, err := to.Write(text)
		*size += int64(w)
		if err != nil {
			return err
		}
		*frames++
		records = records[n:]
	}
	return nil
}

// SnapshotWriter is a whole that is being written, step by step, while records go into the segment beside it.
type SnapshotWriter struct {
	j      *Log
	number uint64
	file   vfs.File
	frames uint64
	size   int64
}

// BeginSnapshot begins a whole: from here on records go into a new segment, and the whole has to hold all that was told before;
// it may hold some of what comes after. While the disk is down this is the way up again.
func (j *Log) BeginSnapshot() (*SnapshotWriter, error) {
	if j.snapshot != nil {
		j.snapshot.Abort()
	}
	if err := j.startSegment(); err != nil {
		return nil, err
	}
	w := &SnapshotWriter{j: j, number: j.current}
	file, err := j.dir.Create(snapshotName(w.number))
	if err != nil {
		return nil, err
	}
	w.file = file
	head := j.fileHeader(0)
	if _, err := file.Write(head); err != nil {
		w.Abort()
		return nil, err
	}
	w.frames, w.size = 1, int64(len(head))
	j.snapshot = w
	return w, nil
}

// Append adds records.
func (w *SnapshotWriter) Append(records []byte) error {
	return w.j.write(w.file, &w.frames, &w.size, records)
}

// Size is what was written so far, in bytes.
func (w *SnapshotWriter) Size() int64 { return w.size }

// Abort lets it go; the files before it stay.
func (w *SnapshotWriter) Abort() {
	if w.file != nil {
		w.file.Close()
		w.file = nil
		w.j.dir.Remove(snapshotName(w.number))
	}
	if w.j.snapshot == w {
		w.j.snapshot = nil
	}
}

// Commit ends it: the files that it takes the place of are removed, damaged ones put aside.
func (w *SnapshotWriter) Commit() error {
	err := w.Append(AppendRecord(nil, kindEnd, nil))
	if err == nil {
		err = w.file.Sync()
	}
	if err == nil {
		err = w.j.dir.Sync()
	}
	if err != nil {
		w.Abort()
		return err
	}
	w.file.Close()
	w.file, w.j.snapshot = nil, nil
	names, err := w.j.dir.List()
	for _, name := range names {
		switch n, _, ok := parseName(name); {
		case !ok || n >= w.number:
		case slices.Contains(w.j.damaged, name):
			w.j.dir.Rename(name, name+".damaged")
		default:
			w.j.dir.Remove(name)
		}
	}
	w.j.damaged = nil
	w.j.dir.Sync()
	return err
}

// Close ends a life in order, once all is written.
func (j *Log) Close() error {
	if j.snapshot != nil {
		j.snapshot.Abort()
	}
	err := j.Append(AppendRecord(nil, kindCleanShutdown, nil), true)
	if j.file != nil {
		j.file.Close()
	}
	return err
}
