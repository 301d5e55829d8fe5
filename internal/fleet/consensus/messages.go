package consensus

import (
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// LeaseRequest asks for new leases on everything that a controller holds. A controller sends several within a lease.
type LeaseRequest struct {
	Controller    state.ControllerID `msgpack:"Holder"`
	Number        uint64             `msgpack:"Number"`     // increases with each request of an incarnation
	Generation    uint64             `msgpack:"Generation"` // generation of the controller's configuration
	ConfigDigest  uint64             `msgpack:"Digest"`     // result of the function ConfigDigest for that configuration
	Quantities    []state.Quantity   `msgpack:"Quantities"` // configured quantities, used if Generation is later than the fleet's
	Tasks         []state.Task       `msgpack:"Duties"`     // configured tasks, used like Quantities
	ScheduledJobs []string           `msgpack:"Jobs"`       // names of the configured jobs, used like Quantities
	Demands       []Demand           `msgpack:"Demands"`
	Leaving       bool               `msgpack:"Leaves"` // the controller uses nothing any more and gives everything back

	WorkCapacity    float64           `msgpack:"Room"`   // capacity for shared work, from 0 to 1
	ReturnedShards  []ShardAssignment `msgpack:"Back"`   // recalled shards in which no work is in progress
	AppliedOverride uint64            `msgpack:"Orders"` // number of the latest override that it has applied
	ListVersions    map[string]uint64 `msgpack:"Lists"`  // versions of the published lists that it has, by name
	EnginesPolled   []uint32          `msgpack:"Read"`   // hashes of the engines that it has recently polled for its own requests
}

// Demand is a controller's report about one quantity.
type Demand struct {
	Quantity   string  `msgpack:"Name"`
	Revision   uint64  `msgpack:"Number"` // revision of the allocation that it applies, 0 if the leader settled it
	Used       float64 `msgpack:"Used"`
	Wanted     float64 `msgpack:"Wanted"`
	Weight     float64 `msgpack:"Weight"`
	Guaranteed float64 `msgpack:"Least"`

	// recentPeak is the leader's recent peak of Used and Wanted. It decays by half per lease, so that allocations don't follow
	// every fluctuation.
	recentPeak float64
}

// Status is the outcome of a request or proposal.
type Status int

// The outcomes. Only the first grants anything.
const (
	StatusGranted            Status = iota
	StatusNotLeader                 // this voter does not lead; Leader is the id of the leader, 0 if unknown
	StatusRetry                     // try again soon: the controller is joining or being expired, or too many proposals wait
	StatusStaleIncarnation          // the incarnation is not later than the latest one, given in the response: use a higher number
	StatusReplaced                  // a later incarnation with the same name has joined
	StatusGenerationMismatch        // the fleet has a different configuration with the same generation
	StatusFleetFull                 // no further controller may join
)

// LeaseResponse answers a lease request. The leases that it grants start at the time of the request.
type LeaseResponse struct {
	To              state.ControllerID `msgpack:"To"`
	Number          uint64             `msgpack:"Number"`
	Status          Status             `msgpack:"Word"`
	Leader          uint64             `msgpack:"Leader"`
	Incarnation     uint64             `msgpack:"Incarnation"`
	Generation      uint64             `msgpack:"Generation"`
	Index           int                `msgpack:"Index"` // index of the controller among the members
	LiveControllers int                `msgpack:"Alive"`
	IndexCount      int                `msgpack:"Numbers"` // one more than the highest index in use
	Grants          []lease.Grant      `msgpack:"Grants"`

	Shards        []ShardAssignment `msgpack:"Slices"`
	ScheduledJobs []ScheduledJob    `msgpack:"Jobs"` // scheduled jobs whose shards the controller owns
	Overrides     []state.Override  `msgpack:"Orders"`
	Lists         []PublishedList   `msgpack:"Lists"`
	WidelyPolled  []uint32          `msgpack:"Known"` // hashes of engines that several controllers poll, for health checkers
}

// ShardAssignment is a shard that a controller owns or, in a request, that it returns.
type ShardAssignment struct {
	Task     string `msgpack:"Duty"`
	Shard    int    `msgpack:"At"`
	Fence    uint64 `msgpack:"Fence"`
	Recalled bool   `msgpack:"Recall"`
}

// ScheduledJob is the state of a scheduled job, sent to the owner of its shard.
type ScheduledJob struct {
	Name     string      `msgpack:"Name"`
	LastDue  int64       `msgpack:"Last"` // latest due time, in Unix seconds, that was claimed or skipped
	OpenRuns []state.Run `msgpack:"Open"`
	Restored bool        `msgpack:"Restored,omitempty"` // configured again after it was removed, and not claimed since
}

// PublishedList is a published list, sent to controllers that have an earlier version or none.
type PublishedList struct {
	Name    string `msgpack:"Name"`
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// Proposal is a command that the owner of a shard, or an operator, wants applied to the state.
type Proposal struct {
	Controller state.ControllerID `msgpack:"Holder"` // the zero value for an operator
	Number     uint64             `msgpack:"Number"` // chosen by the proposer, and returned in the result
	Command    state.Command      `msgpack:"Command"`
}

// ProposalResult answers a proposal once its command has been applied or rejected. A proposal whose result was lost may be
// repeated, because applying its command twice is harmless.
type ProposalResult struct {
	To        state.ControllerID `msgpack:"To"`
	Number    uint64             `msgpack:"Number"`
	Status    Status             `msgpack:"Word"`   // StatusGranted, StatusNotLeader or StatusRetry
	Leader    uint64             `msgpack:"Leader"` // set with StatusNotLeader
	Rejection string             `msgpack:"Why"`    // why the command was rejected, "" if it was applied
}
