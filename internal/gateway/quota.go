package gateway

// Quota is this gateway's current share of a quantity that is divided among the fleet.
type Quota struct {
	Limit  float64
	Leased bool // the fleet is reachable, so the limit may still grow
}

// Usage is how much of such a quantity this gateway uses, and how much it would use without a limit.
type Usage struct{ Used, Demand float64 }

// SetTeamQuota sets this gateway's quota of a team's budget, in megabytes.
func (g *Gateway) SetTeamQuota(team string, quota Quota) {
	g.runEvent(func(now float64) {
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.SetAllocation(now, team, quota.Limit, quota.Leased))
		}
	})
}

// TeamUsage returns this gateway's usage of a team's budget, in megabytes.
func (g *Gateway) TeamUsage(team string) (usage Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fairShare != nil {
		usage.Used, usage.Demand = g.fairShare.Usage(team)
	}
	return usage
}

// SetEngineQuota sets this gateway's quota of the capacity of all engines, as a fraction.
func (g *Gateway) SetEngineQuota(quota Quota) {
	g.runEvent(func(now float64) { g.controller.SetCapacityShare(now, quota.Limit) })
}

// EngineUsage returns this gateway's usage of the engines, as a fraction of their total memory.
func (g *Gateway) EngineUsage() (usage Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usage.Used, usage.Demand = g.controller.MemoryUse()
	return usage
}

// SetRetryQuota sets this gateway's quota of the fleet's retries.
func (g *Gateway) SetRetryQuota(quota Quota) {
	g.runEvent(func(now float64) { g.controller.SetRetryBudget(now, quota.Limit) })
}

// RetryUsage returns this gateway's usage of the fleet's retries.
func (g *Gateway) RetryUsage() (usage Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usage.Used, usage.Demand = g.controller.RetryUse(g.now())
	return usage
}
