package raftlog

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "copperrock.example/copperrock/internal/harness/testutil" // one seed for all properties

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

var owner = Identity{"test", 1}

func p[T any](v T) *T { return &v }

// model is what the disk must give back.
type model struct {
	state   *raftpb.HardState
	entries []*raftpb.Entry
}

// Whatever is saved, rewritten and cut off in the middle of a write is read back as it was synced.
func TestReadsBackWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder, err := os.MkdirTemp("", "votes")
		if err != nil {
			r.Fatal(err)
		}
		defer func() {
			if err := os.RemoveAll(folder); err != nil {
				r.Error(err)
			}
		}()
		path := filepath.Join(folder, "votes")
		if err := Create(path, owner, consensus.InitialSnapshot([]uint64{1, 2, 3})); err != nil {
			r.Fatal(err)
		}
		var m model
		next := uint64(2)
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			f, kept, err := Open(path, owner)
			if err != nil {
				r.Fatal(err)
			}
			checkKept(r, kept, m)
			out := consensus.Ready{MustSync: true}
			if back := rapid.Uint64Range(0, 2).Draw(r, "taken back"); next > 2+back { // a new leader's word
				next -= back
				m.entries = m.entries[:next-2]
			}
			for range rapid.IntRange(0, 3).Draw(r, "entries") {
				e := &raftpb.Entry{Index: p(next), Term: p(uint64(7)), Data: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(r, "data")}
				out.Entries, m.entries = append(out.Entries, e), append(m.entries, e)
				next++
			}
			if len(out.Entries) == 0 { // what was taken back is only gone once something stands in its place
				e := &raftpb.Entry{Index: p(next), Term: p(uint64(8))}
				out.Entries, m.entries = append(out.Entries, e), append(m.entries, e)
				next++
			}
			if rapid.Bool().Draw(r, "state") {
				out.HardState = &raftpb.HardState{Term: p(rapid.Uint64Range(1, 9).Draw(r, "term")), Vote: p(uint64(2)), Commit: p(uint64(1))}
				m.state = out.HardState
			}
			if err := f.Save(out); err != nil {
				r.Fatal(err)
			}
			if rapid.Bool().Draw(r, "rewrite") {
				if err := f.Compact(consensus.Persisted{HardState: m.state, Snapshot: consensus.InitialSnapshot([]uint64{1, 2, 3}), Entries: m.entries}); err != nil {
					r.Fatal(err)
				}
			}
			if rapid.Bool().Draw(r, "torn") { // a write that never came to its end
				torn, _ := appendState(nil, consensus.Persisted{Entries: []*raftpb.Entry{{Index: p(next), Term: p(uint64(9)), Data: []byte("never acted on")}}})
				if _, err := f.file.Write(torn[:rapid.IntRange(1, len(torn)-1).Draw(r, "bytes")]); err != nil {
					r.Fatal(err)
				}
			}
			f.Close()
		}
		f, kept, err := Open(path, owner)
		if err != nil {
			r.Fatal(err)
		}
		checkKept(r, kept, m)
		f.Close()
	})
}

func checkKept(r *rapid.T, kept consensus.Persisted, m model) {
	if !proto.Equal(kept.HardState, m.state) {
		r.Fatalf("state %v, saved was %v", kept.HardState, m.state)
	}
	if len(kept.Entries) != len(m.entries) {
		r.Fatalf("%d entries, saved were %d", len(kept.Entries), len(m.entries))
	}
	for i, e := range kept.Entries {
		if !proto.Equal(e, m.entries[i]) {
			r.Fatalf("entry %v, saved was %v", e, m.entries[i])
		}
	}
}

// What can't be used is refused with its cause, and the file stays as it is.
func TestRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "votes")
	if _, _, err := Open(path, owner); !errors.Is(err, consensus.ErrNoRaftState) {
		t.Errorf("missing: %v", err)
	}
	if err := Create(path, owner, consensus.InitialSnapshot([]uint64{1})); err != nil {
		t.Fatal(err)
	}
	if err := Create(path, owner, consensus.InitialSnapshot([]uint64{1})); err == nil {
		t.Error("made twice")
	}
	f, _, err := Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, owner); !errors.Is(err, ErrLocked) || !errors.Is(err, vfs.ErrLocked) {
		t.Errorf("held: %v", err)
	}
	for i := range uint64(3) {
		if err := f.Save(consensus.Ready{MustSync: true, Entries: []*raftpb.Entry{{Index: p(i + 2), Term: p(uint64(1)), Data: []byte("some data of an entry")}}}); err != nil {
			t.Fatal(err)
		}
	}
	f.Close()
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for what, c := range map[string]struct {
		change func(b []byte) []byte
		who    Identity
		want   error
	}{
		"another fleet":      {func(b []byte) []byte { return b }, Identity{"other", 1}, ErrWrongIdentity},
		"another voter":      {func(b []byte) []byte { return b }, Identity{"test", 2}, ErrWrongIdentity},
		"a newer format":     {func(b []byte) []byte { b[7] = '9'; return b }, owner, ErrNewerFormat},
		"no votes":           {func([]byte) []byte { return []byte("hello, world") }, owner, ErrDamaged},
		"empty":              {func([]byte) []byte { return nil }, owner, ErrDamaged},
		"a bit in the midst": {func(b []byte) []byte { b[len(b)-60] ^= 4; return b }, owner, ErrDamaged},
		"a record missing": {func(b []byte) []byte {
			size := (len(b) - firstEntryOffset(b)) / 3
			return append(b[:len(b)-2*size:len(b)-2*size], b[len(b)-size:]...)
		}, owner, ErrDamaged},
	} {
		text := c.change(append([]byte{}, good...))
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(path, c.who)
		var fault *recordfile.FileError
		if !errors.Is(err, c.want) || !errors.As(err, &fault) || fault.Path != path || fault.Offset > int64(len(text)) {
			t.Errorf("%s: %v", what, err)
		}
		if kind := errors.Unwrap(c.want); !errors.Is(err, kind) {
			t.Errorf("%s: %v is no %v", what, err, kind)
		}
		if now, _ := os.ReadFile(path); string(now) != string(text) {
			t.Errorf("%s: the file was changed", what)
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
	f, _, err := Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	if f.TornBytes != 3 || f.Torn.Path != path || f.Torn.Offset != int64(len(complete)) || !errors.Is(f.Torn, recordfile.ErrTorn) {
		t.Errorf("%d bytes, %#v", f.TornBytes, f.Torn)
	}
	f.Close()
	f, _, err = Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	if f.TornBytes != 0 || f.Torn != nil {
		t.Errorf("the next opening: %d bytes, %v", f.TornBytes, f.Torn)
	}
	f.Close()
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

// No bytes make it panic, and what it takes is whole.
func FuzzDecode(f *testing.F) {
	text, _ := encodeFile(owner, consensus.Persisted{Snapshot: consensus.InitialSnapshot([]uint64{1}), Entries: []*raftpb.Entry{{Index: p(uint64(2)), Term: p(uint64(1))}}}, 3, map[uint64]Start{2: {5, 6}})
	f.Add(text)
	f.Add(text[:len(text)-3])
	f.Add([]byte(magic + currentVersion))
	f.Fuzz(func(t *testing.T, b []byte) {
		kept, good, err := Decode(b, owner)
		if err == nil && (good > int64(len(b)) || good < int64(headerSize)) {
			t.Errorf("%d of %d bytes, %v", good, len(b), kept)
		}
	})
}
