package raftlog

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// Decode must not panic on any content, and must not count more bytes as complete than there are.
func FuzzDecode(f *testing.F) {
	persisted := consensus.Persisted{
		Snapshot: consensus.InitialSnapshot([]uint64{1}),
		Entries:  []*raftpb.Entry{{Index: p(uint64(2)), Term: p(uint64(1))}},
	}
	file, err := encodeFile(owner, persisted, 3, map[uint64]Start{2: {5, 6}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(file)
	f.Add(file[:len(file)-3])
	f.Add([]byte(magic + currentVersion))
	f.Fuzz(func(t *testing.T, content []byte) {
		persisted, complete, err := Decode(content, owner)
		if err == nil && (complete > int64(len(content)) || complete < int64(headerSize)) {
			t.Errorf("got %d complete bytes of %d, %v", complete, len(content), persisted)
		}
	})
}
