package gateway

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/storage/requestlog"
)

// persistence is the gateway's side of the store. Gateway.mu guards it, but for what ExpectStore sets.
type persistence struct {
	required bool    // no request is taken without a store
	halfLife float64 // of learned state, in seconds

	opening bool
	store   *requestlog.Store // nil until it is open, or where it cannot be used
	learned *storedState      // waits until engines are listed; nil once the controller has it
}

// storedState is learned state as the store keeps it.
type storedState struct {
	text []byte
	age  float64 // in seconds
}

// ready reports whether nothing of the store stands against taking requests. The lock is held.
func (p *persistence) ready() bool {
	return p == nil || !p.opening && (p.store != nil || !p.required)
}

// ExpectStore says that there will be a store, before Run. Until StoreOpened, requests with an idempotency key are
// rejected; required has the gateway take none at all and not be ready. halfLife is that of learned state, in seconds.
func (g *Gateway) ExpectStore(required bool, halfLife float64) {
	g.persistence = &persistence{required: required, opening: true, halfLife: halfLife}
}

// StoreOpened hands over the store, replayed; nil says that it cannot be used.
func (g *Gateway) StoreOpened(store *requestlog.Store) {
	g.enter(func(now float64) {
		p := g.persistence
		p.opening, p.store = false, store
		if store == nil {
			return
		}
		if replayed, rebooted := store.Replayed(); replayed.Records > 0 {
			g.controller.Restarted(now, g.retriesBefore(store, rebooted))
		}
		if text, age := store.LearnedState(); len(text) > 0 {
			p.learned = &storedState{text, age}
			g.restoreLearnedState(now)
		}
	})
}

// retriesBefore is how many retries earlier runs of the gateway may have spent of the current window: where that is not
// known, all that any window may hold.
func (g *Gateway) retriesBefore(store *requestlog.Store, rebooted bool) float64 {
	settings := &g.settings.Admission
	count, known := store.RetriesWithin(settings.RetryBudgetWindow)
	if !known || rebooted {
		return max(float64(count), settings.RetryBudgetFree)
	}
	return float64(count)
}

// learnedState is what the controller has learned, with the workload classes that it belongs to. It is stored as
// MessagePack.
type learnedState struct {
	Classes []string               `msgpack:"Classes"`
	Learned admission.LearnedState `msgpack:"What"`
}

// LearnedState returns what the controller has learned, for the store; nil where it cannot be encoded.
func (g *Gateway) LearnedState() []byte {
	g.mu.Lock()
	state := learnedState{g.settings.Classes, g.controller.ExportLearned(g.now())}
	g.mu.Unlock()
	text, err := msgpack.Marshal(state)
	if err != nil {
		g.log.Error().Err(err).Msg("learned state cannot be encoded")
		return nil
	}
	return text
}

// restoreLearnedState gives the controller what an earlier run had learned, once engines are listed. The lock is held.
func (g *Gateway) restoreLearnedState(now float64) {
	p := g.persistence
	if p == nil || p.learned == nil || len(g.endpoints) == 0 {
		return
	}
	stored := p.learned
	p.learned = nil
	var state learnedState
	restored := msgpack.Unmarshal(stored.text, &state) == nil && slices.Equal(state.Classes, g.settings.Classes) &&
		g.controller.RestoreLearned(now, stored.age, p.halfLife, state.Learned)
	g.log.Info().Bool("restored", restored).Float64("age", stored.age).Msg("learned state of an earlier run")
}
