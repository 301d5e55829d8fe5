// Package merge stands between several sources of members and the gateway. It is there only where more than one
// source is configured; one alone tells the gateway itself.
package merge

import (
	"sync"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
)

// Aggregator puts what the sources tell together by members.Merger and tells it whole.
type Aggregator struct {
	subscriber discovery.Subscriber
	log        zerolog.Logger

	mu     sync.Mutex
	merger *discovery.Merger
	lists  []discovery.List
}

// New makes the meeting place of so many sources.
func New(sources int, gate discovery.Subscriber, log zerolog.Logger) *Aggregator {
	return &Aggregator{subscriber: gate, log: log, merger: discovery.NewMerger(sources), lists: make([]discovery.List, sources)}
}

// Source is the gate for the source of a rank; 0 goes before 1.
func (j *Aggregator) Source(rank int) discovery.Subscriber { return source{j, rank} }

type source struct {
	*Aggregator
	rank int
}

// UpdateEndpoints takes what one source tells. The gateway is told within the lock: what came later is told later.
func (e source) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lists[e.rank] = discovery.ApplyUpdate(e.lists[e.rank], mode, engines)
	merged, gaveWay := e.merger.Set(e.rank, e.lists[e.rank])
	if len(gaveWay) > 0 {
		e.log.Warn().Strs("entries", gaveWay[:min(len(gaveWay), 20)]).Int("all", len(gaveWay)).
			Msg("sources of engines disagree")
	}
	e.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, merged.Endpoints)
}
