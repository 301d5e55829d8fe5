// Package vfs is what the store needs of a file system: files in one directory that are appended to, synced, renamed and
// removed. Open gives a directory of the machine's; harness/crashfs is one for tests that forgets what was not synced.
//
// A Dir and its files are used from one goroutine at a time.
package vfs

import (
	"io"

	"golang.org/x/sys/unix"
)

// File is an open file. What was written is surely there after a crash of the machine only once Sync has returned nil; a
// Sync that failed says nothing of what is on the disk, and the file is not written to again.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a directory of files, by their names.
type Dir interface {
	// List gives the names of all files, sorted.
	List() (names []string, err error)
	// Read reads all of a file.
	Read(name string) ([]byte, error)
	// Create makes a file to be appended to; it must not be there.
	Create(name string) (File, error)
	// Append cuts a file to a size in bytes and opens it to be appended to.
	Append(name string, size int64) (File, error)
	Rename(from, to string) error
	// Remove removes a file; one that is not there is no error.
	Remove(name string) error
	// Sync has the names that were created, renamed and removed on the disk.
	Sync() error
	// Close lets another process have the directory.
	Close() error
}

// ErrDiskFull says that there was no space left for a write; the error that was returned has the path.
var ErrDiskFull error = unix.ENOSPC
