// Package gateway owns the decision module, its clock and its wake-ups. It holds the life of each job, and
// carries out what the module decides.
package gateway

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/backend/idlepool"
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/frontend/msgpackrpc"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/sqltables"
	"copperrock.example/copperrock/internal/storage/requestlog"
)

// Gateway is one controller.
type Gateway struct {
	// Dial opens connections to engines, nil for the usual way. It is set before Run.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	settings        *deployment.Settings
	limits          limits.Limits
	pool            *bufferpool.Pool
	log             zerolog.Logger
	group           *errgroup.Group
	ctx             context.Context // of what the gateway starts itself
	engineConnSlots chan struct{}
	startTime       time.Time
	startUnix       float64 // the Unix clock at the start
	wakeTimer       *time.Timer
	wakeDue         float64                // when the bell is to ring
	deferredEvents  chan func(now float64) // told to the module after the call that asked for it

	// Teams, where there are budgets; nil without. It is entered under the module's lock.
	fairShare       *fairshare.Scheduler
	fairShareTimer  *time.Timer
	startedRequests []uint32 // jobs dispatched, of which the stage has not been told yet
	tenants         []string // by the module's numbers

	mu            sync.Mutex // one goroutine at a time is in the module
	controller    *admission.Controller
	requests      map[uint32]*openRequest
	requestIDs    map[string]bool // of the jobs
	lastHandle    uint32
	endpoints     map[string]*endpoint
	endpointsByID map[uint32]*endpoint
	ready         bool
	shuttingDown  bool         // for good
	idleConns     *resp.Spares // nil without a bound
	gatewayIndex  [2]int       // this gateway's number, and of how many
	persistence   *persistence // what outlives the gateway, nil for nothing
	overrides     overrides
}

// endpoint is an engine of the roster, with the process that it is now or was last.
type endpoint struct {
	id          uint32
	machineKind int
	ready       bool
	terminated  bool
	delisted    bool // out of the list, while what it holds ends
	address     string
	incarnation float64
	entry       discovery.Endpoint
	engine      *resp.Engine
	load        deployment.Load // as the module had it told last, for the fleet
	loadTime    float64         // when; 0 for never
}

// openRequest is what the module's decisions on a job are carried out with.
type openRequest struct {
	handle          uint32
	id              string
	decisions       chan step // decided, in order
	priority        int       // these four with the module's lock
	grant           float64
	maxGrant        float64           // of its grants, 0 for no bound
	attemptsStarted int               // dispatches decided
	attemptsOpen    int               // without an outcome
	work            float64           // that it took, 0 until it is done
	admit           func(now float64) // to the module
}

// step is one decision on a job.
type step struct {
	do     decision
	number int // of the dispatch
	place
	written  <-chan error // the record of a further one, nil where there is none
	grant    float64
	priority int
	comeBack float64
	wait     fairshare.Estimate
}

type decision int

const (
	dispatch decision = iota
	callOff
	prefer
	throttle
	cancelForGood
	tellWait
)

// New makes a gateway. What it starts belongs to the group and ends with ctx.
func New(ctx context.Context, group *errgroup.Group, seed uint64, set *deployment.Settings, lim limits.Limits,
	pool *bufferpool.Pool, log zerolog.Logger) *Gateway {
	g := &Gateway{settings: set, limits: lim, pool: pool, log: log, group: group, ctx: ctx,
		engineConnSlots: make(chan struct{}, lim.EngineConns), startTime: time.Now(), wakeTimer: time.NewTimer(time.Hour),
		deferredEvents: make(chan func(float64), lim.Queue), requests: map[uint32]*openRequest{}, requestIDs: map[string]bool{}, endpoints: map[string]*endpoint{},
		endpointsByID: map[uint32]*endpoint{}, fairShareTimer: time.NewTimer(time.Hour)}
	g.startUnix = float64(g.startTime.UnixMicro()) / 1e6
	if g.gatewayIndex = [2]int{set.Admission.GatewayIndex, set.Admission.GatewayCount}; set.Spare > 0 {
		g.idleConns = resp.NewSpares()
	}
	g.controller, g.tenants = admission.New(seed, set.Admission, g), set.Customers
	return g
}

// now is the Unix clock in seconds; it never goes back.
func (g *Gateway) now() float64 { return g.startUnix + time.Since(g.startTime).Seconds() }

// at is the time of a clock value.
func (g *Gateway) at(now float64) time.Time {
	return g.startTime.Add(limits.Duration(now - g.startUnix))
}

// enter calls the module.
func (g *Gateway) enter(call func(now float64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() {
		if p := recover(); p != nil {
			g.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("module failed")
		}
	}()
	now := g.now()
	call(now)
	if g.fairShare != nil {
		g.reportStarted(now)
	}
}

// UseFairShare has jobs pass the stage on their way to the module. It is called before Run.
func (g *Gateway) UseFairShare(stage *fairshare.Scheduler) { g.fairShare = stage }

// UpdateBudgets takes other budgets; an error leaves the old ones.
func (g *Gateway) UpdateBudgets(budgets []fairshare.Budget) (err error) {
	g.enter(func(now float64) {
		if g.fairShare != nil {
			err = g.fairShare.Configure(now, budgets)
			g.overrides.apply(now, g)
			g.carryOut(now, g.fairShare.Tick(now))
		}
	})
	return err
}

// reportStarted tells the stage what the module has dispatched, until nothing more follows from it.
func (g *Gateway) reportStarted(now float64) {
	for len(g.startedRequests) > 0 {
		id := g.startedRequests[0]
		g.startedRequests = g.startedRequests[1:]
		grant := 0.0
		if j := g.requests[id]; j != nil {
			grant = j.grant
		}
		g.carryOut(now, g.fairShare.Started(now, id, grant))
	}
	g.startedRequests = nil
	g.fairShareTimer.Reset(limits.Duration(min(max(g.fairShare.NextTick()-now, 0.001), 3600)))
}

// carryOut does what the stage has decided.
func (g *Gateway) carryOut(now float64, all []fairshare.Decision) {
	for _, d := range all {
		switch d.Action {
		case fairshare.Admit:
			if j := g.requests[d.Request]; j != nil {
				j.admit(now)
			}
		case fairshare.Reject:
			g.log.Debug().Uint32("job", d.Request).Str("why", d.Reason).Msg("turned away")
			g.decide(d.Request, step{do: throttle, comeBack: d.RetryAfter})
		case fairshare.ReportWait:
			if j := g.requests[d.Request]; j != nil && len(j.decisions) < cap(j.decisions)/2 { // a wait told late is of no use
				g.decide(d.Request, step{do: tellWait, wait: d.Estimate})
			}
		case fairshare.Preempt:
			if !g.controller.Preempt(now, d.Request, d.Beneficiary) {
				g.fairShare.PreemptionDeclined(d.Request)
			}
		}
	}
}

// Run keeps the module's wake-ups until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	for heard := false; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.wakeTimer.C:
			if by := g.wakeDelay(); by > g.limits.Still && !heard {
				g.log.Warn().Float64("by", by).Msg("stood still")
				heard = true
				g.wakeTimer.Reset(limits.Duration(g.limits.Heard))
				continue
			}
			heard = false
			g.enter(func(now float64) { g.controller.WakeUp(now) })
		case tell := <-g.deferredEvents:
			g.enter(tell)
		case <-g.fairShareTimer.C:
			g.enter(func(now float64) {
				if g.fairShare != nil {
					g.carryOut(now, g.fairShare.Tick(now))
				}
			})
		}
	}
}

// wakeDelay is how far behind its time a wake-up comes. After a stop of the whole process timers are due before anything that
// came meanwhile has been read: engines that drain, clients that have left. What the module holds must not go out on what
// held before; the wake-up waits for a moment in which that is read.
func (g *Gateway) wakeDelay() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now() - g.wakeDue
}

// Ready tells whether jobs can be taken.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready && (g.persistence == nil || !g.persistence.opening && (g.persistence.store != nil || !g.persistence.needed))
}

// SetReady tells that the gateway begins or ceases to take jobs.
func (g *Gateway) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready && !g.shuttingDown
}

// BeginShutdown tells that the gateway ends so many seconds from now. It takes jobs until then but is not ready for more.
func (g *Gateway) BeginShutdown(after float64) {
	g.enter(func(now float64) {
		g.ready, g.shuttingDown = false, true
		g.controller.ShutDownAt(now, now+after)
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.ShutDownAt(now, now+after))
		}
	})
}

// Serve is the life of a job.
func (g *Gateway) Serve(left context.Context, to msgpackrpc.Responder, class, ref, team, customer, key, idempotency string,
	asks bool, allow, work, memory float64, text *bufferpool.Chain) {
	// Taken.
	number := slices.Index(g.settings.Classes, class)
	if number < 0 {
		to.Failed("unknown reservation type")
		return
	}
	kept, known := g.lookUp(left, to, number, allow)
	if known {
		return
	}
	var before []admission.PastAttempt
	if kept != nil {
		defer kept.close()
		to, before = kept, kept.pastAttempts
	}
	most := g.settings.Admission.MaxAttempts
	j := &openRequest{id: ref, priority: 1, decisions: make(chan step, 4*most+4), attemptsStarted: len(before)}
	tables := sqltables.Tables(text.Bytes())
	margin := min(g.limits.Margin, allow*g.limits.MarginShare)
	giveUp := g.now() + allow - margin
	taken, twice, came := false, false, 0.0
	g.enter(func(now float64) {
		twice = g.requestIDs[ref]
		if taken = !twice && len(g.requests) < g.limits.Jobs; taken {
			g.requestIDs[ref] = true
			g.lastHandle++
			j.handle, came = g.lastHandle, now
			g.requests[j.handle] = j
			j.admit = func(now float64) {
				g.controller.RequestArrived(now, admission.Request{
					ID:       j.handle,
					Class:    number,
					Tenant:   g.tenantIndex(customer),
					OrderKey: orderKeyHash(key),
					Deadline: giveUp,
					Work:     work,
					Memory:   memory,
					Tables:   tables,
					Waited:   now - came,

					PastAttempts: before,
				})
			}
			if g.fairShare == nil {
				j.admit(now)
			} else { // Waits for its team.
				booked := memory
				if g.fairShare.CountsFleetWide(team) { // no grant may go beyond what was booked of a fleet's budget
					booked = math.Ceil(g.controller.MaxGrant(number, memory))
					j.maxGrant = booked
				}
				g.carryOut(now, g.fairShare.Enqueue(now, fairshare.Arrival{
					ID: j.handle, Team: team, Class: number, Work: work, Memory: booked, Deadline: giveUp, WantsEstimate: asks,
				}))
			}
		}
	})
	if twice { // engines could not tell the two apart
		to.Failed("a job of that id is open")
		return
	}
	if !taken {
		g.log.Warn().Int("jobs", g.limits.Jobs).Msg("too many open jobs")
		to.Rejected(g.settings.Admission.MaxRetryAfter)
		return
	}
	type dispatched struct {
		*resp.Call
		giveUp context.CancelFunc
		at     float64
		never  bool // ran, as its end has told
	}
	calls := make([]dispatched, 0, most)
	over := false
	end := func(answer func()) { // the one final answer; nothing goes out after it
		if !over {
			over = true
			for _, call := range calls {
				call.HoldBack()
			}
			answer()
			if by := g.now() - giveUp - margin; by > 0 {
				g.log.Warn().Str("ref", ref).Float64("by", by).Msg("answered after its time")
			}
		}
	}
	until := g.at(giveUp)
	late := time.NewTimer(time.Until(until) + limits.Duration(margin/2))
	defer late.Stop()
	outcomes := make(chan func(), most)
	for gone := left.Done(); !g.finished(j, over); {
		select {
		// Decided.
		case s := <-j.decisions:
			switch s.do {
			case throttle:
				end(func() { to.Rejected(s.comeBack) })
			case tellWait:
				if !over {
					to.WaitEstimate(s.wait.Start, s.wait.Completion, s.wait.StartLow, s.wait.StartHigh)
				}
			case cancelForGood:
				end(func() { to.Failed("cancelled for good") })
			case callOff:
				if at := s.number - len(before); at >= 0 && at < len(calls) {
					calls[at].giveUp()
				}
			case prefer:
				for _, call := range calls {
					call.Prefer(s.priority)
				}
			case dispatch:
				fence, still := "", !over
				if still = still && left.Err() == nil; still { // a client that has left may not have been heard yet
					fence, still = g.fence(to)
				}
				if still && s.written != nil {
					requestlog.AwaitWritten(s.written)
				}
				if still && kept != nil {
					if err := kept.attemptStarts(s.name, s.zone, s.cell, until); err != nil {
						still = false
						g.log.Warn().Err(err).Str("ref", ref).Msg("throttled: a dispatch could not be put on record")
						end(func() { to.Rejected(g.settings.Admission.MaxRetryAfter) })
					}
				}
				if !still { // answered meanwhile, or its work is another's by now
					s.process = stoppedEngine()
				}
				ctx, cancel := context.WithDeadline(g.ctx, until)
				defer cancel()
				// Dispatched.
				began := g.now()
				news := func(topic int, amount float64) {
					g.enter(func(now float64) { g.controller.AttemptProgressed(now, j.handle, s.number, admission.ProgressTopic(topic), amount) })
				}
				// A keyed job goes again within its window, also where a connection comes up late: counted from the
				// first dispatch that may have run.
				first, by := math.Inf(1), time.Time{}
				for _, p := range before {
					first = min(first, p.StartedAt)
				}
				for _, earlier := range calls {
					if !earlier.never {
						first = min(first, earlier.at)
					}
				}
				if c := g.settings.Admission.Classes[number]; c.Idempotency == admission.IdempotentWithKey && !math.IsInf(first, 1) {
					by = g.at(first + c.IdempotencyWindow)
				}
				at := len(calls)
				call := s.process.Ask(ref, class, text, until, by, s.grant, s.priority, work/g.settings.Admission.Classes[number].Threads, fence, idempotency, news)
				calls = append(calls, dispatched{call, cancel, began, false})
				g.group.Go(func() error {
					status, whole, ran := call.Wait(ctx)
					if status == admission.Succeeded && !whole { // Paged.
						call.Next()
						status, _, ran = call.Wait(ctx)
					}
					// Where no job may be out twice, its end at one engine comes before the next dispatch: the two go by
					// connections that do not wait for each other. Other dispatches of engines that hang lose that moment.
					if !g.settings.Admission.MayHedge && ran && (status == admission.Cancelled || status == admission.ConnectionReset) {
						if status == admission.Cancelled {
							call.Left()
						}
						time.Sleep(limits.Duration(g.limits.GiveUp))
					}
					switch {
					case status == admission.Cancelled && !ran:
						status = admission.NotStarted
					case status == admission.Cancelled && !time.Now().Before(until):
						status = admission.TimedOut
					}
					outcomes <- func() {
						if kept != nil {
							kept.attemptEnded(s.number-len(before), status)
						}
						calls[at].never = status == admission.Overloaded || status == admission.ConnectFailed || status == admission.NotStarted
						// Answered.
						if status == admission.Succeeded && !over {
							end(func() { to.Succeeded(call.Rows()) })
						}
						call.Free()
						g.enter(func(now float64) {
							j.attemptsOpen--
							if status == admission.Succeeded {
								j.work = max(call.Work, work, 0.001)
							}
							g.controller.AttemptEnded(now, j.handle, s.number, admission.AttemptResult{
								Status:   status,
								Duration: now - began,
								Final:    over,
								Work:     call.Work,
								Memory:   call.Memory,
							})
						})
					}
					return nil
				})
			}
		case outcome := <-outcomes:
			outcome()
		case <-gone:
			gone = nil
			end(func() { g.enter(func(now float64) { g.controller.RequestCancelled(now, j.handle) }) })
		case <-late.C: // the module has said nothing in time
			end(func() {
				to.Failed("no decision in time")
				g.enter(func(now float64) { g.controller.RequestCancelled(now, j.handle) })
			})
		}
	}
}

// finished tells whether nothing is left to do for the job, and forgets it then.
func (g *Gateway) finished(j *openRequest, over bool) bool {
	if !over {
		return false
	}
	ended := false
	g.enter(func(now float64) {
		if ended = j.attemptsOpen == 0; !ended {
			return
		}
		delete(g.requests, j.handle)
		delete(g.requestIDs, j.id)
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.Finished(now, j.handle, j.work))
		}
	})
	return ended
}

// tenantIndex is the module's number of a customer; one that is not known is past all of them and has no share.
func (g *Gateway) tenantIndex(name string) int {
	if i := slices.Index(g.tenants, name); i >= 0 && name != "" {
		return i
	}
	return len(g.settings.Admission.TenantQuotas)
}

// orderKeyHash numbers an order key, 0 for none.
func orderKeyHash(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(h.Sum64(), 1)
}

// ---- the roster

// UpdateEndpoints takes a message on the engines in one entry of the module, which so never acts on half of one: an engine
// told as draining is stopped and left out of its choice at once.
func (g *Gateway) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	g.enter(func(now float64) {
		told := admission.Delta
		if mode != discovery.Delta {
			told = admission.Snapshot
		}
		endpoints := make([]admission.Endpoint, 0, len(engines))
		named := make(map[string]bool, len(engines))
		for _, m := range engines {
			named[m.Name] = true
			endpoints = append(endpoints, g.updateEndpoint(m))
		}
		for name, e := range g.endpoints {
			switch left := told == admission.Snapshot && !named[name]; {
			case e.terminated || left && mode == discovery.Snapshot:
				g.stopEngine(e, true)
				g.forgetEndpoint(name, e)
			case left:
				e.ready, e.delisted = false, true
				if g.stopEngine(e, false); e.engine == nil || e.engine.Empty() {
					g.forgetEndpoint(name, e)
				}
			}
		}
		g.controller.UpdateEndpoints(now, told, endpoints)
		g.boundIdleConns()
		g.restoreLearnedState(now)
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.SetCapacity(now, g.coreShare()))
		}
	})
}

// boundIdleConns sets how many connections without a job this gateway may keep, by the engines and gateways there are.
func (g *Gateway) boundIdleConns() {
	ready := 0
	for _, e := range g.endpoints {
		if e.ready {
			ready++
		}
	}
	g.idleConns.Bound(idlepool.Part(g.settings.Spare, ready, g.gatewayIndex[0], g.gatewayIndex[1]))
}

// coreShare are this gateway's part of those of all engines that take jobs.
func (g *Gateway) coreShare() (sum float64) {
	for _, e := range g.endpoints {
		if e.ready {
			sum += g.settings.Admission.MachineTypes[min(e.machineKind, len(g.settings.Admission.MachineTypes)-1)].Cores
		}
	}
	return sum / float64(max(g.settings.Admission.GatewayCount, 1))
}

// updateEndpoint takes in one engine. One that comes back as it was is the same process; another start or address is a new
// one, and the old one drains.
func (g *Gateway) updateEndpoint(m discovery.Endpoint) admission.Endpoint {
	e := g.endpoints[m.Name]
	if e == nil {
		e = &endpoint{id: g.endpointID(m.Name)}
		g.endpoints[m.Name], g.endpointsByID[e.id] = e, e
	}
	moved := e.address != m.Address || e.incarnation != m.StartedAt
	e.ready, e.terminated, e.delisted = m.Available() && !g.overrides.draining[m.Name], m.State == discovery.Terminated, false
	e.entry = m
	if !e.ready || moved {
		g.stopEngine(e, e.terminated)
	}
	switch {
	case e.ready && (moved || e.engine == nil):
		e.address, e.incarnation = m.Address, m.StartedAt
		process := &resp.Engine{Address: m.Address, Settings: g.settings, Limits: g.limits, Pool: g.pool,
			Log: g.log, Group: g.group, Context: g.ctx, Slots: g.engineConnSlots, Spares: g.idleConns, Dial: g.Dial}
		process.Told = func(load deployment.Load) {
			g.enter(func(now float64) {
				if e.engine == process {
					e.load, e.loadTime = load, now
					g.controller.LoadReported(now, e.id, load.Report())
				}
			})
		}
		process.Emptied = func() {
			g.enter(func(float64) {
				if e.delisted && e.engine == process {
					g.forgetEndpoint(m.Name, e)
				}
			})
		}
		e.engine = process
	case e.ready:
		e.engine.Resume()
	}
	e.machineKind = nameIndex(g.settings.Kinds, m.Kind)
	return admission.Endpoint{
		ID:          e.id,
		Zone:        nameIndex(g.settings.Zones, m.Zone),
		MachineType: e.machineKind,
		Cell:        m.Cell,
		Ready:       e.ready,
		Weight:      m.Weight,
		StartedAt:   m.StartedAt,
	}
}

// stopEngine lets nothing new go to the engine's process.
func (g *Gateway) stopEngine(e *endpoint, gone bool) {
	if e.engine != nil {
		e.engine.Stop(gone)
	}
}

// forgetEndpoint lets go of an engine; what comes under its name is new.
func (g *Gateway) forgetEndpoint(name string, e *endpoint) {
	if g.endpoints[name] == e {
		delete(g.endpoints, name)
		delete(g.endpointsByID, e.id)
	}
}

// endpointID numbers an engine by its name alone, so that all gateways number it alike.
func (g *Gateway) endpointID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := h.Sum32()
	for g.endpointsByID[id] != nil {
		id++
	}
	return id
}

// nameIndex finds a name in a list, past its end where it is not there; names may also be told as numbers.
func nameIndex(names []string, name string) int {
	if i := slices.Index(names, deployment.Name(name)); i >= 0 {
		return i
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(names) {
		return i
	}
	return len(names)
}

// ---- what the module decides, with its lock held

func (g *Gateway) decide(id uint32, s step) {
	if j := g.requests[id]; j != nil {
		select {
		case j.decisions <- s:
		default:
			g.log.Error().Uint32("job", id).Msg("too many decisions on a job")
		}
	}
}

// StartAttempt sends the job. An engine that is gone by now has no connection.
func (g *Gateway) StartAttempt(id, to uint32) {
	j, e := g.requests[id], g.endpointsByID[to]
	if j == nil {
		return
	}
	at := place{process: stoppedEngine()}
	if e != nil && e.engine != nil {
		at = place{e.entry.Name, nameIndex(g.settings.Zones, e.entry.Zone), e.entry.Cell, e.engine}
	}
	s := step{do: dispatch, number: j.attemptsStarted, place: at, grant: j.grant, priority: j.priority}
	if j.attemptsStarted > 0 && g.persistence != nil && g.persistence.store != nil {
		s.written = g.persistence.store.RecordRetry()
	}
	g.decide(id, s)
	j.attemptsStarted++
	j.attemptsOpen++
	if g.fairShare != nil {
		g.startedRequests = append(g.startedRequests, id)
	}
}

// stoppedEngine is a process that takes nothing, so that what is sent to it has never run.
func stoppedEngine() *resp.Engine {
	e := &resp.Engine{}
	e.Stop(true)
	return e
}

func (g *Gateway) SetAttemptTerms(id uint32, priority uint8, grant float64) {
	if j := g.requests[id]; j != nil {
		if j.maxGrant > 0 {
			grant = min(grant, j.maxGrant)
		}
		j.priority, j.grant = int(priority), grant
		if j.attemptsOpen > 0 {
			g.decide(id, step{do: prefer, priority: int(priority)})
		}
	}
}

func (g *Gateway) Reject(id uint32, comeBack float64) {
	g.decide(id, step{do: throttle, comeBack: comeBack})
}

func (g *Gateway) Fail(id uint32) { g.decide(id, step{do: cancelForGood}) }

func (g *Gateway) CancelAttempt(id uint32, number int) {
	g.decide(id, step{do: callOff, number: number})
}

func (g *Gateway) PollLoad(id uint32) {
	e := g.endpointsByID[id]
	if e == nil || e.engine == nil {
		g.deferEvent(func(now float64) { g.controller.PollEnded(now) })
		return
	}
	e.engine.Probe(func(load deployment.Load, ok bool) {
		g.enter(func(now float64) {
			if ok {
				e.load, e.loadTime = load, now
				g.controller.LoadReported(now, id, load.Report())
			}
			g.controller.PollEnded(now)
		})
	})
}

// WatchEndpoints asks for what the channel tells unasked.
func (g *Gateway) WatchEndpoints() {
	g.deferEvent(func(now float64) {
		g.controller.UpdateEndpoints(now, admission.Delta, nil)
	})
}

func (g *Gateway) WakeAfter(after float64) {
	g.wakeDue = g.now() + after
	g.wakeTimer.Reset(limits.Duration(after))
}

// deferEvent keeps what the module is to hear once it has been left.
func (g *Gateway) deferEvent(event func(now float64)) {
	select {
	case g.deferredEvents <- event:
	default:
		g.log.Error().Msg("too many events kept for the module")
	}
}

// OpenRequests is the number of jobs that are kept.
func (g *Gateway) OpenRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests)
}

// EndpointCount is the number of engines that are kept, those that drain included.
func (g *Gateway) EndpointCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.endpoints)
}

// BudgetsIdle tells whether nothing is booked with any team; true where there are none.
func (g *Gateway) BudgetsIdle() (idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fairShare == nil || g.fairShare.Idle()
}
