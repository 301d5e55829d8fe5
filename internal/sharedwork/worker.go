package sharedwork

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/gateway"
)

// Fleet is what shared work needs of the controller's membership in its fleet.
type Fleet interface {
	// BeginWork marks a shard as in use and returns its fencing token; false where this controller does not own it. Each call
	// that succeeds is followed by EndWork.
	BeginWork(assignment.ShardID) (fence uint64, ok bool)
	EndWork(s assignment.ShardID, fence uint64)
	// Owns reports whether this controller still owns the shard under that fencing token.
	Owns(s assignment.ShardID, fence uint64) bool
	// RemainingLease is for how long work that is begun now may go on, 0 where the lease has expired.
	RemainingLease() time.Duration
	// Connected reports whether the fleet's leader has been heard of late.
	Connected() bool
	// Propose has the fleet's state changed; fleet.ErrRejected where the state forbids it.
	Propose(ctx context.Context, c state.Command) error
	PublishLoad(reports []fleet.LoadReport)
}

// Gateway is what shared work needs of the controller's gateway. Ages are seconds.
type Gateway interface {
	ReadyEndpoints() []string
	// PollEndpointLoad calls answer once, with false where no load report came in time.
	PollEndpointLoad(engine string, answer func(load deployment.Load, ok bool))
	LastLoadReport(engine string) (load deployment.Load, age float64, reported bool)
	ObserveLoadReport(engine string, age float64, load deployment.Load)
	Utilization() float64
	Execute(ctx context.Context, r gateway.InternalRequest) (outcome gateway.Outcome, reason string)
	DrainEngine(engine string, drain bool)
	OverrideBudget(team string, limit float64, active bool)
}

// Worker is one controller's part in the shared work of its fleet.
type Worker struct {
	options   *Options
	fleet     Fleet
	gateway   Gateway
	log       zerolog.Logger
	health    *healthChecker
	scheduler *scheduler
	publisher *ListPublisher // nil where each controller reads the list for itself

	shuttingDown atomic.Bool
}

// New makes a worker. publisher may be nil.
func New(options *Options, f Fleet, g Gateway, publisher *ListPublisher, log zerolog.Logger) *Worker {
	w := &Worker{options: options, fleet: f, gateway: g, publisher: publisher, log: log}
	w.health = newHealthChecker(options, f, g)
	w.scheduler = newScheduler(options, f, g, log)
	if publisher != nil {
		publisher.fleet, publisher.log = f, log
	}
	return w
}

// Run does shared work until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if w.options.HealthCheckInterval > 0 {
		group.Go(func() error { return w.health.run(ctx) })
	}
	if len(w.options.Jobs) > 0 {
		group.Go(func() error { return w.scheduler.run(ctx) })
	}
	if w.publisher != nil {
		group.Go(func() error { return w.publisher.run(ctx) })
	}
	<-ctx.Done()
	return group.Wait()
}

// BeginShutdown tells, once, that the process is to end: no scheduled job is started any more, and the fleet is told that
// there is no capacity, so that the leader gives the shards to others. What runs goes on; Drained tells when it has ended.
// It is called while Run runs.
func (w *Worker) BeginShutdown() {
	w.shuttingDown.Store(true)
	close(w.scheduler.shutdown)
	if len(w.options.Jobs) == 0 { // the scheduler does not run
		close(w.scheduler.drained)
	}
}

// Drained is closed once, after BeginShutdown, all scheduled runs have ended and the fleet knows how.
func (w *Worker) Drained() <-chan struct{} { return w.scheduler.drained }

// Capacity is this controller's spare capacity for shared work, from 0 to 1.
func (w *Worker) Capacity() float64 {
	if w.shuttingDown.Load() {
		return 0
	}
	return 1 - w.gateway.Utilization()
}

// ShardsChanged is called when shards were assigned, recalled or lost.
func (w *Worker) ShardsChanged(changes []assignment.Change) {
	words := [...]string{"shard gained", "shard recalled", "shard lost"}
	for _, c := range changes {
		w.log.Debug().Str("duty", c.Task).Int("slice", c.Index).Uint64("fence", c.Fence).Msg(words[c.Kind])
		if w.publisher != nil && c.Task == assignment.EngineList {
			w.log.Info().Uint64("fence", c.Fence).Msg("endpoint list " + words[c.Kind])
			w.publisher.wake()
		}
	}
}

// ScheduledJobs takes what the fleet's state has of the jobs in this controller's shards.
func (w *Worker) ScheduledJobs(jobs []consensus.ScheduledJob) { w.scheduler.update(jobs) }

// ApplyOverride applies an operator's override to the gateway.
func (w *Worker) ApplyOverride(o state.Override) {
	w.log.Info().Str("kind", o.Kind).Str("target", o.Target).Float64("amount", o.Amount).Bool("ends", o.Revoked).
		Uint64("number", o.Number).Msg("override applied")
	switch o.Kind {
	case state.DrainEngine:
		w.gateway.DrainEngine(o.Target, !o.Revoked)
	case state.TeamBudget:
		w.gateway.OverrideBudget(teamOfQuantity(o.Target), o.Amount, !o.Revoked)
	}
}

// ListPublished takes an endpoint list that its owner has published.
func (w *Worker) ListPublished(name string, fence, _ uint64, data []byte) {
	if w.publisher != nil && name == assignment.EngineList {
		w.publisher.applyPublished(fence, data)
	}
}

// LoadReported takes the load reports that other controllers have polled.
func (w *Worker) LoadReported(reports []fleet.LoadReport) { w.health.receive(reports) }

// EnginesPolled are the engines that were polled of late for this controller's own requests.
func (w *Worker) EnginesPolled() []uint32 { return w.health.enginesPolled() }

// SetWidelyPolled takes the engines that several controllers have polled of late for their own requests.
func (w *Worker) SetWidelyPolled(engines []uint32) { w.health.setWidelyPolled(engines) }
