// Package sharedwork carries out what a fleet of controllers does as one: engines are asked for their load by one controller
// each, scheduled jobs run once, one controller reads the list of engines for all, and operators' orders are taken up. Who
// does what, and whether it still may, is decided by internal/fleet/assignment; this package owns the goroutines that do it.
package sharedwork

import (
	"context"
	"sync"
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

// Fleet is what duties need of the controller's place in its fleet.
type Fleet interface {
	BeginWork(assignment.ShardID) (fence uint64, ok bool)
	EndWork(s assignment.ShardID, fence uint64)
	Owns(s assignment.ShardID, fence uint64) bool
	RemainingLease() float64
	Connected() bool
	Propose(ctx context.Context, c state.Command) error
	PublishLoad(readings []fleet.LoadReport)
}

// Gateway is what duties need of the controller's gateway.
type Gateway interface {
	ReadyEndpoints() []string
	PollEndpointLoad(engine string, answer func(load deployment.Load, ok bool))
	LastLoadReport(engine string) (load deployment.Load, age float64, told bool)
	ObserveLoadReport(engine string, age float64, load deployment.Load)
	Utilization() float64
	Execute(ctx context.Context, j gateway.InternalRequest) (gateway.Outcome, string)
	DrainEngine(engine string, drain bool)
	OverrideBudget(team string, most float64, holds bool)
}

// Worker is one controller's part in what its fleet does as one.
type Worker struct {
	options   *Options
	fleet     Fleet
	gateway   Gateway
	log       zerolog.Logger
	publisher *ListPublisher // nil where each controller reads the list for itself
	scheduler *scheduler

	mu            sync.Mutex
	highestFences map[int]uint64  // the highest under which readings of a slice came
	widelyRead    map[uint32]bool // engines that several controllers have read of late; swapped whole
}

// New makes them. list may be nil.
func New(options *Options, f Fleet, g Gateway, list *ListPublisher, log zerolog.Logger) *Worker {
	d := &Worker{options: options, fleet: f, gateway: g, publisher: list, log: log, highestFences: map[int]uint64{}}
	d.scheduler = newScheduler(d)
	if list != nil {
		list.fleet, list.log = f, log
	}
	return d
}

// Run carries duties out until ctx ends.
func (d *Worker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if d.options.HealthCheckInterval > 0 {
		group.Go(func() error { return d.runHealthChecks(ctx) })
	}
	if len(d.options.Jobs) > 0 {
		group.Go(func() error { return d.scheduler.run(ctx) })
	}
	if d.publisher != nil {
		group.Go(func() error { return d.publisher.run(ctx) })
	}
	<-ctx.Done()
	return group.Wait()
}

// Capacity is this controller's room for duties.
func (d *Worker) Capacity() float64 { return 1 - d.gateway.Utilization() }

// ShardsChanged hears of slices gained, asked back or lost.
func (d *Worker) ShardsChanged(changes []assignment.Change) {
	words := [...]string{"gained", "asked back", "lost"}
	for _, c := range changes {
		d.log.Debug().Str("duty", c.Task).Int("slice", c.Index).Uint64("fence", c.Fence).Msg(words[c.Kind])
		if d.publisher != nil && c.Task == assignment.EngineList {
			d.log.Info().Uint64("fence", c.Fence).Msg("the list of engines: " + words[c.Kind])
			d.publisher.wake()
		}
	}
}

// ScheduledJobs hears what the ledger has of jobs in slices of this controller's.
func (d *Worker) ScheduledJobs(jobs []consensus.ScheduledJob) { d.scheduler.update(jobs) }

// ApplyOverride takes an operator's order up.
func (d *Worker) ApplyOverride(o state.Override) {
	d.log.Info().Str("kind", o.Kind).Str("target", o.Target).Float64("amount", o.Amount).Bool("ends", o.Revoked).Uint64("number", o.Number).Msg("order taken up")
	switch o.Kind {
	case state.DrainEngine:
		d.gateway.DrainEngine(o.Target, !o.Revoked)
	case state.TeamBudget:
		d.gateway.OverrideBudget(teamOfQuantity(o.Target), o.Amount, !o.Revoked)
	}
}

// ListPublished takes a list that its owner published.
func (d *Worker) ListPublished(name string, fence, version uint64, data []byte) {
	if d.publisher != nil && name == assignment.EngineList {
		d.publisher.applyPublished(fence, data)
	}
}

// LoadReported takes readings that others took. One under a lower fence than another of its slice comes from an owner that is
// none any more.
func (d *Worker) LoadReported(readings []fleet.LoadReport) {
	for _, r := range readings {
		d.mu.Lock()
		stale := r.Fence < d.highestFences[r.Shard] || r.Shard < 0 || r.Shard >= assignment.ShardCounts[assignment.HealthChecks]
		if !stale {
			d.highestFences[r.Shard] = r.Fence
		}
		d.mu.Unlock()
		if !stale && r.Age < 1 {
			d.gateway.ObserveLoadReport(r.Engine, r.Age, r.Load)
		}
	}
}

// EnginesRead are the engines that this controller's own jobs have had asked of late.
func (d *Worker) EnginesRead() (engines []uint32) {
	if d.options.HealthCheckInterval == 0 || !d.options.ReduceWidelyRead {
		return nil
	}
	for _, name := range d.gateway.ReadyEndpoints() {
		if _, age, told := d.gateway.LastLoadReport(name); told && age < 2*d.options.HealthCheckInterval {
			engines = append(engines, assignment.EngineHash(name))
		}
	}
	return engines
}

// SetWidelyRead takes the engines that several controllers have read of late: they know of those by themselves.
func (d *Worker) SetWidelyRead(engines []uint32) {
	known := make(map[uint32]bool, len(engines))
	for _, e := range engines {
		known[e] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.widelyRead = known
}

// widelyReadFactor is how many times longer an engine that several controllers read goes without a probe on the fleet's behalf.
const widelyReadFactor = 4

// healthCheckDue tells whether an engine is to be asked at the so manieth tick.
func (d *Worker) healthCheckDue(name string, tick int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return tick%widelyReadFactor == 0 || !d.widelyRead[assignment.EngineHash(name)]
}

// runHealthChecks asks the engines in this controller's slices for their load, each once in a while and never twice at once, and
// tells all. One that the controller's own jobs have had asked since is not asked again.
func (d *Worker) runHealthChecks(ctx context.Context) error {
	every := time.Duration(d.options.HealthCheckInterval * float64(time.Second))
	tick := time.NewTicker(every)
	defer tick.Stop()
	var mu sync.Mutex
	asked := map[string]bool{} // and not answered; forgotten with the answer, which comes or is given up
	var taken []fleet.LoadReport
	ticks := 0
	send := time.NewTicker(max(every/2, 20*time.Millisecond)) // what came together goes together
	defer send.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-send.C:
			mu.Lock()
			some := taken
			taken = nil
			mu.Unlock()
			if len(some) > 0 {
				d.fleet.PublishLoad(some)
			}
		case <-tick.C:
			ticks++
			for _, name := range d.gateway.ReadyEndpoints() {
				if !d.healthCheckDue(name, ticks) {
					continue
				}
				slot := assignment.ShardID{Task: assignment.HealthChecks, Index: assignment.ShardOf(name, assignment.ShardCounts[assignment.HealthChecks])}
				mu.Lock()
				waits := asked[name]
				mu.Unlock()
				if waits {
					continue
				}
				fence, ok := d.fleet.BeginWork(slot)
				if !ok {
					continue
				}
				if load, age, told := d.gateway.LastLoadReport(name); told && age < d.options.HealthCheckInterval { // its jobs have just had it asked
					mu.Lock()
					taken = append(taken, fleet.LoadReport{Engine: name, Shard: slot.Index, Fence: fence, Load: load, Age: age})
					mu.Unlock()
					d.fleet.EndWork(slot, fence)
					continue
				}
				mu.Lock()
				asked[name] = true
				mu.Unlock()
				began := time.Now()
				d.gateway.PollEndpointLoad(name, func(load deployment.Load, answered bool) {
					still := d.fleet.Owns(slot, fence) // a word that comes after the lease is an old owner's
					mu.Lock()
					delete(asked, name)
					if answered && still {
						taken = append(taken, fleet.LoadReport{Engine: name, Shard: slot.Index, Fence: fence, Load: load, Age: time.Since(began).Seconds() / 2})
					}
					mu.Unlock()
					if answered && still {
						d.gateway.ObserveLoadReport(name, time.Since(began).Seconds()/2, load)
					}
					d.fleet.EndWork(slot, fence)
				})
			}
		}
	}
}
