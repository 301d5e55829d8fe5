package raftlog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

// compactionSize is the file size in bytes above which a file is compacted as soon as there is a newer snapshot.
const compactionSize = 4 << 20

// lockEnding is appended to the path of a raft log for the file that is locked, because the raft log itself is replaced by
// compactions.
const lockEnding = ".lock"

// File is a file to which a raft log is written.
type File = vfs.File

// WrapFile wraps each raft log that is opened for appending, unless it is nil. It is for tests, which set it before any log
// is opened.
var WrapFile func(path string, file File) File

// Log is an open raft log. Its voter owns it until Close.
type Log struct {
	TornBytes int64                 // size of the torn record that Open has cut off
	Torn      *recordfile.FileError // start of the torn record, nil if there was none

	dir        vfs.Dir
	path       string // path of the file; its last element is the name in dir
	owner      Identity
	file       File
	size       int64    // size of the file in bytes
	lock       *os.File // held until Close
	boot       uint64   // number of this start of the voter
	peerStarts map[uint64]Start
	joining    bool   // the file was created empty
	syncs      uint64 // number of syncs by Save since Open
}

// Create creates the raft log of a voter of a new fleet or, if first is nil, of a voter that joins a running fleet. If the
// file exists, it stays unchanged and Create returns an error.
func Create(path string, owner Identity, first *raftpb.Snapshot) error {
	dir, err := vfs.OpenShared(filepath.Dir(path), true)
	if err != nil {
		return err
	}
	return create(dir, path, owner, first)
}

func create(dir vfs.Dir, path string, owner Identity, first *raftpb.Snapshot) error {
	names, err := dir.List()
	if err != nil {
		return err
	}
	if slices.Contains(names, filepath.Base(path)) {
		return fmt.Errorf("%s: the raft log already exists", path)
	}
	content, err := encodeFile(owner, consensus.Persisted{Snapshot: first, Joining: first == nil}, 0, nil)
	if err != nil {
		return err
	}
	return vfs.ReplaceFile(dir, filepath.Base(path), content)
}

// Open locks and reads a raft log. If the file is missing, the error is consensus.ErrNoRaftState.
func Open(path string, owner Identity) (*Log, consensus.Persisted, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, consensus.Persisted{}, consensus.ErrNoRaftState
	}
	lockFile, err := lock(path + lockEnding)
	if err != nil {
		return nil, consensus.Persisted{}, err
	}
	dir, err := vfs.OpenShared(filepath.Dir(path), false)
	if err != nil {
		_ = lockFile.Close() // nothing was written to it
		return nil, consensus.Persisted{}, err
	}
	return open(dir, path, owner, lockFile)
}

// open reads a file that is already locked; lock is nil in tests.
func open(dir vfs.Dir, path string, owner Identity, lock *os.File) (*Log, consensus.Persisted, error) {
	l := &Log{dir: dir, path: path, owner: owner, lock: lock}
	persisted, err := l.recover()
	if err != nil {
		l.Close()
		return nil, consensus.Persisted{}, err
	}
	return l, persisted, nil
}

// name returns the name of the file in its directory.
func (l *Log) name() string { return filepath.Base(l.path) }

// lock locks a file for this process.
func lock(path string) (*os.File, error) {
	file, err := vfs.LockFile(path)
	var locked *vfs.LockError
	if errors.As(err, &locked) {
		return nil, fmt.Errorf("%w (%w)", ErrLocked, locked)
	}
	return file, err
}

// recover reads the file, cuts off a torn end and records this start of the voter.
func (l *Log) recover() (consensus.Persisted, error) {
	content, err := l.dir.Read(l.name())
	if err != nil {
		return consensus.Persisted{}, err
	}
	persisted, complete, err := Decode(content, l.owner)
	if err != nil {
		return consensus.Persisted{}, recordfile.InFile(l.path, err)
	}
	l.noteTorn(complete, int64(len(content)))
	l.boot, l.peerStarts = decodeStarts(content[:complete])
	l.boot++
	l.joining = persisted.Joining
	if !isCurrent(content) {
		return persisted, l.Compact(persisted)
	}
	return persisted, l.resume(complete)
}

func (l *Log) noteTorn(complete, size int64) {
	if l.TornBytes = size - complete; l.TornBytes > 0 {
		fault := recordfile.Errorf(recordfile.ErrTorn, "torn at byte %d of %d", complete, size)
		l.Torn = &recordfile.FileError{Path: l.path, Offset: complete, Err: fault}
	}
}

// resume opens the file for appending behind its complete records. It syncs the file and its name, because the process that
// wrote it may have been killed before it had.
func (l *Log) resume(complete int64) error {
	if err := l.openForAppend(complete); err != nil {
		return err
	}
	if err := l.appendSynced(appendBoot(nil, l.boot)); err != nil {
		return err
	}
	return l.dir.Sync()
}

// openForAppend truncates the file to a size in bytes and opens it for appending, in place of the file that is open.
func (l *Log) openForAppend(size int64) error {
	l.closeFile()
	file, err := l.dir.Append(l.name(), size)
	if err != nil {
		return err
	}
	if WrapFile != nil {
		file = WrapFile(l.path, file)
	}
	l.file, l.size = file, size
	return nil
}

// appendSynced appends records and syncs them.
func (l *Log) appendSynced(records []byte) error {
	if err := l.append(records); err != nil {
		return err
	}
	return l.file.Sync()
}

func (l *Log) append(records []byte) error {
	if l.file == nil { // a compaction replaced it and could not open the new one
		return os.ErrClosed
	}
	written, err := l.file.Write(records)
	l.size += int64(written)
	return err
}

// Save appends the state in a raft output, and syncs it if the output requires that. After an error the content on disk is
// unknown, and nothing more may be written.
func (l *Log) Save(output consensus.Ready) error {
	records, err := appendState(nil, consensus.Persisted{HardState: output.HardState, Snapshot: output.Snapshot, Entries: output.Entries})
	if err != nil || len(records) == 0 {
		return err
	}
	if err := l.append(records); err != nil {
		return err
	}
	if !output.MustSync {
		return nil
	}
	l.syncs++
	return l.file.Sync()
}

// Syncs returns how often Save has synced the file since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

// NeedsCompaction reports whether the file is large enough to be compacted.
func (l *Log) NeedsCompaction() bool { return l.size > compactionSize }

// Compact atomically replaces the file with one that holds only the given state.
func (l *Log) Compact(persisted consensus.Persisted) error {
	persisted.Joining = l.joining && persisted.Snapshot == nil
	content, err := encodeFile(l.owner, persisted, l.boot, l.peerStarts)
	if err != nil {
		return err
	}
	if err := vfs.ReplaceFile(l.dir, l.name(), content); err != nil {
		return err
	}
	return l.openForAppend(int64(len(content)))
}

// closeFile closes the file. Its error is ignored: whatever has to be on disk was synced before.
func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// Close closes and unlocks the file.
func (l *Log) Close() {
	l.closeFile()
	if l.lock != nil {
		_ = l.lock.Close() // nothing was written to it
	}
}
