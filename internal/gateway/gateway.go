package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/limits"
)

// Gateway forwards requests to engines and owns the admission controller that decides on them. Use New to create one;
// Run must be running while it serves. Its methods are safe for concurrent use.
type Gateway struct {
	// Dial opens connections to engines; nil uses the default dialer. Set it before Run.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	settings *deployment.Settings
	limits   limits.Limits
	pool     *bufferpool.Pool
	log      zerolog.Logger
	tenants  []string // tenant names, indexed by the controller's tenant number

	// Goroutines that the gateway starts belong to group and end with ctx.
	group *errgroup.Group
	ctx   context.Context

	// Origin of the clock; see now.
	startTime time.Time
	startUnix float64

	// Timers and events that Run waits for.
	wakeTimer      *time.Timer
	fairShareTimer *time.Timer
	deferredEvents chan func(now float64)

	// Shared by the connections to all engines.
	engineConnSlots chan struct{}
	idleConns       *resp.IdlePool // nil if idle connections are not limited

	mu              sync.Mutex // guards the fields below; see the package comment
	controller      *admission.Controller
	wakeDue         float64              // time at which wakeTimer is due
	fairShare       *fairshare.Scheduler // nil if no budgets are configured
	startedRequests []uint32             // started by the controller, not yet reported to the scheduler
	requests        map[uint32]*openRequest
	requestIDs      map[string]bool // IDs of the open requests
	endedIDs        endedIDs
	lastHandle      uint32
	endpoints       map[string]*endpoint
	endpointsByID   map[uint32]*endpoint
	addressHolders  addressHolders
	listUpdates     uint64 // number of updates of the endpoint list
	ready           bool
	shuttingDown    bool
	membership      membership
	persistence     *persistence // nil if no store is configured
	overrides       overrides
}

// membership is a gateway's position in its fleet.
type membership struct {
	index int // index of this gateway, below 0 if none is assigned
	count int // number of gateways
}

// Options configures a Gateway.
type Options struct {
	Seed     uint64 // seed of the controller's random source
	Settings *deployment.Settings
	Limits   limits.Limits
	Pool     *bufferpool.Pool
	Log      zerolog.Logger
}

// New returns a gateway. The goroutines that it starts belong to group and end with ctx.
func New(ctx context.Context, group *errgroup.Group, o Options) *Gateway {
	now := time.Now()
	g := &Gateway{
		settings:        o.Settings,
		limits:          o.Limits,
		pool:            o.Pool,
		log:             o.Log,
		tenants:         o.Settings.Tenants,
		group:           group,
		ctx:             ctx,
		startTime:       now,
		startUnix:       float64(now.UnixMicro()) / 1e6,
		wakeTimer:       time.NewTimer(time.Hour),
		fairShareTimer:  time.NewTimer(time.Hour),
		deferredEvents:  make(chan func(float64), o.Limits.WriteQueue),
		engineConnSlots: make(chan struct{}, o.Limits.MaxEngineConns),
		requests:        map[uint32]*openRequest{},
		requestIDs:      map[string]bool{},
		endedIDs:        newEndedIDs(o.Limits.MaxEndedIDs),
		endpoints:       map[string]*endpoint{},
		endpointsByID:   map[uint32]*endpoint{},
		addressHolders:  addressHolders{},
		membership:      membership{o.Settings.Admission.GatewayIndex, o.Settings.Admission.GatewayCount},
	}
	if o.Settings.IdleConnsPerEngine > 0 {
		g.idleConns = resp.NewIdlePool()
	}
	g.controller = admission.New(o.Seed, o.Settings.Admission, actions{g})
	return g
}

// Ready reports whether a load balancer in front of the gateway should send it requests.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready && g.persistence.ready()
}

// SetReady sets whether the gateway reports itself ready. It has no effect once shutdown has begun.
func (g *Gateway) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready && !g.shuttingDown
}

// BeginShutdown announces that the gateway will stop after the given number of seconds. Until then it still accepts
// requests, but Ready returns false.
func (g *Gateway) BeginShutdown(after float64) {
	g.runEvent(func(now float64) {
		g.ready, g.shuttingDown = false, true
		g.controller.ShutDownAt(now, now+after)
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.ShutDownAt(now, now+after))
		}
	})
}

// SetIndex sets the gateway's index among the count gateways that the fleet may have. An index below 0 means that none
// is assigned at present; count is then taken from the settings.
func (g *Gateway) SetIndex(index, count int) {
	if index < 0 {
		count = g.settings.Admission.GatewayCount
	}
	g.runEvent(func(now float64) {
		g.controller.SetGatewayIndex(now, index, count)
		g.membership = membership{index, count}
		g.updateIdleConnLimit()
	})
}
