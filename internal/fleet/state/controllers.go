package state

import (
	"cmp"
	"maps"
	"slices"
)

// ControllerID identifies one incarnation of a controller. The zero value stands for none.
type ControllerID struct {
	Name        string `msgpack:"Name"`
	Incarnation uint64 `msgpack:"Inc"`
}

// Controller is a member of the fleet: one incarnation that is alive, or may still be.
type Controller struct {
	ControllerID
	Index       int                   // unique among the members, from 0; the lowest that is free at the join
	Replaced    bool                  // a later incarnation has joined; this one only winds down
	Allocations map[string]Allocation // by quantity
}

// Join takes in a new incarnation.
type Join struct {
	Controller     ControllerID
	MaxControllers int // twice as many may be kept, since each may be followed by its next incarnation; 0 for no limit
}

// Command encodes the join.
func (j Join) Command() Command {
	return Command{Op: OpJoin, Controller: j.Controller, MaxControllers: j.MaxControllers}
}

// join takes in a new incarnation. It inherits nothing: what an earlier one holds stays committed until that one expires.
func (m *Machine) join(j Join) error {
	id := j.Controller
	if latest, known := m.LatestIncarnation[id.Name]; known && id.Incarnation <= latest {
		return reject(ErrStaleIncarnation, "%s has incarnation %d already, %d is not later", id.Name, latest, id.Incarnation)
	}
	if id.Name == "" {
		return reject(ErrInvalid, "a controller without a name")
	}
	taken := map[int]bool{}
	for _, other := range m.Controllers {
		taken[other.Index] = true
	}
	if j.MaxControllers > 0 && len(taken) >= 2*j.MaxControllers {
		return reject(ErrLimit, "%d controllers are kept, with %d at most", len(taken), j.MaxControllers)
	}
	index := 0
	for taken[index] {
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

// Expire removes a controller of which nothing can be in use any more. All that it held is free.
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

// SetVoterGeneration records that the voters are now those of a generation.
type SetVoterGeneration struct{ Generation uint64 }

// Command encodes the generation.
func (s SetVoterGeneration) Command() Command {
	return Command{Op: OpSetVoterGeneration, Generation: s.Generation}
}

// SortedControllers lists the controllers by name and incarnation.
func (m *Machine) SortedControllers() []*Controller {
	return slices.SortedFunc(maps.Values(m.Controllers), func(x, y *Controller) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
}

// LiveControllers is the number of controllers that are not replaced.
func (m *Machine) LiveControllers() (count int) {
	for _, controller := range m.Controllers {
		if !controller.Replaced {
			count++
		}
	}
	return count
}

// IndexCount is one past the highest index in use. Controllers that divide something by index learn of a newcomer's index
// with their next lease; until then they divide among fewer, so a newcomer uses its index only after a whole lease.
func (m *Machine) IndexCount() (count int) {
	for _, controller := range m.Controllers {
		count = max(count, controller.Index+1)
	}
	return count
}
