// Package votes keeps on disk what a voter must not forget: its term and vote, the log and the latest snapshot. A file
// holds records one after another, each with its length and a checksum; docs/notes/fleet-votes.md describes the bytes.
// What Save has returned from is synced. A file whose last record is torn is cut there, for nothing that was acted on
// can be in it; one that is broken before its end is refused whole.
package votes

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/quorum"
)

// magic opens a file; the last two letters are the format's number.
const magic = "CRVOTE01"

// The kinds of record.
const (
	identity byte = 1 + iota // fleet's name and the voter's number, always the first
	snapshot
	state
	entry
)

// mostRecord bounds what is read at once: a ledger of thousands of controllers has some MB.
const mostRecord = 64 << 20

// grown is the size past which a file with an old snapshot is written anew.
const grown = 4 << 20

// Identity says whose votes a file holds.
type Identity struct {
	Fleet string
	Voter uint64
}

func (i Identity) bytes() []byte {
	return append(binary.BigEndian.AppendUint64(nil, i.Voter), i.Fleet...)
}

// ErrAnother tells that the file belongs to another fleet or voter.
var ErrAnother = errors.New("the votes are another voter's")

// ErrNewer tells that the file is of a format that this program does not know.
var ErrNewer = errors.New("the votes are of a format that this program does not know")

// ErrBroken tells that the file is damaged before its end. It is left as it is for a person to look at.
var ErrBroken = errors.New("the votes are damaged")

// File is an open file of votes. It is used from one goroutine.
type File struct {
	path string
	who  Identity
	file *os.File
	size int64
	lock *os.File
	Cut  int64 // bytes of a torn record that were cut off at the opening
}

// Create makes the file of a voter of a new fleet. One that is there already stays, and is an error.
func Create(path string, who Identity, first *raftpb.Snapshot) error {
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s: there are votes already", path)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	text, err := whole(who, quorum.Kept{Snapshot: first})
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o600)
}

// Open reads a file and holds it for this process alone. A missing one is quorum.ErrBlank.
func Open(path string, who Identity) (f *File, kept quorum.Kept, err error) {
	f = &File{path: path, who: who}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, kept, quorum.ErrBlank
	}
	if f.lock, err = hold(path + ".lock"); err != nil {
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
	kept, good, err := Read(text, who)
	if err != nil {
		return f, kept, fmt.Errorf("%s: %w", path, err)
	}
	if f.file, err = os.OpenFile(path, os.O_RDWR, 0o600); err != nil {
		return f, kept, err
	}
	if f.Cut = int64(len(text)) - good; f.Cut > 0 {
		if err = f.file.Truncate(good); err != nil {
			return f, kept, err
		}
		if err = f.file.Sync(); err != nil {
			return f, kept, err
		}
	}
	f.size = good
	_, err = f.file.Seek(good, io.SeekStart)
	return f, kept, err
}

// Read takes what a file holds, and how many of its bytes are whole records.
func Read(text []byte, who Identity) (kept quorum.Kept, good int64, err error) {
	if len(text) < len(magic) || string(text[:len(magic)-2]) != magic[:len(magic)-2] {
		return kept, 0, fmt.Errorf("%w: no votes begin like this", ErrBroken)
	}
	if string(text[:len(magic)]) != magic {
		return kept, 0, ErrNewer
	}
	at, first := len(magic), true
	for at < len(text) {
		kind, body, size, whole := record(text[at:])
		if !whole { // torn, if nothing whole comes after
			if follows(text[at:]) {
				return kept, 0, fmt.Errorf("%w at byte %d", ErrBroken, at)
			}
			break
		}
		if first != (kind == identity) {
			return kept, 0, fmt.Errorf("%w at byte %d: the identity is not the first record", ErrBroken, at)
		}
		if err := take(&kept, kind, body, who); err != nil {
			return kept, 0, fmt.Errorf("at byte %d: %w", at, err)
		}
		first = false
		at += size
	}
	if first {
		return kept, 0, fmt.Errorf("%w: it says not whose they are", ErrBroken)
	}
	return kept, int64(at), nil
}

// head is length, checksum and kind.
const head = 4 + 4 + 1

var table = crc32.MakeTable(crc32.Castagnoli)

func record(text []byte) (kind byte, body []byte, size int, whole bool) {
	if len(text) < head {
		return 0, nil, 0, false
	}
	n := binary.BigEndian.Uint32(text)
	if n > mostRecord || int(n) > len(text)-head {
		return 0, nil, 0, false
	}
	body = text[head : head+int(n)]
	if crc32.Update(crc32.Checksum(text[8:9], table), table, body) != binary.BigEndian.Uint32(text[4:]) {
		return 0, nil, 0, false
	}
	return text[8], body, head + int(n), true
}

// follows tells whether a whole record stands anywhere after a bad one: then it is no torn end.
func follows(text []byte) bool {
	for at := 1; at+head <= len(text); at++ {
		if kind, _, size, whole := record(text[at:]); whole && kind >= snapshot && kind <= entry && size > head {
			return true
		}
	}
	return false
}

// take adds a record to what is kept. An entry replaces those from its index on, as a new leader's word does.
func take(kept *quorum.Kept, kind byte, body []byte, who Identity) error {
	switch kind {
	case identity:
		if string(body) != string(who.bytes()) {
			return ErrAnother
		}
	case snapshot:
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(body, s); err != nil || s.GetMetadata() == nil {
			return errors.Join(ErrBroken, err)
		}
		kept.Snapshot = s
		for len(kept.Entries) > 0 && kept.Entries[0].GetIndex() <= s.GetMetadata().GetIndex() {
			kept.Entries = kept.Entries[1:]
		}
	case state:
		kept.State = &raftpb.HardState{}
		if err := proto.Unmarshal(body, kept.State); err != nil {
			return errors.Join(ErrBroken, err)
		}
	case entry:
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(body, e); err != nil {
			return errors.Join(ErrBroken, err)
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
			return fmt.Errorf("%w: entry %d after %d", ErrBroken, e.GetIndex(), last)
		case e.GetIndex() <= last: // folded into the snapshot
			return nil
		}
		kept.Entries = append(kept.Entries, e)
	default:
		return ErrNewer
	}
	return nil
}

func put(to []byte, kind byte, body []byte) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(len(body)))
	to = binary.BigEndian.AppendUint32(to, crc32.Update(crc32.Checksum([]byte{kind}, table), table, body))
	to = append(to, kind)
	return append(to, body...)
}

func putMessage(to []byte, kind byte, m proto.Message) ([]byte, error) {
	body, err := proto.Marshal(m)
	return put(to, kind, body), err
}

// records are the bytes of what is to be kept.
func records(to []byte, kept quorum.Kept) (text []byte, err error) {
	if kept.Snapshot != nil {
		if to, err = putMessage(to, snapshot, kept.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, e := range kept.Entries {
		if to, err = putMessage(to, entry, e); err != nil {
			return nil, err
		}
	}
	if kept.State != nil {
		to, err = putMessage(to, state, kept.State)
	}
	return to, err
}

func whole(who Identity, kept quorum.Kept) ([]byte, error) {
	return records(put([]byte(magic), identity, who.bytes()), kept)
}

// Save adds what an output asks to keep, and syncs it where that is asked for. After an error nothing more may be
// written here: what the disk holds is not known.
func (f *File) Save(out quorum.Output) error {
	text, err := records(nil, quorum.Kept{State: out.State, Snapshot: out.Snapshot, Entries: out.Entries})
	if err != nil || len(text) == 0 {
		return err
	}
	n, err := f.file.Write(text)
	f.size += int64(n)
	if err == nil && out.Synced {
		err = f.file.Sync()
	}
	return err
}

// Grown tells whether the file is worth writing anew.
func (f *File) Grown() bool { return f.size > grown }

// Rewrite puts a new file in place of the old one, whole or not at all.
func (f *File) Rewrite(kept quorum.Kept) error {
	text, err := whole(f.who, kept)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(f.path, text, 0o600); err != nil {
		return err
	}
	file, err := os.OpenFile(f.path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if _, err := file.Seek(0, io.SeekEnd); err != nil {
		file.Close()
		return err
	}
	f.file.Close()
	f.file, f.size = file, int64(len(text))
	return nil
}

// Close lets the file go.
func (f *File) Close() {
	if f.file != nil {
		f.file.Close()
	}
	if f.lock != nil {
		f.lock.Close()
	}
}
