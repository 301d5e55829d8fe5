package wal

import (
	"fmt"
	"strconv"

	"copperrock.example/copperrock/internal/storage/recordfile"
)

// Visitor is called with each record of the user's kinds, in order. The body is valid only during the call. An error ends
// the replay.
type Visitor func(kind byte, body []byte) error

// fileEnd is how far a file could be read.
type fileEnd struct {
	complete int64  // bytes up to the first frame that is not complete
	frames   uint64 // so many are complete
	damaged  bool   // a complete frame stands behind: what is between is lost, not torn
}

// decodeFile calls visit with the records of a file, up to the first frame that is not complete. An identity in it must
// be the owner's; one that is blank is filled in.
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
		if !valid { // complete and yet no records: written wrong
			end.damaged = true
			return end, nil
		}
		end.complete += int64(frameOverhead + len(records))
		end.frames++
	}
}

// checkVersion reports whether the file begins as one of this format does; a later version is an error.
func checkVersion(content []byte) (known bool, err error) {
	digits, ok := recordfile.Version(content, magic)
	if !ok {
		return false, nil
	}
	version, err := strconv.Atoi(digits)
	if err != nil {
		return false, nil //nolint:nilerr // no number: the header is damaged, as a wrong magic word is
	}
	if version > formatVersion {
		fault := fmt.Errorf("%w: %d, this program writes %d", ErrNewerFormat, version, formatVersion)
		return false, &recordfile.FileError{Offset: int64(len(magic)), Err: fault}
	}
	return true, nil
}

// visitRecords calls visit with the records of the frame at an offset of a file; valid is false where a record is not.
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
