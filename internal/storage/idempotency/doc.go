// Package idempotency is what a controller remembers of its requests, over its own crashes: under the idempotency key that
// a client repeats with each try, which attempts were made where, what came of them and what was answered. It decides
// whether a request that comes under a key may run: it is new, its answer is there, another try of it is in progress, it
// may have run, or it may run again with what is known of earlier attempts. Where and whether it then runs is decided by
// package admission.
//
// The package has no I/O and reads no clock: times are seconds, passed with each call, that never go back while the machine
// runs. Over a reboot the time that passed is unknown: then none is taken to have passed for the retention of records, and
// too much for the window of an idempotency key. The state of an Index is a function of the log records that it gave out;
// Replay takes them again, also twice, and also some that an expiry made void.
//
// An Index and its records are used from one goroutine, or under their owner's lock.
//
// Invariants, named by tests: P1, a non-idempotent request of which an attempt may have run never runs again. P2, one
// final answer is given for a key while it is kept, the same each time. P3, the retries of a request with an idempotency
// key know its first attempt that may have run. P4, nothing that may have run is dropped before its time for want of
// room. P5, a replay of what was logged is as strict as what logged it.
package idempotency
