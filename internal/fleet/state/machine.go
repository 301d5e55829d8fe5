package state

import (
	"maps"
	"slices"
)

// Machine is the replicated state. Use New: the zero value is not usable. The core of the voter owns it and calls Apply on
// its own goroutine; other code may read it only on that goroutine.
type Machine struct {
	Generation        uint64 // configuration generation of Quantities and Shards
	Quantities        map[string]Quantity
	Controllers       map[ControllerID]*Controller
	LatestIncarnation map[string]uint64 // by name, until that incarnation expires
	AppliedCommands   uint64            // includes rejected ones; revisions and fencing tokens are taken from it
	VoterGeneration   uint64

	Shards        map[string][]Shard // by task
	ScheduledJobs map[string]*ScheduledJob
	Overrides     map[string]Override      // by OverrideKey
	Lists         map[string]PublishedList // by the task that publishes the list
}

// New returns an empty state.
func New() *Machine {
	return &Machine{
		Quantities:        map[string]Quantity{},
		Controllers:       map[ControllerID]*Controller{},
		LatestIncarnation: map[string]uint64{},
		Shards:            map[string][]Shard{},
		ScheduledJobs:     map[string]*ScheduledJob{},
		Overrides:         map[string]Override{},
		Lists:             map[string]PublishedList{},
	}
}

// Apply executes a command. If it returns an error, the command was rejected and has changed nothing but AppliedCommands.
func (m *Machine) Apply(c Command) error {
	m.AppliedCommands++
	switch c.Op {
	case OpConfigure:
		return m.configure(Configure{Generation: c.Generation, Quantities: c.Quantities, Tasks: c.Tasks, ScheduledJobs: c.ScheduledJobs})
	case OpJoin:
		return m.join(Join{Controller: c.Controller, MaxControllers: c.MaxControllers})
	case OpSetVoterGeneration:
		m.VoterGeneration = max(m.VoterGeneration, c.Generation)
		return nil
	case OpReleaseShard:
		return m.releaseShard(ReleaseShard{Owner: c.Controller, Task: c.Subject, Shard: c.Shard, Fence: c.Number})
	case OpFinishRun:
		return m.finishRun(finishRun{runClaim: c.runClaim(), state: c.State, outcome: c.Text})
	case OpResolveRun:
		return m.resolveRun(resolveRun{job: c.Subject, due: c.Time, rerun: c.Rerun, note: c.Text})
	case OpSetOverride:
		return m.setOverride(SetOverride{Kind: c.Text, Target: c.Subject, Amount: c.Amount, ExpiresAt: c.Time, Revoke: c.Revoke, Number: c.Number})
	case OpDeleteOverride:
		return m.deleteOverride(DeleteOverride{Kind: c.Text, Target: c.Subject, Number: c.Number})
	}
	return m.applyToController(c)
}

// applyToController executes a command whose controller must be a member.
func (m *Machine) applyToController(c Command) error {
	controller := m.Controllers[c.Controller]
	if controller == nil {
		return reject(ErrStaleIncarnation, "controller %s of incarnation %d is unknown", c.Controller.Name, c.Controller.Incarnation)
	}
	switch c.Op {
	case OpExpire:
		m.expire(c.Controller)
		return nil
	case OpAllocate:
		return m.allocate(controller, c.Subject, c.Amount)
	case OpSettle:
		return m.settle(controller, c.Subject, c.Number, c.Amount)
	case OpAssignShard:
		return m.assignShard(AssignShard{Owner: c.Controller, Task: c.Subject, Shard: c.Shard, Fence: c.Number})
	case OpRecallShard:
		return m.recallShard(RecallShard{Owner: c.Controller, Task: c.Subject, Shard: c.Shard, Fence: c.Number})
	case OpClaimRun:
		return m.claimRun(claimRun{runClaim: c.runClaim(), nonIdempotent: c.NonIdempotent, rerun: c.Rerun})
	case OpStartRun:
		return m.startRun(c.runClaim())
	case OpMarkRunUncertain:
		return m.markRunUncertain(c.runClaim())
	case OpSkipRun:
		return m.skipRun(skipRun{runClaim: c.runClaim(), reason: c.Text})
	case OpPublishList:
		return m.publishList(publishList{shardClaim: c.shardClaim(c.Subject), data: c.Data})
	}
	return reject(ErrInvalid, "unknown command %d", c.Op)
}

// Clone returns a deep copy; only the data of published lists is shared.
func (m *Machine) Clone() *Machine {
	clone := &Machine{
		Generation:        m.Generation,
		Quantities:        maps.Clone(m.Quantities),
		Controllers:       map[ControllerID]*Controller{},
		LatestIncarnation: maps.Clone(m.LatestIncarnation),
		AppliedCommands:   m.AppliedCommands,
		VoterGeneration:   m.VoterGeneration,
		Shards:            map[string][]Shard{},
		ScheduledJobs:     map[string]*ScheduledJob{},
		Overrides:         maps.Clone(m.Overrides),
		Lists:             maps.Clone(m.Lists),
	}
	for id, controller := range m.Controllers {
		copied := *controller
		copied.Allocations = maps.Clone(controller.Allocations)
		clone.Controllers[id] = &copied
	}
	for task, shards := range m.Shards {
		clone.Shards[task] = slices.Clone(shards)
	}
	for name, job := range m.ScheduledJobs {
		clone.ScheduledJobs[name] = &ScheduledJob{LastDue: job.LastDue, Runs: slices.Clone(job.Runs), Listing: job.Listing}
	}
	return clone
}
