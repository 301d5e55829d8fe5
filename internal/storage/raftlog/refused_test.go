package raftlog

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

// newRaftLog creates a raft log with three entries of the same size and returns its path.
func newRaftLog(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "votes")
	if err := Create(path, owner, consensus.InitialSnapshot([]uint64{1})); err != nil {
		t.Fatal(err)
	}
	log, _, err := Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	for i := range uint64(3) {
		entry := &raftpb.Entry{Index: p(i + firstEntry), Term: p(uint64(1)), Data: []byte("some data of an entry")}
		if err := log.Save(consensus.Ready{MustSync: true, Entries: []*raftpb.Entry{entry}}); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

// Open and Create fail on a file that is missing, exists already, or is open elsewhere.
func TestMissingExistingOrLocked(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "votes")
	if _, _, err := Open(missing, owner); !errors.Is(err, consensus.ErrNoRaftState) {
		t.Errorf("missing: got error %v, want ErrNoRaftState", err)
	}
	path := newRaftLog(t)
	if err := Create(path, owner, consensus.InitialSnapshot([]uint64{1})); err == nil {
		t.Error("created a file that exists")
	}
	log, _, err := Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if _, _, err := Open(path, owner); !errors.Is(err, ErrLocked) || !errors.Is(err, vfs.ErrLocked) {
		t.Errorf("open elsewhere: got error %v, want ErrLocked", err)
	}
}

func unchanged(content []byte) []byte { return content }

// removeSecondEntry removes the second of the three entries.
func removeSecondEntry(content []byte) []byte {
	size := (len(content) - firstEntryOffset(content)) / 3
	end := len(content)
	return append(content[:end-2*size:end-2*size], content[end-size:]...)
}

// unusableFiles are the ways in which a file with three entries may be unusable.
var unusableFiles = map[string]struct {
	change   func(content []byte) []byte
	identity Identity
	want     error
}{
	"another fleet":    {unchanged, Identity{"other", 1}, ErrWrongIdentity},
	"another voter":    {unchanged, Identity{"test", 2}, ErrWrongIdentity},
	"a newer format":   {func(content []byte) []byte { content[7] = '9'; return content }, owner, ErrNewerFormat},
	"no raft log":      {func([]byte) []byte { return []byte("hello, world") }, owner, ErrDamaged},
	"empty":            {func([]byte) []byte { return nil }, owner, ErrDamaged},
	"a bit flipped":    {func(content []byte) []byte { content[len(content)-60] ^= 4; return content }, owner, ErrDamaged},
	"a record missing": {removeSecondEntry, owner, ErrDamaged},
}

// A file that can't be used is rejected with the cause, path and offset, and stays unchanged.
func TestRejectsUnusableFile(t *testing.T) {
	path := newRaftLog(t)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for what, c := range unusableFiles {
		content := c.change(append([]byte{}, good...))
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(path, c.identity)
		var fault *recordfile.FileError
		if !errors.Is(err, c.want) || !errors.As(err, &fault) || fault.Path != path || fault.Offset > int64(len(content)) {
			t.Errorf("%s: got error %v, want %v in %s", what, err, c.want, path)
		}
		if kind := errors.Unwrap(c.want); !errors.Is(err, kind) {
			t.Errorf("%s: got %v, want kind %v", what, err, kind)
		}
		if now, err := os.ReadFile(path); err != nil || string(now) != string(content) {
			t.Errorf("%s: the file was changed, %v", what, err)
		}
	}
}

// A torn end is cut off when the file is opened, and Open reports where it began.
func TestTornEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "votes")
	if err := Create(path, owner, consensus.InitialSnapshot([]uint64{1})); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(complete, 0, 0, 0), 0o600); err != nil {
		t.Fatal(err)
	}
	log, _, err := Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	if log.TornBytes != 3 || log.Torn.Path != path || log.Torn.Offset != int64(len(complete)) || !errors.Is(log.Torn, recordfile.ErrTorn) {
		t.Errorf("got %d torn bytes, %#v, want 3", log.TornBytes, log.Torn)
	}
	log.Close()
	log, _, err = Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	if log.TornBytes != 0 || log.Torn != nil {
		t.Errorf("the next opening: got %d torn bytes, %v, want none", log.TornBytes, log.Torn)
	}
	log.Close()
}

// firstEntryOffset returns the offset of the first entry.
func firstEntryOffset(b []byte) int {
	at := headerSize
	for {
		r, ok := decodeRecord(b[at:])
		if !ok || r.kind == kindEntry {
			return at
		}
		at += r.size
	}
}
