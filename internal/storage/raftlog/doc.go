// Package raftlog stores the durable state of a raft voter: its term and vote, the log, the latest snapshot, and the starts
// of the other voters that it has met. A file is a sequence of records, each with its length and a checksum;
// docs/notes/fleet-votes.md describes the file format.
//
// Save syncs its records before it returns if the raft output requires that. If the last record of a file is torn, it is cut
// off, because nothing can have been acted on that depends on it. A file that is damaged before its end is rejected and left
// unchanged.
//
// A Log is used from one goroutine, and its file is locked for one process.
package raftlog
