package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"

	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/frontend/msgpackrpc"
)

// What the gateway does on behalf of a fleet: it asks engines for their load and hears what others asked, runs jobs of the
// fleet's own, and carries out operators' orders.

// Fenced is a job's answer whose effects belong to an owner: Fence gives what goes along with each dispatch, "" where
// engines take none, and tells, at the last moment, whether the owner may still send it.
type Fenced interface {
	Fence() (fence string, still bool)
}

// fence asks a job's owner before a dispatch; a client's job has none.
func (g *Gateway) fence(to msgpackrpc.Answer) (fence string, still bool) {
	if owned, is := to.(Fenced); is {
		return owned.Fence()
	}
	return "", true
}

// Listed lists the engines that take jobs, by name.
func (g *Gateway) Listed() (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, e := range g.engines {
		if e.ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// AskLoad asks an engine for its load, not for the module but for the fleet. answer may be called from any goroutine.
func (g *Gateway) AskLoad(name string, answer func(load deployment.Load, ok bool)) {
	g.mu.Lock()
	e := g.engines[name]
	var process *resp.Engine
	if e != nil && e.ready {
		process = e.process
	}
	g.mu.Unlock()
	if process == nil {
		answer(deployment.Untold, false)
		return
	}
	process.Probe(answer)
}

// Lately is an engine's load as this gateway's own module had it told last, and how many seconds ago.
func (g *Gateway) Lately(name string) (load deployment.Load, age float64, told bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[name]
	if e == nil || e.loadAt == 0 {
		return deployment.Untold, 0, false
	}
	return e.load, g.now() - e.loadAt, true
}

// Heard takes an engine's load that was asked for so many seconds ago, here or by another gateway.
func (g *Gateway) Heard(name string, age float64, load deployment.Load) {
	g.enter(func(now float64) {
		if e := g.engines[name]; e != nil && e.ready {
			g.brain.PeerLoadReported(now, age, e.id, load.Report())
		}
	})
}

// Busy is the part of the open jobs that the gateway may have.
func (g *Gateway) Busy() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(len(g.jobs)) / float64(max(g.limits.Jobs, 1))
}

// Outcome is how a job of the fleet's own ended.
type Outcome int

const (
	Done    Outcome = iota
	NotRun          // no dispatch of it ran
	Failed          // it was dispatched, and its type lets nothing be made of that
	Unclear         // it may have run
)

// Own is a job of the fleet's own. Times are seconds.
type Own struct {
	Ref, Type, Team string
	Statement       string
	Allow, Work     float64
	Memory          float64
	Fence           func() (fence string, still bool)
}

// own is the answer to such a job.
type own struct {
	Own
	mu      sync.Mutex
	outcome Outcome
	asked   bool // a dispatch may have gone
	why     string
}

func (o *own) Waits(_, _, _, _ float64) {}

func (o *own) Done(rows *bufferpool.Chain) {
	rows.Free()
	o.end(Done, "")
}

func (o *own) Throttled(float64) { o.end(NotRun, "throttled") }

func (o *own) Failed(why string) {
	o.mu.Lock()
	asked := o.asked
	o.mu.Unlock()
	if asked {
		o.end(Unclear, why)
	} else {
		o.end(NotRun, why)
	}
}

func (o *own) end(outcome Outcome, why string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcome, o.why = outcome, why
}

func (o *own) Fence() (fence string, still bool) {
	if fence, still = o.Own.Fence(); still {
		o.mu.Lock()
		o.asked = true
		o.mu.Unlock()
	}
	return fence, still
}

// Do runs a job of the fleet's own through the module like any other, and tells how it ended and why.
func (g *Gateway) Do(ctx context.Context, j Own) (Outcome, string) {
	o := &own{Own: j}
	text := g.pool.NewChain()
	if err := text.Fill(strings.NewReader(j.Statement), len(j.Statement)); err != nil {
		text.Free()
		return NotRun, err.Error()
	}
	o.end(NotRun, "not taken")
	g.Serve(ctx, o, j.Type, j.Ref, j.Team, "", "", "", false, j.Allow, j.Work, j.Memory, text)
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil && o.outcome == NotRun && o.asked { // withdrawn: nobody was told
		return Unclear, "given up"
	}
	return o.outcome, o.why
}

// orders are operators' orders that hold, whatever lists and budgets say.
type orders struct {
	drained map[string]bool    // engines
	most    map[string]float64 // of teams, MB
}

// again puts the budgets as ordered over those that were configured; the module's lock is held.
func (o *orders) again(now float64, g *Gateway) {
	for team, most := range o.most {
		g.carry(now, g.stage.OverrideLimit(now, team, most, true))
	}
}

// Drain has an engine take nothing new, or take work again, whatever the list says.
func (g *Gateway) Drain(name string, drain bool) {
	g.mu.Lock()
	if g.orders.drained == nil {
		g.orders.drained = map[string]bool{}
	}
	if drain {
		g.orders.drained[name] = true
	} else {
		delete(g.orders.drained, name)
	}
	var last []discovery.Engine
	if e := g.engines[name]; e != nil {
		last = append(last, e.last)
	}
	g.mu.Unlock()
	if len(last) > 0 {
		g.Members(discovery.Changes, last)
	}
}

// Budget sets the most that a team may have, in MB, or takes that back.
func (g *Gateway) Budget(team string, most float64, holds bool) {
	g.enter(func(now float64) {
		if g.stage == nil {
			return
		}
		if g.orders.most == nil {
			g.orders.most = map[string]float64{}
		}
		if holds {
			g.orders.most[team] = most
		} else {
			delete(g.orders.most, team)
		}
		g.carry(now, g.stage.OverrideLimit(now, team, most, holds))
	})
}

// Among tells this gateway's number among all that the fleet may have; below 0 it has none for now.
func (g *Gateway) Among(index, gateways int) {
	if index < 0 {
		gateways = g.settings.Admission.GatewayCount
	}
	g.enter(func(now float64) {
		g.brain.SetGatewayIndex(now, index, gateways)
		g.among = [2]int{index, gateways}
		g.boundSpares()
	})
}

// Further takes this gateway's part of the fleet's further dispatches.
func (g *Gateway) Further(s Share) {
	g.enter(func(now float64) { g.brain.SetRetryBudget(now, s.Limit) })
}

// FurtherUse tells of further dispatches.
func (g *Gateway) FurtherUse() (u Use) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.Used, u.Wanted = g.brain.RetryUse(g.now())
	return u
}
