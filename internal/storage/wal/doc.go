// Package wal is the write-ahead log of the store. Records are appended to segments; a snapshot holds everything that the
// segments before it held. docs/notes/store-files.md describes the file format. The package does all I/O through a vfs.Dir
// and does not interpret the records of its user.
//
// Open replays the existing files and makes the log ready for appending. A snapshot is written in steps while records
// continue to be appended: BeginSnapshot starts a new segment, and Commit removes the files that the snapshot replaces.
// Writing a snapshot is also how the log recovers from a failed disk and from damaged files.
//
// A Log and its SnapshotWriter are used from one goroutine.
//
// Invariants, which tests refer to by name: J1, records for which Append with sync has returned nil are replayed at the next
// opening. J2, the replayed records are a prefix of those appended, in order, unless damage is reported. J3, nothing is
// written to a file after one of its writes or syncs has failed. J4, a snapshot replaces older files only once its content
// and its name are synced.
package wal
