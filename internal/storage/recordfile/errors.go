package recordfile

import (
	"errors"
	"fmt"
)

// The kinds of fault that both logs report. With errors.Is, a FileError of either log matches one of them as well as the
// log's own sentinel.
var (
	// ErrDamaged reports that records are lost which may have been acted on.
	ErrDamaged = errors.New("the file is damaged")
	// ErrTorn reports that a file ends within a record that was being written; nothing that depends on it was acted on.
	ErrTorn = errors.New("the file ends within a record")
	// ErrWrongIdentity reports that a file belongs to another owner.
	ErrWrongIdentity = errors.New("the file belongs to another owner")
	// ErrNewerFormat reports that a file has a format version that this program does not know.
	ErrNewerFormat = errors.New("the file has a newer format version")
)

// FileError is a fault in a file, with its position.
type FileError struct {
	Path   string // path of the file; empty until InFile adds it
	Offset int64  // start of the fault, in bytes
	Err    error  // the fault, with a complete message
}

// Error returns the path and the message of the fault. The message contains the offset if that helps.
func (e *FileError) Error() string {
	if e.Path == "" {
		return e.Err.Error()
	}
	return e.Path + ": " + e.Err.Error()
}

// Unwrap returns the fault.
func (e *FileError) Unwrap() error { return e.Err }

// InFile adds the path of a file to an error that was found in it.
func InFile(path string, err error) error {
	var fault *FileError
	if errors.As(err, &fault) && fault.Path == "" {
		return &FileError{Path: path, Offset: fault.Offset, Err: err}
	}
	return fmt.Errorf("%s: %w", path, err)
}

// KindError is an error of a kind, which errors.Is finds, with a message of its own.
type KindError struct {
	Kind error
	Text string
}

// Errorf returns a KindError with a formatted message.
func Errorf(kind error, format string, arguments ...any) *KindError {
	return &KindError{Kind: kind, Text: fmt.Sprintf(format, arguments...)}
}

// Error returns the message without that of the kind.
func (e *KindError) Error() string { return e.Text }

// Unwrap returns the kind.
func (e *KindError) Unwrap() error { return e.Kind }
