package raftlog

import (
	"copperrock.example/copperrock/internal/storage/recordfile"
	"copperrock.example/copperrock/internal/storage/vfs"
)

// What may be wrong with a file. Each comes in a recordfile.FileError, with the path and the offset, but for ErrLocked.
var (
	// ErrWrongIdentity says that the file belongs to another fleet or voter.
	ErrWrongIdentity error = recordfile.Errorf(recordfile.ErrWrongIdentity, "the votes are another voter's")
	// ErrNewerFormat says that the file is of a format version that this program does not know.
	ErrNewerFormat error = recordfile.Errorf(recordfile.ErrNewerFormat, "the votes are of a format that this program does not know")
	// ErrDamaged says that the file is damaged before its end. It is left as it is for a person to look at.
	ErrDamaged error = recordfile.Errorf(recordfile.ErrDamaged, "the votes are damaged")
	// ErrLocked says that a live process has the file.
	ErrLocked error = recordfile.Errorf(vfs.ErrLocked, "another process has these votes")
)

// faultAt is a fault at an offset of a file whose path is put in by InFile.
func faultAt(offset int, err error) error {
	return &recordfile.FileError{Offset: int64(offset), Err: err}
}
