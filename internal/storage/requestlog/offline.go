package requestlog

import (
	"errors"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/vfs"
	"copperrock.example/copperrock/internal/storage/wal"
)

// unlimited is for what is shown or compacted by hand: as much as there is.
var unlimited = idempotency.Limits{Retention: 1e9, MaxRecords: 1 << 40, MaxBytes: 1 << 40}

// unlimitedMemoryMB is Options.MemoryMB for as much.
const unlimitedMemoryMB = 1 << 20

// Describe lists what a store has under its keys, or one of them, a line each. It changes nothing.
func Describe(path, key string) (lines map[string]string, owner string, found wal.ReplayResult, err error) {
	dir, err := vfs.Open(path, true)
	if err != nil {
		return nil, "", found, err
	}
	s := &Store{index: idempotency.New(unlimited)}
	identity, last := wal.Identity{}, runRecord{}
	found, err = wal.Replay(dir, &identity, func(kind byte, body []byte) error {
		return s.replayRecord(kind, body, &last)
	})
	if err != nil {
		return nil, "", found, err
	}
	lines = map[string]string{}
	for _, known := range s.index.Keys() {
		if key == "" || known == key {
			lines[known] = s.index.Describe(known)
		}
	}
	return lines, identity.Name, found, nil
}

// Compact compacts a store that no process has open, and returns its size in bytes before and after.
func Compact(options Options) (before, after int64, err error) {
	dir, err := vfs.Open(options.Folder, false)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = dir.Close() }() // the lock goes with the process at the latest
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
	found, err := wal.Replay(dir, &identity, func(byte, []byte) error { return nil })
	return before, found.Bytes, err
}

// compact writes a snapshot of all and closes the files.
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
