package main

import (
	"context"
	"errors"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/discovery/file"
	"copperrock.example/copperrock/internal/discovery/merge"
	"copperrock.example/copperrock/internal/discovery/watch"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/frontend/msgpackrpc"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/logging"
	"copperrock.example/copperrock/internal/sharedwork"
)

type runCommand struct {
	Settings string `env:"COPPERROCK_SETTINGS" placeholder:"FILE" help:"The operator's settings; docs/settings.md lists them."`
	Platform string `env:"LB_CONFIG" placeholder:"FILE" help:"What the platform tells at the start."`
}

// Run serves until SIGTERM or an interrupt.
func (c *runCommand) Run() error {
	hup := make(chan os.Signal, 1) // more in a row are one
	signal.Notify(hup, syscall.SIGHUP)
	again := func() (*operator.Settings, error) { return read(c.Settings, c.Platform) }
	s, err := again()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.Limits.Memory)
	debug.SetGCPercent(s.Limits.GCPercent)
	logs := logging.New(os.Stderr, s.Log, time.Now)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	term, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer done()
	return (&controller{settings: s, again: again, listener: l, logs: logs, hup: hup}).run(term)
}

// controller is one gateway with all its parts.
type controller struct {
	settings *operator.Settings
	again    func() (*operator.Settings, error) // reads the settings anew, at each signal on hup
	listener net.Listener
	logs     *logging.Log
	hup      <-chan os.Signal

	// For those who look on, where set.
	decided func(discovery.Decision)                                      // on versions of the file of engines
	told    func(mode discovery.UpdateMode, engines []discovery.Endpoint) // once the gateway has been told
	spied   func(*gateway.Gateway, *bufferpool.Pool, *msgpackrpc.Server)  // before anything runs
}

// witness tells what passes on its way to the gateway.
type witness struct {
	discovery.Subscriber
	told func(mode discovery.UpdateMode, engines []discovery.Endpoint)
}

func (w witness) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	w.Subscriber.UpdateEndpoints(mode, engines)
	w.told(mode, engines)
}

// run serves until term ends, and then as long as what is open needs.
func (c *controller) run(term context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)

	s, lim, log := c.settings, c.settings.Limits, c.logs.Part(logging.Program)
	pool := bufferpool.NewPool(lim.BufferSize, lim.MaxBuffers)
	g := gateway.New(ctx, group, s.Seed, &s.Config.Settings, lim, pool, c.logs.Part("gateway"))
	server := &msgpackrpc.Server{Handler: g, Limits: lim, Pool: pool, Log: c.logs.Part("clients"),
		RetryAfter: s.Config.Settings.Admission.MaxRetryAfter}
	server.Fields = msgpackrpc.FieldNames{
		Team:           s.RequestFields.Team,
		Tenant:         s.RequestFields.Tenant,
		OrderKey:       s.RequestFields.OrderKey,
		WaitEstimate:   s.RequestFields.WaitEstimate,
		IdempotencyKey: s.RequestFields.IdempotencyKey,
		FirstTry:       s.RequestFields.FirstTry,
	}
	if len(s.Teams.Budgets) > 0 {
		stage, err := fairshare.New(s.Teams.Options, s.Teams.Budgets)
		if err != nil {
			return err
		}
		g.UseFairShare(stage)
	}
	if c.spied != nil {
		c.spied(g, pool, server)
	}
	var list *sharedwork.ListPublisher
	if f := fleetOf(s); f.Enabled() {
		place := fleet.NewMember(f, spends{g, f}, c.logs.Part("fleet"))
		place.OnIndex = g.SetIndex
		g.SetIndex(-1, 0)               // until the fleet has said
		if d := dutiesOf(s); d != nil { // orders are for all
			if d.PublishList && s.EngineFile.File != "" {
				list = sharedwork.NewListPublisher(s.EngineFile.Bounds(), d.ListFallback, g)
			}
			work := sharedwork.New(d, place, g, list, c.logs.Part("duties"))
			place.SetWorker(work)
			group.Go(func() error { return work.Run(ctx) })
		}
		group.Go(func() error { return place.Run(ctx) })
	}
	if o := storeOf(s); o.Enabled() {
		g.ExpectStore(o.Required, o.LearnedHalfLife)
		group.Go(func() error { return comesBack(ctx, g, o, c.logs.Part("store")) })
	}
	follow := c.follow(ctx, group, g, list, log)
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error {
		dropped := time.NewTicker(10 * time.Second) // often enough to see a flood while it lasts
		defer dropped.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-dropped.C:
				c.logs.ReportDropped()
			case <-c.hup:
				c.reload(g, follow, log)
			}
		}
	})
	served := make(chan struct{})
	group.Go(func() error { defer close(served); return server.Run(ctx, c.listener) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-term.Done():
		}
		last := min(slices.Max(s.Config.Settings.ClassTimeouts), lim.MaxShutdownWait) + lim.ShutdownMargin
		log.Info().Float64("within", last).Msg("leaving")
		g.BeginShutdown(last - lim.DeadlineMargin)
		end := time.After(limits.Duration(max(last, lim.ShutdownAcceptTime) + lim.DeadlineMargin))
		time.Sleep(limits.Duration(lim.ShutdownAcceptTime))
		c.listener.Close()
		server.BeginShutdown()
		select {
		case <-served:
		case <-end:
			log.Warn().Msg("clients are left with answers unread")
		}
		cancel()
		return nil
	})
	log.Info().Str("listen", s.Listen).Int("memory_mb", s.MemoryMB).Int("sockets", s.MaxDescriptors).
		Int("processors", runtime.GOMAXPROCS(0)).Msg("serving")
	err := group.Wait()
	c.logs.ReportDropped()
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error().Err(err).Msg("ended")
		return err
	}
	log.Info().Msg("left")
	return nil
}

// follow starts the sources of the engines, and gives the command channel, nil where there is none. The gateway is
// ready for jobs once it has been told of engines, or follows a channel that will tell.
func (c *controller) follow(ctx context.Context, group *errgroup.Group, g *gateway.Gateway, list *sharedwork.ListPublisher, log zerolog.Logger) *watch.Client {
	s := c.settings
	var gate discovery.Subscriber = g
	if c.told != nil {
		gate = witness{g, c.told}
	}
	if list != nil && s.ChannelAddress == "" {
		gate = list
	}
	ofFile, ofChannel := gate, gate
	if s.ChannelAddress != "" && s.EngineFile.File != "" {
		both := merge.New(2, gate, c.logs.Part("members"))
		ofFile, ofChannel = both.Source(0), both.Source(1) // the operator's own word goes first
	}
	if s.EngineFile.File != "" {
		source := &file.Source{Tracker: s.EngineFile.Tracker(), CopyPath: s.EngineFile.CopyPath, PollInterval: s.EngineFile.PollInterval, Subscriber: ofFile,
			Log: c.logs.Part("engines-file")}
		source.OnDecision = func(d discovery.Decision) {
			if d.Verdict == discovery.Apply {
				g.SetReady(true)
			}
			if c.decided != nil {
				c.decided(d)
			}
		}
		if source.Restore(); source.HasList() {
			g.SetReady(true)
		}
		group.Go(func() error { return source.Run(ctx) })
	}
	if s.ChannelAddress == "" {
		return nil
	}
	follow := &watch.Client{Subscriber: ofChannel, Limits: s.Limits, Log: c.logs.Part("channel")}
	follow.SetAddress(s.ChannelAddress)
	if err := follow.ApplyKnown(s.Events); err != nil {
		log.Warn().Err(err).Msg("known roster not taken")
	}
	g.SetReady(true)
	group.Go(func() error { return follow.Run(ctx) })
	return follow
}

// reload reads the settings whole and takes what may change while the program runs: the channel's address and the
// teams' budgets. Settings that can't be used change nothing.
func (c *controller) reload(g *gateway.Gateway, follow *watch.Client, log zerolog.Logger) {
	s := c.settings
	next, err := c.again()
	if err != nil {
		log.Warn().Err(err).Msg("configuration not taken, the old one holds")
		return
	}
	var later []string
	differs := func(name string, old, new any) {
		if !reflect.DeepEqual(old, new) {
			later = append(later, name)
		}
	}
	differs("listen, name", [2]string{s.Listen, s.Name}, [2]string{next.Listen, next.Name})
	differs("limits", s.Limits, next.Limits)
	differs("settings", s.Config.Settings, next.Config.Settings)
	differs("log", s.Log, next.Log)
	differs("engines", s.EngineFile, next.EngineFile)
	differs("teams, but for the budgets", s.Teams.Options, next.Teams.Options)
	differs("requests", s.RequestFields, next.RequestFields)
	differs("fleet", fleetOf(s), fleetOf(next))
	differs("duties", dutiesOf(s), dutiesOf(next))
	differs("store", storeOf(s), storeOf(next))
	switch {
	case len(s.Teams.Budgets) > 0 && len(next.Teams.Budgets) > 0:
		if err := g.UpdateBudgets(next.Teams.Budgets); err != nil {
			log.Warn().Err(err).Msg("budgets not taken, the old ones hold")
		} else {
			s.Teams.Budgets = next.Teams.Budgets
		}
	case len(s.Teams.Budgets) != len(next.Teams.Budgets):
		later = append(later, "teams.budgets")
	}
	if follow == nil || next.ChannelAddress == "" {
		differs("channel", s.ChannelAddress, next.ChannelAddress)
	} else {
		s.ChannelAddress = next.ChannelAddress
		if err := follow.ApplyKnown(next.Events); err != nil {
			log.Warn().Err(err).Msg("known roster not taken")
		}
		follow.SetAddress(s.ChannelAddress)
	}
	log.Info().Str("channel", s.ChannelAddress).Strs("after_restart", later).Msg("configuration taken")
}
