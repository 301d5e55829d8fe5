package consensus

import (
	"fmt"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// runJob takes the next step for a job in one of the controller's shards, half a second between runs.
func (w *workSim) runJob(h *simController, k *simOwner, name string, once bool) {
	slot := assignment.ShardID{Task: assignment.ScheduledJobs, Index: assignment.ShardOf(name, simShards)}
	if _, ok := h.owner.CanBegin(w.controllerClock(h), slot); !ok || k.busy[name] {
		return
	}
	v := k.histories[name]
	clock := int64(w.now * 2) // the wall clock, in half seconds
	var due []int64
	for when := max(v.LastDue+1, 4); when <= clock && len(due) < 20; when++ {
		due = append(due, when)
	}
	for _, a := range assignment.NextActions(assignment.JobSpec{CatchUp: assignment.CatchUpPolicy(len(name)+int(name[0]))%3 + 0, Grace: 2, NonIdempotent: once, RetryDelay: 1, MaxAttempts: 50}, v, clock, due,
		assignment.LocalRuns{IsRunning: func(int64) bool { return false }, LastAttempt: func(int64) int64 { return 0 }}) {
		w.carryOut(h, k, name, once, slot, a, v)
		return // one at a time here
	}
}

func (w *workSim) carryOut(h *simController, k *simOwner, name string, once bool, slot assignment.ShardID, a assignment.Action, v assignment.JobHistory) {
	fence, ok := h.owner.Begin(w.controllerClock(h), slot)
	if !ok {
		return
	}
	k.busy[name] = true
	life, own := h.starts, h.owner
	mine := func() bool { return h.starts == life && !h.dead }
	over := func() {
		own.End(slot, fence)
		w.schedule(0.3, func() { delete(k.busy, name) }) // by then a fresh view has come
	}
	again := slices.ContainsFunc(v.OpenRuns, func(o assignment.OpenRun) bool { return o.Due == a.Due && o.Sent })
	c := state.Command{Subject: name, Time: a.Due, Task: slot.Task, Shard: slot.Index, Number: fence, NonIdempotent: once, Rerun: again}
	say := func(op state.Op, state state.RunState, then func(ok bool)) {
		c.Op, c.State = op, state
		w.propose(h, k, c, func(why string, ok bool) {
			if mine() {
				then(ok && why == "")
			}
		})
	}
	switch a.Kind {
	case assignment.ActionSkip:
		say(state.OpSkipRun, 0, func(bool) { over() })
		return
	case assignment.ActionMarkUncertain:
		say(state.OpMarkRunUncertain, 0, func(bool) { over() })
		return
	case assignment.ActionGiveUp:
		over()
		return
	}
	send := func() {
		w.reachStep(h, "sent")
		w.atOwner(h, func() {
			if !mine() {
				return
			}
			if !own.Owns(w.controllerClock(h), slot, fence) {
				say(state.OpFinishRun, state.RunClaimed, func(bool) { over() })
				return
			}
			w.reachStep(h, "about to send")
			w.atOwner(h, func() {
				if !mine() {
					return
				}
				w.schedule(0.001, func() { // it arrives whatever becomes of its sender
					w.runEffects[fmt.Sprintf("%s %d", name, a.Due)]++
				})
				w.reachStep(h, "has sent")
				w.schedule(0.05+0.3*w.random.Float64(), func() {
					w.atOwner(h, func() {
						if mine() {
							say(state.OpFinishRun, state.RunDone, func(bool) { over() })
						}
					})
				})
			})
		})
	}
	say(state.OpClaimRun, 0, func(ok bool) {
		w.reachStep(h, "taken")
		if !ok {
			over()
			return
		}
		if w.defect == "sent before it is recorded" {
			send()
			say(state.OpStartRun, 0, func(bool) {})
			return
		}
		say(state.OpStartRun, 0, func(ok bool) {
			if ok {
				send()
			} else {
				over()
			}
		})
	})
}

// propose has a command carried out, asking again where no answer comes.
func (w *workSim) propose(h *simController, k *simOwner, c state.Command, then func(why string, ok bool)) {
	c.Controller = state.ControllerID{Name: h.name, Incarnation: h.incarnation}
	k.lastNumber++
	number, life := k.lastNumber, h.starts
	k.callbacks[number] = then
	act := Proposal{Controller: c.Controller, Number: number, Command: c}
	tries := 0
	var try func()
	try = func() {
		if h.starts != life || h.dead || k.callbacks[number] == nil {
			return
		}
		if tries++; tries > 40 {
			delete(k.callbacks, number)
			then("", false)
			return
		}
		to := h.leader
		if w.voters[to] == nil {
			to = w.voterIDs[w.random.IntN(len(w.voterIDs))]
		}
		v := w.voters[to]
		w.send(h.name, w.voterName(to), func() {
			w.atVoter(v, func() {
				if v.core != nil {
					w.fail(v.core.HandleProposal(w.now*v.clockRate, act))
					w.drain(v)
				}
			})
		})
		w.schedule(0.2, func() { w.atOwner(h, try) })
	}
	try()
}

func (w *workSim) takeResult(h *simController, a ProposalResult) {
	if h.worker == nil || a.To.Incarnation != h.incarnation || a.Status != StatusGranted {
		return
	}
	if then := h.worker.callbacks[a.Number]; then != nil {
		delete(h.worker.callbacks, a.Number)
		then(a.Rejection, true)
	}
}
