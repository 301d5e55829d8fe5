package assignment

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// The names of the shared tasks in the replicated state.
const (
	HealthChecks  = "probe"   // health checks of engines; an engine's name determines its shard
	ScheduledJobs = "jobs"    // runs of scheduled jobs; a job's name determines its shard
	EngineList    = "engines" // publishing the list of engines
)

// ShardCounts is the number of shards of each task. A count must not change while shards have owners, because work would
// move between shards. 64 shards divide evenly enough among some tens of controllers, and a fleet of hundreds needs no more
// owners than that.
var ShardCounts = map[string]int{HealthChecks: 64, ScheduledJobs: 64, EngineList: 1}

// Candidate is a controller that may own shards.
type Candidate struct {
	Name   string
	Weight float64 // capacity relative to the other candidates, 0 if it may own no shard
}

// capacitySteps is the number of steps to which a capacity is rounded.
const capacitySteps = 4

// RoundCapacity rounds a capacity between 0 and 1 up to a multiple of a quarter, so that small changes in load move no shard.
func RoundCapacity(free float64) float64 {
	if !(free > 0) {
		return 0
	}
	return math.Ceil(min(free, 1)*capacitySteps) / capacitySteps
}

// ChooseOwner returns the index of the candidate that should own a shard, or -1 if none may. It uses weighted rendezvous
// hashing: a score is computed for each candidate from the shard and the candidate's name, and the highest score wins. Each
// candidate gets shards in proportion to its weight, and when one joins or leaves, only its own shards move.
func ChooseOwner(task string, shard int, candidates []Candidate) int {
	best, highest := -1, 0.0
	for i, candidate := range candidates {
		if !(candidate.Weight > 0) {
			continue
		}
		score := -candidate.Weight / math.Log(drawUniform(task, shard, candidate.Name))
		if best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// drawUniform returns a pseudo-random number between 0 and 1, both excluded, that depends only on its arguments.
func drawUniform(task string, shard int, name string) float64 {
	const mantissaBits = 53
	hash := fnv.New64a()
	hash.Write([]byte(task))
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(shard)))
	hash.Write([]byte(name))
	return (float64(mix(hash.Sum64())>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mix is the finalizer of MurmurHash3. It spreads a hash over all bits, because the high bits of FNV hashes of similar keys
// are alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// ShardOf returns the index, below shards, of the shard to which the work with a name belongs.
func ShardOf(name string, shards int) int {
	return int(hashName(name) % uint64(max(shards, 1)))
}

// EngineHash is the hash that identifies an engine in the controllers' reports of the engines that they poll. If two engines
// have the same hash, their health checks may be less frequent than they should be.
func EngineHash(engine string) uint32 {
	return uint32(hashName(engine) >> 32)
}

func hashName(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return mix(hash.Sum64())
}

// ShardState is the state of a shard in the replicated state.
type ShardState struct {
	Owner    int  // index of the owner among the candidates, -1 if it is none of them
	Unowned  bool // the shard has no owner; false while an owner that is not a candidate may still hold a lease
	Recalled bool
}

// Step is a change to make: assign a shard to a candidate, or recall it from its owner so that the candidate can have it.
type Step struct {
	Shard  int
	To     int // index of the candidate
	Recall bool
}

// PlanSteps returns the steps to take now. At most maxRecalled shards are recalled at a time, so that work moves gradually.
func PlanSteps(task string, shards []ShardState, candidates []Candidate, maxRecalled int) (steps []Step) {
	for _, shard := range shards {
		if shard.Recalled {
			maxRecalled--
		}
	}
	for i, shard := range shards {
		chosen := ChooseOwner(task, i, candidates)
		switch {
		case chosen < 0:
		case shard.Unowned:
			steps = append(steps, Step{Shard: i, To: chosen})
		case shard.Owner >= 0 && shard.Owner != chosen && !shard.Recalled && maxRecalled > 0:
			steps = append(steps, Step{Shard: i, To: chosen, Recall: true})
			maxRecalled--
		}
	}
	return steps
}
