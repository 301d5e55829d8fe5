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
	VoterGeneration   uint64 // generation of Voters; a leader makes them the members if it is later than the members'
	Timing            lease.Timing
	HeartbeatInterval float64 // interval between calls of Tick, each of which makes a leader send heartbeats
	RebalanceInterval float64 // minimum interval between decisions about quantities and shards
	Allocation        allocation.Config
	MaxControllers    int
	Generation        uint64 // generation of Quantities, Tasks and ScheduledJobs
	Quantities        []state.Quantity
	Tasks             []state.Task
	ScheduledJobs     []string // job names
	Boot              uint64   // number of this start of the voter, never used before with the same disk
}

// configure returns the command that makes this configuration the fleet's.
func (c Config) configure() state.Configure {
	return state.Configure{Generation: c.Generation, Quantities: c.Quantities, Tasks: c.Tasks, ScheduledJobs: c.ScheduledJobs}
}

// Timeouts in heartbeat intervals, and limits on what a core queues.
const (
	reproposeHeartbeats = 20   // after which a leader stops waiting for an uncommitted batch or membership change
	maxPendingCommands  = 4096 // further commands may be dropped, because controllers repeat their requests within a lease
	maxBatchCommands    = 512  // about 40 KB
	maxRejections       = 100  // kept for TakeRejections
)
