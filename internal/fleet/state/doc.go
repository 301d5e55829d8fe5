// Package state is the replicated state machine of a fleet of controllers: which controllers are members, which
// quantities are divided among them and who holds how much, who owns which shard of the shared work, what operators have
// overridden, and the lists published to all. It is a pure function of a log of commands that every voter applies in the
// same order: no clock, no I/O, no random choice. A command that would break an invariant changes nothing and returns an
// error, whoever proposed it.
//
// Invariants, which CheckInvariants verifies by these numbers:
//
//   - L1: what controllers may still be using of a quantity (Allocation.Committed) never sums to more than its total less
//     the floor reserve. Only when the total was lowered below what was committed may the sum be above it, and then it
//     only falls.
//   - L2: a controller's allocated amount is never above what is committed to it.
//   - L3: revisions of an allocation only rise.
//   - L4: incarnations of a name only rise; each is forgotten by one OpExpire alone.
//   - L5: fencing tokens only rise, over the whole state.
//   - L6: a shard is assigned only while it has no owner.
//   - L7: a run of a non-idempotent job is sent under one fencing token at most, unless an operator or its sender has
//     reported that nothing ran.
//   - L8: a command under a fencing token that is not its shard's present one has no effect, except the outcome of a run
//     that was sent.
package state
