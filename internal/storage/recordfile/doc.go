// Package recordfile holds what the write-ahead log and the raft log have in common: files that begin with a magic word
// and a version, to which records with a checksum are appended, and whose end may be torn by a crash.
//
// A record at the end of a file that is not complete is either torn or damaged. A torn one was being written when the
// process or the machine stopped: nothing was acted on that rests on it, and it may be cut off. It counts as damaged
// where a complete record stands anywhere behind it, because then something that had been written before is lost.
//
// The package does no I/O and keeps no state: its functions may be called from any goroutine.
package recordfile
