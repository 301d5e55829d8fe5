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

// Gateway carries requests to engines and owns the admission controller that decides on them. New makes one; Run has to
// run while it serves. Its methods may be called from any goroutine.
type Gateway struct {
	// Dial opens connections to engines, nil for the usual way. It is set before Run.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	settings *deployment.Settings
	limits   limits.Limits
	pool     *bufferpool.Pool
	log      zerolog.Logger
	tenants  []string // by the controller's numbers

	// What the gateway starts itself belongs to group and ends with ctx.
	group *errgroup.Group
	ctx   context.Context

	// The clock: see now.
	startTime time.Time
	startUnix float64

	// What Run waits for.
	wakeTimer      *time.Timer
	fairShareTimer *time.Timer
	deferredEvents chan func(now float64)

	// What all engines' connections share.
	engineConnSlots chan struct{}
	idleConns       *resp.IdlePool // nil without a bound

	mu              sync.Mutex // guards what follows; see the package comment
	controller      *admission.Controller
	wakeDue         float64              // when wakeTimer is to fire
	fairShare       *fairshare.Scheduler // nil without budgets
	startedRequests []uint32             // by the controller, not reported to the scheduler yet
	requests        map[uint32]*openRequest
	requestIDs      map[string]bool // of requests
	lastHandle      uint32
	endpoints       map[string]*endpoint
	endpointsByID   map[uint32]*endpoint
	ready           bool
	shuttingDown    bool
	membership      membership
	persistence     *persistence // nil where nothing outlives the process
	overrides       overrides
}

// membership is a gateway's place among those of its fleet.
type membership struct {
	index int // below 0 for none
	count int
}

// Options are what a gateway is made of.
type Options struct {
	Seed     uint64 // of the controller's random source
	Settings *deployment.Settings
	Limits   limits.Limits
	Pool     *bufferpool.Pool
	Log      zerolog.Logger
}

// New makes a gateway. What it starts belongs to the group and ends with ctx.
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
		endpoints:       map[string]*endpoint{},
		endpointsByID:   map[uint32]*endpoint{},
		membership:      membership{o.Settings.Admission.GatewayIndex, o.Settings.Admission.GatewayCount},
	}
	if o.Settings.IdleConnsPerEngine > 0 {
		g.idleConns = resp.NewIdlePool()
	}
	g.controller = admission.New(o.Seed, o.Settings.Admission, actions{g})
	return g
}

// Ready reports whether a load balancer in front should send requests.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready && g.persistence.ready()
}

// SetReady begins or ceases to take requests.
func (g *Gateway) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready && !g.shuttingDown
}

// BeginShutdown says that the gateway ends so many seconds from now. It takes requests until then but is not ready for
// more.
func (g *Gateway) BeginShutdown(after float64) {
	g.enter(func(now float64) {
		g.ready, g.shuttingDown = false, true
		g.controller.ShutDownAt(now, now+after)
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.ShutDownAt(now, now+after))
		}
	})
}

// SetIndex sets the gateway's number among all that the fleet may have; below 0 it has none for now.
func (g *Gateway) SetIndex(index, count int) {
	if index < 0 {
		count = g.settings.Admission.GatewayCount
	}
	g.enter(func(now float64) {
		g.controller.SetGatewayIndex(now, index, count)
		g.membership = membership{index, count}
		g.boundIdleConns()
	})
}
