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

	settings *deployment.Settings
	limits   limits.Limits
	pool     *bufferpool.Pool
	log      zerolog.Logger
	group    *errgroup.Group
	ctx      context.Context // of what the gateway starts itself
	slots    chan struct{}
	start    time.Time
	base     float64 // the Unix clock at the start
	bell     *time.Timer
	due      float64                // when the bell is to ring
	later    chan func(now float64) // told to the module after the call that asked for it

	// Teams, where there are budgets; nil without. It is entered under the module's lock.
	stage     *fairshare.Scheduler
	stageBell *time.Timer
	happened  []uint32 // jobs dispatched, of which the stage has not been told yet
	customers []string // by the module's numbers

	mu      sync.Mutex // one goroutine at a time is in the module
	brain   *admission.Controller
	jobs    map[uint32]*job
	refs    map[string]bool // of the jobs
	lastJob uint32
	engines map[string]*listed
	byID    map[uint32]*listed
	ready   bool
	leaving bool         // for good
	spares  *resp.Spares // nil without a bound
	among   [2]int       // this gateway's number, and of how many
	keeps   *keeping     // what outlives the gateway, nil for nothing
	orders  orders
}

// listed is an engine of the roster, with the process that it is now or was last.
type listed struct {
	id      uint32
	kind    int
	ready   bool
	gone    bool
	left    bool // out of the list, while what it holds ends
	address string
	born    float64
	last    discovery.Engine
	process *resp.Engine
	load    deployment.Load // as the module had it told last, for the fleet
	loadAt  float64         // when; 0 for never
}

// job is what the module's decisions on a job are carried out with.
type job struct {
	id       uint32
	ref      string
	steps    chan step // decided, in order
	priority int       // these four with the module's lock
	grant    float64
	most     float64           // of its grants, 0 for no bound
	sent     int               // dispatches decided
	out      int               // without an outcome
	work     float64           // that it took, 0 until it is done
	hand     func(now float64) // to the module
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
		slots: make(chan struct{}, lim.EngineConns), start: time.Now(), bell: time.NewTimer(time.Hour),
		later: make(chan func(float64), lim.Queue), jobs: map[uint32]*job{}, refs: map[string]bool{}, engines: map[string]*listed{},
		byID: map[uint32]*listed{}, stageBell: time.NewTimer(time.Hour)}
	g.base = float64(g.start.UnixMicro()) / 1e6
	if g.among = [2]int{set.Admission.GatewayIndex, set.Admission.GatewayCount}; set.Spare > 0 {
		g.spares = resp.NewSpares()
	}
	g.brain, g.customers = admission.New(seed, set.Admission, g), set.Customers
	return g
}

// now is the Unix clock in seconds; it never goes back.
func (g *Gateway) now() float64 { return g.base + time.Since(g.start).Seconds() }

// at is the time of a clock value.
func (g *Gateway) at(now float64) time.Time { return g.start.Add(limits.Duration(now - g.base)) }

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
	if g.stage != nil {
		g.attend(now)
	}
}

// WithTeams has jobs pass the stage on their way to the module. It is called before Run.
func (g *Gateway) WithTeams(stage *fairshare.Scheduler) { g.stage = stage }

// Reteam takes other budgets; an error leaves the old ones.
func (g *Gateway) Reteam(budgets []fairshare.Budget) (err error) {
	g.enter(func(now float64) {
		if g.stage != nil {
			err = g.stage.Configure(now, budgets)
			g.orders.again(now, g)
			g.carry(now, g.stage.Tick(now))
		}
	})
	return err
}

// attend tells the stage what the module has dispatched, until nothing more follows from it.
func (g *Gateway) attend(now float64) {
	for len(g.happened) > 0 {
		id := g.happened[0]
		g.happened = g.happened[1:]
		grant := 0.0
		if j := g.jobs[id]; j != nil {
			grant = j.grant
		}
		g.carry(now, g.stage.Started(now, id, grant))
	}
	g.happened = nil
	g.stageBell.Reset(limits.Duration(min(max(g.stage.NextTick()-now, 0.001), 3600)))
}

// carry does what the stage has decided.
func (g *Gateway) carry(now float64, all []fairshare.Decision) {
	for _, d := range all {
		switch d.Action {
		case fairshare.Admit:
			if j := g.jobs[d.Request]; j != nil {
				j.hand(now)
			}
		case fairshare.Reject:
			g.log.Debug().Uint32("job", d.Request).Str("why", d.Reason).Msg("turned away")
			g.step(d.Request, step{do: throttle, comeBack: d.RetryAfter})
		case fairshare.ReportWait:
			if j := g.jobs[d.Request]; j != nil && len(j.steps) < cap(j.steps)/2 { // a wait told late is of no use
				g.step(d.Request, step{do: tellWait, wait: d.Estimate})
			}
		case fairshare.Preempt:
			if !g.brain.Preempt(now, d.Request, d.Beneficiary) {
				g.stage.PreemptionDeclined(d.Request)
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
		case <-g.bell.C:
			if by := g.behind(); by > g.limits.Still && !heard {
				g.log.Warn().Float64("by", by).Msg("stood still")
				heard = true
				g.bell.Reset(limits.Duration(g.limits.Heard))
				continue
			}
			heard = false
			g.enter(func(now float64) { g.brain.WakeUp(now) })
		case tell := <-g.later:
			g.enter(tell)
		case <-g.stageBell.C:
			g.enter(func(now float64) {
				if g.stage != nil {
					g.carry(now, g.stage.Tick(now))
				}
			})
		}
	}
}

// behind is how far behind its time a wake-up comes. After a stop of the whole process timers are due before anything that
// came meanwhile has been read: engines that drain, clients that have left. What the module holds must not go out on what
// held before; the wake-up waits for a moment in which that is read.
func (g *Gateway) behind() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now() - g.due
}

// Ready tells whether jobs can be taken.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready && (g.keeps == nil || !g.keeps.opening && (g.keeps.store != nil || !g.keeps.needed))
}

// SetReady tells that the gateway begins or ceases to take jobs.
func (g *Gateway) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready && !g.leaving
}

// Leave tells that the gateway ends so many seconds from now. It takes jobs until then but is not ready for more.
func (g *Gateway) Leave(after float64) {
	g.enter(func(now float64) {
		g.ready, g.leaving = false, true
		g.brain.ShutDownAt(now, now+after)
		if g.stage != nil {
			g.carry(now, g.stage.ShutDownAt(now, now+after))
		}
	})
}

// Serve is the life of a job.
func (g *Gateway) Serve(left context.Context, to msgpackrpc.Answer, class, ref, team, customer, key, idempotency string,
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
		to, before = kept, kept.before
	}
	most := g.settings.Admission.MaxAttempts
	j := &job{ref: ref, priority: 1, steps: make(chan step, 4*most+4), sent: len(before)}
	tables := sqltables.Tables(text.Bytes())
	margin := min(g.limits.Margin, allow*g.limits.MarginShare)
	giveUp := g.now() + allow - margin
	taken, twice, came := false, false, 0.0
	g.enter(func(now float64) {
		twice = g.refs[ref]
		if taken = !twice && len(g.jobs) < g.limits.Jobs; taken {
			g.refs[ref] = true
			g.lastJob++
			j.id, came = g.lastJob, now
			g.jobs[j.id] = j
			j.hand = func(now float64) {
				g.brain.RequestRecovered(now, j.id, number, g.customer(customer), orderOf(key), giveUp, work, memory, tables, now-came, before)
			}
			if g.stage == nil {
				j.hand(now)
			} else { // Waits for its team.
				booked := memory
				if g.stage.CountsFleetWide(team) { // no grant may go beyond what was booked of a fleet's budget
					booked = math.Ceil(g.brain.MaxGrant(number, memory))
					j.most = booked
				}
				g.carry(now, g.stage.Enqueue(now, fairshare.Arrival{
					ID: j.id, Team: team, Class: number, Work: work, Memory: booked, Deadline: giveUp, WantsEstimate: asks,
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
		to.Throttled(g.settings.Admission.MaxRetryAfter)
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
	for gone := left.Done(); !g.closed(j, over); {
		select {
		// Decided.
		case s := <-j.steps:
			switch s.do {
			case throttle:
				end(func() { to.Throttled(s.comeBack) })
			case tellWait:
				if !over {
					to.Waits(s.wait.Start, s.wait.Completion, s.wait.StartLow, s.wait.StartHigh)
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
					requestlog.Written(s.written)
				}
				if still && kept != nil {
					if err := kept.sends(s.name, s.zone, s.cell, until); err != nil {
						still = false
						g.log.Warn().Err(err).Str("ref", ref).Msg("throttled: a dispatch could not be put on record")
						end(func() { to.Throttled(g.settings.Admission.MaxRetryAfter) })
					}
				}
				if !still { // answered meanwhile, or its work is another's by now
					s.process = nowhere()
				}
				ctx, cancel := context.WithDeadline(g.ctx, until)
				defer cancel()
				// Dispatched.
				began := g.now()
				news := func(topic int, amount float64) {
					g.enter(func(now float64) { g.brain.AttemptProgressed(now, j.id, s.number, topic, amount) })
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
							kept.ends(s.number-len(before), status)
						}
						calls[at].never = status == admission.Overloaded || status == admission.ConnectFailed || status == admission.NotStarted
						// Answered.
						if status == admission.Succeeded && !over {
							end(func() { to.Done(call.Rows()) })
						}
						call.Free()
						g.enter(func(now float64) {
							j.out--
							if status == admission.Succeeded {
								j.work = max(call.Work, work, 0.001)
							}
							g.brain.AttemptEnded(now, j.id, s.number, status, now-began, over, call.Work, call.Memory)
						})
					}
					return nil
				})
			}
		case outcome := <-outcomes:
			outcome()
		case <-gone:
			gone = nil
			end(func() { g.enter(func(now float64) { g.brain.RequestCancelled(now, j.id) }) })
		case <-late.C: // the module has said nothing in time
			end(func() {
				to.Failed("no decision in time")
				g.enter(func(now float64) { g.brain.RequestCancelled(now, j.id) })
			})
		}
	}
}

// closed tells whether nothing is left to do for the job, and forgets it then.
func (g *Gateway) closed(j *job, over bool) bool {
	if !over {
		return false
	}
	ended := false
	g.enter(func(now float64) {
		if ended = j.out == 0; !ended {
			return
		}
		delete(g.jobs, j.id)
		delete(g.refs, j.ref)
		if g.stage != nil {
			g.carry(now, g.stage.Finished(now, j.id, j.work))
		}
	})
	return ended
}

// customer is the module's number of a customer; one that is not known is past all of them and has no share.
func (g *Gateway) customer(name string) int {
	if i := slices.Index(g.customers, name); i >= 0 && name != "" {
		return i
	}
	return len(g.settings.Admission.TenantQuotas)
}

// orderOf numbers an order key, 0 for none.
func orderOf(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(h.Sum64(), 1)
}

// ---- the roster

// Members takes a message on the engines in one entry of the module, which so never acts on half of one: an engine
// told as draining is stopped and left out of its choice at once.
func (g *Gateway) Members(mode discovery.Mode, engines []discovery.Engine) {
	g.enter(func(now float64) {
		told := admission.Delta
		if mode != discovery.Changes {
			told = admission.Snapshot
		}
		g.brain.BeginEndpoints(now, told)
		named := make(map[string]bool, len(engines))
		for _, m := range engines {
			named[m.Name] = true
			g.member(now, m)
		}
		for name, e := range g.engines {
			switch left := told == admission.Snapshot && !named[name]; {
			case e.gone || left && mode == discovery.Whole:
				g.stop(e, true)
				g.forget(name, e)
			case left:
				e.ready, e.left = false, true
				if g.stop(e, false); e.process == nil || e.process.Empty() {
					g.forget(name, e)
				}
			}
		}
		g.brain.EndEndpoints(now)
		g.boundSpares()
		g.recalled(now)
		if g.stage != nil {
			g.carry(now, g.stage.SetCapacity(now, g.cores()))
		}
	})
}

// boundSpares sets how many connections without a job this gateway may keep, by the engines and gateways there are.
func (g *Gateway) boundSpares() {
	ready := 0
	for _, e := range g.engines {
		if e.ready {
			ready++
		}
	}
	g.spares.Bound(idlepool.Part(g.settings.Spare, ready, g.among[0], g.among[1]))
}

// cores are this gateway's part of those of all engines that take jobs.
func (g *Gateway) cores() (sum float64) {
	for _, e := range g.engines {
		if e.ready {
			sum += g.settings.Admission.MachineTypes[min(e.kind, len(g.settings.Admission.MachineTypes)-1)].Cores
		}
	}
	return sum / float64(max(g.settings.Admission.GatewayCount, 1))
}

// member takes in one engine. One that comes back as it was is the same process; another start or address is a new
// one, and the old one drains.
func (g *Gateway) member(now float64, m discovery.Engine) {
	e := g.engines[m.Name]
	if e == nil {
		e = &listed{id: g.idOf(m.Name)}
		g.engines[m.Name], g.byID[e.id] = e, e
	}
	moved := e.address != m.Address || e.born != m.Born
	e.ready, e.gone, e.left = m.Takes() && !g.orders.drained[m.Name], m.State == discovery.Terminated, false
	e.last = m
	if !e.ready || moved {
		g.stop(e, e.gone)
	}
	switch {
	case e.ready && (moved || e.process == nil):
		e.address, e.born = m.Address, m.Born
		process := &resp.Engine{Address: m.Address, Settings: g.settings, Limits: g.limits, Pool: g.pool,
			Log: g.log, Group: g.group, Context: g.ctx, Slots: g.slots, Spares: g.spares, Dial: g.Dial}
		process.Told = func(load deployment.Load) {
			g.enter(func(now float64) {
				if e.process == process {
					e.load, e.loadAt = load, now
					g.brain.LoadReported(now, e.id, load[0], load[1], load[2], load[3], load[4])
				}
			})
		}
		process.Emptied = func() {
			g.enter(func(float64) {
				if e.left && e.process == process {
					g.forget(m.Name, e)
				}
			})
		}
		e.process = process
	case e.ready:
		e.process.Resume()
	}
	e.kind = index(g.settings.Kinds, m.Kind)
	g.brain.ListEndpoint(now, e.id, index(g.settings.Zones, m.Zone), e.kind, m.Cell, e.ready, m.Weight, m.Born)
}

// stop lets nothing new go to the engine's process.
func (g *Gateway) stop(e *listed, gone bool) {
	if e.process != nil {
		e.process.Stop(gone)
	}
}

// forget lets go of an engine; what comes under its name is new.
func (g *Gateway) forget(name string, e *listed) {
	if g.engines[name] == e {
		delete(g.engines, name)
		delete(g.byID, e.id)
	}
}

// idOf numbers an engine by its name alone, so that all gateways number it alike.
func (g *Gateway) idOf(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := h.Sum32()
	for g.byID[id] != nil {
		id++
	}
	return id
}

// index finds a name in a list, past its end where it is not there; names may also be told as numbers.
func index(names []string, name string) int {
	if i := slices.Index(names, deployment.Name(name)); i >= 0 {
		return i
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(names) {
		return i
	}
	return len(names)
}

// ---- what the module decides, with its lock held

func (g *Gateway) step(id uint32, s step) {
	if j := g.jobs[id]; j != nil {
		select {
		case j.steps <- s:
		default:
			g.log.Error().Uint32("job", id).Msg("too many decisions on a job")
		}
	}
}

// StartAttempt sends the job. An engine that is gone by now has no connection.
func (g *Gateway) StartAttempt(id, to uint32, timeout float64) {
	j, e := g.jobs[id], g.byID[to]
	if j == nil {
		return
	}
	at := place{process: nowhere()}
	if e != nil && e.process != nil {
		at = place{e.last.Name, index(g.settings.Zones, e.last.Zone), e.last.Cell, e.process}
	}
	s := step{do: dispatch, number: j.sent, place: at, grant: j.grant, priority: j.priority}
	if j.sent > 0 && g.keeps != nil && g.keeps.store != nil {
		s.written = g.keeps.store.Further()
	}
	g.step(id, s)
	j.sent++
	j.out++
	if g.stage != nil {
		g.happened = append(g.happened, id)
	}
}

// nowhere is a process that takes nothing, so that what is sent to it has never run.
func nowhere() *resp.Engine {
	e := &resp.Engine{}
	e.Stop(true)
	return e
}

func (g *Gateway) SetAttemptTerms(id uint32, priority uint8, grant float64) {
	if j := g.jobs[id]; j != nil {
		if j.most > 0 {
			grant = min(grant, j.most)
		}
		j.priority, j.grant = int(priority), grant
		if j.out > 0 {
			g.step(id, step{do: prefer, priority: int(priority)})
		}
	}
}

func (g *Gateway) Reject(id uint32, comeBack float64) {
	g.step(id, step{do: throttle, comeBack: comeBack})
}

func (g *Gateway) Fail(id uint32) { g.step(id, step{do: cancelForGood}) }

func (g *Gateway) CancelAttempt(id uint32, number int) { g.step(id, step{do: callOff, number: number}) }

func (g *Gateway) PollLoad(id uint32) {
	e := g.byID[id]
	if e == nil || e.process == nil {
		g.tell(func(now float64) { g.brain.PollEnded(now, id, admission.ConnectFailed) })
		return
	}
	e.process.Probe(func(load deployment.Load, ok bool) {
		g.enter(func(now float64) {
			status := admission.TimedOut
			if ok {
				status = admission.Succeeded
				e.load, e.loadAt = load, now
				g.brain.LoadReported(now, id, load[0], load[1], load[2], load[3], load[4])
			}
			g.brain.PollEnded(now, id, status)
		})
	})
}

func (g *Gateway) CloseIdle(id uint32) {
	if e := g.byID[id]; e != nil && e.process != nil {
		e.process.CloseIdle()
	}
}

// WatchEndpoints and Fetch ask for what the channel tells unasked.
func (g *Gateway) WatchEndpoints() {
	g.tell(func(now float64) {
		g.brain.BeginEndpoints(now, admission.Delta)
		g.brain.EndEndpoints(now)
	})
}

func (g *Gateway) FetchEndpoints() { g.WatchEndpoints() }

// Gossip has no way to go: gateways do not talk to each other here.
func (g *Gateway) Gossip(uint16, []byte) {}

func (g *Gateway) Log(text string) { g.log.Debug().Msg(text) }

func (g *Gateway) WakeAfter(after float64) {
	g.due = g.now() + after
	g.bell.Reset(limits.Duration(after))
}

// tell keeps what the module is to hear once it has been left.
func (g *Gateway) tell(event func(now float64)) {
	select {
	case g.later <- event:
	default:
		g.log.Error().Msg("too many events kept for the module")
	}
}

// Open is the number of jobs that are kept.
func (g *Gateway) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs)
}

// Engines is the number of engines that are kept, those that drain included.
func (g *Gateway) Engines() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.engines)
}

// Budgets tells whether nothing is booked with any team; true where there are none.
func (g *Gateway) Budgets() (idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stage == nil || g.stage.Idle()
}
