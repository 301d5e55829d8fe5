package vfs

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// ErrLocked says that a live process has the file or directory.
var ErrLocked = errors.New("another process has it open")

// LockError says why a file could not be locked. It is ErrLocked where another process has it.
type LockError struct {
	Path string
	Err  error // as the operating system told it
}

// Error names the file that was to be locked.
func (e *LockError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap gives the cause.
func (e *LockError) Unwrap() error { return e.Err }

// Is reports whether another process has the file.
func (e *LockError) Is(target error) bool {
	return target == ErrLocked && errors.Is(e.Err, unix.EWOULDBLOCK)
}

// LockFile locks a file, made if need be, for this process: until it is closed, or the process ends. A lock that can't be
// had is a LockError.
func LockFile(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close() // nothing was written to it
		return nil, &LockError{Path: path, Err: err}
	}
	return file, nil
}
