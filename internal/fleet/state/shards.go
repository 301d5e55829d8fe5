package state

import (
	"maps"
	"slices"
)

// Task is work that the fleet shares, divided into shards.
type Task struct {
	Name   string `msgpack:"Name"`
	Shards int    `msgpack:"Slices"`
}

// Shard is a part of a task. It has at most one owner at a time.
type Shard struct {
	Owner    ControllerID `msgpack:"Owner"`  // zero if the shard has no owner
	Fence    uint64       `msgpack:"Fence"`  // fencing token of the latest assignment
	Recalled bool         `msgpack:"Recall"` // the owner is asked to finish its work in the shard and return it
}

// shardClaim is what the owner of a shard presents with a command.
type shardClaim struct {
	owner ControllerID
	task  string
	shard int
	fence uint64
}

// configureTasks replaces the tasks. The shards of tasks that are still configured keep their owners.
func (m *Machine) configureTasks(tasks []Task) error {
	next := map[string][]Shard{}
	for _, task := range tasks {
		old, exists := m.Shards[task.Name]
		switch {
		case task.Name == "" || task.Shards < 1 || task.Shards > maxShards:
			return reject(ErrInvalid, "invalid task %q with %d shards", task.Name, task.Shards)
		case exists && len(old) != task.Shards:
			return reject(ErrInvalid, "task %q can't change from %d to %d shards: work would move between shards that have owners", task.Name, len(old), task.Shards)
		case exists:
			next[task.Name] = old
		default:
			next[task.Name] = make([]Shard, task.Shards)
		}
	}
	m.Shards = next
	return nil
}

// Tasks returns the tasks sorted by name.
func (m *Machine) Tasks() (tasks []Task) {
	for _, name := range slices.Sorted(maps.Keys(m.Shards)) {
		tasks = append(tasks, Task{name, len(m.Shards[name])})
	}
	return tasks
}

// AssignShard assigns a shard without an owner to a controller. Fence is the shard's token as the proposer knew it; the
// assignment gets a new token.
type AssignShard struct {
	Owner ControllerID
	Task  string
	Shard int
	Fence uint64
}

// Command encodes the assignment.
func (a AssignShard) Command() Command {
	return Command{Op: OpAssignShard, Controller: a.Owner, Subject: a.Task, Shard: a.Shard, Number: a.Fence}
}

func (m *Machine) assignShard(a AssignShard) error {
	shard := m.shard(a.Task, a.Shard)
	owner := m.Controllers[a.Owner]
	switch {
	case shard == nil:
		return reject(ErrInvalid, "task %q has no shard %d", a.Task, a.Shard)
	case owner == nil || owner.Replaced:
		return reject(ErrStaleIncarnation, "controller %s of incarnation %d is unknown or has been replaced", a.Owner.Name, a.Owner.Incarnation)
	case shard.Owner.Name != "":
		return reject(ErrFenced, "shard %d of %q is already owned by %s", a.Shard, a.Task, shard.Owner.Name)
	case shard.Fence != a.Fence:
		return reject(ErrFenced, "shard %d of %q has fencing token %d, not %d", a.Shard, a.Task, shard.Fence, a.Fence)
	}
	*shard = Shard{Owner: a.Owner, Fence: m.AppliedCommands}
	return nil
}

// RecallShard asks the owner of a shard to finish the work it has begun there and to return the shard.
type RecallShard struct {
	Owner ControllerID
	Task  string
	Shard int
	Fence uint64
}

// Command encodes the recall.
func (r RecallShard) Command() Command {
	return Command{Op: OpRecallShard, Controller: r.Owner, Subject: r.Task, Shard: r.Shard, Number: r.Fence}
}

func (m *Machine) recallShard(r RecallShard) error {
	claim := shardClaim{owner: r.Owner, task: r.Task, shard: r.Shard, fence: r.Fence}
	if !m.isClaimValid(claim) {
		return notOwner(claim)
	}
	m.shard(r.Task, r.Shard).Recalled = true
	return nil
}

// ReleaseShard leaves a shard without an owner, after the owner has returned it or the owner's lease has expired by any
// clock within the drift bound.
type ReleaseShard struct {
	Owner ControllerID
	Task  string
	Shard int
	Fence uint64
}

// Command encodes the release.
func (r ReleaseShard) Command() Command {
	return Command{Op: OpReleaseShard, Controller: r.Owner, Subject: r.Task, Shard: r.Shard, Number: r.Fence}
}

func (m *Machine) releaseShard(r ReleaseShard) error {
	claim := shardClaim{owner: r.Owner, task: r.Task, shard: r.Shard, fence: r.Fence}
	if !m.isClaimValid(claim) {
		return notOwner(claim)
	}
	shard := m.shard(r.Task, r.Shard)
	shard.Owner, shard.Recalled = ControllerID{}, false
	return nil
}

// releaseAllShards leaves all shards of a controller without an owner.
func (m *Machine) releaseAllShards(owner ControllerID) {
	for _, shards := range m.Shards {
		for i := range shards {
			if shards[i].Owner == owner {
				shards[i].Owner, shards[i].Recalled = ControllerID{}, false
			}
		}
	}
}

// isClaimValid reports whether the shard exists with the claimed owner and fencing token.
func (m *Machine) isClaimValid(c shardClaim) bool {
	shard := m.shard(c.task, c.shard)
	return shard != nil && shard.Owner == c.owner && shard.Fence == c.fence
}

// checkOwner returns an error unless the claim names a controller that owns the shard with its current fencing token.
func (m *Machine) checkOwner(c shardClaim) error {
	if c.owner.Name == "" || !m.isClaimValid(c) {
		return notOwner(c)
	}
	return nil
}

func notOwner(c shardClaim) error {
	return reject(ErrFenced, "shard %d of %q is not owned by %s with fencing token %d", c.shard, c.task, c.owner.Name, c.fence)
}

// shard returns the shard with an index, nil if the task has none.
func (m *Machine) shard(task string, index int) *Shard {
	if shards := m.Shards[task]; index >= 0 && index < len(shards) {
		return &shards[index]
	}
	return nil
}
