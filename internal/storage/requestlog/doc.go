// Package requestlog stores what has to survive a restart of the controller: outstanding requests, sent retries and learned
// state. Package idempotency decides whether a request with an idempotency key may run, package wal defines the file format,
// and package maintenance schedules background work. This package owns the goroutine that writes to disk, which batches many
// records into one sync.
//
// A slow or failing disk delays only requests that need a record. Such a request waits for a bounded time; then it is
// rejected, or sent without its record, as the settings say. After a failed write or sync nothing is written to that file
// again: once the disk accepts writes, a snapshot of everything in memory is written.
//
// The methods of Store and Request may be called from any goroutine, except Run, which is called once and returns when its
// context ends. Open and Compact require that no other process has the directory open.
package requestlog
