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
	// widelyPolledFactor is the factor by which health checks are less frequent for an engine that several controllers poll
	// for their own requests.
	widelyPolledFactor = 4

	// maxReportAge is the age, in seconds, from which a load report of another controller is ignored.
	maxReportAge = 1

	// minPublishInterval is the shortest interval between messages with load reports. All reports of an interval are sent in
	// one message.
	minPublishInterval = 20 * time.Millisecond
)

// healthChecker polls the engines in this controller's shards for their load, on behalf of the fleet, and publishes the
// reports to the other controllers.
type healthChecker struct {
	options *Options
	fleet   Fleet
	gateway Gateway

	mu            sync.Mutex
	highestFences map[int]uint64     // highest fencing token among the received reports, by shard
	widelyPolled  map[uint32]bool    // hashes of the engines that several controllers have recently polled; replaced as a whole
	inFlight      map[string]bool    // engines with a poll that is not answered yet
	unpublished   []fleet.LoadReport // reports since the latest message
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

// run polls engines and publishes reports until ctx ends.
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
				if h.isDue(engine, round) {
					h.check(engine)
				}
			}
		}
	}
}

// publish sends the reports since the latest message.
func (h *healthChecker) publish() {
	h.mu.Lock()
	reports := h.unpublished
	h.unpublished = nil
	h.mu.Unlock()
	if len(reports) > 0 {
		h.fleet.PublishLoad(reports)
	}
}

// isDue reports whether an engine is to be checked in a round. A widely polled engine is checked in one round of
// widelyPolledFactor.
func (h *healthChecker) isDue(engine string, round int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return round%widelyPolledFactor == 0 || !h.widelyPolled[assignment.EngineHash(engine)]
}

// check polls an engine, if this controller owns its shard and no poll of it is in flight. If the engine was polled for this
// controller's own requests within the interval, that report is published instead.
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

// poll asks an engine for its load. The report is used only if this controller still owns the shard when it arrives, because
// otherwise another controller polls the engine.
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
			report := fleet.LoadReport{Engine: engine, Shard: shard.Index, Fence: fence, Load: load, Age: estimatedAge(sentAt)}
			h.unpublished = append(h.unpublished, report)
		}
		h.mu.Unlock()
		if usable {
			h.gateway.ObserveLoadReport(engine, estimatedAge(sentAt), load)
		}
		h.fleet.EndWork(shard, fence)
	})
}

// estimatedAge returns the estimated age of an answer, in seconds, assuming that it was written half-way through the round trip.
func estimatedAge(sentAt time.Time) float64 { return time.Since(sentAt).Seconds() / 2 }

// receive passes the load reports of other controllers to the gateway, except old ones and those of a previous owner of the
// shard.
func (h *healthChecker) receive(reports []fleet.LoadReport) {
	for _, r := range reports {
		if h.fromCurrentOwner(r) && r.Age < maxReportAge {
			h.gateway.ObserveLoadReport(r.Engine, r.Age, r.Load)
		}
	}
}

// fromCurrentOwner reports whether no report of the same shard was received under a higher fencing token. Such a token means
// that the report's sender no longer owns the shard.
func (h *healthChecker) fromCurrentOwner(r fleet.LoadReport) bool {
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

// enginesPolled returns the hashes of the engines that were recently polled for this controller's own requests. It returns
// nil if they are not needed, because health checks or ReduceWidelyPolled are off.
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
