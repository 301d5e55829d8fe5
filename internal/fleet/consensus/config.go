package consensus

import (
	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Config of one voter. Times are seconds.
type Config struct {
	ID                uint64
	Voters            []uint64
	VoterGeneration   uint64 // generation of Voters: those of the highest one that ever led are the quorum
	Timing            lease.Timing
	HeartbeatInterval float64 // of a tick; a leader's sign of life comes with each
	RebalanceInterval float64 // between looks at who should have what
	Allocation        allocation.Config
	MaxControllers    int // controllers
	Generation        uint64
	Quantities        []state.Quantity
	Tasks             []state.Task
	ScheduledJobs     []string // scheduled ones
	Boot              uint64   // of this voter: never that of an earlier one on the same disk
}
