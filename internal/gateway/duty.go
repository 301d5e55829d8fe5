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

// FencedResponder is a job's answer whose effects belong to an owner: Fence gives what goes along with each dispatch, "" where
// engines take none, and tells, at the last moment, whether the owner may still send it.
type FencedResponder interface {
	FencingToken() (fence string, still bool)
}

// fence asks a job's owner before a dispatch; a client's job has none.
func (g *Gateway) fence(to msgpackrpc.Responder) (fence string, still bool) {
	if owned, is := to.(FencedResponder); is {
		return owned.FencingToken()
	}
	return "", true
}

// ReadyEndpoints lists the engines that take jobs, by name.
func (g *Gateway) ReadyEndpoints() (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, e := range g.endpoints {
		if e.ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// PollEndpointLoad asks an engine for its load, not for the module but for the fleet. answer may be called from any goroutine.
func (g *Gateway) PollEndpointLoad(name string, answer func(load deployment.Load, ok bool)) {
	g.mu.Lock()
	e := g.endpoints[name]
	var process *resp.Engine
	if e != nil && e.ready {
		process = e.engine
	}
	g.mu.Unlock()
	if process == nil {
		answer(deployment.Untold, false)
		return
	}
	process.Probe(answer)
}

// LastLoadReport is an engine's load as this gateway's own module had it told last, and how many seconds ago.
func (g *Gateway) LastLoadReport(name string) (load deployment.Load, age float64, told bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[name]
	if e == nil || e.loadTime == 0 {
		return deployment.Untold, 0, false
	}
	return e.load, g.now() - e.loadTime, true
}

// ObserveLoadReport takes an engine's load that was asked for so many seconds ago, here or by another gateway.
func (g *Gateway) ObserveLoadReport(name string, age float64, load deployment.Load) {
	g.enter(func(now float64) {
		if e := g.endpoints[name]; e != nil && e.ready {
			g.controller.PeerLoadReported(now, age, e.id, load.Report())
		}
	})
}

// Utilization is the part of the open jobs that the gateway may have.
func (g *Gateway) Utilization() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(len(g.requests)) / float64(max(g.limits.Jobs, 1))
}

// Outcome is how a job of the fleet's own ended.
type Outcome int

const (
	OutcomeDone    Outcome = iota
	OutcomeNotRun          // no dispatch of it ran
	OutcomeFailed          // it was dispatched, and its type lets nothing be made of that
	OutcomeUnknown         // it may have run
)

// InternalRequest is a job of the fleet's own. Times are seconds.
type InternalRequest struct {
	ID, Class, Team string
	Statement       string
	Timeout, Work   float64
	Memory          float64
	FencingToken    func() (fence string, still bool)
}

// internalResponder is the answer to such a job.
type internalResponder struct {
	InternalRequest
	mu         sync.Mutex
	outcome    Outcome
	mayHaveRun bool // a dispatch may have gone
	reason     string
}

func (o *internalResponder) WaitEstimate(_, _, _, _ float64) {}

func (o *internalResponder) Succeeded(rows *bufferpool.Chain) {
	rows.Free()
	o.end(OutcomeDone, "")
}

func (o *internalResponder) Rejected(float64) { o.end(OutcomeNotRun, "throttled") }

func (o *internalResponder) Failed(why string) {
	o.mu.Lock()
	asked := o.mayHaveRun
	o.mu.Unlock()
	if asked {
		o.end(OutcomeUnknown, why)
	} else {
		o.end(OutcomeNotRun, why)
	}
}

func (o *internalResponder) end(outcome Outcome, why string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcome, o.reason = outcome, why
}

func (o *internalResponder) FencingToken() (fence string, still bool) {
	if fence, still = o.InternalRequest.FencingToken(); still {
		o.mu.Lock()
		o.mayHaveRun = true
		o.mu.Unlock()
	}
	return fence, still
}

// Execute runs a job of the fleet's own through the module like any other, and tells how it ended and why.
func (g *Gateway) Execute(ctx context.Context, j InternalRequest) (Outcome, string) {
	o := &internalResponder{InternalRequest: j}
	text := g.pool.NewChain()
	if err := text.Fill(strings.NewReader(j.Statement), len(j.Statement)); err != nil {
		text.Free()
		return OutcomeNotRun, err.Error()
	}
	o.end(OutcomeNotRun, "not taken")
	g.Serve(ctx, o, j.Class, j.ID, j.Team, "", "", "", false, j.Timeout, j.Work, j.Memory, text)
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil && o.outcome == OutcomeNotRun && o.mayHaveRun { // withdrawn: nobody was told
		return OutcomeUnknown, "given up"
	}
	return o.outcome, o.reason
}

// overrides are operators' orders that hold, whatever lists and budgets say.
type overrides struct {
	draining   map[string]bool    // engines
	teamLimits map[string]float64 // of teams, MB
}

// apply puts the budgets as ordered over those that were configured; the module's lock is held.
func (o *overrides) apply(now float64, g *Gateway) {
	for team, most := range o.teamLimits {
		g.carryOut(now, g.fairShare.OverrideLimit(now, team, most, true))
	}
}

// DrainEngine has an engine take nothing new, or take work again, whatever the list says.
func (g *Gateway) DrainEngine(name string, drain bool) {
	g.mu.Lock()
	if g.overrides.draining == nil {
		g.overrides.draining = map[string]bool{}
	}
	if drain {
		g.overrides.draining[name] = true
	} else {
		delete(g.overrides.draining, name)
	}
	var last []discovery.Endpoint
	if e := g.endpoints[name]; e != nil {
		last = append(last, e.entry)
	}
	g.mu.Unlock()
	if len(last) > 0 {
		g.UpdateEndpoints(discovery.Delta, last)
	}
}

// OverrideBudget sets the most that a team may have, in MB, or takes that back.
func (g *Gateway) OverrideBudget(team string, most float64, holds bool) {
	g.enter(func(now float64) {
		if g.fairShare == nil {
			return
		}
		if g.overrides.teamLimits == nil {
			g.overrides.teamLimits = map[string]float64{}
		}
		if holds {
			g.overrides.teamLimits[team] = most
		} else {
			delete(g.overrides.teamLimits, team)
		}
		g.carryOut(now, g.fairShare.OverrideLimit(now, team, most, holds))
	})
}

// SetIndex tells this gateway's number among all that the fleet may have; below 0 it has none for now.
func (g *Gateway) SetIndex(index, gateways int) {
	if index < 0 {
		gateways = g.settings.Admission.GatewayCount
	}
	g.enter(func(now float64) {
		g.controller.SetGatewayIndex(now, index, gateways)
		g.gatewayIndex = [2]int{index, gateways}
		g.boundIdleConns()
	})
}

// SetRetryQuota takes this gateway's part of the fleet's further dispatches.
func (g *Gateway) SetRetryQuota(s Quota) {
	g.enter(func(now float64) { g.controller.SetRetryBudget(now, s.Limit) })
}

// RetryUsage tells of further dispatches.
func (g *Gateway) RetryUsage() (u Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.Used, u.Wanted = g.controller.RetryUse(g.now())
	return u
}
