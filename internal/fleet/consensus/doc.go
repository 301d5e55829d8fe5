// Package consensus implements the core of one voter. It replicates the fleet's state machine by raft with the other voters
// and, while it leads, answers the controllers' lease requests, divides quantities, assigns shards and expires controllers.
// It does no I/O and reads no clock. Like etcd's raft, it is driven by one goroutine of its caller, which passes in messages,
// requests and the time, and carries out what Ready returns:
//
//	core.Tick(now), core.Step(now, message), core.HandleLeaseRequest(now, request) or core.HandleProposal(now, proposal)
//	for core.HasReady() {
//		ready := core.Ready()
//		// Store ready.HardState, ready.Entries and ready.Snapshot, synced;
//		// then send ready.Messages; then deliver ready.Responses and ready.Results.
//		core.Advance(now)
//	}
//
// Times are seconds of any monotonic clock. Tick is called once per Config.HeartbeatInterval.
//
// A leader grants a lease only after a quorum has confirmed that it still leads (raft's ReadIndex). The lease starts at the
// time of the request, which is before that confirmation. A new leader bounds the time at which any earlier leader may last
// have been confirmed. It takes nothing away from a controller until a lease, the allowance for clock drift and the longest
// run time have passed since then.
package consensus
