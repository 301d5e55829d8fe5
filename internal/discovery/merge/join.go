// Package merge stands between several sources of members and the gateway. It is there only where more than one
// source is configured; one alone tells the gateway itself.
package merge

import (
	"sync"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
)

// Join puts what the sources tell together by members.Merger and tells it whole.
type Join struct {
	gate discovery.Gate
	log  zerolog.Logger

	mu     sync.Mutex
	merger *discovery.Merger
	lists  []discovery.List
}

// New makes the meeting place of so many sources.
func New(sources int, gate discovery.Gate, log zerolog.Logger) *Join {
	return &Join{gate: gate, log: log, merger: discovery.NewMerger(sources), lists: make([]discovery.List, sources)}
}

// From is the gate for the source of a rank; 0 goes before 1.
func (j *Join) From(rank int) discovery.Gate { return entrance{j, rank} }

type entrance struct {
	*Join
	rank int
}

// UpdateEndpoints takes what one source tells. The gateway is told within the lock: what came later is told later.
func (e entrance) UpdateEndpoints(mode discovery.Mode, engines []discovery.Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lists[e.rank] = discovery.Follow(e.lists[e.rank], mode, engines)
	merged, gaveWay := e.merger.Set(e.rank, e.lists[e.rank])
	if len(gaveWay) > 0 {
		e.log.Warn().Strs("entries", gaveWay[:min(len(gaveWay), 20)]).Int("all", len(gaveWay)).
			Msg("sources of engines disagree")
	}
	e.gate.UpdateEndpoints(discovery.Drained, merged.Engines)
}
