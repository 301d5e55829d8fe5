package raftlog

import (
	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

// The errors of a raft log. Except for ErrLocked, each is wrapped in a recordfile.FileError with the path and the offset.
var (
	// ErrWrongIdentity reports that the file belongs to another fleet or voter.
	ErrWrongIdentity error = recordfile.Errorf(recordfile.ErrWrongIdentity, "the raft log belongs to another fleet or voter")
	// ErrNewerFormat reports that the file has a format version or a kind of record that this program does not know.
	ErrNewerFormat error = recordfile.Errorf(recordfile.ErrNewerFormat, "the raft log has a format that this program does not know")
	// ErrDamaged reports that the file is damaged before its end. It is left unchanged for inspection.
	ErrDamaged error = recordfile.Errorf(recordfile.ErrDamaged, "the raft log is damaged")
	// ErrLocked reports that another process has the file open.
	ErrLocked error = recordfile.Errorf(vfs.ErrLocked, "another process has the raft log open")
)

// faultAt returns an error at an offset of a file; recordfile.InFile adds the path.
func faultAt(offset int, err error) error {
	return &recordfile.FileError{Offset: int64(offset), Err: err}
}
