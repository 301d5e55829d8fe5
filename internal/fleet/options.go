package fleet

import (
	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Voter is one of the few controllers that replicate the fleet's state.
type Voter struct {
	Name, Address string
	Number        uint64 // identifies the voter's disk; a new disk gets a new number
}

// Options are the operator's settings of a fleet. They are set by Declare and extended by other sections of the settings.
// Times are seconds. Without voters there is no fleet.
type Options struct {
	Name              string // name of the fleet; members of another fleet are rejected
	Self              string // this controller's name
	Voters            []Voter
	VoterGeneration   uint64  // generation of Voters, raised with each change of them
	Listen            string  // address at which this voter listens, "" for its address in Voters
	Directory         string  // directory of a voter's raft log
	Lease             float64 // time to live of a lease
	MaxDrift          float64 // largest fraction by which one machine's clock may run faster than another's
	Linger            float64 // longest time for which the requests of a lost controller may still run
	HeartbeatInterval float64 // interval between a leader's heartbeats
	RebalanceInterval float64 // interval between computations of the allocations
	Reserve           float64 // fraction of each quantity that is held back for controllers that join later
	Hysteresis        float64 // fraction of an even share; an allocation isn't changed by less
	FloorFraction     float64 // fraction of each quantity that is reserved for floors
	MaxControllers    int
	Generation        uint64  // generation of Quantities, Tasks and ScheduledJobs, raised with each change of them
	DivideEngines     bool    // whether each controller's share of the engines follows its demand
	RetryBudget       float64 // fleet-wide limit of retries and hedges in any window, beyond their share of requests; 0 for none

	Quantities    []state.Quantity // added by AddOccupancy and AddRate
	Tasks         []state.Task
	ScheduledJobs []string // names
}

// AddOccupancy adds a quantity whose use lasts until the request that uses it ends. The caller chooses its unit.
func (o *Options) AddOccupancy(name string, total float64) {
	o.Quantities = append(o.Quantities, state.Quantity{Name: name, Total: total, FloorReserve: total * o.FloorFraction})
}

// AddRate adds a quantity of which at most the total may be used within any window. The window is in seconds.
func (o *Options) AddRate(name string, total, window float64) {
	o.Quantities = append(o.Quantities, state.Quantity{Name: name, Kind: state.Rate, Total: total, FloorReserve: total * o.FloorFraction, Window: window})
}

// Enabled reports whether a fleet is configured. It may be called on nil.
func (o *Options) Enabled() bool { return o != nil && len(o.Voters) > 0 }

// voterID returns this controller's number as a voter, 0 if it is not a voter.
func (o *Options) voterID() uint64 { return o.ownVoter().Number }

// ownVoter returns this controller's entry in Voters, or the zero value if it is not a voter.
func (o *Options) ownVoter() Voter {
	for _, voter := range o.Voters {
		if voter.Name == o.Self {
			return voter
		}
	}
	return Voter{}
}

// voterAddress returns the address of a voter, "" if it isn't configured.
func (o *Options) voterAddress(number uint64) string {
	for _, voter := range o.Voters {
		if voter.Number == number {
			return voter.Address
		}
	}
	return ""
}

// floorOf returns how much of a quantity a controller may use without a lease. It is an even share of the floor reserve
// among twice MaxControllers, because a lost controller may still be using its floor when its next incarnation uses its own.
func (o *Options) floorOf(quantity state.Quantity) float64 {
	return quantity.FloorReserve / float64(2*o.MaxControllers)
}

func (o *Options) leaseTiming() lease.Timing {
	return lease.Timing{TTL: o.Lease, MaxDrift: o.MaxDrift, Linger: o.Linger}
}

// consensusConfig returns the configuration of this voter's consensus core, without Boot, which the raft log provides.
func (o *Options) consensusConfig() consensus.Config {
	config := consensus.Config{
		ID:                o.voterID(),
		VoterGeneration:   o.VoterGeneration,
		Timing:            o.leaseTiming(),
		HeartbeatInterval: o.HeartbeatInterval,
		RebalanceInterval: o.RebalanceInterval,
		Allocation:        allocation.Config{Reserve: o.Reserve, Hysteresis: o.Hysteresis},
		MaxControllers:    o.MaxControllers,
		Generation:        o.Generation,
		Quantities:        o.Quantities,
		Tasks:             o.Tasks,
		ScheduledJobs:     o.ScheduledJobs,
	}
	for _, voter := range o.Voters {
		config.Voters = append(config.Voters, voter.Number)
	}
	return config
}
