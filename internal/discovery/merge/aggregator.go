// Package merge combines the endpoint lists of several sources for one subscriber. It is used only if more than one source
// is configured; a single source updates the subscriber directly.
package merge

import (
	"sync"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
)

// maxLoggedConflicts is the maximum number of conflicts in one log line.
const maxLoggedConflicts = 20

// Aggregator merges the lists of its sources with discovery.Merger and passes each merged list on as a complete update. It is
// safe for concurrent use.
type Aggregator struct {
	subscriber discovery.Subscriber
	log        zerolog.Logger

	mu     sync.Mutex // guards the fields below; held while the subscriber is updated
	merger *discovery.Merger
	lists  []discovery.List // indexed by the source's rank
}

// New returns an aggregator for the given number of sources.
func New(sources int, subscriber discovery.Subscriber, log zerolog.Logger) *Aggregator {
	return &Aggregator{
		subscriber: subscriber,
		log:        log,
		merger:     discovery.NewMerger(sources),
		lists:      make([]discovery.List, sources),
	}
}

// Source returns the subscriber for the source of the given rank. Rank 0 takes precedence over rank 1, and so on.
func (a *Aggregator) Source(rank int) discovery.Subscriber { return source{a, rank} }

type source struct {
	*Aggregator
	rank int
}

// UpdateEndpoints applies an update of one source. The subscriber is updated under the lock, so that it receives the merged
// lists in order.
func (s source) UpdateEndpoints(mode discovery.UpdateMode, endpoints []discovery.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[s.rank] = discovery.ApplyUpdate(s.lists[s.rank], mode, endpoints)
	merged, conflicts := s.merger.Set(s.rank, s.lists[s.rank])
	if len(conflicts) > 0 {
		logged := conflicts[:min(len(conflicts), maxLoggedConflicts)]
		s.log.Warn().Strs("entries", logged).Int("all", len(conflicts)).Msg("endpoint sources disagree")
	}
	s.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, merged.Endpoints)
}
