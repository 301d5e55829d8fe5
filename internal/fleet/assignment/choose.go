package assignment

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Candidate is a controller that may own slices. Weight is its room against the others', 0 for none.
type Candidate struct {
	Name   string
	Weight float64
}

// RoundCapacity rounds a controller's room to quarters, so that a load that swings a little moves nothing.
func RoundCapacity(free float64) float64 {
	if !(free > 0) {
		return 0
	}
	return math.Ceil(min(free, 1)*4) / 4
}

// ChooseOwner gives the place of the controller that should own a slice, -1 where none may. Each slice draws for each
// controller, from their names alone, and the highest draw has it: when one comes or goes only its own slices move, and
// each gets slices by its weight.
func ChooseOwner(duty string, slice int, seats []Candidate) int {
	best, most := -1, 0.0
	for i, s := range seats {
		if !(s.Weight > 0) {
			continue
		}
		h := fnv.New64a()
		h.Write([]byte(duty))
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(slice)))
		h.Write([]byte(s.Name))
		u := (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
		if score := -s.Weight / math.Log(u); best < 0 || score > most {
			best, most = i, score
		}
	}
	return best
}

// mix spreads a hash over all bits; FNV alone leaves the high ones alike for near keys.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// ShardState is a slice as the ledger has it: its owner's place among the seats, -1 where it has none that may hold on.
type ShardState struct {
	Owner    int
	Unowned  bool // nobody's; else one whose owner is not among the seats stays as it is until its lease is over
	Recalled bool
}

// Step is what should become of a slice: given to the seat To, or asked back from its owner.
type Step struct {
	Shard  int
	To     int
	Recall bool
}

// PlanSteps tells what should move now. No more than most slices are asked back at once, so that work goes over step by step.
func PlanSteps(duty string, slices []ShardState, seats []Candidate, most int) (moves []Step) {
	for _, s := range slices {
		if s.Recalled {
			most--
		}
	}
	for i, s := range slices {
		to := ChooseOwner(duty, i, seats)
		switch {
		case to < 0:
		case s.Unowned:
			moves = append(moves, Step{Shard: i, To: to})
		case s.Owner >= 0 && s.Owner != to && !s.Recalled && most > 0:
			moves = append(moves, Step{Shard: i, To: to, Recall: true})
			most--
		}
	}
	return moves
}

// ShardOf is in which of so many slices a piece of work is, by its name.
func ShardOf(name string, slices int) int {
	h := fnv.New64a()
	h.Write([]byte(name))
	return int(mix(h.Sum64()) % uint64(max(slices, 1)))
}

// EngineHash is an engine as controllers tell each other of it, by its name; two that have one mark are probed a little too
// seldom.
func EngineHash(engine string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(engine))
	return uint32(mix(h.Sum64()) >> 32)
}

// The duties there are, and into how many slices each is cut. The number is the program's: what is in which slice may not
// move while owners live.
const (
	HealthChecks  = "probe"   // engines, by name
	ScheduledJobs = "jobs"    // scheduled jobs, by name
	EngineList    = "engines" // the list of engines
)

// ShardCounts is how many slices a duty has; 64 part well among some tens of controllers, and hundreds need no more probers.
var ShardCounts = map[string]int{HealthChecks: 64, ScheduledJobs: 64, EngineList: 1}
