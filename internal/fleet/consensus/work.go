package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

type workState struct {
	lastProposalID uint64
	proposals      map[uint64]Proposal // acts in the log, by their refs
	unproposed     []uint64            // of those, not proposed yet
	results        []ProposalResult
	reports        map[state.ControllerID]workReport
	revoking       map[state.ControllerID][]ShardAssignment // that are being taken from it: its lease may not be renewed meanwhile
	taskFirstSeen  map[string]float64                       // when this leader first saw a duty
	enginesRead    map[state.ControllerID][]uint32
	readerCounts   map[uint32]int // controllers that have read an engine of late; none that is 0 is kept
	assignedAt     float64
}

// workReport is what a controller told last.
type workReport struct {
	capacity        float64
	appliedOverride uint64
}

func (d *workState) init(life uint64) {
	d.lastProposalID = life << 32 // an entry of an earlier life of this voter names none that waits now
	d.proposals, d.reports, d.revoking, d.taskFirstSeen = map[uint64]Proposal{}, map[state.ControllerID]workReport{}, map[state.ControllerID][]ShardAssignment{}, map[string]float64{}
	d.enginesRead, d.readerCounts = map[state.ControllerID][]uint32{}, map[uint32]int{}
}

// Engines that a controller may name as read, and how many have to for one that owners need to probe seldom.
const (
	maxEnginesRead      = 256
	widelyReadThreshold = 3
)

// recordEnginesRead takes what a controller has read of late, in place of what it had before.
func (d *workState) recordEnginesRead(h state.ControllerID, engines []uint32) {
	for _, e := range d.enginesRead[h] {
		if d.readerCounts[e]--; d.readerCounts[e] <= 0 {
			delete(d.readerCounts, e)
		}
	}
	if len(engines) == 0 {
		delete(d.enginesRead, h)
		return
	}
	engines = engines[:min(len(engines), maxEnginesRead)]
	d.enginesRead[h] = engines
	for _, e := range engines {
		d.readerCounts[e]++
	}
}

// reset is for a leader that has just begun, or has stood still: it knows nothing of those who ask. What leaders before
// it gave of a duty that is there was asked for before a time.
func (d *workState) reset(now, before float64, there map[string][]state.Shard) {
	clear(d.reports)
	clear(d.revoking)
	clear(d.taskFirstSeen)
	clear(d.enginesRead)
	clear(d.readerCounts)
	for duty := range there {
		d.taskFirstSeen[duty] = before
	}
	d.assignedAt = now
}

// forget lets go of a controller that the ledger does not know any more.
func (d *workState) forget(h state.ControllerID) {
	delete(d.reports, h)
	delete(d.revoking, h)
	d.recordEnginesRead(h, nil)
}

// recordWorkReport takes what an ask says of duties.
func (c *Core) recordWorkReport(a LeaseRequest) {
	c.work.reports[a.Controller] = workReport{a.WorkCapacity, a.AppliedOverride}
	c.work.recordEnginesRead(a.Controller, a.EnginesRead)
	for _, s := range a.ReturnedShards {
		if held := c.machine.Shards[s.Task]; s.Shard >= 0 && s.Shard < len(held) && held[s.Shard].Owner == a.Controller && held[s.Shard].Fence == s.Fence {
			c.enqueue(state.Command{Op: state.OpReleaseShard, Controller: a.Controller, Subject: s.Task, Shard: s.Shard, Number: s.Fence})
		}
	}
}

// addSharedWork adds to an answer what its asker owns and what is new to it.
func (c *Core) addSharedWork(a LeaseRequest, answer *LeaseResponse) {
	mine, probes := map[int]bool{}, false
	for _, duty := range slices.Sorted(maps.Keys(c.machine.Shards)) {
		for i, s := range c.machine.Shards[duty] {
			if s.Owner == a.Controller {
				answer.Shards = append(answer.Shards, ShardAssignment{duty, i, s.Fence, s.Recalled})
				mine[i] = mine[i] || duty == assignment.ScheduledJobs
				probes = probes || duty == assignment.HealthChecks
			}
		}
	}
	if probes {
		for _, e := range slices.Sorted(maps.Keys(c.work.readerCounts)) {
			if c.work.readerCounts[e] >= widelyReadThreshold {
				answer.WidelyRead = append(answer.WidelyRead, e)
			}
		}
	}
	if n := len(c.machine.Shards[assignment.ScheduledJobs]); n > 0 {
		for _, name := range slices.Sorted(maps.Keys(c.machine.ScheduledJobs)) {
			if !mine[assignment.ShardOf(name, n)] {
				continue
			}
			j := c.machine.ScheduledJobs[name]
			view := ScheduledJob{Name: name, LastDue: j.LastDue}
			for _, r := range j.Runs {
				if !r.State.Finished() {
					view.OpenRuns = append(view.OpenRuns, r)
				}
			}
			answer.ScheduledJobs = append(answer.ScheduledJobs, view)
		}
	}
	for _, o := range c.machine.SortedOverrides() {
		if o.Number > a.AppliedOverride {
			answer.Overrides = append(answer.Overrides, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.machine.Lists)) {
		if p := c.machine.Lists[name]; p.Version > a.ListVersions[name] {
			answer.Lists = append(answer.Lists, PublishedList{name, p.Fence, p.Version, p.Data})
		}
	}
}

// AppliedOverride tells the latest order that each controller has taken up, where this voter leads.
func (c *Core) AppliedOverride(h state.ControllerID) uint64 { return c.work.reports[h].appliedOverride }
