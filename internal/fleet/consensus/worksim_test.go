package consensus

import (
	"fmt"
	"strings"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// workSim is what a fleet in virtual time does as one: each controller has effects at a target in its shards of one task, and
// runs the runs of jobs in those of another. The target keeps the highest fence of each shard and writes down what
// it takes.
type workSim struct {
	shardCount int // shards of probing, where they are more than some
	*sim
	highestFence    map[assignment.ShardID]uint64 // fences that the target has seen
	fencedEffects   int                           // effects that it refused
	lateEffects     int                           // effects of a controller that was the owner no more, at a target that does not check
	runEffects      map[string]int                // runs that ran, by job and time
	onStep          func(h *simController, step string)
	previous        map[uint64]*state.Machine
	effectViolation string
	checkedAt       float64
	arrivals        []effectArrival
}

// effectArrival is an effect at a target, from when it was sent until it was taken or refused.
type effectArrival struct {
	shard             assignment.ShardID
	fence             uint64
	sentAt, arrivedAt float64
	accepted          bool
}

// simOwner is a controller's side.
type simOwner struct {
	callbacks       map[uint64]func(why string, ok bool)
	lastNumber      uint64
	histories       map[string]assignment.JobHistory
	busy            map[string]bool
	appliedOverride uint64
	pending         map[uint64]Proposal
}

// noFencing is a defect: no owner looks again before an effect, and no target keeps a fence.
const noFencing = "neither look nor fence"

// shards of the two tasks here; jobs are named so that each shard has some.
const simShards = 6

var simJobs = []string{"a", "b", "c", "d"}

func (s *sim) tasks() []state.Task {
	if s.sharedWork == nil {
		return nil
	}
	return []state.Task{{Name: assignment.HealthChecks, Shards: max(s.sharedWork.shardCount, simShards)}, {Name: assignment.ScheduledJobs, Shards: simShards}}
}

// newWorkSim makes a fleet with duties. Restartable jobs are those from "c" on.
func newWorkSim(seed uint64, voters, holders int, defect string) *sim {
	w := &workSim{highestFence: map[assignment.ShardID]uint64{}, runEffects: map[string]int{}, previous: map[uint64]*state.Machine{}}
	return newSimWith(seed, voters, holders, defect, w)
}

func (w *workSim) startOwner(controller *simController) {
	controller.owner = assignment.NewOwner(0.05, 0.25)
	controller.worker = &simOwner{callbacks: map[uint64]func(string, bool){}, histories: map[string]assignment.JobHistory{}, busy: map[string]bool{}, pending: map[uint64]Proposal{}}
	starts, own, k := controller.starts, controller.owner, controller.worker
	var beat func()
	beat = func() {
		if controller.starts != starts || controller.dead {
			return
		}
		w.atController(controller, func() {
			if controller.owner != own {
				return
			}
			own.Heartbeat(w.controllerClock(controller))
			w.workInShards(controller, k)
		})
		w.schedule(0.05*(0.9+0.2*w.random.Float64()), beat)
	}
	w.schedule(0.05*w.random.Float64(), beat)
}

func (w *workSim) addReport(controller *simController, request *LeaseRequest) {
	request.WorkCapacity, request.AppliedOverride = 1, controller.worker.appliedOverride
	if controller.owner.Heartbeat(w.controllerClock(controller)); w.defect == "given back while busy" {
		for _, g := range controller.owner.Assignments() {
			if g.Recalled {
				request.ReturnedShards = append(request.ReturnedShards, ShardAssignment{g.Task, g.Index, g.Fence, true})
			}
		}
		return
	}
	for _, g := range controller.owner.Returned() {
		request.ReturnedShards = append(request.ReturnedShards, ShardAssignment{g.Task, g.Index, g.Fence, true})
	}
}

func (w *workSim) takeResponse(controller *simController, asked float64, response LeaseResponse) {
	until := controller.lease.ExpiresAt()
	if w.defect == "renewal counted from the answer" {
		asked = w.controllerClock(controller)
		until = asked + w.timing.TTL*1.5
	}
	var grants []assignment.Assignment
	for _, s := range response.Shards {
		grants = append(grants, assignment.Assignment{ShardID: assignment.ShardID{Task: s.Task, Index: s.Shard}, Fence: s.Fence, Recalled: s.Recalled})
	}
	controller.owner.Update(w.controllerClock(controller), asked, until, grants)
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

// atOwner does the next thing of a controller's own, or once it goes on: none of that is lost, as messages may be.
func (w *workSim) atOwner(controller *simController, do func()) {
	switch {
	case controller.dead:
	case controller.frozen:
		controller.deferred = append(controller.deferred, do)
	default:
		do()
	}
}

// workInShards has a controller do what it may.
func (w *workSim) workInShards(controller *simController, k *simOwner) {
	now := w.controllerClock(controller)
	for i := range simShards {
		shard := assignment.ShardID{Task: assignment.HealthChecks, Index: i}
		if fence, ok := controller.owner.Begin(now, shard); ok {
			w.reachStep(controller, "begun")
			starts, own := controller.starts, controller.owner
			w.schedule(0.02*w.random.Float64(), func() { // the check, and the effect a moment later
				w.atOwner(controller, func() {
					if controller.starts != starts || controller.owner != own {
						return
					}
					if own.Owns(w.controllerClock(controller), shard, fence) || w.defect == noFencing {
						w.reachStep(controller, "checked")
						w.atOwner(controller, func() {
							from := w.now
							w.schedule(w.effectDelay(controller), func() { w.arrive(controller, own, shard, fence, from) })
						})
					}
					own.End(shard, fence)
				})
			})
		}
	}
	for _, name := range simJobs {
		w.runJob(controller, k, name, name < "c")
	}
}

// effectDelay is how long an effect is on its way.
func (w *workSim) effectDelay(controller *simController) float64 {
	if slow := w.slowLinks[controller.name]; slow > 0 {
		return 0.001 + 4*slow*w.random.Float64()
	}
	return 0.001
}

// arrive is when an effect reaches its target.
func (w *workSim) arrive(controller *simController, owner *assignment.Owner, shard assignment.ShardID, fence uint64, sentAt float64) {
	if fence < w.highestFence[shard] {
		if w.fencedEffects++; w.defect != "fence not kept" && w.defect != noFencing {
			w.arrivals = append(w.arrivals, effectArrival{shard, fence, sentAt, w.now, false})
			return // refused
		}
		w.effectViolation = fmt.Sprintf("D2: an effect in slice %d under fence %d after %d", shard.Index, fence, w.highestFence[shard])
	}
	w.highestFence[shard] = max(w.highestFence[shard], fence)
	if !owner.Owns(w.controllerClock(controller), shard, fence) {
		w.lateEffects++
	}
	w.arrivals = append(w.arrivals, effectArrival{shard, fence, sentAt, w.now, true})
}

// checkWork finds what breaks D1, D2, D3 and D6.
func (w *workSim) checkWork() string {
	if w.now < w.checkedAt+0.003 && w.effectViolation == "" { // no overlap of use is shorter
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
						return fmt.Sprintf("D1: at %.3f %s and %s.%d both hold slice %d of %s", w.now, owner, controller.name, controller.incarnation, i, task)
					}
					owner = fmt.Sprintf("%s.%d", controller.name, controller.incarnation)
				}
			}
		}
	}
	for key, n := range w.runEffects {
		if name, _, _ := strings.Cut(key, " "); n > 1 && name < "c" {
			return fmt.Sprintf("D3: the occurrence %s had %d effects", key, n)
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
		if wrong := voter.core.machine.CheckInvariants(w.previous[id]); wrong != "" {
			return "D6: " + wrong
		}
		w.previous[id] = voter.core.machine.Clone()
	}
	return w.effectViolation
}

// reachStep lets a test freeze a controller at a named point.
func (w *workSim) reachStep(controller *simController, step string) {
	if w.onStep != nil {
		w.onStep(controller, step)
	}
}

// countOwned counts the shards that some live controller may act in.
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

// waitOwned plays on without faults until all shards have owners, and tells how long that took, -1 for too long.
func (w *workSim) waitOwned(timeout float64) float64 {
	from := w.now
	for w.now < from+timeout && w.violation == "" {
		if w.countOwned() == 2*simShards {
			return w.now - from
		}
		w.run(w.now + 0.01)
	}
	return -1
}
