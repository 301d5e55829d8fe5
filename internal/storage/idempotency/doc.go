// Package idempotency stores what a controller has to know about its requests across its own crashes: for each idempotency
// key that a client repeats with every try, which attempts were made where, how they ended and what was answered. It decides
// whether a request with a key may run. The request may be new, be answered already, be in progress in another try, or
// possibly have run; or it may run again, given what is known of its earlier attempts. Package admission decides when and
// where a request runs.
//
// The package does no I/O and reads no clock. Times are in seconds, are passed with each call, and never go back while the
// machine runs. How much time passed over a reboot is unknown: it counts as none for the retention of records, and as too
// much for the window of an idempotency key. The state of an Index is a function of the log records that it returned. Replay
// accepts them in any later process, also twice, and also records that an expiry has made void.
//
// An Index and its records are used from one goroutine, or under a lock of the owner.
//
// Invariants, which tests refer to by name: P1, a non-idempotent request with an attempt that may have run never runs again.
// P2, a key has one final answer while it is stored, the same each time. P3, retries of a request with an idempotency key
// know its first attempt that may have run. P4, to make room only records of idempotent requests are dropped early, never one
// of another request that may have run. P5, a replayed index is at least as strict as the one that wrote the log.
package idempotency
