package consensus

import (
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// LeaseRequest asks for new leases on everything that a controller holds. Each controller sends several within a lease.
type LeaseRequest struct {
	Controller    state.ControllerID `msgpack:"Holder"`
	Number        uint64             `msgpack:"Number"`     // rises with each request of an incarnation
	Generation    uint64             `msgpack:"Generation"` // of the controller's configuration, whose digest is ConfigDigest
	ConfigDigest  uint64             `msgpack:"Digest"`
	Quantities    []state.Quantity   `msgpack:"Quantities"` // of its configuration; they count where Generation is later than the fleet's
	Tasks         []state.Task       `msgpack:"Duties"`     // as Quantities
	ScheduledJobs []string           `msgpack:"Jobs"`
	Demands       []Demand           `msgpack:"Demands"`
	Leaving       bool               `msgpack:"Leaves"` // nothing is in use any more: the controller gives everything back

	WorkCapacity    float64           `msgpack:"Room"`   // for shared work, from 0 to 1
	ReturnedShards  []ShardAssignment `msgpack:"Back"`   // recalled ones in which nothing is in progress
	AppliedOverride uint64            `msgpack:"Orders"` // number of the latest one that it has applied
	ListVersions    map[string]uint64 `msgpack:"Lists"`  // of the published lists that it has, by name
	EnginesPolled   []uint32          `msgpack:"Read"`   // hashes of the engines that it has recently polled for its own requests
}

// Demand is what a controller reports of one quantity.
type Demand struct {
	Quantity   string  `msgpack:"Name"`
	Revision   uint64  `msgpack:"Number"` // of the allocation that it keeps to, 0 where that was reported before
	Used       float64 `msgpack:"Used"`
	Wanted     float64 `msgpack:"Wanted"`
	Weight     float64 `msgpack:"Weight"`
	Guaranteed float64 `msgpack:"Least"`

	recentPeak float64 // of Used and Wanted, halving with each lease, so that allocations don't follow every swing; kept by the leader
}

// Status is the outcome of a request or proposal.
type Status int

// The outcomes. Only the first grants anything.
const (
	StatusGranted            Status = iota
	StatusNotLeader                 // the response names the Leader, 0 for not known
	StatusRetry                     // ask again soon: the controller has just joined, or is being expired
	StatusStaleIncarnation          // a later one, named in the response, is known: start above it
	StatusReplaced                  // a later incarnation has joined under the name
	StatusGenerationMismatch        // another configuration is known under the same generation
	StatusFleetFull                 // no further controller may join
)

// LeaseResponse answers a lease request. What is granted holds for a lease from when the request was made.
type LeaseResponse struct {
	To              state.ControllerID `msgpack:"To"`
	Number          uint64             `msgpack:"Number"`
	Status          Status             `msgpack:"Word"`
	Leader          uint64             `msgpack:"Leader"`
	Incarnation     uint64             `msgpack:"Incarnation"`
	Generation      uint64             `msgpack:"Generation"`
	Index           int                `msgpack:"Index"` // of this controller among the members
	LiveControllers int                `msgpack:"Alive"`
	IndexCount      int                `msgpack:"Numbers"` // one past the highest index in use
	Grants          []lease.Grant      `msgpack:"Grants"`

	Shards        []ShardAssignment `msgpack:"Slices"`
	ScheduledJobs []ScheduledJob    `msgpack:"Jobs"` // in the shards of scheduled jobs that this controller owns
	Overrides     []state.Override  `msgpack:"Orders"`
	Lists         []PublishedList   `msgpack:"Lists"`
	WidelyPolled  []uint32          `msgpack:"Known"` // for owners of health check shards: hashes of the engines that several controllers poll for their own requests
}

// ShardAssignment tells an owner of one of its shards; with a request, that it returns it.
type ShardAssignment struct {
	Task     string `msgpack:"Duty"`
	Shard    int    `msgpack:"At"`
	Fence    uint64 `msgpack:"Fence"`
	Recalled bool   `msgpack:"Recall"`
}

// ScheduledJob tells the owner of a scheduled job's shard about the job.
type ScheduledJob struct {
	Name     string      `msgpack:"Name"`
	LastDue  int64       `msgpack:"Last"` // the latest due time, in Unix seconds, that was claimed or skipped
	OpenRuns []state.Run `msgpack:"Open"`
}

// PublishedList is a published list, for a controller that has an earlier version.
type PublishedList struct {
	Name    string `msgpack:"Name"`
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// Proposal is a command that the owner of a shard, or an operator, wants applied to the state.
type Proposal struct {
	Controller state.ControllerID `msgpack:"Holder"` // the zero value for an operator
	Number     uint64             `msgpack:"Number"` // the proposer's own; the result carries it
	Command    state.Command      `msgpack:"Command"`
}

// ProposalResult answers a proposal once its command has been applied or rejected. A proposal whose result was lost may be
// repeated: applying a command twice does no harm.
type ProposalResult struct {
	To        state.ControllerID `msgpack:"To"`
	Number    uint64             `msgpack:"Number"`
	Status    Status             `msgpack:"Word"`   // StatusGranted, StatusNotLeader or StatusRetry
	Leader    uint64             `msgpack:"Leader"` // with StatusNotLeader
	Rejection string             `msgpack:"Why"`    // why the state machine rejected the command, "" where it was applied
}
