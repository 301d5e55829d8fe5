package fleet

import (
	"fmt"
	"net"

	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Voter is one of the few controllers that keep the ledger. Its number is its disk's: another disk is another number.
type Voter struct {
	Name, Address string
	Number        uint64
}

// Options are the operator's settings of a fleet. Times are seconds. Without voters there is none.
type Options struct {
	Name              string // of the fleet: nobody talks to another one
	Self              string // this controller's name
	Voters            []Voter
	VoterGeneration   uint64 // generation of Voters
	Listen            string // this voter's own, "" for that under its name
	Directory         string // for votes, of a voter
	Lease             float64
	MaxDrift          float64
	Linger            float64
	HeartbeatInterval float64
	RebalanceInterval float64
	Reserve           float64
	Hysteresis        float64
	FloorFraction     float64
	MaxControllers    int
	Generation        uint64
	DivideEngines     bool
	FurtherAttempts   float64 // dispatches that any window may hold beyond the share of jobs taken, over the whole fleet

	// Quantities that other sections name, by what they divide.
	Quantities []state.Quantity

	// Tasks that the fleet does as one, and its scheduled jobs by name.
	Tasks         []state.Task
	ScheduledJobs []string
}

// Declare declares the section.
func (f *Options) Declare(o *schema.Object) {
	seconds := func(to *float64, name, text string, fallback, low, high float64) {
		o.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
	}
	o.String(&f.Name, "name", "the fleet's; controllers and voters of another name are not talked to", schema.Default("fleet"), schema.Length(64))
	o.List("voters", "three or five controllers that keep what the fleet agrees on; without any there is no fleet", 7, func(o *schema.Object, i int) {
		v := Voter{}
		o.String(&v.Name, "name", "as that controller's own settings have it", schema.Required(), schema.Length(64))
		o.String(&v.Address, "address", "address and port at which it is reached", schema.Required(), schema.Check(checkAddress))
		number := i + 1
		schema.Integer(o, &number, "number", "of its disk, by default its place in the list; a voter whose disk was lost comes back under one never used before", schema.Default(i+1), schema.Between(1, 1e6))
		for _, other := range f.Voters {
			if other.Name == v.Name || other.Address == v.Address {
				o.AddError("name", "%s at %s stands there twice", v.Name, v.Address)
			}
			if other.Number == uint64(number) {
				o.AddError("number", "%d is %s's", number, other.Name)
			}
		}
		v.Number = uint64(max(number, 1))
		f.Voters = append(f.Voters, v)
	})
	o.String(&f.Listen, "listen", "address at which this voter listens, where it is not that in voters", schema.Check(checkAddress))
	o.String(&f.Directory, "folder", "where a voter keeps its votes, on a disk that outlives it", schema.Default("fleet"), schema.Length(4096))
	seconds(&f.Lease, "lease", "for which a part holds without a word; a lost controller's part is divided anew after it and linger", 2, 0.2, 600)
	o.Number(&f.MaxDrift, "drift", "by which one machine's clock may run faster than another's", schema.Default(0.001), schema.Between(0, 0.1))
	seconds(&f.Linger, "linger", "for which what a lost controller has sent may still run; the longest job timeout is safe", 30, 0, 86400)
	seconds(&f.HeartbeatInterval, "beat", "between a leader's signs of life; another is elected after some ten", 0.05, 0.005, 5)
	seconds(&f.RebalanceInterval, "divide", "between looks at who should have what", 0.25, 0.01, 60)
	o.Number(&f.Reserve, "reserve", "part of what is divided kept for newcomers", schema.Default(0.05), schema.Between(0, 0.5))
	o.Number(&f.Hysteresis, "still", "part of an even part under which a difference moves nothing", schema.Default(0.1), schema.Between(0, 1))
	o.Number(&f.FloorFraction, "floors", "part of what is divided set aside for controllers that are cut off, evenly", schema.Default(0.0), schema.Between(0, 0.9))
	schema.Integer(o, &f.MaxControllers, "controllers", "that the fleet may have; floors are parted by it", schema.Default(100), schema.Between(1, 100000))
	generation := 1
	schema.Integer(o, &generation, "generation", "of what is divided: raised with each change of it, the same at every controller", schema.Default(1), schema.Between(1, 1e9))
	f.Generation = uint64(max(generation, 1))
	voting := 1
	schema.Integer(o, &voting, "voting", "generation of the voters: raised with each change of their names or numbers", schema.Default(1), schema.Between(1, 1e9))
	f.VoterGeneration = uint64(max(voting, 1))
	o.Bool(&f.DivideEngines, "engines", "each controller's share of the engines goes by its demand", schema.Default(false))
	o.Number(&f.FurtherAttempts, "further", "further dispatches beyond the share of jobs taken that any window may hold over the whole fleet, in place of further_free at each controller; 0 for no such figure", schema.Default(0.0), schema.Between(0, 1e9))
	switch n := len(f.Voters); {
	case n == 0:
	case n%2 == 0 || n < 3:
		o.AddError("voters", "are %d; three, five or seven can lose one, two or three", n)
	case f.HeartbeatInterval*20 > f.Lease:
		o.AddError("beat", "is over a twentieth of the lease: a change of leaders would cost leases")
	}
}

func checkAddress(text string) error {
	if _, _, err := net.SplitHostPort(text); err != nil {
		return fmt.Errorf("%q is no address with a port", text)
	}
	return nil
}

// AddOccupancy adds a quantity: its unit is the caller's matter, its floors are set aside.
func (f *Options) AddOccupancy(name string, whole float64) {
	f.Quantities = append(f.Quantities, state.Quantity{Name: name, Total: whole, FloorReserve: whole * f.FloorFraction})
}

// AddRate adds a quantity that comes back with time, over a window in seconds.
func (f *Options) AddRate(name string, whole, window float64) {
	f.Quantities = append(f.Quantities, state.Quantity{Name: name, Kind: state.Rate, Total: whole, FloorReserve: whole * f.FloorFraction, Window: window})
}

// Enabled tells whether there is a fleet.
func (f *Options) Enabled() bool { return f != nil && len(f.Voters) > 0 }

// voterID is this controller's number among the voters, 0 for none.
func (f *Options) voterID() uint64 { return f.ownVoter().Number }

// ownVoter is this controller's entry among the voters, the zero value for none.
func (f *Options) ownVoter() Voter {
	for _, v := range f.Voters {
		if v.Name == f.Self {
			return v
		}
	}
	return Voter{}
}

// voterAddress is where a voter is reached, "" for one that is not named.
func (f *Options) voterAddress(number uint64) string {
	for _, v := range f.Voters {
		if v.Number == number {
			return v.Address
		}
	}
	return ""
}

// floorOf is what a controller may use of a quantity while it is cut off: an even part of what is set aside for as many
// lives again as there may be controllers, since one that was lost may still use its own while the next one starts.
func (f *Options) floorOf(q state.Quantity) float64 {
	return q.FloorReserve / float64(2*f.MaxControllers)
}

func (f *Options) leaseTiming() lease.Timing {
	return lease.Timing{TTL: f.Lease, MaxDrift: f.MaxDrift, Linger: f.Linger}
}

func (f *Options) consensusConfig() consensus.Config {
	set := consensus.Config{ID: f.voterID(), Timing: f.leaseTiming(), HeartbeatInterval: f.HeartbeatInterval, RebalanceInterval: f.RebalanceInterval, Allocation: allocation.Config{Reserve: f.Reserve, Hysteresis: f.Hysteresis},
		MaxControllers: f.MaxControllers, Generation: f.Generation, Quantities: f.Quantities, Tasks: f.Tasks, ScheduledJobs: f.ScheduledJobs, VoterGeneration: f.VoterGeneration}
	for _, v := range f.Voters {
		set.Voters = append(set.Voters, v.Number)
	}
	return set
}

// About is what the section of the settings is for.
const About = "controllers that act as one; docs/operators/fleet.md"
