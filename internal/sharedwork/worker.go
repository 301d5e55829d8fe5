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

// Fleet is the part of fleet.Member that shared work uses.
type Fleet interface {
	// BeginWork counts a piece of work in a shard as in progress and returns the shard's fencing token. ok is false if the work
	// must not begin. Each call that succeeds must be followed by EndWork.
	BeginWork(assignment.ShardID) (fence uint64, ok bool)
	EndWork(s assignment.ShardID, fence uint64)
	// Owns reports whether this controller still owns the shard under that fencing token.
	Owns(s assignment.ShardID, fence uint64) bool
	// RemainingLease returns for how long work that begins now may continue, 0 if the lease has expired.
	RemainingLease() time.Duration
	// Connected reports whether this controller has a valid lease, and so has recently had an answer from the leader.
	Connected() bool
	// Propose applies a command to the fleet's state. Its error wraps fleet.ErrRejected if the command was rejected.
	Propose(ctx context.Context, c state.Command) error
	PublishLoad(reports []fleet.LoadReport)
}

// Gateway is the part of the controller's gateway that shared work uses. Ages are seconds.
type Gateway interface {
	ReadyEndpoints() []string
	// PollEndpointLoad calls answer once, with ok false if no load report arrived in time.
	PollEndpointLoad(engine string, answer func(load deployment.Load, ok bool))
	LastLoadReport(engine string) (load deployment.Load, age float64, reported bool)
	ObserveLoadReport(engine string, age float64, load deployment.Load)
	Utilization() float64
	Execute(ctx context.Context, r gateway.InternalRequest) (outcome gateway.Outcome, reason string)
	DrainEngine(engine string, drain bool)
	OverrideBudget(team string, limit float64, active bool)
}

// Worker does one controller's part of the shared work of its fleet. It implements fleet.Worker.
type Worker struct {
	options   *Options
	fleet     Fleet
	gateway   Gateway
	log       zerolog.Logger
	health    *healthChecker
	scheduler *scheduler
	publisher *ListPublisher // nil if each controller uses its own endpoint list

	shuttingDown atomic.Bool
}

// New returns a worker. publisher is nil if each controller uses its own endpoint list.
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

// BeginShutdown is called once, while Run is running, before the process ends. Afterwards no scheduled job is started, and
// Capacity returns 0, so that the leader assigns the shards to other controllers. Running jobs continue; Drained reports when
// they have ended.
func (w *Worker) BeginShutdown() {
	w.shuttingDown.Store(true)
	close(w.scheduler.shutdown)
	if len(w.options.Jobs) == 0 { // the scheduler isn't running
		close(w.scheduler.drained)
	}
}

// Drained returns a channel that is closed after BeginShutdown, once all scheduled runs have ended and been reported.
func (w *Worker) Drained() <-chan struct{} { return w.scheduler.drained }

// Capacity returns this controller's spare capacity for shared work, from 0 to 1.
func (w *Worker) Capacity() float64 {
	if w.shuttingDown.Load() {
		return 0
	}
	return 1 - w.gateway.Utilization()
}

// ShardsChanged logs changes of shards, and wakes the publisher if one of them concerns the endpoint list.
func (w *Worker) ShardsChanged(changes []assignment.Change) {
	messages := [...]string{"shard gained", "shard recalled", "shard lost"}
	for _, c := range changes {
		w.log.Debug().Str("duty", c.Task).Int("slice", c.Index).Uint64("fence", c.Fence).Msg(messages[c.Kind])
		if w.publisher != nil && c.Task == assignment.EngineList {
			w.log.Info().Uint64("fence", c.Fence).Msg("endpoint list " + messages[c.Kind])
			w.publisher.wake()
		}
	}
}

// ScheduledJobs updates the scheduler with the fleet's state of the jobs in this controller's shards.
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

// ListPublished applies an endpoint list that its owner has published.
func (w *Worker) ListPublished(name string, fence, _ uint64, data []byte) {
	if w.publisher != nil && name == assignment.EngineList {
		w.publisher.applyPublished(fence, data)
	}
}

// LoadReported passes load reports of other controllers to the gateway.
func (w *Worker) LoadReported(reports []fleet.LoadReport) { w.health.receive(reports) }

// EnginesPolled returns the hashes of the engines that were recently polled for this controller's own requests.
func (w *Worker) EnginesPolled() []uint32 { return w.health.enginesPolled() }

// SetWidelyPolled sets the hashes of the engines that several controllers have recently polled for their own requests.
func (w *Worker) SetWidelyPolled(engines []uint32) { w.health.setWidelyPolled(engines) }
