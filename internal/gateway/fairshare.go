package gateway

import (
	"cmp"

	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/limits"
)

// Bounds on how long the scheduler's timer runs, in seconds.
const (
	minFairShareTick = 0.001
	maxFairShareTick = 3600
)

// UseFairShare has requests queue at a fair-share scheduler before they reach the controller. It is called before Run.
func (g *Gateway) UseFairShare(scheduler *fairshare.Scheduler) { g.fairShare = scheduler }

// bookedFor is the memory that an attempt counts against budgets, in megabytes, where the controller names that grant, or
// none.
func (r *openRequest) bookedFor(grant float64) float64 {
	return cmp.Or(grant, r.maxGrant, r.EstimatedMemory)
}

// roomForAttempt is what the controller asks before it starts an attempt of a request beside others in flight, nil without
// budgets. The lock is held when it is called.
func (g *Gateway) roomForAttempt(r *openRequest) func() bool {
	if g.fairShare == nil {
		return nil
	}
	return func() bool {
		return g.fairShare.HasRoomForAttempt(r.handle, max(r.grant, r.maxGrant, r.EstimatedMemory))
	}
}

// UpdateBudgets replaces the teams' budgets; an error leaves the old ones.
func (g *Gateway) UpdateBudgets(budgets []fairshare.Budget) (err error) {
	g.enter(func(now float64) {
		if g.fairShare != nil {
			err = g.fairShare.Configure(now, budgets)
			g.applyTeamLimits(now)
			g.tickFairShare(now)
		}
	})
	return err
}

// BudgetsIdle reports whether nothing is booked with any team; true without budgets.
func (g *Gateway) BudgetsIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fairShare == nil || g.fairShare.Idle()
}

// tickFairShare has the scheduler do what is due. The lock is held.
func (g *Gateway) tickFairShare(now float64) {
	if g.fairShare != nil {
		g.carryOut(now, g.fairShare.Tick(now))
	}
}

// reportStarted tells the scheduler which requests the controller has started, until nothing more follows from that,
// and sets the scheduler's timer. The lock is held.
func (g *Gateway) reportStarted(now float64) {
	for len(g.startedRequests) > 0 {
		handle := g.startedRequests[0]
		g.startedRequests = g.startedRequests[1:]
		grant := 0.0
		if r := g.requests[handle]; r != nil {
			grant = r.grant
		}
		g.carryOut(now, g.fairShare.Started(now, handle, grant))
	}
	g.startedRequests = nil
	tick := min(max(g.fairShare.NextTick()-now, minFairShareTick), maxFairShareTick)
	g.fairShareTimer.Reset(limits.Duration(tick))
}

// carryOut does what the scheduler has decided. The lock is held.
func (g *Gateway) carryOut(now float64, decisions []fairshare.Decision) {
	for _, d := range decisions {
		switch d.Action {
		case fairshare.Admit:
			if r := g.requests[d.Request]; r != nil {
				g.submit(now, r)
			}
		case fairshare.Reject:
			g.log.Debug().Uint32("handle", d.Request).Str("reason", d.Reason).Msg("request rejected")
			g.decide(d.Request, rejectDecision{d.RetryAfter})
		case fairshare.ReportWait:
			g.reportWait(d)
		case fairshare.Preempt:
			if !g.controller.Preempt(now, d.Request, d.Beneficiary) {
				g.fairShare.PreemptionDeclined(d.Request)
			}
		}
	}
}

// reportWait passes a wait estimate on, unless so many decisions are queued before it that it would come late.
func (g *Gateway) reportWait(d fairshare.Decision) {
	if r := g.requests[d.Request]; r != nil && len(r.decisions) < cap(r.decisions)/2 {
		g.decide(d.Request, waitDecision{d.Estimate})
	}
}
