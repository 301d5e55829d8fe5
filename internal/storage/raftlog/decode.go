package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/storage/recordfile"
)

// Decode decodes the content of a file, and returns the size of its complete records in bytes. Anything after them is torn.
func Decode(content []byte, owner Identity) (persisted consensus.Persisted, complete int64, err error) {
	if err := checkVersion(content); err != nil {
		return persisted, 0, err
	}
	at := headerSize
	for at < len(content) {
		r, ok := decodeRecord(content[at:])
		if !ok {
			if completeRecordFollows(content[at:]) {
				return persisted, 0, faultAt(at, fmt.Errorf("%w at byte %d", ErrDamaged, at))
			}
			break
		}
		if first := at == headerSize; first != (r.kind == kindIdentity) {
			return persisted, 0, faultAt(at, fmt.Errorf("%w at byte %d: the identity is not the first record", ErrDamaged, at))
		}
		if err := applyRecord(&persisted, r, owner); err != nil {
			return persisted, 0, faultAt(at, fmt.Errorf("at byte %d: %w", at, err))
		}
		at += r.size
	}
	if at == headerSize {
		return persisted, 0, faultAt(at, fmt.Errorf("%w: the identity record is missing", ErrDamaged))
	}
	return persisted, int64(at), nil
}

func checkVersion(content []byte) error {
	version, ok := recordfile.Version(content, magic)
	if !ok {
		return faultAt(0, fmt.Errorf("%w: it does not begin with a raft log header", ErrDamaged))
	}
	if version != currentVersion && version != firstVersion {
		return faultAt(len(magic), ErrNewerFormat)
	}
	return nil
}

// isCurrent reports whether a decoded file has the format version that this program writes.
func isCurrent(content []byte) bool {
	version, _ := recordfile.Version(content, magic)
	return version == currentVersion
}

// applyRecord applies a record to the persisted state.
func applyRecord(persisted *consensus.Persisted, r record, owner Identity) error {
	switch r.kind {
	case kindIdentity:
		if string(r.body) != string(owner.encode()) {
			return ErrWrongIdentity
		}
	case kindSnapshot:
		return applySnapshot(persisted, r.body)
	case kindState:
		persisted.HardState = &raftpb.HardState{}
		return unmarshal(r.body, persisted.HardState)
	case kindEntry:
		return applyEntry(persisted, r.body)
	case kindBoot, kindPeerStart: // not part of the raft state; read by decodeStarts
	case kindJoining:
		persisted.Joining = true
	default:
		return ErrNewerFormat
	}
	return nil
}

// unmarshal decodes a message. Any error matches ErrDamaged.
func unmarshal(body []byte, message proto.Message) error {
	if err := proto.Unmarshal(body, message); err != nil {
		return errors.Join(ErrDamaged, err)
	}
	return nil
}

// applySnapshot sets the snapshot and drops the entries that it covers.
func applySnapshot(persisted *consensus.Persisted, body []byte) error {
	snapshot := &raftpb.Snapshot{}
	if err := unmarshal(body, snapshot); err != nil {
		return err
	}
	if snapshot.GetMetadata() == nil {
		return ErrDamaged
	}
	persisted.Snapshot = snapshot
	last := snapshot.GetMetadata().GetIndex()
	for len(persisted.Entries) > 0 && persisted.Entries[0].GetIndex() <= last {
		persisted.Entries = persisted.Entries[1:]
	}
	return nil
}

// applyEntry appends an entry. It replaces the entries from its index on, because a new leader may overwrite the end of the
// log.
func applyEntry(persisted *consensus.Persisted, body []byte) error {
	entry := &raftpb.Entry{}
	if err := unmarshal(body, entry); err != nil {
		return err
	}
	index := entry.GetIndex()
	for n := len(persisted.Entries); n > 0 && persisted.Entries[n-1].GetIndex() >= index; n-- {
		persisted.Entries = persisted.Entries[:n-1]
	}
	last := persisted.Snapshot.GetMetadata().GetIndex()
	if n := len(persisted.Entries); n > 0 {
		last = persisted.Entries[n-1].GetIndex()
	}
	switch {
	case index > last+1:
		return fmt.Errorf("%w: entry %d after %d", ErrDamaged, index, last)
	case index <= last: // covered by the snapshot
		return nil
	}
	persisted.Entries = append(persisted.Entries, entry)
	return nil
}

// decodeStarts returns the number of the voter's last start, and the latest starts of its peers, from complete records.
func decodeStarts(content []byte) (boot uint64, peers map[uint64]Start) {
	peers = map[uint64]Start{}
	for at := headerSize; at < len(content); {
		r, _ := decodeRecord(content[at:])
		switch {
		case r.kind == kindBoot && len(r.body) == bootSize:
			boot = max(boot, binary.BigEndian.Uint64(r.body))
		case r.kind == kindPeerStart && len(r.body) == peerStartSize:
			voter := binary.BigEndian.Uint64(r.body)
			peers[voter] = Start{Boot: binary.BigEndian.Uint64(r.body[8:]), Incarnation: binary.BigEndian.Uint64(r.body[16:])}
		}
		at += r.size
	}
	return boot, peers
}
