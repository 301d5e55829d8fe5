package vfs

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// ErrLocked reports that another process has the file or directory open.
var ErrLocked = errors.New("another process has it open")

// LockError is the reason why a file could not be locked. It matches ErrLocked if another process holds the lock.
type LockError struct {
	Path string
	Err  error // as returned by the operating system
}

// Error returns the path and the cause.
func (e *LockError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *LockError) Unwrap() error { return e.Err }

// Is reports whether the target is ErrLocked and another process holds the lock.
func (e *LockError) Is(target error) bool {
	return target == ErrLocked && errors.Is(e.Err, unix.EWOULDBLOCK)
}

// LockFile opens a file, creating it if necessary, and locks it for this process until the file is closed or the process
// exits. If the lock can't be acquired, the error is a LockError.
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
