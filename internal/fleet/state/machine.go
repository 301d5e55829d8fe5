package state

import (
	"fmt"
	"maps"
	"slices"
)

// Machine is the replicated state. The zero value is not ready; use New.
type Machine struct {
	Generation        uint64 // of the quantities
	Quantities        map[string]Quantity
	Controllers       map[ControllerID]*Controller
	LatestIncarnation map[string]uint64 // the highest incarnation of each name that is kept
	AppliedCommands   uint64            // commands
	VoterGeneration   uint64            // generation of the voters

	Shards        map[string][]Shard // by duty
	ScheduledJobs map[string]*ScheduledJob
	Overrides     map[string]Override
	Lists         map[string]PublishedList
}

// New gives an empty ledger.
func New() *Machine {
	return &Machine{Quantities: map[string]Quantity{}, Controllers: map[ControllerID]*Controller{}, LatestIncarnation: map[string]uint64{},
		Shards: map[string][]Shard{}, ScheduledJobs: map[string]*ScheduledJob{}, Overrides: map[string]Override{}, Lists: map[string]PublishedList{}}
}

// Apply carries out a command, or says why it changes nothing.
func (l *Machine) Apply(c Command) error {
	l.AppliedCommands++
	switch c.Op {
	case OpConfigure:
		if err := l.configure(c.Generation, c.Quantities, c.Tasks); err != nil {
			return err
		}
		l.dropUnnamedJobs(c.ScheduledJobs)
		return nil
	case OpJoin:
		return l.join(c.Controller, c.MaxControllers)
	case OpSetVoterGeneration:
		l.VoterGeneration = max(l.VoterGeneration, c.Generation)
		return nil
	case OpReleaseShard:
		return l.releaseShard(c)
	case OpFinishRun:
		return l.finishRun(c)
	case OpResolveRun:
		return l.resolveRun(c)
	case OpSetOverride:
		return l.setOverride(c)
	case OpDeleteOverride:
		return l.deleteOverride(c)
	}
	h := l.Controllers[c.Controller]
	if h == nil {
		return fmt.Errorf("%s of incarnation %d is not known", c.Controller.Name, c.Controller.Incarnation)
	}
	switch c.Op {
	case OpExpire:
		delete(l.Controllers, c.Controller)
		l.releaseAllShards(c.Controller)
		if l.LatestIncarnation[c.Controller.Name] == c.Controller.Incarnation {
			delete(l.LatestIncarnation, c.Controller.Name)
		}
		return nil
	case OpAllocate:
		return l.allocate(h, c.Subject, c.Amount)
	case OpSettle:
		return l.settle(h, c.Subject, c.Number, c.Amount)
	case OpAssignShard:
		return l.assignShard(c)
	case OpRecallShard:
		s := l.shard(c.Subject, c.Shard)
		if s == nil || s.Owner != c.Controller || s.Fence != c.Number {
			return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Subject, c.Controller.Name, c.Number)
		}
		s.Recalled = true
		return nil
	case OpClaimRun:
		return l.claimRun(c)
	case OpStartRun:
		return l.startRun(c)
	case OpMarkRunUncertain:
		return l.markRunUncertain(c)
	case OpSkipRun:
		return l.skipRun(c)
	case OpPublishList:
		return l.publishList(c)
	}
	return fmt.Errorf("no command %d", c.Op)
}

// Clone is a copy that shares nothing.
func (l *Machine) Clone() *Machine {
	n := &Machine{Quantities: maps.Clone(l.Quantities), Controllers: map[ControllerID]*Controller{}, LatestIncarnation: maps.Clone(l.LatestIncarnation), AppliedCommands: l.AppliedCommands,
		Generation: l.Generation, VoterGeneration: l.VoterGeneration, Shards: map[string][]Shard{}, ScheduledJobs: map[string]*ScheduledJob{}}
	l.cloneSharedWork(n)
	for h, c := range l.Controllers {
		copied := *c
		copied.Allocations = maps.Clone(c.Allocations)
		n.Controllers[h] = &copied
	}
	return n
}

// cloneSharedWork copies what Clone shares nothing of.
func (l *Machine) cloneSharedWork(n *Machine) {
	for name, all := range l.Shards {
		n.Shards[name] = slices.Clone(all)
	}
	for name, j := range l.ScheduledJobs {
		n.ScheduledJobs[name] = &ScheduledJob{LastDue: j.LastDue, Runs: slices.Clone(j.Runs)}
	}
	n.Overrides, n.Lists = maps.Clone(l.Overrides), maps.Clone(l.Lists)
}
