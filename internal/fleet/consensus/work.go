package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// workState is what a leader knows about shared work beyond the replicated state. It belongs to a Core. reset clears what
// controllers have reported when leadership changes. Times are seconds.
type workState struct {
	lastProposalID uint64
	proposals      map[uint64]Proposal // proposals whose commands have not been applied or rejected yet, by id
	unproposed     []uint64            // ids of the proposals that are not in the log yet
	results        []ProposalResult    // results for the next Ready

	reports       map[state.ControllerID]workReport
	revoking      map[state.ControllerID][]ShardAssignment // shards being revoked; their owners get no grants
	taskFirstSeen map[string]float64                       // time at which this leader first saw the task
	enginesPolled map[state.ControllerID][]uint32          // hashes of the engines that it recently polled
	pollerCounts  map[uint32]int                           // number of controllers that recently polled an engine, never 0
	assignedAt    float64
}

// workReport is a controller's latest report about shared work.
type workReport struct {
	capacity        float64 // from 0 to 1
	appliedOverride uint64  // number of the latest override that it has applied
}

// Limits on reported engines, and the layout of proposal ids.
const (
	maxEnginesPolled      = 256 // per controller
	widelyPolledThreshold = 3   // with this many polling controllers an engine may have less frequent health checks

	proposalBootShift = 32 // a proposal's id consists of the voter's boot number and a counter
)

func (w *workState) init(boot uint64) {
	w.lastProposalID = boot << proposalBootShift // so that a log entry of an earlier boot matches no proposal of this one
	w.proposals = map[uint64]Proposal{}
	w.reports = map[state.ControllerID]workReport{}
	w.revoking = map[state.ControllerID][]ShardAssignment{}
	w.taskFirstSeen = map[string]float64{}
	w.enginesPolled = map[state.ControllerID][]uint32{}
	w.pollerCounts = map[uint32]int{}
}

// recordEnginesPolled replaces the recorded engines that a controller has recently polled.
func (w *workState) recordEnginesPolled(id state.ControllerID, engines []uint32) {
	for _, engine := range w.enginesPolled[id] {
		w.pollerCounts[engine]--
		if w.pollerCounts[engine] <= 0 {
			delete(w.pollerCounts, engine)
		}
	}
	if len(engines) == 0 {
		delete(w.enginesPolled, id)
		return
	}
	engines = engines[:min(len(engines), maxEnginesPolled)]
	w.enginesPolled[id] = engines
	for _, engine := range engines {
		w.pollerCounts[engine]++
	}
}

// reset clears the reports of controllers. It is called when leadership changes and when a leader has stalled. Leases that
// earlier leaders granted on the tasks that exist were requested no later than priorLeaseBound.
func (w *workState) reset(now, priorLeaseBound float64, tasks map[string][]state.Shard) {
	clear(w.reports)
	clear(w.revoking)
	clear(w.taskFirstSeen)
	clear(w.enginesPolled)
	clear(w.pollerCounts)
	for task := range tasks {
		w.taskFirstSeen[task] = priorLeaseBound
	}
	w.assignedAt = now
}

// removeController drops the records of a controller that is no longer a member.
func (w *workState) removeController(id state.ControllerID) {
	delete(w.reports, id)
	delete(w.revoking, id)
	w.recordEnginesPolled(id, nil)
}

// widelyPolled returns the engines that at least widelyPolledThreshold controllers have recently polled.
func (w *workState) widelyPolled() (engines []uint32) {
	for _, engine := range slices.Sorted(maps.Keys(w.pollerCounts)) {
		if w.pollerCounts[engine] >= widelyPolledThreshold {
			engines = append(engines, engine)
		}
	}
	return engines
}

// recordWorkReport records what a request reports about shared work, and proposes to release the shards that it returns.
func (c *Core) recordWorkReport(request LeaseRequest) {
	id := request.Controller
	c.work.reports[id] = workReport{capacity: request.WorkCapacity, appliedOverride: request.AppliedOverride}
	c.work.recordEnginesPolled(id, request.EnginesPolled)
	for _, returned := range request.ReturnedShards {
		shards := c.machine.Shards[returned.Task]
		if returned.Shard < 0 || returned.Shard >= len(shards) {
			continue
		}
		if shard := shards[returned.Shard]; shard.Owner == id && shard.Fence == returned.Fence {
			c.enqueue(state.ReleaseShard{Owner: id, Task: returned.Task, Shard: returned.Shard, Fence: returned.Fence}.Command())
		}
	}
}

// addSharedWork adds to a response the shards that the controller owns, and the overrides and lists that are new to it.
func (c *Core) addSharedWork(request LeaseRequest, response *LeaseResponse) {
	jobShards, checksHealth := map[int]bool{}, false
	for _, task := range slices.Sorted(maps.Keys(c.machine.Shards)) {
		for i, shard := range c.machine.Shards[task] {
			if shard.Owner != request.Controller {
				continue
			}
			response.Shards = append(response.Shards, ShardAssignment{Task: task, Shard: i, Fence: shard.Fence, Recalled: shard.Recalled})
			jobShards[i] = jobShards[i] || task == assignment.ScheduledJobs
			checksHealth = checksHealth || task == assignment.HealthChecks
		}
	}
	if checksHealth {
		response.WidelyPolled = c.work.widelyPolled()
	}
	response.ScheduledJobs = c.jobsInShards(jobShards)
	for _, override := range c.machine.SortedOverrides() {
		if override.Number > request.AppliedOverride {
			response.Overrides = append(response.Overrides, override)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.machine.Lists)) {
		if list := c.machine.Lists[name]; list.Version > request.ListVersions[name] {
			response.Lists = append(response.Lists, PublishedList{Name: name, Fence: list.Fence, Version: list.Version, Data: list.Data})
		}
	}
}

// jobsInShards returns the scheduled jobs in the owned shards of assignment.ScheduledJobs, with their open runs.
func (c *Core) jobsInShards(owned map[int]bool) (jobs []ScheduledJob) {
	shards := len(c.machine.Shards[assignment.ScheduledJobs])
	if shards == 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(c.machine.ScheduledJobs)) {
		if !owned[assignment.ShardOf(name, shards)] {
			continue
		}
		stored := c.machine.ScheduledJobs[name]
		job := ScheduledJob{Name: name, LastDue: stored.LastDue, Restored: stored.Listing == state.ListingRestored}
		for _, run := range stored.Runs {
			if !run.State.Finished() {
				job.OpenRuns = append(job.OpenRuns, run)
			}
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// AppliedOverride returns the number of the latest override that a controller has applied, 0 if this voter does not lead.
func (c *Core) AppliedOverride(id state.ControllerID) uint64 {
	return c.work.reports[id].appliedOverride
}
