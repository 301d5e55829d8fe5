package main

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/discovery/watch"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/frontend/msgpackrpc"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/logging"
)

// droppedLogInterval is how often log lines dropped by the rate limit are reported: often enough to see a flood while it
// lasts.
const droppedLogInterval = 10 * time.Second

// controller is a gateway process with all its parts, whose goroutines belong to one group in run.
type controller struct {
	settings      *operator.Settings
	readSettings  func() (*operator.Settings, error) // rereads the settings, after each of the reload signals
	listener      net.Listener
	logs          *logging.Log
	reloadSignals <-chan os.Signal

	// Called, if set, for the demo and the tests.
	onDecision func(discovery.Decision)                                        // after a decision on a version of the engines file
	onUpdate   func(mode discovery.UpdateMode, endpoints []discovery.Endpoint) // after each update of the gateway's endpoints
	onStart    func(*gateway.Gateway, *bufferpool.Pool, *msgpackrpc.Server)    // before anything runs
}

// observedSubscriber calls onUpdate after each update of the subscriber that it wraps.
type observedSubscriber struct {
	discovery.Subscriber
	onUpdate func(mode discovery.UpdateMode, endpoints []discovery.Endpoint)
}

// UpdateEndpoints implements discovery.Subscriber.
func (o observedSubscriber) UpdateEndpoints(mode discovery.UpdateMode, endpoints []discovery.Endpoint) {
	o.Subscriber.UpdateEndpoints(mode, endpoints)
	o.onUpdate(mode, endpoints)
}

// run serves until terminate is done, and then until the open requests are answered or the shutdown deadline has passed.
func (c *controller) run(terminate context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)

	s, log := c.settings, c.logs.Part(logging.Program)
	pool := bufferpool.NewPool(s.Limits.BufferSize, s.Limits.MaxBuffers)
	g := gateway.New(ctx, group, gateway.Options{
		Seed:     s.Seed,
		Settings: &s.Settings,
		Limits:   s.Limits,
		Pool:     pool,
		Log:      c.logs.Part("gateway"),
	})
	server := c.newServer(g, pool)
	if err := c.useFairShare(g); err != nil {
		return err
	}
	if c.onStart != nil {
		c.onStart(g, pool, server)
	}
	work := c.startFleet(ctx, group, g)
	c.startStore(ctx, group, g)
	channel := c.startSources(ctx, group, g, work.publisher, log)
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error { return c.handleSignals(ctx, g, channel, log) })
	served := make(chan struct{})
	group.Go(func() error {
		defer close(served)
		return server.Run(ctx, c.listener)
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-terminate.Done():
		}
		c.shutDown(g, server, work, served, log)
		cancel()
		return nil
	})
	log.Info().Str("listen", s.Listen).Int("memory_mb", s.MemoryMB).Int("sockets", s.MaxDescriptors).
		Int("processors", runtime.GOMAXPROCS(0)).Msg("serving")
	err := group.Wait()
	c.logs.ReportDropped()
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error().Err(err).Msg("stopped by an error")
		return err
	}
	log.Info().Msg("shut down")
	return nil
}

// newServer creates the server that clients connect to.
func (c *controller) newServer(g *gateway.Gateway, pool *bufferpool.Pool) *msgpackrpc.Server {
	fields := c.settings.RequestFields
	return &msgpackrpc.Server{
		Handler:    g,
		Limits:     c.settings.Limits,
		Pool:       pool,
		Log:        c.logs.Part("clients"),
		RetryAfter: c.settings.Settings.Admission.MaxRetryAfter,
		Fields: msgpackrpc.FieldNames{
			Team:           fields.Team,
			Tenant:         fields.Tenant,
			OrderKey:       fields.OrderKey,
			WaitEstimate:   fields.WaitEstimate,
			IdempotencyKey: fields.IdempotencyKey,
			FirstTry:       fields.FirstTry,
		},
	}
}

// useFairShare enables fair sharing between teams, if there are budgets.
func (c *controller) useFairShare(g *gateway.Gateway) error {
	teams := c.settings.Teams
	if len(teams.Budgets) == 0 {
		return nil
	}
	scheduler, err := fairshare.New(teams.Options, teams.Budgets)
	if err != nil {
		return err
	}
	g.UseFairShare(scheduler)
	return nil
}

// startStore starts recovering the request log, if one is configured.
func (c *controller) startStore(ctx context.Context, group *errgroup.Group, g *gateway.Gateway) {
	options := storeOptions(c.settings)
	if !options.Enabled() {
		return
	}
	g.ExpectStore(options.Required, options.LearnedHalfLife)
	group.Go(func() error { return recoverStore(ctx, g, options, c.logs.Part("store")) })
}

// handleSignals reloads the settings after each reload signal, and periodically reports dropped log lines, until ctx is done.
func (c *controller) handleSignals(ctx context.Context, g *gateway.Gateway, channel *watch.Client, log zerolog.Logger) error {
	dropped := time.NewTicker(droppedLogInterval)
	defer dropped.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-dropped.C:
			c.logs.ReportDropped()
		case <-c.reloadSignals:
			c.reload(g, channel, log)
		}
	}
}

// shutDown keeps accepting requests for Limits.ShutdownAcceptTime, then closes the listener, and waits for the answers of open
// requests and for the work that this controller does for its fleet.
func (c *controller) shutDown(g *gateway.Gateway, server *msgpackrpc.Server, work fleetWork, served <-chan struct{}, log zerolog.Logger) {
	l := c.settings.Limits
	longestTimeout := slices.Max(c.settings.Settings.ClassTimeouts)
	timeout := min(longestTimeout, l.MaxShutdownWait) + l.ShutdownMargin
	log.Info().Float64("within", timeout).Msg("shutting down")
	g.BeginShutdown(timeout - l.DeadlineMargin)
	work.beginShutdown()
	deadline, cancel := context.WithTimeout(context.Background(), limits.Duration(max(timeout, l.ShutdownAcceptTime)+l.DeadlineMargin))
	defer cancel()
	time.Sleep(limits.Duration(l.ShutdownAcceptTime))
	c.listener.Close()
	server.BeginShutdown()
	select {
	case <-served:
	case <-deadline.Done():
		log.Warn().Msg("shutdown deadline passed with answers unread")
	}
	work.shutDown(deadline)
}
