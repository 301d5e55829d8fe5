package raftlog

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// ErrLocked tells that a live process has the votes.
var ErrLocked = errors.New("another process has these votes")

// lockFile locks a file for this process; the lock goes with the process.
func lockFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%w (%s: %w)", ErrLocked, path, err)
	}
	return f, nil
}
