package gateway

import (
	"cmp"

	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/limits"
)

// Bounds of the scheduler's timer interval, in seconds.
const (
	minFairShareTick = 0.001
	maxFairShareTick = 3600
)

// UseFairShare makes requests queue in a fair-share scheduler before they are submitted to the controller. Call it before
// Run.
func (g *Gateway) UseFairShare(scheduler *fairshare.Scheduler) { g.fairShare = scheduler }

// bookedMemory returns the memory, in megabytes, that an attempt with the given grant counts against budgets. The grant is
// 0 if the controller sets none.
func (r *openRequest) bookedMemory(grant float64) float64 {
	return cmp.Or(grant, r.maxGrant, r.EstimatedMemory)
}

// roomForAttempt returns the function by which the controller asks whether the budgets have room for another attempt of a
// request while others are in flight. It is nil without budgets. The controller calls it with the lock held.
func (g *Gateway) roomForAttempt(r *openRequest) func() bool {
	if g.fairShare == nil {
		return nil
	}
	return func() bool {
		return g.fairShare.HasRoomForAttempt(r.handle, max(r.grant, r.maxGrant, r.EstimatedMemory))
	}
}

// UpdateBudgets replaces the teams' budgets. On an error the old ones stay in effect.
func (g *Gateway) UpdateBudgets(budgets []fairshare.Budget) (err error) {
	g.runEvent(func(now float64) {
		if g.fairShare != nil {
			err = g.fairShare.Configure(now, budgets)
			g.applyTeamLimits(now)
			g.tickFairShare(now)
		}
	})
	return err
}

// BudgetsIdle reports whether no team has anything booked. It is true without budgets.
func (g *Gateway) BudgetsIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fairShare == nil || g.fairShare.Idle()
}

// tickFairShare lets the scheduler do its work that is due. The lock is held.
func (g *Gateway) tickFairShare(now float64) {
	if g.fairShare != nil {
		g.carryOut(now, g.fairShare.Tick(now))
	}
}

// reportStarted reports to the scheduler which requests the controller has started, and sets the scheduler's timer. A
// report may make the scheduler admit further requests, which the controller may start at once, so it loops until no
// report is left. The lock is held.
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

// carryOut carries out the scheduler's decisions. The lock is held.
func (g *Gateway) carryOut(now float64, decisions []fairshare.Decision) {
	for _, d := range decisions {
		switch d.Action {
		case fairshare.Admit:
			if r := g.requests[d.Request]; r != nil {
				g.submit(now, r)
			}
		case fairshare.Reject:
			g.log.Debug().Uint32("handle", d.Request).Str("reason", d.Reason).Msg("request rejected")
			g.sendDecision(d.Request, rejectDecision{d.RetryAfter})
		case fairshare.ReportWait:
			g.reportWait(d)
		case fairshare.Preempt:
			if !g.controller.Preempt(now, d.Request, d.Beneficiary) {
				g.fairShare.PreemptionDeclined(d.Request)
			}
		}
	}
}

// reportWait passes on a wait estimate, unless so many decisions are queued for the request that the estimate would be
// out of date when it is sent.
func (g *Gateway) reportWait(d fairshare.Decision) {
	if r := g.requests[d.Request]; r != nil && len(r.decisions) < cap(r.decisions)/2 {
		g.sendDecision(d.Request, waitDecision{d.Estimate})
	}
}
