package raftlog

import (
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/storage/recordfile"
)

// The layout of a file: magic word and version, then records. A record consists of the length of its body, a checksum of kind
// and body, the kind, and the body. Version 01 has no kinds after kindEntry; a file of that version is rewritten in the
// current version when it is opened.
const (
	magic          = "CRVOTE"
	currentVersion = "02"
	firstVersion   = "01"
	headerSize     = len(magic) + recordfile.VersionDigits

	sumOffset      = 4
	kindOffset     = sumOffset + 4
	recordOverhead = kindOffset + 1

	// maxRecordSize bounds the body of a record in bytes: the state of thousands of controllers takes some MB.
	maxRecordSize = 64 << 20
)

// The kinds of record.
const (
	kindIdentity  byte = 1 + iota // the fleet's name and the voter's number; always the first record
	kindSnapshot                  // a raftpb.Snapshot
	kindState                     // a raftpb.HardState
	kindEntry                     // a raftpb.Entry
	kindBoot                      // the number of a start of the voter on this file
	kindPeerStart                 // the latest start of another voter that was met
	kindJoining                   // the file was created empty: its state comes from the other voters
)

const (
	bootSize      = 8     // size of a kindBoot body in bytes
	peerStartSize = 3 * 8 // size of a kindPeerStart body in bytes: voter, boot, incarnation
)

// Identity is the voter that owns a raft log.
type Identity struct {
	Fleet string
	Voter uint64
}

func (i Identity) encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, i.Voter), i.Fleet...)
}

// record is a decoded record. Its body refers to the content of the file.
type record struct {
	kind byte
	body []byte
	size int // size of the record with its header, in bytes
}

// decodeRecord decodes the record at the start of content, or returns false if there is no complete one.
func decodeRecord(content []byte) (record, bool) {
	if len(content) < recordOverhead {
		return record{}, false
	}
	length := binary.BigEndian.Uint32(content)
	if length > maxRecordSize || int(length) > len(content)-recordOverhead {
		return record{}, false
	}
	end := recordOverhead + int(length)
	body := content[recordOverhead:end]
	if recordfile.Checksum(content[kindOffset:recordOverhead], body) != binary.BigEndian.Uint32(content[sumOffset:]) {
		return record{}, false
	}
	return record{kind: content[kindOffset], body: body, size: end}, true
}

// completeRecordFollows reports whether a complete record begins anywhere behind the first byte. An empty body is accepted
// only for a kind without a body; otherwise zeros would count as a record.
func completeRecordFollows(rest []byte) bool {
	return recordfile.CompleteFollows(rest, recordOverhead, func(candidate []byte) bool {
		r, ok := decodeRecord(candidate)
		known := ok && r.kind >= kindSnapshot && r.kind <= kindJoining
		return known && (len(r.body) > 0 || r.kind == kindJoining)
	})
}

func appendRecord(buffer []byte, kind byte, body []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = binary.BigEndian.AppendUint32(buffer, recordfile.Checksum([]byte{kind}, body))
	buffer = append(buffer, kind)
	return append(buffer, body...)
}

func appendMessage(buffer []byte, kind byte, message proto.Message) ([]byte, error) {
	body, err := proto.Marshal(message)
	return appendRecord(buffer, kind, body), err
}

func appendBoot(buffer []byte, number uint64) []byte {
	return appendRecord(buffer, kindBoot, binary.BigEndian.AppendUint64(nil, number))
}

func appendPeerStart(buffer []byte, voter uint64, start Start) []byte {
	body := binary.BigEndian.AppendUint64(nil, voter)
	body = binary.BigEndian.AppendUint64(body, start.Boot)
	body = binary.BigEndian.AppendUint64(body, start.Incarnation)
	return appendRecord(buffer, kindPeerStart, body)
}

// appendState appends records of the snapshot, the entries and the hard state.
func appendState(buffer []byte, persisted consensus.Persisted) (content []byte, err error) {
	if persisted.Snapshot != nil {
		if buffer, err = appendMessage(buffer, kindSnapshot, persisted.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, entry := range persisted.Entries {
		if buffer, err = appendMessage(buffer, kindEntry, entry); err != nil {
			return nil, err
		}
	}
	if persisted.HardState != nil {
		buffer, err = appendMessage(buffer, kindState, persisted.HardState)
	}
	return buffer, err
}

// encodeFile encodes a file of the current version. boot is 0 for a voter that has not started on it yet.
func encodeFile(owner Identity, persisted consensus.Persisted, boot uint64, peers map[uint64]Start) ([]byte, error) {
	content := appendRecord([]byte(magic+currentVersion), kindIdentity, owner.encode())
	if boot > 0 {
		content = appendBoot(content, boot)
	}
	for _, voter := range slices.Sorted(maps.Keys(peers)) {
		content = appendPeerStart(content, voter, peers[voter])
	}
	if persisted.Joining {
		content = appendRecord(content, kindJoining, nil)
	}
	return appendState(content, persisted)
}
