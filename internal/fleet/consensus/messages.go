package consensus

import (
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// LeaseRequest is a controller's ask for its parts. Each asks every third of a lease or so.
type LeaseRequest struct {
	Controller    state.ControllerID `msgpack:"Holder"`
	Number        uint64             `msgpack:"Number"`
	Generation    uint64             `msgpack:"Generation"` // of its settings, with their digest
	ConfigDigest  uint64             `msgpack:"Digest"`
	Quantities    []state.Quantity   `msgpack:"Quantities"` // where its generation is later than the one last heard
	Tasks         []state.Task       `msgpack:"Duties"`     // as Quantities
	ScheduledJobs []string           `msgpack:"Jobs"`
	Demands       []Demand           `msgpack:"Demands"`
	Leaving       bool               `msgpack:"Leaves"` // all of its jobs have ended; it gives all back

	WorkCapacity    float64           `msgpack:"Room"`   // for duties, from 0 to 1
	ReturnedShards  []ShardAssignment `msgpack:"Back"`   // slices given back
	AppliedOverride uint64            `msgpack:"Orders"` // the latest order that it has taken up
	ListVersions    map[string]uint64 `msgpack:"Lists"`  // versions of published lists that it has
	EnginesRead     []uint32          `msgpack:"Read"`   // engines whose load its own jobs have had asked of late, by duties.Mark
}

// Demand is what a holder tells of one quantity.
type Demand struct {
	Quantity   string  `msgpack:"Name"`
	Revision   uint64  `msgpack:"Number"` // of the holding that it keeps to, 0 for nothing new
	Used       float64 `msgpack:"Used"`
	Wanted     float64 `msgpack:"Wanted"`
	Weight     float64 `msgpack:"Weight"`
	Guaranteed float64 `msgpack:"Least"`

	recentPeak float64 // the most wanted, fading by half in a lease: parts that chased every moment's demand were always on the move
}

// Status is what an answer says.
type Status int

const (
	StatusGranted            Status = iota
	StatusNotLeader                 // Leader leads, 0 for not known
	StatusRetry                     // soon: it has just joined, or a leader has just begun
	StatusStaleIncarnation          // a later incarnation, Incarnation, is known: start above it
	StatusReplaced                  // another life has taken the name
	StatusGenerationMismatch        // on what is divided, in the same generation
	StatusFleetFull                 // the fleet has its most controllers
)

// LeaseResponse is the answer to an ask.
type LeaseResponse struct {
	To              state.ControllerID `msgpack:"To"`
	Number          uint64             `msgpack:"Number"`
	Status          Status             `msgpack:"Word"`
	Leader          uint64             `msgpack:"Leader"`
	Incarnation     uint64             `msgpack:"Incarnation"`
	Generation      uint64             `msgpack:"Generation"`
	Index           int                `msgpack:"Index"` // of this controller among those kept, and how many live
	LiveControllers int                `msgpack:"Alive"`
	IndexCount      int                `msgpack:"Numbers"` // past the highest index that is kept, or was given up within a lease: none in use is beyond
	Grants          []lease.Grant      `msgpack:"Grants"`

	Shards        []ShardAssignment `msgpack:"Slices"`
	ScheduledJobs []ScheduledJob    `msgpack:"Jobs"` // of the slices of scheduled jobs
	Overrides     []state.Override  `msgpack:"Orders"`
	Lists         []PublishedList   `msgpack:"Lists"`
	WidelyRead    []uint32          `msgpack:"Known"` // to owners of probing: engines that several controllers have read of late
}

// ShardAssignment is one of a duty, as its owner is told of it.
type ShardAssignment struct {
	Task     string `msgpack:"Duty"`
	Shard    int    `msgpack:"At"`
	Fence    uint64 `msgpack:"Fence"`
	Recalled bool   `msgpack:"Recall"`
}

// ScheduledJob is what the owner of a scheduled job's slice is told of the job.
type ScheduledJob struct {
	Name     string      `msgpack:"Name"`
	LastDue  int64       `msgpack:"Last"`
	OpenRuns []state.Run `msgpack:"Open"` // not over
}

// PublishedList is a published list, for those who have not its version.
type PublishedList struct {
	Name    string `msgpack:"Name"`
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// Proposal is something that an owner of slices, or an operator (Holder is none then), has to have in the ledger.
type Proposal struct {
	Controller state.ControllerID `msgpack:"Holder"`
	Number     uint64             `msgpack:"Number"` // the asker's own
	Command    state.Command      `msgpack:"Command"`
}

// ProposalResult is the answer to an act, once it has been carried out or refused. One that is lost on the way may be asked again:
// every command may be given twice.
type ProposalResult struct {
	To        state.ControllerID `msgpack:"To"`
	Number    uint64             `msgpack:"Number"`
	Status    Status             `msgpack:"Word"`   // Granted, Elsewhere or Again
	Leader    uint64             `msgpack:"Leader"` // of Elsewhere
	Rejection string             `msgpack:"Why"`    // it was refused, "" where it was not
}
