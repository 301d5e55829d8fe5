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

func (w *workSim) startOwner(h *simController) {
	h.owner = assignment.NewOwner(0.05, 0.25)
	h.worker = &simOwner{callbacks: map[uint64]func(string, bool){}, histories: map[string]assignment.JobHistory{}, busy: map[string]bool{}, pending: map[uint64]Proposal{}}
	life, own, k := h.starts, h.owner, h.worker
	var beat func()
	beat = func() {
		if h.starts != life || h.dead {
			return
		}
		w.atController(h, func() {
			if h.owner != own {
				return
			}
			own.Heartbeat(w.controllerClock(h))
			w.workInShards(h, k)
		})
		w.schedule(0.05*(0.9+0.2*w.random.Float64()), beat)
	}
	w.schedule(0.05*w.random.Float64(), beat)
}

func (w *workSim) addReport(h *simController, a *LeaseRequest) {
	a.WorkCapacity, a.AppliedOverride = 1, h.worker.appliedOverride
	if h.owner.Heartbeat(w.controllerClock(h)); w.defect == "given back while busy" {
		for _, g := range h.owner.Assignments() {
			if g.Recalled {
				a.ReturnedShards = append(a.ReturnedShards, ShardAssignment{g.Task, g.Index, g.Fence, true})
			}
		}
		return
	}
	for _, g := range h.owner.Returned() {
		a.ReturnedShards = append(a.ReturnedShards, ShardAssignment{g.Task, g.Index, g.Fence, true})
	}
}

func (w *workSim) takeResponse(h *simController, asked float64, a LeaseResponse) {
	until := h.lease.ExpiresAt()
	if w.defect == "renewal counted from the answer" {
		asked = w.controllerClock(h)
		until = asked + w.timing.TTL*1.5
	}
	var grants []assignment.Assignment
	for _, s := range a.Shards {
		grants = append(grants, assignment.Assignment{ShardID: assignment.ShardID{Task: s.Task, Index: s.Shard}, Fence: s.Fence, Recalled: s.Recalled})
	}
	h.owner.Update(w.controllerClock(h), asked, until, grants)
	clear(h.worker.histories)
	for _, j := range a.ScheduledJobs {
		v := assignment.JobHistory{LastDue: j.LastDue}
		for _, r := range j.OpenRuns {
			v.OpenRuns = append(v.OpenRuns, assignment.OpenRun{Due: r.Due, Sent: r.State == state.RunSent, Uncertain: r.State == state.RunUncertain, Fence: r.Fence, Attempts: r.Attempts})
		}
		h.worker.histories[j.Name] = v
	}
	for _, o := range a.Overrides {
		h.worker.appliedOverride = max(h.worker.appliedOverride, o.Number)
	}
}

// atOwner does the next thing of a controller's own, or once it goes on: none of that is lost, as messages may be.
func (w *workSim) atOwner(h *simController, do func()) {
	switch {
	case h.dead:
	case h.frozen:
		h.deferred = append(h.deferred, do)
	default:
		do()
	}
}

// workInShards has a controller do what it may.
func (w *workSim) workInShards(h *simController, k *simOwner) {
	now := w.controllerClock(h)
	for i := range simShards {
		slot := assignment.ShardID{Task: assignment.HealthChecks, Index: i}
		if fence, ok := h.owner.Begin(now, slot); ok {
			w.reachStep(h, "begun")
			life, own := h.starts, h.owner
			w.schedule(0.02*w.random.Float64(), func() { // the check, and the effect a moment later
				w.atOwner(h, func() {
					if h.starts != life || h.owner != own {
						return
					}
					if own.Owns(w.controllerClock(h), slot, fence) || w.defect == noFencing {
						w.reachStep(h, "checked")
						w.atOwner(h, func() {
							from := w.now
							w.schedule(w.effectDelay(h), func() { w.arrive(h, own, slot, fence, from) })
						})
					}
					own.End(slot, fence)
				})
			})
		}
	}
	for _, name := range simJobs {
		w.runJob(h, k, name, name < "c")
	}
}

// effectDelay is how long an effect is on its way.
func (w *workSim) effectDelay(h *simController) float64 {
	if slow := w.slowLinks[h.name]; slow > 0 {
		return 0.001 + 4*slow*w.random.Float64()
	}
	return 0.001
}

// arrive is when an effect reaches its target.
func (w *workSim) arrive(h *simController, own *assignment.Owner, slot assignment.ShardID, fence uint64, from float64) {
	if fence < w.highestFence[slot] {
		if w.fencedEffects++; w.defect != "fence not kept" && w.defect != noFencing {
			w.arrivals = append(w.arrivals, effectArrival{slot, fence, from, w.now, false})
			return // refused
		}
		w.effectViolation = fmt.Sprintf("D2: an effect in slice %d under fence %d after %d", slot.Index, fence, w.highestFence[slot])
	}
	w.highestFence[slot] = max(w.highestFence[slot], fence)
	if !own.Owns(w.controllerClock(h), slot, fence) {
		w.lateEffects++
	}
	w.arrivals = append(w.arrivals, effectArrival{slot, fence, from, w.now, true})
}

// checkWork finds what breaks D1, D2, D3 and D6.
func (w *workSim) checkWork() string {
	if w.now < w.checkedAt+0.003 && w.effectViolation == "" { // no overlap of use is shorter
		return ""
	}
	w.checkedAt = w.now
	for i := range simShards {
		for _, duty := range []string{assignment.HealthChecks, assignment.ScheduledJobs} {
			slot, holds := assignment.ShardID{Task: duty, Index: i}, ""
			for _, h := range w.controllers {
				if h.dead || h.owner == nil {
					continue
				}
				if fence, ok := h.owner.Fence(slot); ok && h.owner.Owns(w.controllerClock(h), slot, fence) {
					if holds != "" {
						return fmt.Sprintf("D1: at %.3f %s and %s.%d both hold slice %d of %s", w.now, holds, h.name, h.incarnation, i, duty)
					}
					holds = fmt.Sprintf("%s.%d", h.name, h.incarnation)
				}
			}
		}
	}
	for key, n := range w.runEffects {
		if name, _, _ := strings.Cut(key, " "); n > 1 && name < "c" {
			return fmt.Sprintf("D3: the occurrence %s had %d effects", key, n)
		}
	}
	for id, v := range w.voters {
		if v.core == nil {
			delete(w.previous, id)
			continue
		}
		if was := w.previous[id]; was != nil && was.AppliedCommands == v.core.machine.AppliedCommands {
			continue
		}
		if wrong := v.core.machine.CheckInvariants(w.previous[id]); wrong != "" {
			return "D6: " + wrong
		}
		w.previous[id] = v.core.machine.Clone()
	}
	return w.effectViolation
}

// reachStep lets a test freeze a controller at a named point.
func (w *workSim) reachStep(h *simController, step string) {
	if w.onStep != nil {
		w.onStep(h, step)
	}
}

// countOwned counts the shards that some live controller may act in.
func (w *workSim) countOwned() (n int) {
	for i := range simShards {
		for _, duty := range []string{assignment.HealthChecks, assignment.ScheduledJobs} {
			for _, h := range w.controllers {
				if _, ok := h.owner.CanBegin(w.controllerClock(h), assignment.ShardID{Task: duty, Index: i}); ok && !h.dead && !h.frozen {
					n++
					break
				}
			}
		}
	}
	return n
}

// waitOwned plays on without faults until all shards have owners, and tells how long that took, -1 for too long.
func (w *workSim) waitOwned(most float64) float64 {
	from := w.now
	for w.now < from+most && w.violation == "" {
		if w.countOwned() == 2*simShards {
			return w.now - from
		}
		w.run(w.now + 0.01)
	}
	return -1
}
