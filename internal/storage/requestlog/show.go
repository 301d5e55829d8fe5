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

// Defaults are the options as settings without a word on them have them.
func Defaults() (o Options) {
	if err := schema.Read("", []byte("{}"), schema.Usual, o.Declare); err != nil {
		panic(err) // nothing in it is required
	}
	return o
}

// all bounds what is shown or written anew by hand: as much as there is.
var all = idempotency.Rules{Window: 1e9, Most: 1 << 40, Room: 1 << 40}

// Show lists what a store has under its keys, or one of them, a line each. It changes nothing.
func Show(path, key string) (lines map[string]string, who string, found wal.Found, err error) {
	folder, err := vfs.Open(path, true)
	if err != nil {
		return nil, "", found, err
	}
	s := &Store{past: idempotency.New(all)}
	identity, last := wal.Identity{}, life{}
	found, err = wal.Read(folder, &identity, func(kind byte, body []byte) error { return s.replay(kind, body, &last) })
	if err != nil {
		return nil, "", found, err
	}
	lines = map[string]string{}
	for _, k := range s.past.Keys() {
		if key == "" || k == key {
			lines[k] = s.past.Tell(k)
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
	o.Window, o.Most, o.Room = all.Window, 1<<40, 1<<20
	s, err := Open(o, folder, Machine(), zerolog.Nop())
	if err != nil {
		return 0, 0, err
	}
	before = s.found.Bytes
	s.commit(true)
	for more := true; more; {
		if _, more, err = s.step(anew); err != nil {
			return before, 0, err
		}
	}
	if s.Down() {
		return before, 0, errors.Join(wal.ErrDown, s.journal.Down())
	}
	if err := s.journal.End(); err != nil {
		return before, 0, err
	}
	found, err := wal.Read(folder, &wal.Identity{Name: o.Self}, func(byte, []byte) error { return nil })
	return before, found.Bytes, err
}

// String is what the store is, in a few words.
func (s *Store) String() string {
	keys, size, gap := s.Keys()
	return fmt.Sprintf("%d keys, %d bytes, gap %.1f s, down %v", keys, size, gap, s.Down())
}
