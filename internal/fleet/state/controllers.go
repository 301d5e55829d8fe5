package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// ControllerID is one life of a controller: its name and incarnation.
type ControllerID struct {
	Name        string `msgpack:"Name"`
	Incarnation uint64 `msgpack:"Inc"`
}

// Controller is a holder that lives, or is not surely gone.
type Controller struct {
	ControllerID
	Index       int  // unique among those kept, from 0
	Replaced    bool // a later incarnation has joined
	Allocations map[string]Allocation
}

// join takes in a new incarnation. It gets nothing of an older one's part: that one stays bound until it is surely gone.
func (l *Machine) join(h ControllerID, most int) error {
	if latest, there := l.LatestIncarnation[h.Name]; there && h.Incarnation <= latest {
		return fmt.Errorf("%s has incarnation %d already, %d is not later", h.Name, latest, h.Incarnation)
	}
	if h.Name == "" {
		return fmt.Errorf("a controller without a name")
	}
	used := map[int]bool{}
	for _, c := range l.Controllers {
		used[c.Index] = true
	}
	if most > 0 && len(used) >= 2*most { // as many again may be on their way out
		return fmt.Errorf("%d controllers are kept, with %d at most", len(used), most)
	}
	index := 0
	for used[index] {
		index++
	}
	for _, c := range l.Controllers {
		if c.Name == h.Name {
			c.Replaced = true
		}
	}
	l.Controllers[h] = &Controller{ControllerID: h, Index: index, Allocations: map[string]Allocation{}}
	l.LatestIncarnation[h.Name] = h.Incarnation
	return nil
}

// SortedControllers lists the controllers by name and incarnation.
func (l *Machine) SortedControllers() []*Controller {
	return slices.SortedFunc(maps.Values(l.Controllers), func(x, y *Controller) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
}

// LiveControllers is the number of controllers that are not replaced.
func (l *Machine) LiveControllers() (n int) {
	for _, c := range l.Controllers {
		if !c.Replaced {
			n++
		}
	}
	return n
}

// IndexCount is one past the highest index that is kept. A newcomer that has one above all others raises it for those who
// ask after it; until they have, they part what goes by numbers among fewer, so it begins with nothing for a lease.
func (l *Machine) IndexCount() (n int) {
	for _, c := range l.Controllers {
		n = max(n, c.Index+1)
	}
	return n
}
