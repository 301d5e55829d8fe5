// Package raftlog keeps on disk what a raft voter must not forget: its term and vote, the log and the latest snapshot,
// and which starts of the other voters it has met. A file holds records one after another, each with its length and a
// checksum; docs/notes/fleet-votes.md describes the bytes.
//
// What Save has returned from is synced where the output asks for it. A file whose last record is torn is cut there, for
// nothing that was acted on can be in it; one that is damaged before its end is refused and left as it is.
//
// A Log is used from one goroutine, and its file is locked for one process.
package raftlog
