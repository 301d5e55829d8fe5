// Package vfs is what the store needs of a file system: files that are appended to, synced, renamed and removed, in one
// folder. The real one is the machine's; tests put one in its place that forgets what was not synced.
package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/sys/unix"
)

// File is an open file. What was written is surely there after a crash of the machine only once Sync has returned nil; a
// Sync that failed tells nothing of what is on the disk, and the file is not written to again.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a folder of files, by their names.
type Dir interface {
	List() (names []string, err error) // sorted
	Read(name string) ([]byte, error)
	Create(name string) (File, error)           // new, to be appended to; it must not be there
	Append(name string, at int64) (File, error) // cut to a size, to be appended to
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // names that were created, renamed and removed
	Close() error
}

// ErrLocked says that a live process has the directory open.
var ErrLocked = errors.New("another process has it open")

// ErrDiskFull says that there was no space left for a write; the error that was returned has the path.
var ErrDiskFull error = unix.ENOSPC

// WrapFile, where set, stands between files and the disk. It is set before any folder is opened.
var WrapFile func(path string, to File) File

// wrap puts it in between.
func wrap(path string, f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	if WrapFile != nil {
		return WrapFile(path, f), nil
	}
	return f, nil
}

// Open makes the folder if need be and locks it for this process. For reading alone it is neither made nor locked.
func Open(path string, readOnly bool) (Dir, error) {
	d := &osDir{path: path}
	if readOnly {
		_, err := os.Stat(path)
		return d, err
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", path, ErrLocked)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	d.lock = lock
	return d, nil
}

type osDir struct {
	path string
	lock *os.File
}

func (d *osDir) at(name string) string { return filepath.Join(d.path, name) }

func (d *osDir) List() (names []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != "lock" && !strings.HasPrefix(e.Name(), ".") {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

func (d *osDir) Read(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

func (d *osDir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.at(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	return wrap(d.path, f, err)
}

func (d *osDir) Append(name string, at int64) (File, error) {
	f, err := os.OpenFile(d.at(name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err == nil {
		if err = f.Truncate(at); err != nil {
			f.Close()
		}
	}
	return wrap(d.path, f, err)
}

func (d *osDir) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }

func (d *osDir) Remove(name string) error {
	if err := os.Remove(d.at(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (d *osDir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d *osDir) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}
