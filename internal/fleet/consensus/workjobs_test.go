package consensus

import (
	"fmt"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// runJob carries out the next action for a job, if the controller owns its shard. The job is due every half second.
func (w *workSim) runJob(controller *simController, worker *simWorker, name string, nonIdempotent bool) {
	shard := assignment.ShardID{Task: assignment.ScheduledJobs, Index: assignment.ShardOf(name, simShards)}
	if _, ok := controller.owner.CanBegin(w.controllerClock(controller), shard); !ok || worker.busy[name] {
		return
	}
	history := worker.histories[name]
	clock := int64(w.now * 2) // the wall clock, in half seconds
	var due []int64
	for at := max(history.LastDue+1, 4); at <= clock && len(due) < 20; at++ {
		due = append(due, at)
	}
	for _, action := range assignment.NextActions(assignment.JobSpec{CatchUp: assignment.CatchUpPolicy(len(name)+int(name[0]))%3 + 0, Grace: 2, NonIdempotent: nonIdempotent, RetryDelay: 1, MaxAttempts: 50}, history, clock, due,
		assignment.LocalRuns{IsRunning: func(int64) bool { return false }, LastAttempt: func(int64) int64 { return 0 }}) {
		w.carryOut(controller, worker, name, nonIdempotent, shard, action, history)
		return // one action at a time
	}
}

func (w *workSim) carryOut(controller *simController, worker *simWorker, name string, nonIdempotent bool, shard assignment.ShardID, action assignment.Action, history assignment.JobHistory) {
	fence, ok := controller.owner.Begin(w.controllerClock(controller), shard)
	if !ok {
		return
	}
	worker.busy[name] = true
	starts, owner := controller.starts, controller.owner
	isRunning := func() bool { return controller.starts == starts && !controller.dead }
	finish := func() {
		owner.End(shard, fence)
		w.schedule(0.3, func() { delete(worker.busy, name) }) // by then a response with the job's new history has arrived
	}
	rerun := slices.ContainsFunc(history.OpenRuns, func(o assignment.OpenRun) bool { return o.Due == action.Due && o.Sent })
	command := state.Command{Subject: name, Time: action.Due, Task: shard.Task, Shard: shard.Index, Number: fence, NonIdempotent: nonIdempotent, Rerun: rerun}
	record := func(op state.Op, state state.RunState, then func(ok bool)) {
		command.Op, command.State = op, state
		w.propose(controller, worker, command, func(rejection string, ok bool) {
			if isRunning() {
				then(ok && rejection == "")
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
			if !owner.Owns(w.controllerClock(controller), shard, fence) {
				record(state.OpFinishRun, state.RunClaimed, func(bool) { finish() })
				return
			}
			w.reachStep(controller, "about to send")
			w.atOwner(controller, func() {
				if !isRunning() {
					return
				}
				w.schedule(0.001, func() { // it arrives even if its sender is killed
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

// propose proposes a command, and repeats the proposal until its result arrives. ok is false if none has arrived after 40
// attempts.
func (w *workSim) propose(controller *simController, worker *simWorker, command state.Command, then func(rejection string, ok bool)) {
	command.Controller = state.ControllerID{Name: controller.name, Incarnation: controller.incarnation}
	worker.lastNumber++
	number, starts := worker.lastNumber, controller.starts
	worker.callbacks[number] = then
	proposal := Proposal{Controller: command.Controller, Number: number, Command: command}
	attempts := 0
	var attempt func()
	attempt = func() {
		if controller.starts != starts || controller.dead || worker.callbacks[number] == nil {
			return
		}
		if attempts++; attempts > 40 {
			delete(worker.callbacks, number)
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
					w.processReady(voter)
				}
			})
		})
		w.schedule(0.2, func() { w.atOwner(controller, attempt) })
	}
	attempt()
}

func (w *workSim) handleResult(controller *simController, result ProposalResult) {
	if controller.worker == nil || result.To.Incarnation != controller.incarnation || result.Status != StatusGranted {
		return
	}
	if then := controller.worker.callbacks[result.Number]; then != nil {
		delete(controller.worker.callbacks, result.Number)
		then(result.Rejection, true)
	}
}
