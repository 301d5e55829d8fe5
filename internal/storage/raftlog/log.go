// Package raftlog keeps on disk what a voter must not forget: its term and vote, the log and the latest snapshot. A file
// holds records one after another, each with its length and a checksum; docs/notes/fleet-votes.md describes the bytes.
// What Save has returned from is synced. A file whose last record is torn is cut there, for nothing that was acted on
// can be in it; one that is broken before its end is refused whole.
package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// magic opens a file; the last two letters are the format's number. Format 01 knew no boots, meetings and joining; it is
// read, and written anew as 02 when it is opened.
const (
	magic         = "CRVOTE02"
	magicVersion1 = "CRVOTE01"
)

// The kinds of record.
const (
	kindIdentity byte = 1 + iota // fleet's name and the voter's number, always the first
	kindSnapshot
	kindState
	kindEntry
	kindBoot      // a start of the voter on this file, by its number
	kindPeerStart // another voter as it was met last: who, its start, its life
	kindJoining   // the file began empty: what it holds comes from the other voters
)

// maxRecordSize bounds what is read at once: a ledger of thousands of controllers has some MB.
const maxRecordSize = 64 << 20

// compactionSize is the size past which a file with an old snapshot is written anew.
const compactionSize = 4 << 20

// Identity says whose votes a file holds.
type Identity struct {
	Fleet string
	Voter uint64
}

func (i Identity) bytes() []byte {
	return append(binary.BigEndian.AppendUint64(nil, i.Voter), i.Fleet...)
}

// ErrWrongIdentity tells that the file belongs to another fleet or voter.
var ErrWrongIdentity = errors.New("the votes are another voter's")

// ErrNewerFormat tells that the file is of a format that this program does not know.
var ErrNewerFormat = errors.New("the votes are of a format that this program does not know")

// ErrDamaged tells that the file is damaged before its end. It is left as it is for a person to look at.
var ErrDamaged = errors.New("the votes are damaged")

// Start is one start of a voter: they are numbered on its disk, and no two lives have the same number. A voter that comes
// with a number that was seen, or with a lower one, has an older copy of its disk.
type Start struct {
	Boot, Incarnation uint64
}

// OlderThan tells whether another start of the same voter came after this one, or beside it from a copy.
func (s Start) OlderThan(seen Start) bool {
	return s.Boot < seen.Boot || s.Boot == seen.Boot && s.Incarnation != seen.Incarnation
}

// File is what a file is written to; tests put one in between that fails.
type File interface {
	io.WriteSeeker
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// WrapFile, where set, stands between files and the disk. It is set before any is opened.
var WrapFile func(path string, to File) File

// Log is an open file of votes. It is used from one goroutine.
type Log struct {
	path       string
	owner      Identity
	file       File
	size       int64
	lock       *os.File
	boot       uint64
	peerStarts map[uint64]Start
	joining    bool
	syncs      uint64
	TornBytes  int64 // bytes of a torn record that were cut off at the opening
}

// Boot is the number of this start of the voter.
func (f *Log) Boot() uint64 { return f.boot }

// PeerStarts gives the starts of the other voters as they were met last.
func (f *Log) PeerStarts() map[uint64]Start { return maps.Clone(f.peerStarts) }

// ForgetPeers lets go of the starts of voters that are none any more; they are out of the file once it is written anew.
func (f *Log) ForgetPeers(gone func(voter uint64) bool) {
	maps.DeleteFunc(f.peerStarts, func(voter uint64, _ Start) bool { return gone(voter) })
}

// RecordPeer keeps, synced, that another voter was met at a start.
func (f *Log) RecordPeer(voter uint64, s Start) error {
	f.peerStarts[voter] = s
	return f.appendSynced(appendRecord(nil, kindPeerStart, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, voter), s.Boot), s.Incarnation)))
}

// appendSynced writes records and syncs them.
func (f *Log) appendSynced(text []byte) error {
	n, err := f.file.Write(text)
	f.size += int64(n)
	if err == nil {
		err = f.file.Sync()
	}
	return err
}

// openForAppend opens the file for writing, at its end.
func (f *Log) openForAppend() (File, error) {
	file, err := os.OpenFile(f.path, os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	var d File = file
	if WrapFile != nil {
		d = WrapFile(f.path, d)
	}
	if _, err := d.Seek(0, io.SeekEnd); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Create makes the file of a voter of a new fleet; without first, that of one that takes another's place in a fleet that
// runs. One that is there already stays, and is an error.
func Create(path string, who Identity, first *raftpb.Snapshot) error {
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s: there are votes already", path)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	text, err := encodeFile(who, consensus.Kept{Snapshot: first, Joining: first == nil}, 0, nil)
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o600)
}

// Open reads a file and holds it for this process alone. A missing one is quorum.ErrBlank.
func Open(path string, who Identity) (f *Log, kept consensus.Kept, err error) {
	f = &Log{path: path, owner: who}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, kept, consensus.ErrBlank
	}
	if f.lock, err = lockFile(path + ".lock"); err != nil {
		return nil, kept, err
	}
	defer func() {
		if err != nil {
			f.Close()
			f = nil
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return f, kept, err
	}
	kept, good, err := Decode(text, who)
	if err != nil {
		return f, kept, fmt.Errorf("%s: %w", path, err)
	}
	f.TornBytes = int64(len(text)) - good
	f.boot, f.peerStarts = starts(text[:good])
	f.joining = kept.Joining
	f.boot++
	if string(text[:len(magic)]) != magic {
		return f, kept, f.Compact(kept)
	}
	if f.file, err = f.openForAppend(); err != nil {
		return f, kept, err
	}
	if f.TornBytes > 0 {
		if err = f.file.Truncate(good); err != nil {
			return f, kept, err
		}
	}
	f.size = good
	if _, err = f.file.Seek(good, io.SeekStart); err != nil {
		return f, kept, err
	}
	return f, kept, f.appendSynced(appendRecord(nil, kindBoot, binary.BigEndian.AppendUint64(nil, f.boot)))
}

// starts reads the numbers of starts that a good file holds.
func starts(text []byte) (last uint64, seen map[uint64]Start) {
	seen = map[uint64]Start{}
	for at := len(magic); at < len(text); {
		kind, body, size, _ := decodeRecord(text[at:])
		switch {
		case kind == kindBoot && len(body) == 8:
			last = max(last, binary.BigEndian.Uint64(body))
		case kind == kindPeerStart && len(body) == 24:
			seen[binary.BigEndian.Uint64(body)] = Start{binary.BigEndian.Uint64(body[8:]), binary.BigEndian.Uint64(body[16:])}
		}
		at += size
	}
	return last, seen
}

// Decode takes what a file holds, and how many of its bytes are whole records.
func Decode(text []byte, who Identity) (kept consensus.Kept, good int64, err error) {
	if len(text) < len(magic) || string(text[:len(magic)-2]) != magic[:len(magic)-2] {
		return kept, 0, fmt.Errorf("%w: no votes begin like this", ErrDamaged)
	}
	if now := string(text[:len(magic)]); now != magic && now != magicVersion1 {
		return kept, 0, ErrNewerFormat
	}
	at, first := len(magic), true
	for at < len(text) {
		kind, body, size, whole := decodeRecord(text[at:])
		if !whole { // torn, if nothing whole comes after
			if completeRecordFollows(text[at:]) {
				return kept, 0, fmt.Errorf("%w at byte %d", ErrDamaged, at)
			}
			break
		}
		if first != (kind == kindIdentity) {
			return kept, 0, fmt.Errorf("%w at byte %d: the identity is not the first record", ErrDamaged, at)
		}
		if err := applyRecord(&kept, kind, body, who); err != nil {
			return kept, 0, fmt.Errorf("at byte %d: %w", at, err)
		}
		first = false
		at += size
	}
	if first {
		return kept, 0, fmt.Errorf("%w: it says not whose they are", ErrDamaged)
	}
	return kept, int64(at), nil
}

// recordOverhead is length, checksum and kind.
const recordOverhead = 4 + 4 + 1

var table = crc32.MakeTable(crc32.Castagnoli)

func decodeRecord(text []byte) (kind byte, body []byte, size int, whole bool) {
	if len(text) < recordOverhead {
		return 0, nil, 0, false
	}
	n := binary.BigEndian.Uint32(text)
	if n > maxRecordSize || int(n) > len(text)-recordOverhead {
		return 0, nil, 0, false
	}
	body = text[recordOverhead : recordOverhead+int(n)]
	if crc32.Update(crc32.Checksum(text[8:9], table), table, body) != binary.BigEndian.Uint32(text[4:]) {
		return 0, nil, 0, false
	}
	return text[8], body, recordOverhead + int(n), true
}

// completeRecordFollows tells whether a whole record stands anywhere after a bad one: then it is no torn end.
func completeRecordFollows(text []byte) bool {
	for at := 1; at+recordOverhead <= len(text); at++ {
		if kind, _, size, whole := decodeRecord(text[at:]); whole && kind >= kindSnapshot && kind <= kindJoining && size >= recordOverhead && (size > recordOverhead || kind == kindJoining) {
			return true
		}
	}
	return false
}

// applyRecord adds a record to what is kept. An entry replaces those from its index on, as a new leader's word does.
func applyRecord(kept *consensus.Kept, kind byte, body []byte, who Identity) error {
	switch kind {
	case kindIdentity:
		if string(body) != string(who.bytes()) {
			return ErrWrongIdentity
		}
	case kindSnapshot:
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(body, s); err != nil || s.GetMetadata() == nil {
			return errors.Join(ErrDamaged, err)
		}
		kept.Snapshot = s
		for len(kept.Entries) > 0 && kept.Entries[0].GetIndex() <= s.GetMetadata().GetIndex() {
			kept.Entries = kept.Entries[1:]
		}
	case kindState:
		kept.State = &raftpb.HardState{}
		if err := proto.Unmarshal(body, kept.State); err != nil {
			return errors.Join(ErrDamaged, err)
		}
	case kindEntry:
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(body, e); err != nil {
			return errors.Join(ErrDamaged, err)
		}
		for n := len(kept.Entries); n > 0 && kept.Entries[n-1].GetIndex() >= e.GetIndex(); n-- {
			kept.Entries = kept.Entries[:n-1]
		}
		last := kept.Snapshot.GetMetadata().GetIndex()
		if n := len(kept.Entries); n > 0 {
			last = kept.Entries[n-1].GetIndex()
		}
		switch {
		case e.GetIndex() > last+1:
			return fmt.Errorf("%w: entry %d after %d", ErrDamaged, e.GetIndex(), last)
		case e.GetIndex() <= last: // folded into the snapshot
			return nil
		}
		kept.Entries = append(kept.Entries, e)
	case kindBoot, kindPeerStart: // of the file, not of what is voted on
	case kindJoining:
		kept.Joining = true
	default:
		return ErrNewerFormat
	}
	return nil
}

func appendRecord(to []byte, kind byte, body []byte) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(len(body)))
	to = binary.BigEndian.AppendUint32(to, crc32.Update(crc32.Checksum([]byte{kind}, table), table, body))
	to = append(to, kind)
	return append(to, body...)
}

func appendMessage(to []byte, kind byte, m proto.Message) ([]byte, error) {
	body, err := proto.Marshal(m)
	return appendRecord(to, kind, body), err
}

// appendState are the bytes of what is to be kept.
func appendState(to []byte, kept consensus.Kept) (text []byte, err error) {
	if kept.Snapshot != nil {
		if to, err = appendMessage(to, kindSnapshot, kept.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, e := range kept.Entries {
		if to, err = appendMessage(to, kindEntry, e); err != nil {
			return nil, err
		}
	}
	if kept.State != nil {
		to, err = appendMessage(to, kindState, kept.State)
	}
	return to, err
}

func encodeFile(who Identity, kept consensus.Kept, started uint64, seen map[uint64]Start) ([]byte, error) {
	text := appendRecord([]byte(magic), kindIdentity, who.bytes())
	if started > 0 {
		text = appendRecord(text, kindBoot, binary.BigEndian.AppendUint64(nil, started))
	}
	for _, voter := range slices.Sorted(maps.Keys(seen)) {
		s := seen[voter]
		text = appendRecord(text, kindPeerStart, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, voter), s.Boot), s.Incarnation))
	}
	if kept.Joining {
		text = appendRecord(text, kindJoining, nil)
	}
	return appendState(text, kept)
}

// Save adds what an output asks to keep, and syncs it where that is asked for. After an error nothing more may be
// written here: what the disk holds is not known.
func (f *Log) Save(out consensus.Output) error {
	text, err := appendState(nil, consensus.Kept{State: out.State, Snapshot: out.Snapshot, Entries: out.Entries})
	if err != nil || len(text) == 0 {
		return err
	}
	n, err := f.file.Write(text)
	f.size += int64(n)
	if err == nil && out.Synced {
		f.syncs++
		err = f.file.Sync()
	}
	return err
}

// Syncs is how many times this start of the voter has waited for the disk.
func (f *Log) Syncs() uint64 { return f.syncs }

// NeedsCompaction tells whether the file is worth writing anew.
func (f *Log) NeedsCompaction() bool { return f.size > compactionSize }

// Compact puts a new file in place of the old one, whole or not at all.
func (f *Log) Compact(kept consensus.Kept) error {
	kept.Joining = f.joining && kept.Snapshot == nil
	text, err := encodeFile(f.owner, kept, f.boot, f.peerStarts)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(f.path, text, 0o600); err != nil {
		return err
	}
	file, err := f.openForAppend()
	if err != nil {
		return err
	}
	if f.file != nil {
		f.file.Close()
	}
	f.file, f.size = file, int64(len(text))
	return nil
}

// Close lets the file go.
func (f *Log) Close() {
	if f.file != nil {
		f.file.Close()
	}
	if f.lock != nil {
		f.lock.Close()
	}
}
