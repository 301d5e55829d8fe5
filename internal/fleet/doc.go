// Package fleet connects a controller with the others of its fleet. A few controllers are voters, which replicate the
// fleet's state by raft; every controller, voter or not, holds leases on its quotas and on shards of the shared work, and
// renews them at the leader. The package is the shell around the cores beside it (consensus, state, lease, allocation,
// assignment): connections, timers, goroutines and the disk. No client request ever waits for it. docs/notes/fleet.md
// describes each fault and what each side believes during it.
//
// A Member is made by NewMember, configured by SetWorker and OnIndex, and driven by Run, which returns when its context
// ends and every goroutine has stopped.
package fleet
