// Package vfs is the file system interface of the store: files in one directory that are appended to, synced, renamed and
// removed. Open returns a directory of the operating system; package harness/crashfs provides one for tests that loses what
// was not synced.
//
// A Dir and its files are used from one goroutine at a time.
package vfs

import (
	"io"

	"golang.org/x/sys/unix"
)

// File is an open file. Written data is sure to survive a crash of the machine only once Sync has returned nil. After a
// failed Sync the content on disk is unknown, and the file must not be written to again.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a directory of files.
type Dir interface {
	// List returns the names of all files, sorted. A directory of the operating system leaves out its lock file and names
	// that begin with a dot.
	List() (names []string, err error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create creates a file for appending. It fails if the file exists.
	Create(name string) (File, error)
	// Append truncates a file to a size in bytes and opens it for appending.
	Append(name string, size int64) (File, error)
	Rename(from, to string) error
	// Remove removes a file. A missing file is not an error.
	Remove(name string) error
	// Sync syncs the directory, so that earlier creations, renames and removals survive a crash.
	Sync() error
	// Close releases the directory for other processes.
	Close() error
}

// ErrDiskFull reports that no space is left for a write. The returned error has the path.
var ErrDiskFull error = unix.ENOSPC
