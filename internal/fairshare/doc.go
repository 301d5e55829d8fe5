// Package fairshare is a hierarchical weighted fair queue with quotas. It stands ahead of the admission controller:
// requests wait here in the queues of their teams, and are admitted to the controller in weighted fair order as its
// capacity and the teams' budgets allow.
//
// The order among sibling teams is start-time fair queueing by estimated work over weight. A team within its guaranteed
// memory goes before its siblings, and aging betters the tag of a team that has not been served for long. Budgets bound
// memory, running and queued requests at each level of the tree. A queued request of high priority may preempt a running
// idempotent one. Each request gets an estimate of its queue time, corrected by how earlier estimates turned out.
//
// Where a request runs, whether it is retried, and what the admission controller rejects is not decided here.
//
// The package does no I/O, reads no clock and starts no goroutine: each method is told the time, in seconds on a clock
// that the caller chooses, and returns what was decided. A Scheduler is used from one goroutine at a time. Work is in
// seconds on one core, memory in MB.
package fairshare
