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

// format is that of the files: 01 is the first.
const format = 1

const (
	magic    = "CRSTOR"   // and two digits: the format
	mark     = 0xc0b7a11e // opens each frame, so that one behind a damaged one can be found
	overhead = 4 + 4 + 8 + 4
	// MostFrame bounds a frame; a batch that is larger goes in several.
	MostFrame = 16 << 20
	// MostRecord bounds a record.
	MostRecord = 4 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Identity says whose store it is.
type Identity struct{ Name string }

var (
	// ErrAnother tells that the files are another controller's.
	ErrAnother = errors.New("the store is another controller's")
	// ErrNewer tells that they are of a format that this program does not know.
	ErrNewer = errors.New("the store is of a format that this program does not know")
	// ErrDown tells that the disk has failed and no file can be written to.
	ErrDown = errors.New("the store's disk does not take records")
)

// Found is what an opening found.
type Found struct {
	Records int
	Bytes   int64
	Torn    int64    // bytes of writes that had failed or not ended, passed over; nothing that was waited for can be in them
	Damaged []string // what is lost, and where it is kept aside; what was acted on may be in it
	Clean   bool     // the last life ended in order, and nothing came after
}

// Journal is the open files.
type Journal struct {
	folder  vfs.Folder
	who     Identity
	number  uint64 // of the segment that is written to, or was tried last
	last    uint64 // of the last one that was begun
	file    vfs.File
	size    int64
	frames  uint64
	down    error
	writing *Whole
	aside   []string // damaged files, to be put aside once a whole has taken their place
}

func segmentName(n uint64) string { return fmt.Sprintf("%016x.log", n) }
func wholeName(n uint64) string   { return fmt.Sprintf("%016x.whole", n) }

// numberOf reads a name.
func numberOf(name string) (n uint64, whole, ok bool) {
	text, ending, _ := strings.Cut(name, ".")
	n, err := strconv.ParseUint(text, 16, 64)
	return n, ending == "whole", err == nil && len(text) == 16 && (ending == "log" || ending == "whole")
}

// frame puts records into a frame.
func frame(b []byte, number uint64, records []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, mark)
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	b = binary.BigEndian.AppendUint64(b, number)
	sum := crc32.Update(crc32.Checksum(b[at+4:], table), table, records)
	b = binary.BigEndian.AppendUint32(b, sum)
	return append(b, records...)
}

// unframe reads the frame at the start of b; false where there is none that is whole.
func unframe(b []byte) (number uint64, records []byte, ok bool) {
	if len(b) < overhead || binary.BigEndian.Uint32(b) != mark {
		return 0, nil, false
	}
	n := int64(binary.BigEndian.Uint32(b[4:]))
	if n > MostFrame || int64(len(b)) < overhead+n {
		return 0, nil, false
	}
	records = b[overhead : overhead+n]
	sum := crc32.Update(crc32.Checksum(b[4:16], table), table, records)
	if sum != binary.BigEndian.Uint32(b[16:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(b[8:]), records, true
}

// Record puts a record behind others.
func Record(b []byte, kind byte, body []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(body)+1))
	return append(append(b, kind), body...)
}

// The kinds of record that the journal has for itself; those of its user begin above them.
const (
	identity byte = iota
	ended         // of a whole, and of a segment that another follows: all of it stands before
	clean         // a life ended in order
	follows       // of a segment: the number of the one before, 0 for none
	FirstKind
)

// head opens a file; before is the number of the segment before a segment.
func (j *Journal) head(before uint64) []byte {
	b := fmt.Appendf(nil, "%s%02d", magic, format)
	records := Record(nil, identity, []byte(j.who.Name))
	return frame(b, 0, Record(records, follows, binary.BigEndian.AppendUint64(nil, before)))
}

// look reads a file: its records go to each, up to the first frame that is not whole. good is how far that is; more tells
// that a whole frame stands behind it.
func look(text []byte, who *Identity, each func(kind byte, body []byte) error) (good int64, more bool, err error) {
	if len(text) < len(magic)+2 {
		return 0, false, nil
	}
	digits := string(text[len(magic) : len(magic)+2])
	n, bad := strconv.Atoi(digits)
	switch {
	case string(text[:len(magic)]) != magic || bad != nil:
		_, more = next(text)
		return 0, more, nil
	case n > format:
		return 0, false, fmt.Errorf("%w: %d, this program writes %d", ErrNewer, n, format)
	}
	at := len(magic) + 2
	for frames := uint64(0); ; frames++ {
		number, records, ok := unframe(text[at:])
		if !ok || number != frames {
			_, more = next(text[at:])
			return int64(at), more, nil
		}
		for len(records) > 0 {
			size, n := binary.Uvarint(records)
			if n <= 0 || size == 0 || size > MostRecord || uint64(len(records)-n) < size {
				return int64(at), true, nil // whole and yet no records: written wrong
			}
			body := records[n : n+int(size)]
			records = records[n+int(size):]
			if body[0] == identity {
				if who.Name != "" && who.Name != string(body[1:]) {
					return 0, false, fmt.Errorf("%w: %q, not %q", ErrAnother, body[1:], who.Name)
				}
				who.Name = string(body[1:])
			} else if err := each(body[0], body[1:]); err != nil {
				return 0, false, err
			}
		}
		at += overhead + int(binary.BigEndian.Uint32(text[at+4:]))
	}
}

// next finds a whole frame anywhere behind the first byte.
func next(b []byte) (at int, there bool) {
	for at = 1; at+overhead <= len(b); at++ {
		if binary.BigEndian.Uint32(b[at:]) == mark {
			if _, _, ok := unframe(b[at:]); ok {
				return at, true
			}
		}
	}
	return 0, false
}

// Read reads all files without changing any: each hears every record, in order, those of a whole first. The body is its
// own only during the call. who is filled in where it is blank.
func Read(folder vfs.Folder, who *Identity, each func(kind byte, body []byte) error) (found Found, err error) {
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

func read(folder vfs.Folder, who *Identity, each func(kind byte, body []byte) error) (l layout, found Found, err error) {
	names, err := folder.List()
	if err != nil {
		return l, found, err
	}
	var segments, wholes []uint64
	for _, name := range names {
		n, whole, ok := numberOf(name)
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
		text, err := folder.Read(wholeName(n))
		if err != nil {
			return l, found, err
		}
		complete := false
		good, _, err := look(text, who, func(kind byte, _ []byte) error { complete = kind == ended; return nil })
		if err != nil {
			return l, found, fmt.Errorf("%s: %w", wholeName(n), err)
		}
		if complete && good == int64(len(text)) {
			l.base = n
			break
		}
		if !slices.ContainsFunc(segments, func(s uint64) bool { return s < n }) && n > 1 {
			lose(wholeName(n), fmt.Sprintf("broken at byte %d of %d, and what it was made of is gone", good, len(text)))
			l.base = n
			break
		}
	}
	before := uint64(0)
	count := func(kind byte, body []byte) error {
		if kind == follows && len(body) == 8 {
			before = binary.BigEndian.Uint64(body)
			return nil
		}
		found.Clean = kind == clean
		if kind < FirstKind {
			return nil
		}
		found.Records++
		return each(kind, body)
	}
	if l.base > 0 {
		text, err := folder.Read(wholeName(l.base))
		if err != nil {
			return l, found, err
		}
		if _, _, err := look(text, who, count); err != nil {
			return l, found, fmt.Errorf("%s: %w", wholeName(l.base), err)
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
		good, more, err := look(text, who, count)
		if err != nil {
			return l, found, fmt.Errorf("%s: %w", segmentName(n), err)
		}
		if before >= max(l.base, 1) && !slices.Contains(segments, before) {
			lose(segmentName(before), "is missing")
		}
		found.Bytes += good
		l.before, l.last, l.size, l.cut = l.last, n, int64(len(text)), good
		for at := int64(len(magic) + 2); at < good; at += overhead + int64(binary.BigEndian.Uint32(text[at+4:])) {
			frames++
		}
		l.frames = frames
		switch last := i == len(segments)-1; {
		case good == int64(len(text)):
		case more:
			lose(segmentName(n), fmt.Sprintf("broken at byte %d of %d", good, len(text)))
		default: // a write that failed, or had not ended: nothing waited for it
			found.Torn += int64(len(text)) - good
			found.Clean = found.Clean && last
		}
	}
	return l, found, nil
}

// Open reads all files as Read does, cuts off what is torn and makes the last segment ready to be written to. Where
// something is damaged a whole has to be written before anything else: Damaged says so, and Begin makes it.
func Open(folder vfs.Folder, who Identity, each func(kind byte, body []byte) error) (*Journal, Found, error) {
	named := who
	l, found, err := read(folder, &named, each)
	if err != nil {
		return nil, found, err
	}
	j := &Journal{folder: folder, who: who, number: l.last, last: l.last, down: ErrDown, aside: l.damaged}
	// What was read may be in the machine's memory alone, where only the process had ended. Nothing older goes before it is
	// on the disk.
	if l.base > 0 && j.settle(wholeName(l.base), l.whole) != nil {
		return j, found, nil // down: nothing is removed, and it is tried again
	}
	for _, name := range l.files { // what a whole took in, and wholes that were not ended
		n, whole, _ := numberOf(name)
		if n < l.base || whole && n != l.base && !slices.Contains(l.damaged, name) {
			folder.Remove(name)
		}
	}
	switch {
	case len(l.damaged) > 0:
		j.number = max(l.last, l.base)
		return j, found, nil
	case l.last == 0 || l.cut < int64(len(magic)+2)+overhead: // none, or one without its head
		if l.last > 0 {
			folder.Remove(segmentName(l.last))
		}
		j.number, j.last = max(l.last, l.base, 1)-1, l.before
		j.next() // down where that fails, and tried again
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
	j.down, j.size, j.frames = nil, l.cut, l.frames
	return j, found, nil
}

// settle has a file that is there on the disk, with its name.
func (j *Journal) settle(name string, size int64) error {
	f, err := j.folder.Append(name, size)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return err
	}
	return j.folder.Sync()
}

// next begins the next segment.
func (j *Journal) next() error {
	fail := func(err error) error {
		j.down = fmt.Errorf("%w: %w", ErrDown, err)
		return j.down
	}
	if j.file != nil { // its end says so, so that what is broken before it is no write that had not ended
		if j.down == nil && j.write(j.file, &j.frames, &j.size, Record(nil, ended, nil)) == nil {
			j.file.Sync()
		}
		j.file.Close()
		j.file = nil
	}
	j.number++
	file, err := j.folder.Create(segmentName(j.number))
	if err != nil {
		return fail(err)
	}
	head := j.head(j.last)
	if _, err = file.Write(head); err == nil {
		if err = file.Sync(); err == nil {
			err = j.folder.Sync()
		}
	}
	if err != nil {
		file.Close()
		j.folder.Remove(segmentName(j.number)) // so that it does not stand there as a torn one before later ones
		return fail(err)
	}
	j.file, j.size, j.frames, j.down, j.last = file, int64(len(head)), 1, nil, j.number
	return nil
}

// Down tells why nothing can be written, nil while it can.
func (j *Journal) Down() error { return j.down }

// Size is that of the segment that is written to, in bytes.
func (j *Journal) Size() int64 { return j.size }

// Write writes records, in frames, and with sync has them on the disk when it returns. After an error nothing more is
// written until a whole has been: what of the records is on the disk is not known.
func (j *Journal) Write(records []byte, sync bool) error {
	if j.down != nil {
		return j.down
	}
	err := j.write(j.file, &j.frames, &j.size, records)
	if err == nil && sync {
		err = j.file.Sync()
	}
	if err != nil {
		j.file.Close()
		j.file = nil
		j.down = fmt.Errorf("%w: %w", ErrDown, err)
	}
	return j.down
}

// write writes records to a file, cut into frames between records.
func (j *Journal) write(to vfs.File, frames *uint64, size *int64, records []byte) error {
	for len(records) > 0 {
		n := 0
		for n < len(records) {
			length, w := binary.Uvarint(records[n:])
			if w <= 0 || uint64(len(records)-n-w) < length {
				return errors.New("no records")
			}
			if step := w + int(length); n == 0 || n+step <= MostFrame {
				n += step
				continue
			}
			break
		}
		text := frame(make([]byte, 0, overhead+n), *frames, records[:n])
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

// Whole is a whole that is being written, step by step, while records go into the segment beside it.
type Whole struct {
	j      *Journal
	number uint64
	file   vfs.File
	frames uint64
	size   int64
}

// Begin begins a whole: from here on records go into a new segment, and the whole has to hold all that was told before;
// it may hold some of what comes after. While the disk is down this is the way up again.
func (j *Journal) Begin() (*Whole, error) {
	if j.writing != nil {
		j.writing.Abandon()
	}
	if err := j.next(); err != nil {
		return nil, err
	}
	w := &Whole{j: j, number: j.number}
	file, err := j.folder.Create(wholeName(w.number))
	if err != nil {
		return nil, err
	}
	w.file = file
	head := j.head(0)
	if _, err := file.Write(head); err != nil {
		w.Abandon()
		return nil, err
	}
	w.frames, w.size = 1, int64(len(head))
	j.writing = w
	return w, nil
}

// Put adds records.
func (w *Whole) Put(records []byte) error { return w.j.write(w.file, &w.frames, &w.size, records) }

// Size is what was written so far, in bytes.
func (w *Whole) Size() int64 { return w.size }

// Abandon lets it go; the files before it stay.
func (w *Whole) Abandon() {
	if w.file != nil {
		w.file.Close()
		w.file = nil
		w.j.folder.Remove(wholeName(w.number))
	}
	if w.j.writing == w {
		w.j.writing = nil
	}
}

// End ends it: the files that it takes the place of are removed, damaged ones put aside.
func (w *Whole) End() error {
	err := w.Put(Record(nil, ended, nil))
	if err == nil {
		err = w.file.Sync()
	}
	if err == nil {
		err = w.j.folder.Sync()
	}
	if err != nil {
		w.Abandon()
		return err
	}
	w.file.Close()
	w.file, w.j.writing = nil, nil
	names, err := w.j.folder.List()
	for _, name := range names {
		switch n, _, ok := numberOf(name); {
		case !ok || n >= w.number:
		case slices.Contains(w.j.aside, name):
			w.j.folder.Rename(name, name+".damaged")
		default:
			w.j.folder.Remove(name)
		}
	}
	w.j.aside = nil
	w.j.folder.Sync()
	return err
}

// End ends a life in order, once all is written.
func (j *Journal) End() error {
	if j.writing != nil {
		j.writing.Abandon()
	}
	err := j.Write(Record(nil, clean, nil), true)
	if j.file != nil {
		j.file.Close()
	}
	return err
}
