// Package fairshare implements a hierarchical weighted fair queue with quotas. It precedes the admission controller:
// requests wait in the queues of their teams, and are admitted to the controller in weighted fair order as its capacity
// and the teams' budgets allow.
//
// Sibling teams are ordered by start-time fair queueing, with estimated work divided by weight as the cost of a request.
// A team that uses less than its guaranteed memory goes before its siblings, and aging improves the start tag of a team
// that has not been served for a long time. Budgets limit memory, running requests and queued requests at each level of
// the tree. A request of high priority may preempt a running idempotent one. Each request gets an estimate of its queue
// time, corrected by the error of earlier estimates.
//
// The package does not decide where a request runs, whether it is retried, or what the admission controller rejects.
//
// It does no I/O, reads no clock and starts no goroutines. The methods that handle events take the current time, in
// seconds on a clock of the caller's choice, and return decisions. A Scheduler must not be used by more than one goroutine
// at a time. Work is in seconds on one core, memory in MB.
package fairshare
