package wal

import (
	"errors"

	"copperrock.example/copperrock/internal/storage/recordfile"
)

// The errors of a log. Errors about one file are also a recordfile.FileError.
var (
	// ErrWrongIdentity reports that the files belong to another controller.
	ErrWrongIdentity error = recordfile.Errorf(recordfile.ErrWrongIdentity, "the store is another controller's")
	// ErrNewerFormat reports that the files have a format version that this program does not know.
	ErrNewerFormat error = recordfile.Errorf(recordfile.ErrNewerFormat, "the store is of a format that this program does not know")
	// ErrUnavailable reports that the disk has failed and no file can be written to. A WriteError has the cause.
	ErrUnavailable = errors.New("the store's disk rejects writes")
)

var errMalformedRecords = errors.New("malformed records")

// WriteError reports at which file the disk failed. With errors.Is it matches ErrUnavailable and its cause: a full disk is
// found with vfs.ErrDiskFull.
type WriteError struct {
	Path   string // name of the segment, in the log's directory
	Offset int64  // number of bytes written before the failure
	Err    error
}

// Error returns the text of ErrUnavailable with the cause, which names the file.
func (e *WriteError) Error() string { return ErrUnavailable.Error() + ": " + e.Err.Error() }

// Unwrap returns ErrUnavailable and the cause.
func (e *WriteError) Unwrap() []error { return []error{ErrUnavailable, e.Err} }
