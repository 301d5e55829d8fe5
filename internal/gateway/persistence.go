package gateway

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/storage/requestlog"
)

// persistence is the gateway's use of the store. Gateway.mu guards the fields that ExpectStore does not set.
type persistence struct {
	required bool    // no request is accepted without a store
	halfLife float64 // half-life of learned state, in seconds

	opening bool
	store   *requestlog.Store // nil until it is open, and if it cannot be used
	learned *storedState      // learned state to restore once engines are listed; nil after that
}

// storedState is learned state as it was read from the store.
type storedState struct {
	encoded []byte
	age     float64 // in seconds
}

// ready reports whether the gateway may accept requests as far as the store is concerned. The lock is held.
func (p *persistence) ready() bool {
	return p == nil || !p.opening && (p.store != nil || !p.required)
}

// ExpectStore announces that a store will be opened. Call it before Run. Until StoreOpened is called, the gateway is not
// ready and rejects requests with an idempotency key. If required is set, it rejects all requests until then, and also
// afterwards if the store cannot be used. halfLife is the half-life of learned state, in seconds.
func (g *Gateway) ExpectStore(required bool, halfLife float64) {
	g.persistence = &persistence{required: required, opening: true, halfLife: halfLife}
}

// StoreOpened passes the store to the gateway after replay. nil means that the store cannot be used.
func (g *Gateway) StoreOpened(store *requestlog.Store) {
	g.runEvent(func(now float64) {
		p := g.persistence
		p.opening, p.store = false, store
		if store == nil {
			return
		}
		if replayed, rebooted := store.Replayed(); replayed.Records > 0 {
			g.controller.Restarted(now, g.priorRetries(store, rebooted))
		}
		if encoded, age := store.LearnedState(); len(encoded) > 0 {
			p.learned = &storedState{encoded, age}
			g.restoreLearnedState(now)
		}
	})
}

// priorRetries returns how many retries of the current budget window earlier runs of the gateway may have used. If that is
// not known, it is at least the number of retries that are always allowed in a window.
func (g *Gateway) priorRetries(store *requestlog.Store, rebooted bool) float64 {
	settings := &g.settings.Admission
	count, known := store.RetriesWithin(settings.RetryBudgetWindow)
	if !known || rebooted {
		return max(float64(count), settings.RetryBudgetFree)
	}
	return float64(count)
}

// learnedState is the state that the controller has learned, with the workload classes to which it applies. It is stored
// as MessagePack.
type learnedState struct {
	Classes []string               `msgpack:"Classes"`
	Learned admission.LearnedState `msgpack:"What"`
}

// LearnedState returns the encoded learned state of the controller for the store, nil if it cannot be encoded.
func (g *Gateway) LearnedState() []byte {
	g.mu.Lock()
	state := learnedState{g.settings.Classes, g.controller.ExportLearned(g.now())}
	g.mu.Unlock()
	encoded, err := msgpack.Marshal(state)
	if err != nil {
		g.log.Error().Err(err).Msg("learned state cannot be encoded")
		return nil
	}
	return encoded
}

// restoreLearnedState passes the learned state of an earlier run to the controller once engines are listed. The lock is
// held.
func (g *Gateway) restoreLearnedState(now float64) {
	p := g.persistence
	if p == nil || p.learned == nil || len(g.endpoints) == 0 {
		return
	}
	stored := p.learned
	p.learned = nil
	var state learnedState
	restored := msgpack.Unmarshal(stored.encoded, &state) == nil && slices.Equal(state.Classes, g.settings.Classes) &&
		g.controller.RestoreLearned(now, stored.age, p.halfLife, state.Learned)
	g.log.Info().Bool("restored", restored).Float64("age", stored.age).Msg("learned state of an earlier run")
}
