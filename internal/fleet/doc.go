// Package fleet connects a controller with the other controllers of its fleet. A few controllers are voters, which replicate
// the fleet's state by raft. Every controller, voter or not, holds leases on its quotas and on shards of the shared work, and
// renews them at the leader. The decisions are made by packages without I/O (consensus, state, lease, allocation and
// assignment); this package provides their connections, timers, goroutines and disk. No client request ever waits for it.
// docs/notes/fleet.md describes each fault and what each side believes during it.
//
// A Member is created by NewMember and configured by SetWorker and OnIndex. Its Run method returns once its context has
// ended and every goroutine has stopped.
package fleet
