package consensus

import (
	"fmt"
	"strings"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// workSim simulates the shared work of a fleet in virtual time. Each controller sends effects to a target in its shards of
// one task, and runs scheduled jobs in its shards of another. The target remembers the highest fencing token of each shard
// and records every effect that arrives.
type workSim struct {
	shardCount int // shards of assignment.HealthChecks, if more than simShards
	*sim
	highestFence    map[assignment.ShardID]uint64 // highest fencing token that the target has accepted
	fencedEffects   int                           // number of effects with a lower fencing token
	lateEffects     int                           // number of accepted effects whose controller no longer owned the shard
	runEffects      map[string]int                // number of effects of each run, by job and due time
	onStep          func(controller *simController, step string)
	previous        map[uint64]*state.Machine // state of each voter at the previous check
	effectViolation string
	checkedAt       float64
	arrivals        []effectArrival
}

// effectArrival is an effect that arrived at a target, which accepted or refused it.
type effectArrival struct {
	shard             assignment.ShardID
	fence             uint64
	sentAt, arrivedAt float64
	accepted          bool
}

// simWorker is the shared work of one incarnation of a controller.
type simWorker struct {
	callbacks       map[uint64]func(rejection string, ok bool) // by the number of the proposal
	lastNumber      uint64
	histories       map[string]assignment.JobHistory // by job
	busy            map[string]bool                  // by job: an action is in progress
	appliedOverride uint64
	pending         map[uint64]Proposal
}

// noFencing is a defect: owners don't check their ownership before an effect, and targets ignore fencing tokens.
const noFencing = "neither ownership check nor fencing"

// simShards is the number of shards of each of the two tasks.
const simShards = 6

var simJobs = []string{"a", "b", "c", "d"}

func (s *sim) tasks() []state.Task {
	if s.sharedWork == nil {
		return nil
	}
	return []state.Task{{Name: assignment.HealthChecks, Shards: max(s.sharedWork.shardCount, simShards)}, {Name: assignment.ScheduledJobs, Shards: simShards}}
}

// newWorkSim returns a fleet with shared work. The jobs before "c" are non-idempotent.
func newWorkSim(seed uint64, voters, controllers int, defect string) *sim {
	w := &workSim{highestFence: map[assignment.ShardID]uint64{}, runEffects: map[string]int{}, previous: map[uint64]*state.Machine{}}
	return newSimWith(seed, voters, controllers, defect, w)
}

func (w *workSim) startOwner(controller *simController) {
	controller.owner = assignment.NewOwner(0.05, 0.25)
	controller.worker = &simWorker{callbacks: map[uint64]func(string, bool){}, histories: map[string]assignment.JobHistory{}, busy: map[string]bool{}, pending: map[uint64]Proposal{}}
	starts, owner, worker := controller.starts, controller.owner, controller.worker
	var heartbeat func()
	heartbeat = func() {
		if controller.starts != starts || controller.dead {
			return
		}
		w.atController(controller, func() {
			if controller.owner != owner {
				return
			}
			owner.Heartbeat(w.controllerClock(controller))
			w.workInShards(controller, worker)
		})
		w.schedule(0.05*(0.9+0.2*w.random.Float64()), heartbeat)
	}
	w.schedule(0.05*w.random.Float64(), heartbeat)
}

func (w *workSim) addReport(controller *simController, request *LeaseRequest) {
	request.WorkCapacity, request.AppliedOverride = 1, controller.worker.appliedOverride
	if controller.owner.Heartbeat(w.controllerClock(controller)); w.defect == "shards returned while busy" {
		for _, assigned := range controller.owner.Assignments() {
			if assigned.Recalled {
				request.ReturnedShards = append(request.ReturnedShards, ShardAssignment{assigned.Task, assigned.Index, assigned.Fence, true})
			}
		}
		return
	}
	for _, returned := range controller.owner.Returned() {
		request.ReturnedShards = append(request.ReturnedShards, ShardAssignment{returned.Task, returned.Index, returned.Fence, true})
	}
}

func (w *workSim) updateOwner(controller *simController, requestedAt float64, response LeaseResponse) {
	expiresAt := controller.lease.ExpiresAt()
	if w.defect == "lease counted from the response" {
		requestedAt = w.controllerClock(controller)
		expiresAt = requestedAt + w.timing.TTL*1.5
	}
	var assignments []assignment.Assignment
	for _, shard := range response.Shards {
		assignments = append(assignments, assignment.Assignment{ShardID: assignment.ShardID{Task: shard.Task, Index: shard.Shard}, Fence: shard.Fence, Recalled: shard.Recalled})
	}
	controller.owner.Update(w.controllerClock(controller), requestedAt, expiresAt, assignments)
	clear(controller.worker.histories)
	for _, job := range response.ScheduledJobs {
		history := assignment.JobHistory{LastDue: job.LastDue}
		for _, run := range job.OpenRuns {
			history.OpenRuns = append(history.OpenRuns, assignment.OpenRun{Due: run.Due, Sent: run.State == state.RunSent, Uncertain: run.State == state.RunUncertain, Fence: run.Fence, Attempts: run.Attempts})
		}
		controller.worker.histories[job.Name] = history
	}
	for _, override := range response.Overrides {
		controller.worker.appliedOverride = max(controller.worker.appliedOverride, override.Number)
	}
}

// atOwner executes a local event of a controller now or, if the controller is frozen, when it resumes. Unlike the messages of
// atController, deferred local events are never lost while the controller lives.
func (w *workSim) atOwner(controller *simController, do func()) {
	switch {
	case controller.dead:
	case controller.frozen:
		controller.deferred = append(controller.deferred, do)
	default:
		do()
	}
}

// workInShards begins the work that a controller may do now in its shards.
func (w *workSim) workInShards(controller *simController, worker *simWorker) {
	now := w.controllerClock(controller)
	for i := range simShards {
		shard := assignment.ShardID{Task: assignment.HealthChecks, Index: i}
		if fence, ok := controller.owner.Begin(now, shard); ok {
			w.reachStep(controller, "begun")
			starts, owner := controller.starts, controller.owner
			w.schedule(0.02*w.random.Float64(), func() { // checks the ownership, then sends the effect
				w.atOwner(controller, func() {
					if controller.starts != starts || controller.owner != owner {
						return
					}
					if owner.Owns(w.controllerClock(controller), shard, fence) || w.defect == noFencing {
						w.reachStep(controller, "checked")
						w.atOwner(controller, func() {
							sentAt := w.now
							w.schedule(w.effectDelay(controller), func() { w.arrive(controller, owner, shard, fence, sentAt) })
						})
					}
					owner.End(shard, fence)
				})
			})
		}
	}
	for _, name := range simJobs {
		w.runJob(controller, worker, name, name < "c")
	}
}

// effectDelay returns how long an effect takes to arrive at its target.
func (w *workSim) effectDelay(controller *simController) float64 {
	if slow := w.slowLinks[controller.name]; slow > 0 {
		return 0.001 + 4*slow*w.random.Float64()
	}
	return 0.001
}

// arrive handles the arrival of an effect at its target.
func (w *workSim) arrive(controller *simController, owner *assignment.Owner, shard assignment.ShardID, fence uint64, sentAt float64) {
	if fence < w.highestFence[shard] {
		if w.fencedEffects++; w.defect != "target ignores fencing tokens" && w.defect != noFencing {
			w.arrivals = append(w.arrivals, effectArrival{shard, fence, sentAt, w.now, false})
			return // refused
		}
		w.effectViolation = fmt.Sprintf("D2: an effect in shard %d with fencing token %d was accepted after %d", shard.Index, fence, w.highestFence[shard])
	}
	w.highestFence[shard] = max(w.highestFence[shard], fence)
	if !owner.Owns(w.controllerClock(controller), shard, fence) {
		w.lateEffects++
	}
	w.arrivals = append(w.arrivals, effectArrival{shard, fence, sentAt, w.now, true})
}

// checkWork returns a violation of D1, D2, D3 or D6, "" if there is none.
func (w *workSim) checkWork() string {
	if w.now < w.checkedAt+0.003 && w.effectViolation == "" { // no overlap of ownership is shorter than that
		return ""
	}
	w.checkedAt = w.now
	for i := range simShards {
		for _, task := range []string{assignment.HealthChecks, assignment.ScheduledJobs} {
			shard, owner := assignment.ShardID{Task: task, Index: i}, ""
			for _, controller := range w.controllers {
				if controller.dead || controller.owner == nil {
					continue
				}
				if fence, ok := controller.owner.Fence(shard); ok && controller.owner.Owns(w.controllerClock(controller), shard, fence) {
					if owner != "" {
						return fmt.Sprintf("D1: at %.3f %s and %s.%d both own shard %d of %s", w.now, owner, controller.name, controller.incarnation, i, task)
					}
					owner = fmt.Sprintf("%s.%d", controller.name, controller.incarnation)
				}
			}
		}
	}
	for key, n := range w.runEffects {
		if name, _, _ := strings.Cut(key, " "); n > 1 && name < "c" {
			return fmt.Sprintf("D3: run %s had %d effects", key, n)
		}
	}
	for id, voter := range w.voters {
		if voter.core == nil {
			delete(w.previous, id)
			continue
		}
		if previous := w.previous[id]; previous != nil && previous.AppliedCommands == voter.core.machine.AppliedCommands {
			continue
		}
		if violation := voter.core.machine.CheckInvariants(w.previous[id]); violation != "" {
			return "D6: " + violation
		}
		w.previous[id] = voter.core.machine.Clone()
	}
	return w.effectViolation
}

// reachStep calls onStep, by which a test can freeze a controller at a named step.
func (w *workSim) reachStep(controller *simController, step string) {
	if w.onStep != nil {
		w.onStep(controller, step)
	}
}

// countOwned returns the number of shards in which some running controller may begin work.
func (w *workSim) countOwned() (count int) {
	for i := range simShards {
		for _, task := range []string{assignment.HealthChecks, assignment.ScheduledJobs} {
			for _, controller := range w.controllers {
				if _, ok := controller.owner.CanBegin(w.controllerClock(controller), assignment.ShardID{Task: task, Index: i}); ok && !controller.dead && !controller.frozen {
					count++
					break
				}
			}
		}
	}
	return count
}

// waitOwned continues without new faults until all shards have owners. It returns how long that took, -1 if the timeout
// expired first.
func (w *workSim) waitOwned(timeout float64) float64 {
	start := w.now
	for w.now < start+timeout && w.violation == "" {
		if w.countOwned() == 2*simShards {
			return w.now - start
		}
		w.run(w.now + 0.01)
	}
	return -1
}
