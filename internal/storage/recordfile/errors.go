package recordfile

import (
	"errors"
	"fmt"
)

// The kinds of fault that both logs know. A FileError of either log is one of them for errors.Is, beside the log's own
// sentinel.
var (
	// ErrDamaged says that records are lost which may have been acted on.
	ErrDamaged = errors.New("the file is damaged")
	// ErrTorn says that a file ends within a record that was being written; nothing was acted on that rests on it.
	ErrTorn = errors.New("the file ends within a record")
	// ErrWrongIdentity says that a file belongs to another owner.
	ErrWrongIdentity = errors.New("the file belongs to another owner")
	// ErrNewerFormat says that a file is of a format version that this program does not know.
	ErrNewerFormat = errors.New("the file is of a newer format")
)

// FileError is a fault found in a file: which file, how far the file is complete, and what is wrong there.
type FileError struct {
	Path   string // of the file; empty while it is not known
	Offset int64  // where the fault begins, in bytes
	Err    error  // what is wrong; its text says so in full
}

// Error names the file and the fault. The offset is part of the fault's text where that is of use.
func (e *FileError) Error() string {
	if e.Path == "" {
		return e.Err.Error()
	}
	return e.Path + ": " + e.Err.Error()
}

// Unwrap gives the fault itself.
func (e *FileError) Unwrap() error { return e.Err }

// InFile puts the name of the file to an error that was found in it.
func InFile(path string, err error) error {
	var fault *FileError
	if errors.As(err, &fault) && fault.Path == "" {
		return &FileError{Path: path, Offset: fault.Offset, Err: err}
	}
	return fmt.Errorf("%s: %w", path, err)
}

// KindError is an error with a text of its own that belongs to a kind: errors.Is finds the kind.
type KindError struct {
	Kind error
	Text string
}

// Errorf makes a KindError.
func Errorf(kind error, format string, arguments ...any) *KindError {
	return &KindError{Kind: kind, Text: fmt.Sprintf(format, arguments...)}
}

// Error is the text alone.
func (e *KindError) Error() string { return e.Text }

// Unwrap gives the kind.
func (e *KindError) Unwrap() error { return e.Kind }
