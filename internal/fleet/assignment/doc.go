// Package assignment decides which controller works on which shard of the shared tasks. choose.go is the leader's side: it
// chooses the controller that should own a shard. owner.go is the owner's side: it decides what the owner may begin now, by
// the owner's monotonic clock. schedule.go decides what happens to the due times of a scheduled job. The package does no I/O
// and reads no clock: times are seconds and are passed to each call. It is not safe for concurrent use: its callers use one
// goroutine or a lock.
//
// Invariants, which tests refer to by these numbers:
//
//   - D1: two processes never both own a shard at the same instant, by any clock within the drift bound. A process owns a
//     shard until its lease expires or it learns that it has lost the shard.
//   - D2: a target that checks fencing tokens accepts no effect under a token lower than one it has seen.
//   - D3: a run of a non-idempotent job has at most one effect.
//   - D4: a shard without an owner gets one while a quorum of voters is alive.
//   - D5: without a quorum, owners stop and no controller takes over.
//   - D6: fencing tokens never decrease.
package assignment
