package state

import (
	"cmp"
	"maps"
	"slices"
)

// ControllerID identifies one incarnation of a controller. The zero value means no controller.
type ControllerID struct {
	Name        string `msgpack:"Name"`
	Incarnation uint64 `msgpack:"Inc"`
}

// Controller is a member of the fleet: one incarnation that is alive, or may still be.
type Controller struct {
	ControllerID
	Index       int                   // unique among the members, from 0: the lowest free index at the time of joining
	Replaced    bool                  // a later incarnation has joined; this one can only release what it holds
	Allocations map[string]Allocation // by quantity name
}

// Join adds a new incarnation of a controller to the members.
type Join struct {
	Controller     ControllerID
	MaxControllers int // 0 for no limit; up to twice as many members may exist, as each may overlap with its next incarnation
}

// Command encodes the join.
func (j Join) Command() Command {
	return Command{Op: OpJoin, Controller: j.Controller, MaxControllers: j.MaxControllers}
}

// join adds a new incarnation. It inherits nothing from an earlier one, whose amounts stay committed until it expires.
func (m *Machine) join(j Join) error {
	id := j.Controller
	if latest, exists := m.LatestIncarnation[id.Name]; exists && id.Incarnation <= latest {
		return reject(ErrStaleIncarnation, "controller %s already has incarnation %d, %d is not later", id.Name, latest, id.Incarnation)
	}
	if id.Name == "" {
		return reject(ErrInvalid, "the controller has no name")
	}
	usedIndexes := map[int]bool{}
	for _, other := range m.Controllers {
		usedIndexes[other.Index] = true
	}
	if j.MaxControllers > 0 && len(usedIndexes) >= 2*j.MaxControllers {
		return reject(ErrLimit, "there are already %d controllers, the limit is twice %d", len(usedIndexes), j.MaxControllers)
	}
	index := 0
	for usedIndexes[index] {
		index++
	}
	for _, other := range m.Controllers {
		if other.Name == id.Name {
			other.Replaced = true
		}
	}
	m.Controllers[id] = &Controller{ControllerID: id, Index: index, Allocations: map[string]Allocation{}}
	m.LatestIncarnation[id.Name] = id.Incarnation
	return nil
}

// Expire removes a controller that can no longer be using anything. Everything it held becomes available.
type Expire struct{ Controller ControllerID }

// Command encodes the expiry.
func (e Expire) Command() Command { return Command{Op: OpExpire, Controller: e.Controller} }

func (m *Machine) expire(id ControllerID) {
	delete(m.Controllers, id)
	m.releaseAllShards(id)
	if m.LatestIncarnation[id.Name] == id.Incarnation {
		delete(m.LatestIncarnation, id.Name)
	}
}

// SetVoterGeneration records which generation of the voter configuration is in effect.
type SetVoterGeneration struct{ Generation uint64 }

// Command encodes the generation.
func (s SetVoterGeneration) Command() Command {
	return Command{Op: OpSetVoterGeneration, Generation: s.Generation}
}

// SortedControllers returns the controllers sorted by name and incarnation.
func (m *Machine) SortedControllers() []*Controller {
	return slices.SortedFunc(maps.Values(m.Controllers), func(x, y *Controller) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
}

// LiveControllers returns the number of controllers that no later incarnation has replaced.
func (m *Machine) LiveControllers() (count int) {
	for _, controller := range m.Controllers {
		if !controller.Replaced {
			count++
		}
	}
	return count
}

// IndexCount returns one more than the highest index in use. Controllers that divide something by index learn of a new
// controller's index with their next lease, and until then divide among fewer. A new controller therefore uses its index
// only after a full lease.
func (m *Machine) IndexCount() (count int) {
	for _, controller := range m.Controllers {
		count = max(count, controller.Index+1)
	}
	return count
}
