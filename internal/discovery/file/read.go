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

// read reads the file up to its size limit. It never blocks on anything that is not a regular file, such as a pipe.
func (s *Source) read() discovery.Content {
	text, err := readRegular(s.Tracker.File, s.Tracker.Bounds.MaxBytes)
	if err != nil {
		return discovery.Content{Problem: err.Error()}
	}
	return discovery.Content{Text: text}
}

// readRegular reads a regular file of at most maxBytes. Its errors do not contain the path.
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
	defer func() { _ = f.Close() }() // opened for reading only
	if info, err = f.Stat(); err != nil {
		return nil, unreadable(err)
	}
	if !info.Mode().IsRegular() { // replaced since os.Stat
		return nil, notRegular(info.Mode())
	}
	if info.Size() > int64(maxBytes) {
		return nil, tooLarge(maxBytes)
	}
	text, err := io.ReadAll(io.LimitReader(f, int64(maxBytes)+1))
	if err != nil {
		return nil, unreadable(err)
	}
	if len(text) > maxBytes { // grown since f.Stat
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

// withoutPath returns the system error without the path, since the tracker's errors already begin with it.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
