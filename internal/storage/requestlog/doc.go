// Package requestlog has outstanding requests, retry limits and learned state outlive the controller. Whether a request
// that comes under an idempotency key may run is decided by package idempotency, how the files look by package wal, and
// when background work goes by package maintenance; this package owns the goroutine that writes, many records with one
// sync.
//
// A disk that is slow or fails delays nothing that needs no record. What needs one waits for a bounded time, and is then
// rejected or sent all the same, as the settings say. After a failed write or sync nothing is written to that file again:
// a snapshot of everything in memory is written once the disk takes it.
//
// The methods of Store and Request may be called from any goroutine, but for Run, which is called once and ends with its
// context. Open and Compact are called while no other has the directory.
package requestlog
