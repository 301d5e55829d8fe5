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

// fallbackCheckInterval is the interval between checks whether the fleet can be reached.
const fallbackCheckInterval = 100 * time.Millisecond

// publishedListName stands for the file name in errors about a published list.
const publishedListName = "the fleet's list"

// ListPublisher decides which endpoint list a controller's gateway uses: the list that the owner of the list has published,
// or the local list, which comes from the controller's own sources. The local list is used until the first one is published,
// and while the fleet has been out of reach for longer than fallbackAfter.
type ListPublisher struct {
	bounds        discovery.Bounds
	fallbackAfter float64 // seconds
	subscriber    discovery.Subscriber
	fleet         Fleet
	log           zerolog.Logger
	wakeups       chan struct{} // has a buffer of one

	mu            sync.Mutex
	localList     discovery.List // latest list from this controller's own sources
	hasLocalList  bool
	usesLocalList bool      // whether the local list is in use
	publishedText []byte    // latest published list, nil before the first
	fence         uint64    // fencing token under which publishedText was published
	proposedText  []byte    // list that this controller last published
	fleetSeenAt   time.Time // last time at which the fleet was connected
}

// NewListPublisher returns a publisher that updates subscriber, the gateway. A published list that exceeds the bounds is
// logged and ignored.
func NewListPublisher(bounds discovery.Bounds, fallbackAfter float64, subscriber discovery.Subscriber) *ListPublisher {
	return &ListPublisher{
		bounds:        bounds,
		fallbackAfter: fallbackAfter,
		subscriber:    subscriber,
		wakeups:       make(chan struct{}, 1),
		fleetSeenAt:   time.Now(),
	}
}

// UpdateEndpoints applies an update from this controller's own sources to the local list. Until a list has been published
// the local list is used, so that a controller can serve requests before the fleet has agreed on a list.
func (p *ListPublisher) UpdateEndpoints(mode discovery.UpdateMode, endpoints []discovery.Endpoint) {
	p.mu.Lock()
	p.localList = discovery.ApplyUpdate(p.localList, mode, endpoints)
	p.localList.Generation++
	p.hasLocalList = true
	if p.publishedText == nil {
		p.usesLocalList = true
	}
	usesLocalList, local := p.usesLocalList, p.localList
	p.mu.Unlock()
	if usesLocalList {
		p.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, local.Endpoints)
	}
	p.wake()
}

// wake makes run check at once whether there is something to publish.
func (p *ListPublisher) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// applyPublished starts to use a published list. It rejects a list that is invalid, or older than one of a later owner.
func (p *ListPublisher) applyPublished(fence uint64, text []byte) {
	list, err := discovery.Parse(publishedListName, text, p.bounds)
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

// run publishes the local list while this controller owns the list, and switches to the local list while the fleet is out of
// reach, until ctx ends.
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
	text, changed := p.unpublishedList(fence)
	if !changed {
		return
	}
	timeout := max(p.fleet.RemainingLease(), minProposalTimeout)
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

// unpublishedList returns the local list as text, and whether it has to be published. A new owner also publishes a list that
// equals the published one, so that lists under an earlier fencing token are rejected afterwards.
func (p *ListPublisher) unpublishedList(fence uint64) (text []byte, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	local := discovery.List{Generation: 1, Confirmed: true, Endpoints: p.localList.Endpoints}
	text = local.Format()
	differs := !bytes.Equal(text, p.publishedText) || fence > p.fence
	return text, p.hasLocalList && differs && !bytes.Equal(text, p.proposedText)
}

// checkFallback switches to the local list once the fleet has been out of reach for too long, and back to the published list
// once the fleet is connected again.
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
		list, err := discovery.Parse(publishedListName, publishedText, p.bounds)
		if err != nil {
			return // can't happen: applyPublished has parsed the same text
		}
		p.log.Info().Msg("the fleet is reachable again: its endpoint list is used")
		p.subscriber.UpdateEndpoints(discovery.DrainingSnapshot, list.Endpoints)
	}
}
