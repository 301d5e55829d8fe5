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

// ListPublisher stands between a controller's own reading of the list of engines and its gateway: what counts is what the
// owner of that duty published. A controller that hears nothing of the fleet for a while takes its own reading.
type ListPublisher struct {
	bounds        discovery.Bounds
	fallbackAfter float64
	subscriber    discovery.Subscriber
	fleet         Fleet
	log           zerolog.Logger
	wakeups       chan struct{}

	mu            sync.Mutex
	localList     discovery.List // as read here
	hasLocalList  bool
	fence         uint64
	publishedText []byte    // the published list that holds, nil for none
	proposedText  []byte    // own reading that was published last
	fleetSeenAt   time.Time // of the fleet
	usesLocalList bool      // own reading holds
	wanted        bool      // a look is due
}

// NewListPublisher makes one. Texts it can't read by the bounds are reported, and the old list stays.
func NewListPublisher(bounds discovery.Bounds, fallback float64, gate discovery.Subscriber) *ListPublisher {
	return &ListPublisher{bounds: bounds, fallbackAfter: fallback, subscriber: gate, wakeups: make(chan struct{}, 1), fleetSeenAt: time.Now()}
}

// UpdateEndpoints takes what is read here.
func (l *ListPublisher) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	l.mu.Lock()
	l.localList = discovery.ApplyUpdate(l.localList, mode, engines)
	l.localList.Generation++
	l.hasLocalList = true
	first := l.publishedText == nil && !l.usesLocalList // nobody has said anything yet
	if first {
		l.usesLocalList = true
	}
	alone, own := l.usesLocalList, l.localList
	l.mu.Unlock()
	if alone { // also at the start, so that a controller serves before its fleet has agreed
		l.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, own.Endpoints)
	}
	l.wake()
}

func (l *ListPublisher) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// applyPublished takes a published list, unless a later owner has published.
func (l *ListPublisher) applyPublished(fence uint64, data []byte) {
	list, err := discovery.Parse("the fleet's list", data, l.bounds)
	l.mu.Lock()
	if fence < l.fence || err != nil {
		l.mu.Unlock()
		l.log.Warn().Err(err).Uint64("fence", fence).Msg("a published list is not taken")
		return
	}
	l.fence, l.publishedText, l.usesLocalList = fence, data, false
	l.mu.Unlock()
	l.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, list.Endpoints)
	l.log.Info().Uint64("fence", fence).Int("engines", len(list.Endpoints)).Msg("the fleet's list of engines taken")
}

// run publishes where this controller owns the list, and looks whether the fleet is heard.
func (l *ListPublisher) run(ctx context.Context) error {
	look := time.NewTicker(100 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wakeups:
		case <-look.C:
		}
		l.publish(ctx)
		l.checkFallback()
	}
}

// publish has the fleet take this controller's reading, where it differs from what holds.
func (l *ListPublisher) publish(ctx context.Context) {
	slot := assignment.ShardID{Task: assignment.EngineList}
	fence, ok := l.fleet.BeginWork(slot)
	if !ok {
		return
	}
	defer l.fleet.EndWork(slot, fence)
	l.mu.Lock()
	own := discovery.List{Generation: 1, Confirmed: true, Endpoints: l.localList.Endpoints}
	text := own.Format()
	wanted := l.hasLocalList && (string(text) != string(l.publishedText) || fence > l.fence) && string(text) != string(l.proposedText)
	l.mu.Unlock()
	if !wanted {
		return
	}
	within, done := context.WithTimeout(ctx, time.Duration(max(l.fleet.RemainingLease(), 0.05)*float64(time.Second)))
	defer done()
	switch err := l.fleet.Propose(within, state.Command{Op: state.OpPublishList, Subject: assignment.EngineList, Number: fence, Data: text}); {
	case err == nil:
		l.mu.Lock()
		l.proposedText = text
		l.mu.Unlock()
	case errors.Is(err, fleet.ErrRejected):
		l.log.Warn().Err(err).Msg("the list of engines is not published")
	}
}

// checkFallback has the own reading hold once the fleet has been silent for too long, and the published one once it is back.
func (l *ListPublisher) checkFallback() {
	connected := l.fleet.Connected()
	l.mu.Lock()
	if connected {
		l.fleetSeenAt = time.Now()
	}
	alone := l.hasLocalList && time.Since(l.fleetSeenAt).Seconds() > l.fallbackAfter
	back := l.usesLocalList && !alone && connected && l.publishedText != nil
	turn := alone && !l.usesLocalList
	if turn || back {
		l.usesLocalList = alone
	}
	own, taken := l.localList, l.publishedText
	l.mu.Unlock()
	switch {
	case turn:
		l.log.Warn().Float64("after", l.fallbackAfter).Msg("the fleet is not heard: the list as read here holds")
		l.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, own.Endpoints)
	case back:
		if list, err := discovery.Parse("the fleet's list", taken, l.bounds); err == nil {
			l.log.Info().Msg("the fleet is heard again: its list holds")
			l.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, list.Endpoints)
		}
	}
}
