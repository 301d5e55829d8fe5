package wal

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"copperrock.example/copperrock/internal/storage/recordfile"
)

// The layout of a file: a header of magic word and version, then frames. A frame consists of a marker, the length of its
// records, its number in the file, a checksum, and the records.
const (
	magic         = "CRSTOR"
	formatVersion = 1
	headerSize    = len(magic) + recordfile.VersionDigits

	frameMarker   = 0xc0b7a11e // starts each frame, so that frames behind a damaged one can be found
	lengthOffset  = 4
	numberOffset  = lengthOffset + 4
	sumOffset     = numberOffset + 8
	frameOverhead = sumOffset + 4

	// MaxFrameSize bounds the records of a frame in bytes. A larger batch is split into several frames.
	MaxFrameSize = 16 << 20
	// MaxRecordSize bounds a record in bytes.
	MaxRecordSize = 4 << 20
)

// The kinds of record that the log itself uses. The kinds of its user start at FirstUserKind.
const (
	kindIdentity      byte = iota // the owner of the log
	kindEnd                       // the last record of a snapshot, and of a segment that is followed by another
	kindCleanShutdown             // the process has shut down cleanly
	kindPrevious                  // in a segment: the number of the previous segment, 0 for none
	// FirstUserKind is the first kind for records of the log's user.
	FirstUserKind
)

// The endings of file names. A name is a number in hexadecimal, followed by one of them.
const (
	segmentEnding  = "log"
	snapshotEnding = "whole"
	damagedEnding  = ".damaged" // appended to the name of a damaged file that was renamed
	numberDigits   = 16
)

// Identity is the owner of a log.
type Identity struct{ Name string }

func segmentName(number uint64) string  { return fmt.Sprintf("%016x.%s", number, segmentEnding) }
func snapshotName(number uint64) string { return fmt.Sprintf("%016x.%s", number, snapshotEnding) }

// parseName parses a file name; ok is false if it is not a name of a log file.
func parseName(name string) (number uint64, snapshot, ok bool) {
	digits, ending, _ := strings.Cut(name, ".")
	number, err := strconv.ParseUint(digits, 16, 64)
	ok = err == nil && len(digits) == numberDigits && (ending == segmentEnding || ending == snapshotEnding)
	return number, ending == snapshotEnding, ok
}

// AppendRecord appends a record in the encoding that Log.Append expects.
func AppendRecord(records []byte, kind byte, body []byte) []byte {
	records = binary.AppendUvarint(records, uint64(len(body)+1))
	return append(append(records, kind), body...)
}

// fileHeader returns the start of a file with its first frame. For a segment, previous is the number of the previous segment.
func fileHeader(owner Identity, previous uint64) []byte {
	header := fmt.Appendf(nil, "%s%02d", magic, formatVersion)
	records := AppendRecord(nil, kindIdentity, []byte(owner.Name))
	records = AppendRecord(records, kindPrevious, binary.BigEndian.AppendUint64(nil, previous))
	return appendFrame(header, 0, records)
}

// appendFrame appends a frame with the given records.
func appendFrame(buffer []byte, number uint64, records []byte) []byte {
	start := len(buffer)
	buffer = binary.BigEndian.AppendUint32(buffer, frameMarker)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(records)))
	buffer = binary.BigEndian.AppendUint64(buffer, number)
	sum := recordfile.Checksum(buffer[start+lengthOffset:], records)
	buffer = binary.BigEndian.AppendUint32(buffer, sum)
	return append(buffer, records...)
}

// decodeFrame decodes the frame at the start of content; ok is false if there is no complete frame.
func decodeFrame(content []byte) (number uint64, records []byte, ok bool) {
	if len(content) < frameOverhead || binary.BigEndian.Uint32(content) != frameMarker {
		return 0, nil, false
	}
	length := int64(binary.BigEndian.Uint32(content[lengthOffset:]))
	if length > MaxFrameSize || int64(len(content)) < frameOverhead+length {
		return 0, nil, false
	}
	records = content[frameOverhead : frameOverhead+length]
	sum := recordfile.Checksum(content[lengthOffset:sumOffset], records)
	if sum != binary.BigEndian.Uint32(content[sumOffset:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(content[numberOffset:]), records, true
}

// completeFrameFollows reports whether a complete frame begins anywhere behind the first byte.
func completeFrameFollows(rest []byte) bool {
	return recordfile.CompleteFollows(rest, frameOverhead, func(candidate []byte) bool {
		if binary.BigEndian.Uint32(candidate) != frameMarker {
			return false
		}
		_, _, ok := decodeFrame(candidate)
		return ok
	})
}

// nextRecord splits off the first record; ok is false if there is no valid one.
func nextRecord(records []byte) (kind byte, body, rest []byte, ok bool) {
	size, prefix := binary.Uvarint(records)
	if prefix <= 0 || size == 0 || size > MaxRecordSize || uint64(len(records)-prefix) < size {
		return 0, nil, nil, false
	}
	end := prefix + int(size)
	return records[prefix], records[prefix+1 : end], records[end:], true
}
