package discovery

import (
	"cmp"
	"fmt"
	"slices"
)

// Mode tells what a message on members holds.
type Mode int

const (
	Changes Mode = iota // of the engines named; the others stay
	Whole               // all engines; others are gone, and so are their connections
	Drained             // all engines; others get nothing new and go once what they hold has ended
)

// Gate is told who is there. What one call holds is taken as a whole, in one entry of the module.
type Gate interface {
	UpdateEndpoints(mode Mode, engines []Engine)
}

// Merger puts the lists of several sources together. The rule: each source's last good list stands until it gives
// another. Where two name the same engine, or one address under two names, the source that comes first in the
// order wins with its whole entry. So the result never holds a name or an address twice.
type Merger struct {
	lists []List
}

// NewMerger makes one for so many sources, by their rank from 0.
func NewMerger(sources int) *Merger { return &Merger{lists: make([]List, sources)} }

// Set takes a source's list and gives the merged one, with a line for each entry that had to give way.
func (m *Merger) Set(source int, l List) (merged List, gaveWay []string) {
	m.lists[source] = l
	names, addresses := map[string]bool{}, map[string]string{}
	for rank, list := range m.lists {
		for _, e := range list.Engines {
			if names[e.Name] {
				gaveWay = append(gaveWay, fmt.Sprintf("%s of source %d: an earlier source names it", e.Name, rank))
				continue
			}
			if by, twice := addresses[e.Address]; twice && e.State != Terminated {
				gaveWay = append(gaveWay, fmt.Sprintf("%s of source %d: %s has its address", e.Name, rank, by))
				continue
			}
			names[e.Name] = true
			if e.State != Terminated { // a new engine may have the address of one that is gone
				addresses[e.Address] = e.Name
			}
			merged.Engines = append(merged.Engines, e)
		}
		merged.Generation = max(merged.Generation, list.Generation)
	}
	slices.SortStableFunc(merged.Engines, func(x, y Engine) int { return cmp.Compare(x.Name, y.Name) })
	return merged, gaveWay
}

// Follow applies a message to a source's list. Engines told as terminated, or that a whole list leaves out, stand in
// that one list as terminated and are left out of the next.
func Follow(l List, mode Mode, engines []Engine) List {
	all := map[string]Engine{}
	for _, e := range l.Engines {
		if mode == Drained || e.State == Terminated {
			continue
		}
		if mode == Whole {
			e.State = Terminated
		}
		all[e.Name] = e
	}
	for _, e := range engines {
		all[e.Name] = e
	}
	next := List{Generation: l.Generation + 1}
	for _, e := range all {
		next.Engines = append(next.Engines, e)
	}
	slices.SortFunc(next.Engines, func(x, y Engine) int { return cmp.Compare(x.Name, y.Name) })
	return next
}
