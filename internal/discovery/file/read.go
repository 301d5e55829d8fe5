package file

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"

	"copperrock.example/copperrock/internal/discovery"
)

// read reads the file, no further than one byte past the bound. It never waits on what is not a regular file.
func (s *Source) read() discovery.Content {
	text, err := readRegular(s.Tracker.File, s.Tracker.Bounds.MaxBytes)
	if err != nil {
		return discovery.Content{Problem: err.Error()}
	}
	return discovery.Content{Text: text}
}

// readRegular reads a regular file of a bounded size. Its errors do not name the path.
func readRegular(path string, maxBytes int) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, unreadable(err)
	}
	if !info.Mode().IsRegular() {
		return nil, notRegular(info.Mode())
	}
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, unreadable(err)
	}
	defer func() { _ = f.Close() }() // nothing was written
	if info, err = f.Stat(); err != nil {
		return nil, unreadable(err)
	}
	if !info.Mode().IsRegular() { // replaced since the first look
		return nil, notRegular(info.Mode())
	}
	if info.Size() > int64(maxBytes) {
		return nil, tooLarge(maxBytes)
	}
	text, err := io.ReadAll(io.LimitReader(f, int64(maxBytes)+1))
	if err != nil {
		return nil, unreadable(err)
	}
	if len(text) > maxBytes { // grown since
		return nil, tooLarge(maxBytes)
	}
	return text, nil
}

func unreadable(err error) error { return fmt.Errorf("can't be read: %w", withoutPath(err)) }

func tooLarge(maxBytes int) error { return fmt.Errorf("is over %d bytes", maxBytes) }

func notRegular(mode fs.FileMode) error { return fmt.Errorf("is a %s, not a file", fileKind(mode)) }

func fileKind(mode fs.FileMode) string {
	switch {
	case mode.IsDir():
		return "folder"
	case mode&fs.ModeNamedPipe != 0:
		return "pipe"
	case mode&fs.ModeSocket != 0:
		return "socket"
	}
	return "device"
}

// withoutPath is the system's error without the path, which the tracker's errors begin with.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
