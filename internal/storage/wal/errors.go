package wal

import (
	"errors"

	"copperrock.example/copperrock/internal/storage/recordfile"
)

// What may be wrong with a log. Errors that concern one file are a recordfile.FileError.
var (
	// ErrWrongIdentity says that the files belong to another controller.
	ErrWrongIdentity error = recordfile.Errorf(recordfile.ErrWrongIdentity, "the store is another controller's")
	// ErrNewerFormat says that the files are of a format version that this program does not know.
	ErrNewerFormat error = recordfile.Errorf(recordfile.ErrNewerFormat, "the store is of a format that this program does not know")
	// ErrUnavailable says that the disk has failed and no file can be written to; a WriteError has the cause.
	ErrUnavailable = errors.New("the store's disk rejects writes")
)

var errMalformedRecords = errors.New("no records")

// WriteError says at which file the disk failed. It is ErrUnavailable and its cause for errors.Is, so a full disk is
// found with vfs.ErrDiskFull.
type WriteError struct {
	Path   string // of the segment, in the log's directory
	Offset int64  // how many bytes of it were written before
	Err    error
}

// Error has the cause, which names the file.
func (e *WriteError) Error() string { return ErrUnavailable.Error() + ": " + e.Err.Error() }

// Unwrap gives the sentinel and the cause.
func (e *WriteError) Unwrap() []error { return []error{ErrUnavailable, e.Err} }
