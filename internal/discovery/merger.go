package discovery

import (
	"fmt"
	"slices"
)

// Merger merges the lists of several sources. Each source's latest list remains in effect until the source provides another.
// If two sources list the same name, or the same address under two names, only the entry of the source with the lower rank
// is kept. The merged list therefore has no name twice, and no address twice except that of a terminated endpoint.
type Merger struct {
	sources []List // indexed by rank
}

// NewMerger returns a Merger for the given number of sources, which are ranked from 0.
func NewMerger(sources int) *Merger { return &Merger{sources: make([]List, sources)} }

// Set replaces the list of a source. It returns the merged list, and one line for each entry that was left out of it.
func (m *Merger) Set(source int, l List) (merged List, conflicts []string) {
	m.sources[source] = l
	names, addresses := map[string]bool{}, map[string]string{}
	for rank, list := range m.sources {
		for _, e := range list.Endpoints {
			if names[e.Name] {
				conflicts = append(conflicts, fmt.Sprintf("%s of source %d: already listed by an earlier source", e.Name, rank))
				continue
			}
			if other, duplicate := addresses[e.Address]; duplicate && e.State != Terminated {
				conflicts = append(conflicts, fmt.Sprintf("%s of source %d: same address as %s", e.Name, rank, other))
				continue
			}
			names[e.Name] = true
			if e.State != Terminated { // a new endpoint may have the address of a terminated one
				addresses[e.Address] = e.Name
			}
			merged.Endpoints = append(merged.Endpoints, e)
		}
		merged.Generation = max(merged.Generation, list.Generation)
	}
	slices.SortStableFunc(merged.Endpoints, byName)
	return merged, conflicts
}
