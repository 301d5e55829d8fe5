// Package merge stands between several sources of the endpoint list and their subscriber. It is used only where more than
// one source is configured; one alone updates the subscriber itself.
package merge

import (
	"sync"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
)

// maxLoggedConflicts bounds the entries that one log line names.
const maxLoggedConflicts = 20

// Aggregator merges what the sources report by discovery.Merger, and passes the result on as a complete list. It may be
// used from several goroutines.
type Aggregator struct {
	subscriber discovery.Subscriber
	log        zerolog.Logger

	mu     sync.Mutex // guards what follows, and is held while the subscriber is updated
	merger *discovery.Merger
	lists  []discovery.List // by rank of the source
}

// New makes an aggregator of so many sources.
func New(sources int, subscriber discovery.Subscriber, log zerolog.Logger) *Aggregator {
	return &Aggregator{
		subscriber: subscriber,
		log:        log,
		merger:     discovery.NewMerger(sources),
		lists:      make([]discovery.List, sources),
	}
}

// Source is the subscriber for the source of a rank; 0 goes before 1.
func (a *Aggregator) Source(rank int) discovery.Subscriber { return source{a, rank} }

type source struct {
	*Aggregator
	rank int
}

// UpdateEndpoints takes the update of one source. The subscriber is updated under the lock, so that it gets the updates in
// their order.
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
