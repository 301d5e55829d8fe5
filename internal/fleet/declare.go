package fleet

import (
	"fmt"
	"net"

	"copperrock.example/copperrock/internal/config/schema"
)

// SectionText describes the section of the settings.
const SectionText = "controllers that share quotas and work; see docs/operators/fleet.md"

// Limits of the settings.
const (
	maxVoters            = 7
	minVoters            = 3
	maxSettingsName      = 64   // bytes
	maxDirectoryPath     = 4096 // bytes
	minLeaseInHeartbeats = 20   // heartbeat intervals in a lease, so that an election takes less time than a lease
)

// Declare declares the settings of the section, in the order in which docs/settings.md lists them.
func (o *Options) Declare(section *schema.Object) {
	section.String(&o.Name, "name", "name of the fleet; controllers and voters of another fleet are rejected", schema.Default("fleet"), schema.MaxLength(maxSettingsName))
	o.declareVoters(section)
	section.String(&o.Listen, "listen", "address at which this voter listens, if it is not the one in voters", schema.Check(checkAddress))
	section.String(&o.Directory, "folder", "directory of a voter's raft log, on a disk that outlives the voter", schema.Default("fleet"), schema.MaxLength(maxDirectoryPath))
	o.declareTiming(section)
	o.declareDivision(section)
	o.declareGenerations(section)
	section.Bool(&o.DivideEngines, "engines", "each controller's share of the engines follows its demand", schema.Default(false))
	section.Number(&o.RetryBudget, "further", "further dispatches that the whole fleet may make in any window, beyond the share of jobs taken; it replaces further_free of each controller; 0 for no such limit", schema.Default(0.0), schema.Between(0, 1e9))
	o.check(section)
}

func (o *Options) declareVoters(section *schema.Object) {
	section.List("voters", "three or five controllers that store the fleet's state; without voters there is no fleet", maxVoters, func(entry *schema.Object, i int) {
		voter := Voter{}
		entry.String(&voter.Name, "name", "the controller's name, as in its own settings", schema.Required(), schema.MaxLength(maxSettingsName))
		entry.String(&voter.Address, "address", "address and port at which the other controllers reach it", schema.Required(), schema.Check(checkAddress))
		number := i + 1
		schema.Integer(entry, &number, "number", "number of its disk, by default its position in the list; a voter whose disk was lost gets a number that was never used before", schema.Default(i+1), schema.Between(1, 1e6))
		for _, other := range o.Voters {
			if other.Name == voter.Name || other.Address == voter.Address {
				entry.AddError("name", "%s at %s: another voter has the same name or address", voter.Name, voter.Address)
			}
			if other.Number == uint64(number) {
				entry.AddError("number", "%d is already the number of %s", number, other.Name)
			}
		}
		voter.Number = uint64(max(number, 1))
		o.Voters = append(o.Voters, voter)
	})
}

func (o *Options) declareTiming(section *schema.Object) {
	section.Seconds(&o.Lease, "lease", "time for which a controller may use its quotas without an answer from the leader; a lost controller's quotas are divided among the others after lease and linger", schema.Default(2.0), schema.Between(0.2, 600))
	section.Number(&o.MaxDrift, "drift", "largest fraction by which one machine's clock may run faster than another's", schema.Default(0.001), schema.Between(0, 0.1))
	section.Seconds(&o.Linger, "linger", "longest time for which the jobs of a lost controller may still run; the longest job timeout is safe", schema.Default(30.0), schema.Between(0, 86400))
	section.Seconds(&o.HeartbeatInterval, "beat", "interval of the leader's heartbeats; another leader is elected after about ten are missed", schema.Default(0.05), schema.Between(0.005, 5))
	section.Seconds(&o.RebalanceInterval, "divide", "interval at which quotas are divided among the controllers again", schema.Default(0.25), schema.Between(0.01, 60))
}

func (o *Options) declareDivision(section *schema.Object) {
	section.Number(&o.Reserve, "reserve", "fraction of what is divided that is held back for controllers that join later", schema.Default(0.05), schema.Between(0, 0.5))
	section.Number(&o.Hysteresis, "still", "fraction of an even share; a quota is not changed by less", schema.Default(0.1), schema.Between(0, 1))
	section.Number(&o.FloorFraction, "floors", "fraction of what is divided that is reserved, in equal parts, for controllers that are cut off", schema.Default(0.0), schema.Between(0, 0.9))
	schema.Integer(section, &o.MaxControllers, "controllers", "largest number of controllers in the fleet; floors are divided by it", schema.Default(100), schema.Between(1, 100000))
}

func (o *Options) declareGenerations(section *schema.Object) {
	generation, voterGeneration := 1, 1
	schema.Integer(section, &generation, "generation", "generation of what is divided: raised with each change of it, and the same at every controller", schema.Default(1), schema.Between(1, 1e9))
	o.Generation = uint64(max(generation, 1))
	schema.Integer(section, &voterGeneration, "voting", "generation of the voters: raised with each change of their names or numbers", schema.Default(1), schema.Between(1, 1e9))
	o.VoterGeneration = uint64(max(voterGeneration, 1))
}

// check reports settings that contradict each other.
func (o *Options) check(section *schema.Object) {
	switch count := len(o.Voters); {
	case count == 0:
	case count%2 == 0 || count < minVoters:
		section.AddError("voters", "are %d, must be three, five or seven: these can lose one, two or three", count)
	case o.HeartbeatInterval*minLeaseInHeartbeats > o.Lease:
		section.AddError("beat", "is more than a twentieth of the lease: leases would expire while a new leader is elected")
	}
}

func checkAddress(text string) error {
	if _, _, err := net.SplitHostPort(text); err != nil {
		return fmt.Errorf("%q is no address with a port", text)
	}
	return nil
}
