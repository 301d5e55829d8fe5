// Package wal is the write-ahead log of the store: records in segments that are appended to, and snapshots that hold all
// that the segments before them held. docs/notes/store-files.md describes the bytes. The package does no I/O but through
// a vfs.Dir and knows nothing of what records mean.
//
// Open replays what is there and makes the log ready to be appended to. A snapshot is written step by step beside the
// appending: BeginSnapshot starts a new segment, and Commit removes what the snapshot has taken the place of. It is also
// the way out of a failed disk and of damage.
//
// A Log and its SnapshotWriter are used from one goroutine.
//
// Invariants, named by tests: J1, what Append has returned nil from, with sync, is replayed at the next opening. J2, what
// is replayed is a prefix of what was appended, in order, unless damage is reported. J3, nothing is written to a file
// after one of its writes or syncs has failed. J4, a snapshot takes the place of older files only once it is synced, name
// and all.
package wal
