package raftlog

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// ErrHeld tells that a live process has the votes.
var ErrHeld = errors.New("another process has these votes")

// hold locks a file for this process; the lock goes with the process.
func hold(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%w (%s: %w)", ErrHeld, path, err)
	}
	return f, nil
}
