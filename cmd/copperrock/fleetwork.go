package main

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/sharedwork"
)

// workStopTimeout is how long a stopped worker may take to send its last reports. It is shorter than the time that the platform
// leaves between the longest deadline and the kill.
const workStopTimeout = 250 * time.Millisecond

// fleetWork is the work that a controller does for its fleet. The zero value is for a controller without a fleet.
type fleetWork struct {
	publisher *sharedwork.ListPublisher // between the list's sources and the gateway; nil if each controller uses its own list
	worker    *sharedwork.Worker        // nil without shared work
	stop      context.CancelFunc        // stops the worker
	stopped   <-chan struct{}           // closed when the worker has stopped
}

// startFleet joins the fleet, if one is configured. The worker can be stopped separately, before the membership ends, so that the
// fleet gets its last reports.
func (c *controller) startFleet(ctx context.Context, group *errgroup.Group, g *gateway.Gateway) (work fleetWork) {
	options := fleetOptions(c.settings)
	if !options.Enabled() {
		return work
	}
	member := fleet.NewMember(options, quotaUser{g, options}, c.logs.Part("fleet"))
	member.OnIndex = g.SetIndex
	g.SetIndex(-1, 0)                                           // unknown until the fleet assigns one
	if shared := sharedWorkOptions(c.settings); shared != nil { // needed even without tasks, because it applies overrides
		file := c.settings.EngineFile
		if shared.PublishList && file.File != "" {
			work.publisher = sharedwork.NewListPublisher(file.Bounds(), shared.ListFallback, g)
		}
		work.worker = sharedwork.New(shared, member, g, work.publisher, c.logs.Part("duties"))
		member.SetWorker(work.worker)
		work.run(ctx, group)
	}
	group.Go(func() error { return member.Run(ctx) })
	return work
}

// run starts the worker, which runs until it is stopped or ctx is done.
func (w *fleetWork) run(ctx context.Context, group *errgroup.Group) {
	workerCtx, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	w.stop, w.stopped = stop, stopped
	worker := w.worker
	group.Go(func() error {
		defer close(stopped)
		defer stop()
		if err := worker.Run(workerCtx); ctx.Err() != nil || workerCtx.Err() == nil {
			return err
		}
		return nil // stopped before the other goroutines of the group
	})
}

// beginShutdown makes the worker start nothing more for the fleet.
func (w fleetWork) beginShutdown() {
	if w.worker != nil {
		w.worker.BeginShutdown()
	}
}

// shutDown waits until the work that runs for the fleet has ended and is reported, or the deadline has passed. Then it stops the
// worker, which cancels the work that still runs and reports that.
func (w fleetWork) shutDown(deadline context.Context) {
	if w.worker == nil {
		return
	}
	select {
	case <-w.worker.Drained():
	case <-deadline.Done():
	case <-w.stopped:
	}
	w.stop()
	select {
	case <-w.stopped:
	case <-time.After(workStopTimeout):
	}
}
