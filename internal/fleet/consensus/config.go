package consensus

import (
	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Config is the configuration of one voter. Times are seconds.
type Config struct {
	ID                uint64
	Voters            []uint64
	VoterGeneration   uint64 // of Voters; those of the highest generation that ever led are the members
	Timing            lease.Timing
	HeartbeatInterval float64 // between calls of Tick; a leader sends a heartbeat with each
	RebalanceInterval float64 // between decisions about quantities and shards
	Allocation        allocation.Config
	MaxControllers    int
	Generation        uint64 // of Quantities, Tasks and ScheduledJobs
	Quantities        []state.Quantity
	Tasks             []state.Task
	ScheduledJobs     []string // names
	Boot              uint64   // number of this start of the voter, never used before on the same disk
}

// configure is the command that makes this configuration the fleet's.
func (c Config) configure() state.Configure {
	return state.Configure{Generation: c.Generation, Quantities: c.Quantities, Tasks: c.Tasks, ScheduledJobs: c.ScheduledJobs}
}

// Intervals that follow from the heartbeat, in heartbeats, and limits on what waits in a core.
const (
	reproposeHeartbeats = 20   // after which a batch, or a membership change, that is not committed is proposed again
	maxPendingCommands  = 4096 // controllers repeat their requests within a lease, so more may be dropped
	maxBatchCommands    = 512  // some 40 KB
	maxRejections       = 100  // remembered for TakeRejections
)
