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
	Number        uint64 // identifies its disk: another disk is another number
}

// Options are the operator's settings of a fleet, filled by Declare, with what other sections add to them. Times are
// seconds, fractions are of the whole. Without voters there is no fleet.
type Options struct {
	Name              string // of the fleet; members of another one are not accepted
	Self              string // this controller's name
	Voters            []Voter
	VoterGeneration   uint64  // of Voters; raised with each change of them
	Listen            string  // address at which this voter listens, "" for its address in Voters
	Directory         string  // for a voter's raft log
	Lease             float64 // time to live of a lease
	MaxDrift          float64 // by which one machine's clock may run faster than another's, as a fraction
	Linger            float64 // the longest that a lost controller's requests may still run
	HeartbeatInterval float64
	RebalanceInterval float64
	Reserve           float64 // fraction of what is divided that is kept for newcomers
	Hysteresis        float64 // fraction of an even share by which a target must differ to move anything
	FloorFraction     float64 // of what is divided that is reserved for floors
	MaxControllers    int
	Generation        uint64  // of Quantities, Tasks and ScheduledJobs; raised with each change of them
	DivideEngines     bool    // each controller's share of the engines follows its demand
	RetryBudget   float64 // retries and hedged requests, beyond their share of the requests, that the whole fleet may start in any window; 0 for no such limit

	Quantities    []state.Quantity // added by AddOccupancy and AddRate
	Tasks         []state.Task
	ScheduledJobs []string // names
}

// AddOccupancy adds a quantity that is in use until the request that uses it ends. Its unit is the caller's matter.
func (o *Options) AddOccupancy(name string, total float64) {
	o.Quantities = append(o.Quantities, state.Quantity{Name: name, Total: total, FloorReserve: total * o.FloorFraction})
}

// AddRate adds a quantity of which the total may be used within any window, in seconds.
func (o *Options) AddRate(name string, total, window float64) {
	o.Quantities = append(o.Quantities, state.Quantity{Name: name, Kind: state.Rate, Total: total, FloorReserve: total * o.FloorFraction, Window: window})
}

// Enabled tells whether there is a fleet. It may be called on nil.
func (o *Options) Enabled() bool { return o != nil && len(o.Voters) > 0 }

// voterID is this controller's number among the voters, 0 for none.
func (o *Options) voterID() uint64 { return o.ownVoter().Number }

// ownVoter is this controller's entry among the voters, the zero value for none.
func (o *Options) ownVoter() Voter {
	for _, voter := range o.Voters {
		if voter.Name == o.Self {
			return voter
		}
	}
	return Voter{}
}

// voterAddress is where a voter is reached, "" for one that is not configured.
func (o *Options) voterAddress(number uint64) string {
	for _, voter := range o.Voters {
		if voter.Number == number {
			return voter.Address
		}
	}
	return ""
}

// floorOf is what a controller may use of a quantity without a lease: an even share of the reserve among twice as many
// controllers as there may be, since one that was lost may still use its floor while its next incarnation starts.
func (o *Options) floorOf(quantity state.Quantity) float64 {
	return quantity.FloorReserve / float64(2*o.MaxControllers)
}

func (o *Options) leaseTiming() lease.Timing {
	return lease.Timing{TTL: o.Lease, MaxDrift: o.MaxDrift, Linger: o.Linger}
}

// consensusConfig configures this voter's core, except for its boot.
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
