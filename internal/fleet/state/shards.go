package state

import (
	"fmt"
	"maps"
	"slices"
)

// Task is work for the whole fleet, cut into slices.
type Task struct {
	Name   string `msgpack:"Name"`
	Shards int    `msgpack:"Slices"`
}

// Shard is a part of a duty.
type Shard struct {
	Owner    ControllerID `msgpack:"Owner"`  // none: the zero value
	Fence    uint64       `msgpack:"Fence"`  // of its latest grant
	Recalled bool         `msgpack:"Recall"` // the owner is asked to finish and give it back
}

// configureTasks swaps what duties there are; slices of those that stay are kept.
func (l *Machine) configureTasks(all []Task) error {
	next := map[string][]Shard{}
	for _, d := range all {
		old, there := l.Shards[d.Name]
		switch {
		case d.Name == "" || d.Shards < 1 || d.Shards > 1<<16:
			return fmt.Errorf("duty %q of %d slices", d.Name, d.Shards)
		case there && len(old) != d.Shards:
			return fmt.Errorf("duty %q can't change its slices from %d to %d: what is in which would move under its owners", d.Name, len(old), d.Shards)
		case there:
			next[d.Name] = old
		default:
			next[d.Name] = make([]Shard, d.Shards)
		}
	}
	l.Shards = next
	return nil
}

// Tasks lists the duties there are.
func (l *Machine) Tasks() (all []Task) {
	for _, name := range slices.Sorted(maps.Keys(l.Shards)) {
		all = append(all, Task{name, len(l.Shards[name])})
	}
	return all
}

// assignShard gives a slice without an owner, at the fence that the proposer knew.
func (l *Machine) assignShard(c Command) error {
	s := l.shard(c.Subject, c.Shard)
	h := l.Controllers[c.Controller]
	switch {
	case s == nil:
		return fmt.Errorf("no slice %d of %q", c.Shard, c.Subject)
	case h == nil || h.Replaced:
		return fmt.Errorf("%s of incarnation %d does not live", c.Controller.Name, c.Controller.Incarnation)
	case s.Owner.Name != "":
		return fmt.Errorf("slice %d of %q is %s's", c.Shard, c.Subject, s.Owner.Name)
	case s.Fence != c.Number:
		return fmt.Errorf("slice %d of %q has fence %d, not %d", c.Shard, c.Subject, s.Fence, c.Number)
	}
	*s = Shard{Owner: c.Controller, Fence: l.AppliedCommands}
	return nil
}

// releaseShard takes a slice from its owner: by the owner's own word, or because its lease is surely over.
func (l *Machine) releaseShard(c Command) error {
	s := l.shard(c.Subject, c.Shard)
	if s == nil || s.Owner != c.Controller || s.Fence != c.Number {
		return fmt.Errorf("slice %d of %q is not %s's under fence %d", c.Shard, c.Subject, c.Controller.Name, c.Number)
	}
	s.Owner, s.Recalled = ControllerID{}, false
	return nil
}

// releaseAllShards frees all slices of a holder that is given up.
func (l *Machine) releaseAllShards(h ControllerID) {
	for _, all := range l.Shards {
		for i := range all {
			if all[i].Owner == h {
				all[i].Owner, all[i].Recalled = ControllerID{}, false
			}
		}
	}
}

// owns tells whether a holder is the present owner of a slice under that fence.
func (l *Machine) owns(h ControllerID, duty string, at int, fence uint64) bool {
	s := l.shard(duty, at)
	return s != nil && s.Owner == h && s.Fence == fence && h.Name != ""
}

func (l *Machine) shard(duty string, at int) *Shard {
	if all := l.Shards[duty]; at >= 0 && at < len(all) {
		return &all[at]
	}
	return nil
}
