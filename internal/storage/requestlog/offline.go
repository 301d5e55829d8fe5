package requestlog

import (
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/vfs"
	"copperrock.example/copperrock/internal/storage/wal"
)

// DefaultOptions are the options as settings without a word on them have them.
func DefaultOptions() (o Options) {
	if err := schema.Read("", []byte("{}"), schema.Usual, o.Declare); err != nil {
		panic(err) // nothing in it is required
	}
	return o
}

// unlimited bounds what is shown or written anew by hand: as much as there is.
var unlimited = idempotency.Limits{Retention: 1e9, MaxRecords: 1 << 40, MaxBytes: 1 << 40}

// Describe lists what a store has under its keys, or one of them, a line each. It changes nothing.
func Describe(path, key string) (lines map[string]string, who string, found wal.ReplayResult, err error) {
	folder, err := vfs.Open(path, true)
	if err != nil {
		return nil, "", found, err
	}
	s := &Store{index: idempotency.New(unlimited)}
	identity, last := wal.Identity{}, runRecord{}
	found, err = wal.Replay(folder, &identity, func(kind byte, body []byte) error { return s.replay(kind, body, &last) })
	if err != nil {
		return nil, "", found, err
	}
	lines = map[string]string{}
	for _, k := range s.index.Keys() {
		if key == "" || k == key {
			lines[k] = s.index.Describe(k)
		}
	}
	return lines, identity.Name, found, nil
}

// Compact writes a store anew that no process has open, and gives its size before and after.
func Compact(o Options) (before, after int64, err error) {
	folder, err := vfs.Open(o.Folder, false)
	if err != nil {
		return 0, 0, err
	}
	defer folder.Close()
	o.Retention, o.MaxKeys, o.MemoryMB = unlimited.Retention, 1<<40, 1<<20
	s, err := Open(o, folder, MachineClock(), zerolog.Nop())
	if err != nil {
		return 0, 0, err
	}
	before = s.replayed.Bytes
	s.commit(true)
	for more := true; more; {
		if _, more, err = s.maintenanceStep(taskCompact); err != nil {
			return before, 0, err
		}
	}
	if s.Unavailable() {
		return before, 0, errors.Join(wal.ErrUnavailable, s.wal.Err())
	}
	if err := s.wal.Close(); err != nil {
		return before, 0, err
	}
	found, err := wal.Replay(folder, &wal.Identity{Name: o.Owner}, func(byte, []byte) error { return nil })
	return before, found.Bytes, err
}

// String is what the store is, in a few words.
func (s *Store) String() string {
	keys, size, gap := s.Usage()
	return fmt.Sprintf("%d keys, %d bytes, gap %.1f s, down %v", keys, size, gap, s.Unavailable())
}
