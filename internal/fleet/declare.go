package fleet

import (
	"fmt"
	"net"

	"copperrock.example/copperrock/internal/config/schema"
)

// SectionText is what the section of the settings is for.
const SectionText = "controllers that act as one; docs/operators/fleet.md"

// Limits on settings.
const (
	maxVoters            = 7
	minVoters            = 3
	maxSettingsName      = 64   // bytes
	maxDirectoryPath     = 4096 // bytes
	minLeaseInHeartbeats = 20   // so that an election fits into a lease
)

// Declare declares the section of the operator's settings, in the order in which docs/settings.md lists it.
func (o *Options) Declare(section *schema.Object) {
	section.String(&o.Name, "name", "the fleet's; controllers and voters of another name are not talked to", schema.Default("fleet"), schema.Length(maxSettingsName))
	o.declareVoters(section)
	section.String(&o.Listen, "listen", "address at which this voter listens, where it is not that in voters", schema.Check(checkAddress))
	section.String(&o.Directory, "folder", "where a voter keeps its votes, on a disk that outlives it", schema.Default("fleet"), schema.Length(maxDirectoryPath))
	o.declareTiming(section)
	o.declareDivision(section)
	o.declareGenerations(section)
	section.Bool(&o.DivideEngines, "engines", "each controller's share of the engines goes by its demand", schema.Default(false))
	section.Number(&o.RetryBudget, "further", "further dispatches beyond the share of jobs taken that any window may hold over the whole fleet, in place of further_free at each controller; 0 for no such figure", schema.Default(0.0), schema.Between(0, 1e9))
	o.check(section)
}

func (o *Options) declareVoters(section *schema.Object) {
	section.List("voters", "three or five controllers that keep what the fleet agrees on; without any there is no fleet", maxVoters, func(entry *schema.Object, i int) {
		voter := Voter{}
		entry.String(&voter.Name, "name", "as that controller's own settings have it", schema.Required(), schema.Length(maxSettingsName))
		entry.String(&voter.Address, "address", "address and port at which it is reached", schema.Required(), schema.Check(checkAddress))
		number := i + 1
		schema.Integer(entry, &number, "number", "of its disk, by default its place in the list; a voter whose disk was lost comes back under one never used before", schema.Default(i+1), schema.Between(1, 1e6))
		for _, other := range o.Voters {
			if other.Name == voter.Name || other.Address == voter.Address {
				entry.AddError("name", "%s at %s stands there twice", voter.Name, voter.Address)
			}
			if other.Number == uint64(number) {
				entry.AddError("number", "%d is %s's", number, other.Name)
			}
		}
		voter.Number = uint64(max(number, 1))
		o.Voters = append(o.Voters, voter)
	})
}

func (o *Options) declareTiming(section *schema.Object) {
	section.Number(&o.Lease, "lease", "for which a part holds without a word; a lost controller's part is divided anew after it and linger", schema.Default(2.0), schema.Between(0.2, 600), schema.Unit("s"))
	section.Number(&o.MaxDrift, "drift", "by which one machine's clock may run faster than another's", schema.Default(0.001), schema.Between(0, 0.1))
	section.Number(&o.Linger, "linger", "for which what a lost controller has sent may still run; the longest job timeout is safe", schema.Default(30.0), schema.Between(0, 86400), schema.Unit("s"))
	section.Number(&o.HeartbeatInterval, "beat", "between a leader's signs of life; another is elected after some ten", schema.Default(0.05), schema.Between(0.005, 5), schema.Unit("s"))
	section.Number(&o.RebalanceInterval, "divide", "between looks at who should have what", schema.Default(0.25), schema.Between(0.01, 60), schema.Unit("s"))
}

func (o *Options) declareDivision(section *schema.Object) {
	section.Number(&o.Reserve, "reserve", "part of what is divided kept for newcomers", schema.Default(0.05), schema.Between(0, 0.5))
	section.Number(&o.Hysteresis, "still", "part of an even part under which a difference moves nothing", schema.Default(0.1), schema.Between(0, 1))
	section.Number(&o.FloorFraction, "floors", "part of what is divided set aside for controllers that are cut off, evenly", schema.Default(0.0), schema.Between(0, 0.9))
	schema.Integer(section, &o.MaxControllers, "controllers", "that the fleet may have; floors are parted by it", schema.Default(100), schema.Between(1, 100000))
}

func (o *Options) declareGenerations(section *schema.Object) {
	generation, voterGeneration := 1, 1
	schema.Integer(section, &generation, "generation", "of what is divided: raised with each change of it, the same at every controller", schema.Default(1), schema.Between(1, 1e9))
	o.Generation = uint64(max(generation, 1))
	schema.Integer(section, &voterGeneration, "voting", "generation of the voters: raised with each change of their names or numbers", schema.Default(1), schema.Between(1, 1e9))
	o.VoterGeneration = uint64(max(voterGeneration, 1))
}

// check finds settings that don't fit together.
func (o *Options) check(section *schema.Object) {
	switch count := len(o.Voters); {
	case count == 0:
	case count%2 == 0 || count < minVoters:
		section.AddError("voters", "are %d; three, five or seven can lose one, two or three", count)
	case o.HeartbeatInterval*minLeaseInHeartbeats > o.Lease:
		section.AddError("beat", "is over a twentieth of the lease: a change of leaders would cost leases")
	}
}

func checkAddress(text string) error {
	if _, _, err := net.SplitHostPort(text); err != nil {
		return fmt.Errorf("%q is no address with a port", text)
	}
	return nil
}
