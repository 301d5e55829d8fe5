package raftlog

import (
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "copperrock.example/copperrock/internal/harness/testutil" // sets one seed for all rapid tests

	"copperrock.example/copperrock/internal/fleet/consensus"
)

var owner = Identity{"test", 1}

func p[T any](v T) *T { return &v }

// firstEntry is the index of the first entry after the initial snapshot.
const firstEntry = 2

// logModel is a raft log and the state that it must return.
type logModel struct {
	*rapid.T
	path    string
	state   *raftpb.HardState
	entries []*raftpb.Entry
}

// Whatever is saved, compacted, and cut off in the middle of a write must be read back as it was synced.
func TestReadsBackWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "votes")
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := os.RemoveAll(dir); err != nil {
				t.Error(err)
			}
		}()
		m := &logModel{T: t, path: filepath.Join(dir, "votes")}
		if err := Create(m.path, owner, initialSnapshot()); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			log := m.open()
			m.save(log)
			if rapid.Bool().Draw(t, "rewrite") {
				m.compact(log)
			}
			if rapid.Bool().Draw(t, "torn") {
				m.tear(log)
			}
			log.Close()
		}
		m.open().Close()
	})
}

func initialSnapshot() *raftpb.Snapshot { return consensus.InitialSnapshot([]uint64{1, 2, 3}) }

// next returns the index of the next entry.
func (m *logModel) next() uint64 { return firstEntry + uint64(len(m.entries)) }

func (m *logModel) add(ready *consensus.Ready, entry *raftpb.Entry) {
	ready.Entries, m.entries = append(ready.Entries, entry), append(m.entries, entry)
}

// open opens the file and checks what it returns.
func (m *logModel) open() *Log {
	log, persisted, err := Open(m.path, owner)
	if err != nil {
		m.Fatal(err)
	}
	if !proto.Equal(persisted.HardState, m.state) {
		m.Fatalf("got state %v, want %v", persisted.HardState, m.state)
	}
	if len(persisted.Entries) != len(m.entries) {
		m.Fatalf("got %d entries, want %d", len(persisted.Entries), len(m.entries))
	}
	for i, entry := range persisted.Entries {
		if !proto.Equal(entry, m.entries[i]) {
			m.Fatalf("got entry %v, want %v", entry, m.entries[i])
		}
	}
	return log
}

// save saves entries, of which the first may overwrite earlier ones like those of a new leader, and perhaps a hard state.
func (m *logModel) save(log *Log) {
	ready := consensus.Ready{MustSync: true}
	if overwritten := rapid.Uint64Range(0, 2).Draw(m.T, "taken back"); m.next() > firstEntry+overwritten {
		m.entries = m.entries[:uint64(len(m.entries))-overwritten]
	}
	for range rapid.IntRange(0, 3).Draw(m.T, "entries") {
		m.add(&ready, &raftpb.Entry{Index: p(m.next()), Term: p(uint64(7)), Data: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(m.T, "data")})
	}
	if len(ready.Entries) == 0 { // entries are overwritten only if another one takes their place
		m.add(&ready, &raftpb.Entry{Index: p(m.next()), Term: p(uint64(8))})
	}
	if rapid.Bool().Draw(m.T, "state") {
		ready.HardState = &raftpb.HardState{Term: p(rapid.Uint64Range(1, 9).Draw(m.T, "term")), Vote: p(uint64(2)), Commit: p(uint64(1))}
		m.state = ready.HardState
	}
	if err := log.Save(ready); err != nil {
		m.Fatal(err)
	}
}

func (m *logModel) compact(log *Log) {
	if err := log.Compact(consensus.Persisted{HardState: m.state, Snapshot: initialSnapshot(), Entries: m.entries}); err != nil {
		m.Fatal(err)
	}
}

// tear leaves an unfinished write.
func (m *logModel) tear(log *Log) {
	entry := &raftpb.Entry{Index: p(m.next()), Term: p(uint64(9)), Data: []byte("never acted on")}
	torn, err := appendState(nil, consensus.Persisted{Entries: []*raftpb.Entry{entry}})
	if err != nil {
		m.Fatal(err)
	}
	if _, err := log.file.Write(torn[:rapid.IntRange(1, len(torn)-1).Draw(m.T, "bytes")]); err != nil {
		m.Fatal(err)
	}
}
