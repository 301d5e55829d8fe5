// Package assignment decides which controller works on which shard of the shared tasks. choose.go is the leader's side:
// which controller should own a shard. owner.go is the owner's side: what it may begin now, by its own monotonic clock.
// schedule.go decides what happens to the due times of a scheduled job. The package does no I/O and reads no clock: times
// are seconds and are passed with each call. It is used from one goroutine, or under its caller's lock.
//
// Invariants, which tests refer to by these numbers:
//
//   - D1: at no instant do two processes both own a shard that neither has been told it lost, by any clock within the
//     drift bound.
//   - D2: a target that checks fencing tokens takes no effect under a token lower than one it has seen.
//   - D3: a run of a non-idempotent job has at most one effect.
//   - D4: a shard without an owner gets one while a quorum of voters is alive.
//   - D5: without a quorum owners stop and nobody takes over.
//   - D6: fencing tokens never go back.
package assignment
