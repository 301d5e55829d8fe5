package discovery

import (
	"fmt"
	"slices"
)

// Merger merges the lists of several sources. Each source's last valid list stands until it gives another. Where two name
// the same endpoint, or one address under two names, the entry of the source that comes first in the order wins as a
// whole. So the result never holds a name or an address twice.
type Merger struct {
	sources []List // by rank
}

// NewMerger makes a merger of so many sources, ranked from 0.
func NewMerger(sources int) *Merger { return &Merger{sources: make([]List, sources)} }

// Set replaces a source's list. It returns the merged one, with a line for each entry that was left out of it.
func (m *Merger) Set(source int, l List) (merged List, conflicts []string) {
	m.sources[source] = l
	names, addresses := map[string]bool{}, map[string]string{}
	for rank, list := range m.sources {
		for _, e := range list.Endpoints {
			if names[e.Name] {
				conflicts = append(conflicts, fmt.Sprintf("%s of source %d: an earlier source names it", e.Name, rank))
				continue
			}
			if other, duplicate := addresses[e.Address]; duplicate && e.State != Terminated {
				conflicts = append(conflicts, fmt.Sprintf("%s of source %d: %s has its address", e.Name, rank, other))
				continue
			}
			names[e.Name] = true
			if e.State != Terminated { // a new endpoint may have the address of one that is terminated
				addresses[e.Address] = e.Name
			}
			merged.Endpoints = append(merged.Endpoints, e)
		}
		merged.Generation = max(merged.Generation, list.Generation)
	}
	slices.SortStableFunc(merged.Endpoints, byName)
	return merged, conflicts
}
