package sharedwork

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Listing stands between a controller's own reading of the list of engines and its gateway: what counts is what the
// owner of that duty published. A controller that hears nothing of the fleet for a while takes its own reading.
type Listing struct {
	bounds   discovery.Bounds
	fallback float64
	gate     discovery.Subscriber
	fleet    Fleet
	log      zerolog.Logger
	stir     chan struct{}

	mu     sync.Mutex
	own    discovery.List // as read here
	read   bool
	fence  uint64
	taken  []byte    // the published list that holds, nil for none
	told   []byte    // own reading that was published last
	heard  time.Time // of the fleet
	alone  bool      // own reading holds
	wanted bool      // a look is due
}

// NewListing makes one. Texts it can't read by the bounds are reported, and the old list stays.
func NewListing(bounds discovery.Bounds, fallback float64, gate discovery.Subscriber) *Listing {
	return &Listing{bounds: bounds, fallback: fallback, gate: gate, stir: make(chan struct{}, 1), heard: time.Now()}
}

// UpdateEndpoints takes what is read here.
func (l *Listing) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	l.mu.Lock()
	l.own = discovery.ApplyUpdate(l.own, mode, engines)
	l.own.Generation++
	l.read = true
	first := l.taken == nil && !l.alone // nobody has said anything yet
	if first {
		l.alone = true
	}
	alone, own := l.alone, l.own
	l.mu.Unlock()
	if alone { // also at the start, so that a controller serves before its fleet has agreed
		l.gate.UpdateEndpoints(discovery.DrainingSnapshot, own.Endpoints)
	}
	l.wake()
}

func (l *Listing) wake() {
	select {
	case l.stir <- struct{}{}:
	default:
	}
}

// listed takes a published list, unless a later owner has published.
func (l *Listing) listed(fence uint64, data []byte) {
	list, err := discovery.Parse("the fleet's list", data, l.bounds)
	l.mu.Lock()
	if fence < l.fence || err != nil {
		l.mu.Unlock()
		l.log.Warn().Err(err).Uint64("fence", fence).Msg("a published list is not taken")
		return
	}
	l.fence, l.taken, l.alone = fence, data, false
	l.mu.Unlock()
	l.gate.UpdateEndpoints(discovery.DrainingSnapshot, list.Endpoints)
	l.log.Info().Uint64("fence", fence).Int("engines", len(list.Endpoints)).Msg("the fleet's list of engines taken")
}

// run publishes where this controller owns the list, and looks whether the fleet is heard.
func (l *Listing) run(ctx context.Context) error {
	look := time.NewTicker(100 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.stir:
		case <-look.C:
		}
		l.publish(ctx)
		l.hark()
	}
}

// publish has the fleet take this controller's reading, where it differs from what holds.
func (l *Listing) publish(ctx context.Context) {
	slot := assignment.ShardID{Task: assignment.EngineList}
	fence, ok := l.fleet.BeginWork(slot)
	if !ok {
		return
	}
	defer l.fleet.EndWork(slot, fence)
	l.mu.Lock()
	own := discovery.List{Generation: 1, Confirmed: true, Endpoints: l.own.Endpoints}
	text := own.Format()
	wanted := l.read && (string(text) != string(l.taken) || fence > l.fence) && string(text) != string(l.told)
	l.mu.Unlock()
	if !wanted {
		return
	}
	within, done := context.WithTimeout(ctx, time.Duration(max(l.fleet.RemainingLease(), 0.05)*float64(time.Second)))
	defer done()
	switch err := l.fleet.Propose(within, state.Command{Op: state.OpPublishList, Subject: assignment.EngineList, Number: fence, Data: text}); {
	case err == nil:
		l.mu.Lock()
		l.told = text
		l.mu.Unlock()
	case errors.Is(err, fleet.ErrRejected):
		l.log.Warn().Err(err).Msg("the list of engines is not published")
	}
}

// hark has the own reading hold once the fleet has been silent for too long, and the published one once it is back.
func (l *Listing) hark() {
	connected := l.fleet.Connected()
	l.mu.Lock()
	if connected {
		l.heard = time.Now()
	}
	alone := l.read && time.Since(l.heard).Seconds() > l.fallback
	back := l.alone && !alone && connected && l.taken != nil
	turn := alone && !l.alone
	if turn || back {
		l.alone = alone
	}
	own, taken := l.own, l.taken
	l.mu.Unlock()
	switch {
	case turn:
		l.log.Warn().Float64("after", l.fallback).Msg("the fleet is not heard: the list as read here holds")
		l.gate.UpdateEndpoints(discovery.DrainingSnapshot, own.Endpoints)
	case back:
		if list, err := discovery.Parse("the fleet's list", taken, l.bounds); err == nil {
			l.log.Info().Msg("the fleet is heard again: its list holds")
			l.gate.UpdateEndpoints(discovery.DrainingSnapshot, list.Endpoints)
		}
	}
}
