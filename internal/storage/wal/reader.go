package wal

import (
	"fmt"
	"strconv"

	"copperrock.example/copperrock/internal/storage/recordfile"
)

// Visitor is called with each record of the user's kinds, in order. The body is valid only during the call. An error ends the
// replay.
type Visitor func(kind byte, body []byte) error

// fileEnd describes how far a file could be read.
type fileEnd struct {
	complete int64  // size up to the first incomplete frame, in bytes
	frames   uint64 // number of complete frames
	damaged  bool   // a complete frame follows the incomplete one: data is lost, not torn
}

// decodeFile calls visit with the records of a file, up to the first incomplete frame. The identity in the file must be that
// of the owner; a blank owner is filled in.
func decodeFile(content []byte, owner *Identity, visit Visitor) (fileEnd, error) {
	if len(content) < headerSize {
		return fileEnd{}, nil
	}
	known, err := checkVersion(content)
	if err != nil {
		return fileEnd{}, err
	}
	if !known {
		return fileEnd{damaged: completeFrameFollows(content)}, nil
	}
	end := fileEnd{complete: int64(headerSize)}
	for {
		rest := content[end.complete:]
		number, records, ok := decodeFrame(rest)
		if !ok || number != end.frames {
			end.damaged = completeFrameFollows(rest)
			return end, nil
		}
		valid, err := visitRecords(records, owner, end.complete, visit)
		if err != nil {
			return fileEnd{}, err
		}
		if !valid { // a complete frame with malformed records: it was written wrongly
			end.damaged = true
			return end, nil
		}
		end.complete += int64(frameOverhead + len(records))
		end.frames++
	}
}

// checkVersion reports whether the file begins with a header of this format. A newer version is an error.
func checkVersion(content []byte) (known bool, err error) {
	digits, ok := recordfile.Version(content, magic)
	if !ok {
		return false, nil
	}
	version, err := strconv.Atoi(digits)
	if err != nil {
		return false, nil //nolint:nilerr // not a number: the header is damaged, as with a wrong magic word
	}
	if version > formatVersion {
		fault := fmt.Errorf("%w: %d, this program writes %d", ErrNewerFormat, version, formatVersion)
		return false, &recordfile.FileError{Offset: int64(len(magic)), Err: fault}
	}
	return true, nil
}

// visitRecords calls visit with the records of the frame at an offset of a file; valid is false if one of them is malformed.
func visitRecords(records []byte, owner *Identity, offset int64, visit Visitor) (valid bool, err error) {
	for len(records) > 0 {
		kind, body, rest, ok := nextRecord(records)
		if !ok {
			return false, nil
		}
		records = rest
		if kind != kindIdentity {
			if err := visit(kind, body); err != nil {
				return false, err
			}
			continue
		}
		if owner.Name != "" && owner.Name != string(body) {
			fault := fmt.Errorf("%w: %q, not %q", ErrWrongIdentity, body, owner.Name)
			return false, &recordfile.FileError{Offset: offset, Err: fault}
		}
		owner.Name = string(body)
	}
	return true, nil
}
