package main

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/sharedwork"
)

// workStopTime is how long the worker is waited for once it is stopped: its reports, within what the platform leaves between
// the longest deadline and the kill.
const workStopTime = 250 * time.Millisecond

// fleetWork is what a controller does for its fleet. The zero value is that of one without a fleet.
type fleetWork struct {
	publisher *sharedwork.ListPublisher // stands between the list's sources and the gateway; nil where each controller uses its own
	worker    *sharedwork.Worker        // nil without shared work
	stop      context.CancelFunc        // ends the worker
	stopped   <-chan struct{}           // closed once it has ended
}

// startFleet joins the fleet, where the settings name one. The worker may be stopped before the membership ends, so that the
// fleet hears of what it still had to report.
func (c *controller) startFleet(ctx context.Context, group *errgroup.Group, g *gateway.Gateway) (work fleetWork) {
	options := fleetOptions(c.settings)
	if !options.Enabled() {
		return work
	}
	member := fleet.NewMember(options, quotaUser{g, options}, c.logs.Part("fleet"))
	member.OnIndex = g.SetIndex
	g.SetIndex(-1, 0)                                           // until the fleet has assigned one
	if shared := sharedWorkOptions(c.settings); shared != nil { // also without tasks, since it applies overrides
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

// run has the worker run until it is stopped, or ctx ends.
func (w *fleetWork) run(ctx context.Context, group *errgroup.Group) {
	working, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	w.stop, w.stopped = stop, stopped
	worker := w.worker
	group.Go(func() error {
		defer close(stopped)
		defer stop()
		if err := worker.Run(working); ctx.Err() != nil || working.Err() == nil {
			return err
		}
		return nil // it was stopped before the rest
	})
}

// beginShutdown has nothing more started for the fleet.
func (w fleetWork) beginShutdown() {
	if w.worker != nil {
		w.worker.BeginShutdown()
	}
}

// end waits until what runs for the fleet has ended and is reported, or the deadline has passed; then it ends the worker,
// which cancels what still runs and reports that.
func (w fleetWork) end(deadline context.Context) {
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
	case <-time.After(workStopTime):
	}
}
