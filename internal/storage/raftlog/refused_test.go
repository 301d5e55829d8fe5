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

// newVotes makes a file with three entries of the same size and gives its path.
func newVotes(t *testing.T) string {
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

// A file that is not there, is there already, or is open elsewhere.
func TestOneOpener(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "votes")
	if _, _, err := Open(missing, owner); !errors.Is(err, consensus.ErrNoRaftState) {
		t.Errorf("missing: %v", err)
	}
	path := newVotes(t)
	if err := Create(path, owner, consensus.InitialSnapshot([]uint64{1})); err == nil {
		t.Error("made twice")
	}
	log, _, err := Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if _, _, err := Open(path, owner); !errors.Is(err, ErrLocked) || !errors.Is(err, vfs.ErrLocked) {
		t.Errorf("open elsewhere: %v", err)
	}
}

func unchanged(content []byte) []byte { return content }

// removeSecondEntry takes the second of the three entries away.
func removeSecondEntry(content []byte) []byte {
	size := (len(content) - firstEntryOffset(content)) / 3
	end := len(content)
	return append(content[:end-2*size:end-2*size], content[end-size:]...)
}

// refusals are what may be wrong with a file of three entries.
var refusals = map[string]struct {
	change func(content []byte) []byte
	opener Identity
	want   error
}{
	"another fleet":    {unchanged, Identity{"other", 1}, ErrWrongIdentity},
	"another voter":    {unchanged, Identity{"test", 2}, ErrWrongIdentity},
	"a newer format":   {func(content []byte) []byte { content[7] = '9'; return content }, owner, ErrNewerFormat},
	"no votes":         {func([]byte) []byte { return []byte("hello, world") }, owner, ErrDamaged},
	"empty":            {func([]byte) []byte { return nil }, owner, ErrDamaged},
	"a bit flipped":    {func(content []byte) []byte { content[len(content)-60] ^= 4; return content }, owner, ErrDamaged},
	"a record missing": {removeSecondEntry, owner, ErrDamaged},
}

// What can't be used is refused with its cause, path and offset, and the file stays as it is.
func TestRefused(t *testing.T) {
	path := newVotes(t)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for what, c := range refusals {
		content := c.change(append([]byte{}, good...))
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(path, c.opener)
		var fault *recordfile.FileError
		if !errors.Is(err, c.want) || !errors.As(err, &fault) || fault.Path != path || fault.Offset > int64(len(content)) {
			t.Errorf("%s: %v", what, err)
		}
		if kind := errors.Unwrap(c.want); !errors.Is(err, kind) {
			t.Errorf("%s: %v is no %v", what, err, kind)
		}
		if now, err := os.ReadFile(path); err != nil || string(now) != string(content) {
			t.Errorf("%s: the file was changed, %v", what, err)
		}
	}
}

// A torn end is cut off at the opening, which says where it began.
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
		t.Errorf("%d bytes, %#v", log.TornBytes, log.Torn)
	}
	log.Close()
	log, _, err = Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	if log.TornBytes != 0 || log.Torn != nil {
		t.Errorf("the next opening: %d bytes, %v", log.TornBytes, log.Torn)
	}
	log.Close()
}

// firstEntryOffset is where the three entries begin.
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
