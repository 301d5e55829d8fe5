package requestlog

import (
	"errors"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/vfs"
	"copperrock.example/copperrock/internal/storage/wal"
)

// unlimited are the limits for listing or compacting a store offline: nothing is dropped.
var unlimited = idempotency.Limits{Retention: 1e9, MaxRecords: 1 << 40, MaxBytes: 1 << 40}

// unlimitedMemoryMB is the value of Options.MemoryMB that limits nothing.
const unlimitedMemoryMB = 1 << 20

// Describe returns one line for each key of the store in a directory, or for the given key only. It changes no file.
func Describe(path, key string) (lines map[string]string, owner string, result wal.ReplayResult, err error) {
	dir, err := vfs.Open(path, true)
	if err != nil {
		return nil, "", result, err
	}
	s := &Store{index: idempotency.New(unlimited)}
	identity, last := wal.Identity{}, runRecord{}
	result, err = wal.Replay(dir, &identity, func(kind byte, body []byte) error {
		return s.replayRecord(kind, body, &last)
	})
	if err != nil {
		return nil, "", result, err
	}
	lines = map[string]string{}
	for _, stored := range s.index.Keys() {
		if key == "" || stored == key {
			lines[stored] = s.index.Describe(stored)
		}
	}
	return lines, identity.Name, result, nil
}

// Compact compacts a store that no process has open, and returns its size in bytes before and after.
func Compact(options Options) (before, after int64, err error) {
	dir, err := vfs.Open(options.Folder, false)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = dir.Close() }() // the lock is released at the latest when the process exits
	options.Retention, options.MaxKeys, options.MemoryMB = unlimited.Retention, unlimited.MaxRecords, unlimitedMemoryMB
	s, err := Open(options, dir, MachineClock(), zerolog.Nop())
	if err != nil {
		return 0, 0, err
	}
	before = s.replayed.Bytes
	if err := s.compact(); err != nil {
		return before, 0, err
	}
	identity := wal.Identity{Name: options.Owner}
	result, err := wal.Replay(dir, &identity, func(byte, []byte) error { return nil })
	return before, result.Bytes, err
}

// compact writes a full snapshot and closes the files.
func (s *Store) compact() error {
	s.commit(true)
	for more := true; more; {
		var err error
		if _, more, err = s.maintenanceStep(taskCompact); err != nil {
			return err
		}
	}
	if s.Unavailable() {
		return errors.Join(wal.ErrUnavailable, s.wal.Err())
	}
	return s.wal.Close()
}
