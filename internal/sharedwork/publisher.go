package sharedwork

import (
	"bytes"
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

// fallbackCheckInterval is how often the publisher looks whether the fleet can be reached.
const fallbackCheckInterval = 100 * time.Millisecond

// publishedName is how errors name a published list.
const publishedName = "the fleet's list"

// ListPublisher stands between a controller's own sources of the endpoint list and its gateway. The list in force is the
// one that the owner of the list has published. A controller that has not reached the fleet for a while uses its local list.
type ListPublisher struct {
	bounds        discovery.Bounds
	fallbackAfter float64 // seconds
	subscriber    discovery.Subscriber
	fleet         Fleet
	log           zerolog.Logger
	wakeups       chan struct{} // one waits at the most

	mu            sync.Mutex
	localList     discovery.List // as this controller's own sources have it
	hasLocalList  bool
	usesLocalList bool      // it is in force
	publishedText []byte    // the published list, nil for none yet
	fence         uint64    // fencing token of its publisher
	proposedText  []byte    // the local list that this controller published last
	fleetSeenAt   time.Time // when the fleet was last connected
}

// NewListPublisher makes a publisher that updates a gateway. A published list that is not within the bounds is logged, and
// the list before stays in force.
func NewListPublisher(bounds discovery.Bounds, fallbackAfter float64, subscriber discovery.Subscriber) *ListPublisher {
	return &ListPublisher{
		bounds:        bounds,
		fallbackAfter: fallbackAfter,
		subscriber:    subscriber,
		wakeups:       make(chan struct{}, 1),
		fleetSeenAt:   time.Now(),
	}
}

// UpdateEndpoints takes an update of this controller's own sources. Until a list has been published the local one is in
// force, so that a controller serves before its fleet has agreed.
func (p *ListPublisher) UpdateEndpoints(mode discovery.UpdateMode, endpoints []discovery.Endpoint) {
	p.mu.Lock()
	p.localList = discovery.ApplyUpdate(p.localList, mode, endpoints)
	p.localList.Generation++
	p.hasLocalList = true
	if p.publishedText == nil {
		p.usesLocalList = true
	}
	inForce, local := p.usesLocalList, p.localList
	p.mu.Unlock()
	if inForce {
		p.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, local.Endpoints)
	}
	p.wake()
}

// wake has run look at once whether there is something to publish.
func (p *ListPublisher) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// applyPublished puts a published list in force, unless a later owner has published another.
func (p *ListPublisher) applyPublished(fence uint64, text []byte) {
	list, err := discovery.Parse(publishedName, text, p.bounds)
	p.mu.Lock()
	if fence < p.fence || err != nil {
		p.mu.Unlock()
		p.log.Warn().Err(err).Uint64("fence", fence).Msg("published endpoint list rejected")
		return
	}
	p.fence, p.publishedText, p.usesLocalList = fence, text, false
	p.mu.Unlock()
	p.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, list.Endpoints)
	p.log.Info().Uint64("fence", fence).Int("engines", len(list.Endpoints)).Msg("published endpoint list applied")
}

// run publishes while this controller owns the list, and falls back to the local list without the fleet, until ctx ends.
func (p *ListPublisher) run(ctx context.Context) error {
	ticker := time.NewTicker(fallbackCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wakeups:
		case <-ticker.C:
		}
		p.publish(ctx)
		p.checkFallback()
	}
}

// publish proposes the local list, if this controller owns the list and it differs from the published one.
func (p *ListPublisher) publish(ctx context.Context) {
	shard := assignment.ShardID{Task: assignment.EngineList}
	fence, owned := p.fleet.BeginWork(shard)
	if !owned {
		return
	}
	defer p.fleet.EndWork(shard, fence)
	text, changed := p.unpublished(fence)
	if !changed {
		return
	}
	timeout := max(p.fleet.RemainingLease(), minProposalTime)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := p.fleet.Propose(ctx, state.Command{Op: state.OpPublishList, Subject: assignment.EngineList, Number: fence, Data: text})
	switch {
	case err == nil:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.proposedText = text
	case errors.Is(err, fleet.ErrRejected):
		p.log.Warn().Err(err).Msg("endpoint list not published")
	}
}

// unpublished is the local list as a text; false where it needs no publishing. A new owner publishes an equal list too, so
// that its fencing token holds.
func (p *ListPublisher) unpublished(fence uint64) (text []byte, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	local := discovery.List{Generation: 1, Confirmed: true, Endpoints: p.localList.Endpoints}
	text = local.Format()
	differs := !bytes.Equal(text, p.publishedText) || fence > p.fence
	return text, p.hasLocalList && differs && !bytes.Equal(text, p.proposedText)
}

// checkFallback puts the local list in force once the fleet has not been reached for too long, and the published one once it
// has.
func (p *ListPublisher) checkFallback() {
	connected := p.fleet.Connected()
	p.mu.Lock()
	if connected {
		p.fleetSeenAt = time.Now()
	}
	lost := p.hasLocalList && time.Since(p.fleetSeenAt).Seconds() > p.fallbackAfter
	toLocal := lost && !p.usesLocalList
	toPublished := p.usesLocalList && !lost && connected && p.publishedText != nil
	if toLocal || toPublished {
		p.usesLocalList = toLocal
	}
	local, publishedText := p.localList, p.publishedText
	p.mu.Unlock()
	switch {
	case toLocal:
		p.log.Warn().Float64("after", p.fallbackAfter).Msg("the fleet is unreachable: the local endpoint list is used")
		p.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, local.Endpoints)
	case toPublished:
		list, err := discovery.Parse(publishedName, publishedText, p.bounds)
		if err != nil {
			return // applyPublished has parsed it
		}
		p.log.Info().Msg("the fleet is reachable again: its endpoint list is used")
		p.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, list.Endpoints)
	}
}
