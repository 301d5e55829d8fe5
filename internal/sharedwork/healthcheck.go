package sharedwork

import (
	"context"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/assignment"
)

const (
	// widelyPolledFactor is how many times longer an engine that several controllers poll for their own requests goes without
	// a health check on the fleet's behalf.
	widelyPolledFactor = 4

	// maxReportAge is the age, in seconds, from which a load report of another controller is of no use.
	maxReportAge = 1

	// minPublishInterval bounds how often reports are published; those of one interval go in one message.
	minPublishInterval = 20 * time.Millisecond
)

// healthChecker polls the engines in this controller's shards for their load, on the fleet's behalf, and publishes the
// reports.
type healthChecker struct {
	options *Options
	fleet   Fleet
	gateway Gateway

	mu            sync.Mutex
	highestFences map[int]uint64     // by shard: of the reports received
	widelyPolled  map[uint32]bool    // engines that several controllers have polled of late; replaced as a whole
	inFlight      map[string]bool    // engines polled and not answered
	unpublished   []fleet.LoadReport // since the latest message
}

func newHealthChecker(options *Options, f Fleet, g Gateway) *healthChecker {
	return &healthChecker{
		options:       options,
		fleet:         f,
		gateway:       g,
		highestFences: map[int]uint64{},
		inFlight:      map[string]bool{},
	}
}

// run polls and publishes until ctx ends.
func (h *healthChecker) run(ctx context.Context) error {
	interval := time.Duration(h.options.HealthCheckInterval * float64(time.Second))
	poll := time.NewTicker(interval)
	defer poll.Stop()
	publish := time.NewTicker(max(interval/2, minPublishInterval))
	defer publish.Stop()
	round := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-publish.C:
			h.publish()
		case <-poll.C:
			round++
			for _, engine := range h.gateway.ReadyEndpoints() {
				if h.due(engine, round) {
					h.check(engine)
				}
			}
		}
	}
}

// publish sends the reports taken since the latest message.
func (h *healthChecker) publish() {
	h.mu.Lock()
	reports := h.unpublished
	h.unpublished = nil
	h.mu.Unlock()
	if len(reports) > 0 {
		h.fleet.PublishLoad(reports)
	}
}

// due reports whether an engine is to be checked in a round.
func (h *healthChecker) due(engine string, round int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return round%widelyPolledFactor == 0 || !h.widelyPolled[assignment.EngineHash(engine)]
}

// check polls an engine, if its shard is this controller's and no poll of it is in flight. One that was just polled for this
// controller's own requests is not polled again: that report is published.
func (h *healthChecker) check(engine string) {
	shard := assignment.ShardID{
		Task:  assignment.HealthChecks,
		Index: assignment.ShardOf(engine, assignment.ShardCounts[assignment.HealthChecks]),
	}
	if h.isInFlight(engine) {
		return
	}
	fence, owned := h.fleet.BeginWork(shard)
	if !owned {
		return
	}
	if load, age, reported := h.gateway.LastLoadReport(engine); reported && age < h.options.HealthCheckInterval {
		h.mu.Lock()
		h.unpublished = append(h.unpublished, fleet.LoadReport{Engine: engine, Shard: shard.Index, Fence: fence, Load: load, Age: age})
		h.mu.Unlock()
		h.fleet.EndWork(shard, fence)
		return
	}
	h.poll(engine, shard, fence)
}

func (h *healthChecker) isInFlight(engine string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight[engine]
}

// poll asks an engine for its load. The report counts only where the shard is still owned when it comes: afterwards another
// controller polls.
func (h *healthChecker) poll(engine string, shard assignment.ShardID, fence uint64) {
	h.mu.Lock()
	h.inFlight[engine] = true
	h.mu.Unlock()
	sentAt := time.Now()
	h.gateway.PollEndpointLoad(engine, func(load deployment.Load, answered bool) {
		usable := h.fleet.Owns(shard, fence) && answered
		h.mu.Lock()
		delete(h.inFlight, engine)
		if usable {
			report := fleet.LoadReport{Engine: engine, Shard: shard.Index, Fence: fence, Load: load, Age: halfSince(sentAt)}
			h.unpublished = append(h.unpublished, report)
		}
		h.mu.Unlock()
		if usable {
			h.gateway.ObserveLoadReport(engine, halfSince(sentAt), load)
		}
		h.fleet.EndWork(shard, fence)
	})
}

// halfSince is the age of an answer, in seconds: it is taken to have been written half-way through the round trip.
func halfSince(sentAt time.Time) float64 { return time.Since(sentAt).Seconds() / 2 }

// receive passes on the reports of other controllers. One under a lower fencing token than another one of its shard comes
// from a controller that no longer owns it.
func (h *healthChecker) receive(reports []fleet.LoadReport) {
	for _, r := range reports {
		if h.currentOwner(r) && r.Age < maxReportAge {
			h.gateway.ObserveLoadReport(r.Engine, r.Age, r.Load)
		}
	}
}

// currentOwner reports whether no later owner of the report's shard is known.
func (h *healthChecker) currentOwner(r fleet.LoadReport) bool {
	if r.Shard < 0 || r.Shard >= assignment.ShardCounts[assignment.HealthChecks] {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Fence < h.highestFences[r.Shard] {
		return false
	}
	h.highestFences[r.Shard] = r.Fence
	return true
}

// enginesPolled are the engines that were polled of late for this controller's own requests.
func (h *healthChecker) enginesPolled() []uint32 {
	if h.options.HealthCheckInterval == 0 || !h.options.ReduceWidelyPolled {
		return nil
	}
	var engines []uint32
	for _, name := range h.gateway.ReadyEndpoints() {
		_, age, reported := h.gateway.LastLoadReport(name)
		if reported && age < 2*h.options.HealthCheckInterval {
			engines = append(engines, assignment.EngineHash(name))
		}
	}
	return engines
}

func (h *healthChecker) setWidelyPolled(engines []uint32) {
	widelyPolled := make(map[uint32]bool, len(engines))
	for _, e := range engines {
		widelyPolled[e] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.widelyPolled = widelyPolled
}
