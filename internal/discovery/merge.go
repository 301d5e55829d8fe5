package discovery

import (
	"cmp"
	"fmt"
	"slices"
)

// UpdateMode tells what a message on members holds.
type UpdateMode int

const (
	Delta            UpdateMode = iota // of the engines named; the others stay
	Snapshot                           // all engines; others are gone, and so are their connections
	DrainingSnapshot                   // all engines; others get nothing new and go once what they hold has ended
)

// Subscriber is told who is there. What one call holds is taken as a whole, in one entry of the module.
type Subscriber interface {
	UpdateEndpoints(mode UpdateMode, engines []Endpoint)
}

// Merger puts the lists of several sources together. The rule: each source's last good list stands until it gives
// another. Where two name the same engine, or one address under two names, the source that comes first in the
// order wins with its whole entry. So the result never holds a name or an address twice.
type Merger struct {
	sources []List
}

// NewMerger makes one for so many sources, by their rank from 0.
func NewMerger(sources int) *Merger { return &Merger{sources: make([]List, sources)} }

// Set takes a source's list and gives the merged one, with a line for each entry that had to give way.
func (m *Merger) Set(source int, l List) (merged List, gaveWay []string) {
	m.sources[source] = l
	names, addresses := map[string]bool{}, map[string]string{}
	for rank, list := range m.sources {
		for _, e := range list.Endpoints {
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
			merged.Endpoints = append(merged.Endpoints, e)
		}
		merged.Generation = max(merged.Generation, list.Generation)
	}
	slices.SortStableFunc(merged.Endpoints, func(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return merged, gaveWay
}

// ApplyUpdate applies a message to a source's list. Engines told as terminated, or that a whole list leaves out, stand in
// that one list as terminated and are left out of the next.
func ApplyUpdate(l List, mode UpdateMode, engines []Endpoint) List {
	all := map[string]Endpoint{}
	for _, e := range l.Endpoints {
		if mode == DrainingSnapshot || e.State == Terminated {
			continue
		}
		if mode == Snapshot {
			e.State = Terminated
		}
		all[e.Name] = e
	}
	for _, e := range engines {
		all[e.Name] = e
	}
	next := List{Generation: l.Generation + 1}
	for _, e := range all {
		next.Endpoints = append(next.Endpoints, e)
	}
	slices.SortFunc(next.Endpoints, func(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return next
}
