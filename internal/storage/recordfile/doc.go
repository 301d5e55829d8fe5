// Package recordfile holds what the write-ahead log and the raft log have in common: files that begin with a magic word and a
// version, to which checksummed records are appended, and whose end may be torn by a crash.
//
// An incomplete record is either torn or damaged. A torn record was being written when the process or the machine stopped:
// nothing that depends on it was acted on, and it may be cut off. If a complete record follows anywhere behind it, the record
// counts as damaged, because then something that was written earlier is lost.
//
// The package does no I/O and keeps no state: its functions may be called from any goroutine.
package recordfile
