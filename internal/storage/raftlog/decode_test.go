package raftlog

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// No bytes make it panic, and what it takes is complete.
func FuzzDecode(f *testing.F) {
	kept := consensus.Persisted{
		Snapshot: consensus.InitialSnapshot([]uint64{1}),
		Entries:  []*raftpb.Entry{{Index: p(uint64(2)), Term: p(uint64(1))}},
	}
	file, err := encodeFile(owner, kept, 3, map[uint64]Start{2: {5, 6}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(file)
	f.Add(file[:len(file)-3])
	f.Add([]byte(magic + currentVersion))
	f.Fuzz(func(t *testing.T, content []byte) {
		kept, complete, err := Decode(content, owner)
		if err == nil && (complete > int64(len(content)) || complete < int64(headerSize)) {
			t.Errorf("%d of %d bytes, %v", complete, len(content), kept)
		}
	})
}
