package assignment

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// The shared tasks, by the names under which the state knows them.
const (
	HealthChecks  = "probe"   // of engines; an engine's name gives its shard
	ScheduledJobs = "jobs"    // a job's name gives its shard
	EngineList    = "engines" // publishing the list of engines
)

// ShardCounts is how many shards each task has. It may not change while shards have owners, because work would move
// between shards. 64 divide well among some tens of controllers, and hundreds of controllers need no more owners.
var ShardCounts = map[string]int{HealthChecks: 64, ScheduledJobs: 64, EngineList: 1}

// Candidate is a controller that may own shards.
type Candidate struct {
	Name   string
	Weight float64 // its capacity against the others', 0 for none
}

// capacitySteps is in how many steps a capacity is told.
const capacitySteps = 4

// RoundCapacity rounds a capacity from 0 to 1 up to quarters, so that a load that swings a little moves no shard.
func RoundCapacity(free float64) float64 {
	if !(free > 0) {
		return 0
	}
	return math.Ceil(min(free, 1)*capacitySteps) / capacitySteps
}

// ChooseOwner gives the index of the candidate that should own a shard, -1 where none may. It is weighted rendezvous
// hashing: each shard draws a score for each candidate from their names, and the highest score wins. When a candidate
// comes or goes only its own shards move, and each gets shards by its weight.
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

// drawUniform draws a number between 0 and 1, neither included, that depends on its arguments alone.
func drawUniform(task string, shard int, name string) float64 {
	const mantissaBits = 53
	hash := fnv.New64a()
	hash.Write([]byte(task))
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(shard)))
	hash.Write([]byte(name))
	return (float64(mix(hash.Sum64())>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mix spreads a hash over all bits: FNV alone leaves the high ones alike for similar keys. It is the finalizer of
// MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// ShardOf is the shard of a piece of work, by its name, among so many shards.
func ShardOf(name string, shards int) int {
	return int(hashName(name) % uint64(max(shards, 1)))
}

// EngineHash stands for an engine in what controllers report of the engines that they read. Two engines with one hash are
// checked a little too seldom.
func EngineHash(engine string) uint32 {
	return uint32(hashName(engine) >> 32)
}

func hashName(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return mix(hash.Sum64())
}

// ShardState is a shard as the replicated state has it.
type ShardState struct {
	Owner    int  // index of its owner among the candidates, -1 for none of them
	Unowned  bool // it has no owner; one whose owner is no candidate stays until that one's lease has expired
	Recalled bool
}

// Step is a change that should be made: the shard is assigned to a candidate, or recalled from its owner for it.
type Step struct {
	Shard  int
	To     int // index of the candidate
	Recall bool
}

// PlanSteps gives the steps to take now. At most maxRecalled shards are recalled at a time, so that work moves gradually.
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
