// Package consensus is the core of one voter: it replicates the fleet's state machine by raft with the other voters and,
// while it leads, answers the controllers' lease requests, divides quantities, assigns shards and expires controllers.
// It does no I/O and reads no clock. Like etcd's raft it is driven from outside, by one goroutine: messages, requests
// and the time go in, and what is to be stored, sent and answered comes out.
//
//	core.Tick(now), core.Step(now, message), core.HandleLeaseRequest(now, request) or core.HandleProposal(now, proposal)
//	for core.HasReady() {
//		ready := core.Ready()
//		// Store ready.HardState, ready.Entries and ready.Snapshot, synced;
//		// then send ready.Messages; then deliver ready.Responses and ready.Results.
//		core.Advance(now)
//	}
//
// Times are seconds of any clock that never goes back; Tick is called once per Config.HeartbeatInterval.
//
// A leader grants a lease only after a quorum has confirmed that it still leads (raft's ReadIndex). A lease counts from
// the time of the request, which lies before that confirmation. A new leader therefore takes nothing away from a
// controller before the lease, the bound on clock drift and the longest run time have passed since any earlier leader may
// last have been confirmed.
package consensus
