package discovery

import (
	"fmt"
	"slices"
)

// Merger merges the lists of several sources. Each source's latest list remains in effect until the source provides another.
// If two sources list the same name, or the same address under two names, only the entry of the source with the lower rank
// is kept. If one source lists an address under two names, only the entry of the process that started later is kept: it has taken
// the address over. The merged list therefore has no name twice, and no address twice except that of a terminated endpoint.
type Merger struct {
	sources []List // indexed by rank
}

// NewMerger returns a Merger for the given number of sources, which are ranked from 0.
func NewMerger(sources int) *Merger { return &Merger{sources: make([]List, sources)} }

// holder is the entry of the merged list that has an address.
type holder struct {
	rank  int // of its source
	index int
}

// Set replaces the list of a source. It returns the merged list, and one line for each entry that was left out of it.
func (m *Merger) Set(source int, l List) (merged List, conflicts []string) {
	m.sources[source] = l
	names, addresses := map[string]bool{}, map[string]holder{}
	for rank, list := range m.sources {
		for _, e := range list.Endpoints {
			if names[e.Name] {
				conflicts = append(conflicts, fmt.Sprintf("%s of source %d: already listed by an earlier source", e.Name, rank))
				continue
			}
			if e.State == Terminated { // a new endpoint may have the address of a terminated one
				names[e.Name] = true
				merged.Endpoints = append(merged.Endpoints, e)
				continue
			}
			other, duplicate := addresses[e.Address]
			if !duplicate {
				names[e.Name] = true
				addresses[e.Address] = holder{rank, len(merged.Endpoints)}
				merged.Endpoints = append(merged.Endpoints, e)
				continue
			}
			kept, dropped := merged.Endpoints[other.index], e
			if other.rank == rank && e.StartedAt > kept.StartedAt {
				kept, dropped = dropped, kept
				merged.Endpoints[other.index] = kept
				names[kept.Name] = true
				delete(names, dropped.Name)
			}
			conflicts = append(conflicts, fmt.Sprintf("%s of source %d: same address as %s", dropped.Name, rank, kept.Name))
		}
		merged.Generation = max(merged.Generation, list.Generation)
	}
	slices.SortStableFunc(merged.Endpoints, byName)
	return merged, conflicts
}
