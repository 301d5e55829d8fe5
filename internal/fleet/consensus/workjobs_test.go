package consensus

import (
	"fmt"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// runJob takes the next step for a job in one of the controller's shards, half a second between runs.
func (w *workSim) runJob(controller *simController, k *simOwner, name string, nonIdempotent bool) {
	shard := assignment.ShardID{Task: assignment.ScheduledJobs, Index: assignment.ShardOf(name, simShards)}
	if _, ok := controller.owner.CanBegin(w.controllerClock(controller), shard); !ok || k.busy[name] {
		return
	}
	history := k.histories[name]
	clock := int64(w.now * 2) // the wall clock, in half seconds
	var due []int64
	for when := max(history.LastDue+1, 4); when <= clock && len(due) < 20; when++ {
		due = append(due, when)
	}
	for _, action := range assignment.NextActions(assignment.JobSpec{CatchUp: assignment.CatchUpPolicy(len(name)+int(name[0]))%3 + 0, Grace: 2, NonIdempotent: nonIdempotent, RetryDelay: 1, MaxAttempts: 50}, history, clock, due,
		assignment.LocalRuns{IsRunning: func(int64) bool { return false }, LastAttempt: func(int64) int64 { return 0 }}) {
		w.carryOut(controller, k, name, nonIdempotent, shard, action, history)
		return // one at a time here
	}
}

func (w *workSim) carryOut(controller *simController, k *simOwner, name string, nonIdempotent bool, shard assignment.ShardID, action assignment.Action, history assignment.JobHistory) {
	fence, ok := controller.owner.Begin(w.controllerClock(controller), shard)
	if !ok {
		return
	}
	k.busy[name] = true
	life, own := controller.starts, controller.owner
	isRunning := func() bool { return controller.starts == life && !controller.dead }
	finish := func() {
		own.End(shard, fence)
		w.schedule(0.3, func() { delete(k.busy, name) }) // by then a fresh view has come
	}
	rerun := slices.ContainsFunc(history.OpenRuns, func(o assignment.OpenRun) bool { return o.Due == action.Due && o.Sent })
	command := state.Command{Subject: name, Time: action.Due, Task: shard.Task, Shard: shard.Index, Number: fence, NonIdempotent: nonIdempotent, Rerun: rerun}
	record := func(op state.Op, state state.RunState, then func(ok bool)) {
		command.Op, command.State = op, state
		w.propose(controller, k, command, func(why string, ok bool) {
			if isRunning() {
				then(ok && why == "")
			}
		})
	}
	switch action.Kind {
	case assignment.ActionSkip:
		record(state.OpSkipRun, 0, func(bool) { finish() })
		return
	case assignment.ActionMarkUncertain:
		record(state.OpMarkRunUncertain, 0, func(bool) { finish() })
		return
	case assignment.ActionGiveUp:
		finish()
		return
	}
	send := func() {
		w.reachStep(controller, "sent")
		w.atOwner(controller, func() {
			if !isRunning() {
				return
			}
			if !own.Owns(w.controllerClock(controller), shard, fence) {
				record(state.OpFinishRun, state.RunClaimed, func(bool) { finish() })
				return
			}
			w.reachStep(controller, "about to send")
			w.atOwner(controller, func() {
				if !isRunning() {
					return
				}
				w.schedule(0.001, func() { // it arrives whatever becomes of its sender
					w.runEffects[fmt.Sprintf("%s %d", name, action.Due)]++
				})
				w.reachStep(controller, "has sent")
				w.schedule(0.05+0.3*w.random.Float64(), func() {
					w.atOwner(controller, func() {
						if isRunning() {
							record(state.OpFinishRun, state.RunDone, func(bool) { finish() })
						}
					})
				})
			})
		})
	}
	record(state.OpClaimRun, 0, func(ok bool) {
		w.reachStep(controller, "taken")
		if !ok {
			finish()
			return
		}
		if w.defect == "sent before it is recorded" {
			send()
			record(state.OpStartRun, 0, func(bool) {})
			return
		}
		record(state.OpStartRun, 0, func(ok bool) {
			if ok {
				send()
			} else {
				finish()
			}
		})
	})
}

// propose has a command carried out, asking again where no answer comes.
func (w *workSim) propose(controller *simController, k *simOwner, command state.Command, then func(why string, ok bool)) {
	command.Controller = state.ControllerID{Name: controller.name, Incarnation: controller.incarnation}
	k.lastNumber++
	number, starts := k.lastNumber, controller.starts
	k.callbacks[number] = then
	proposal := Proposal{Controller: command.Controller, Number: number, Command: command}
	tries := 0
	var try func()
	try = func() {
		if controller.starts != starts || controller.dead || k.callbacks[number] == nil {
			return
		}
		if tries++; tries > 40 {
			delete(k.callbacks, number)
			then("", false)
			return
		}
		to := controller.leader
		if w.voters[to] == nil {
			to = w.voterIDs[w.random.IntN(len(w.voterIDs))]
		}
		voter := w.voters[to]
		w.send(controller.name, w.voterName(to), func() {
			w.atVoter(voter, func() {
				if voter.core != nil {
					w.fail(voter.core.HandleProposal(w.now*voter.clockRate, proposal))
					w.drain(voter)
				}
			})
		})
		w.schedule(0.2, func() { w.atOwner(controller, try) })
	}
	try()
}

func (w *workSim) takeResult(controller *simController, result ProposalResult) {
	if controller.worker == nil || result.To.Incarnation != controller.incarnation || result.Status != StatusGranted {
		return
	}
	if then := controller.worker.callbacks[result.Number]; then != nil {
		delete(controller.worker.callbacks, result.Number)
		then(result.Rejection, true)
	}
}
