package vfs

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// lockName is the file that is locked by the process that has the directory open.
const lockName = "lock"

// WrapFile wraps each file that is opened for writing, unless it is nil. It is for tests, which set it before any directory
// is opened.
var WrapFile func(path string, file File) File

// osDir is a directory of the operating system. It belongs to its opener until Close.
type osDir struct {
	path string
	lock *os.File // nil if the directory is shared or read-only
}

// Open creates the directory if necessary and locks it for this process. If readOnly is set, it does neither.
func Open(path string, readOnly bool) (Dir, error) {
	if readOnly {
		_, err := os.Stat(path)
		return &osDir{path: path}, err
	}
	if err := makeDir(path); err != nil {
		return nil, err
	}
	lock, err := LockFile(filepath.Join(path, lockName))
	if err != nil {
		return nil, openError(path, err)
	}
	return &osDir{path: path, lock: lock}, nil
}

// OpenShared opens a directory that may hold files of others, without locking it. If create is set, it creates the directory
// if necessary.
func OpenShared(path string, create bool) (Dir, error) {
	if !create {
		return Open(path, true)
	}
	return &osDir{path: path}, makeDir(path)
}

// makeDir creates a directory and its missing parents, and syncs the parent of each new one: if the name of a directory is
// lost in a crash, synced files in it are lost too.
func makeDir(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := makeDir(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return (&osDir{path: parent}).Sync()
}

// openError replaces the path of the lock file in an error by that of the directory.
func openError(path string, err error) error {
	var locked *LockError
	switch {
	case errors.Is(err, ErrLocked):
		return fmt.Errorf("%s: %w", path, ErrLocked)
	case errors.As(err, &locked):
		return fmt.Errorf("%s: %w", path, locked.Err)
	}
	return err
}

func (d *osDir) join(name string) string { return filepath.Join(d.path, name) }

func (d *osDir) List() (names []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, entry := range entries {
		hidden := strings.HasPrefix(entry.Name(), ".")
		if entry.Type().IsRegular() && entry.Name() != lockName && !hidden {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

func (d *osDir) Read(name string) ([]byte, error) { return os.ReadFile(d.join(name)) }

func (d *osDir) Create(name string) (File, error) {
	file, err := os.OpenFile(d.join(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return d.wrap(file), nil
}

func (d *osDir) Append(name string, size int64) (File, error) {
	file, err := os.OpenFile(d.join(name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		_ = file.Close() // nothing was written to it
		return nil, err
	}
	return d.wrap(file), nil
}

// wrap applies WrapFile, with the path of the directory.
func (d *osDir) wrap(file *os.File) File {
	if WrapFile == nil {
		return file
	}
	return WrapFile(d.path, file)
}

func (d *osDir) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

func (d *osDir) Remove(name string) error {
	if err := os.Remove(d.join(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (d *osDir) Sync() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // it was opened only for reading
	return dir.Sync()
}

func (d *osDir) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}
