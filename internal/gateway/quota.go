package gateway

// Quota is what this gateway may use now of a quantity that its fleet divides.
type Quota struct {
	Limit  float64
	Leased bool // it may grow: the fleet is reached
}

// Usage is what this gateway uses of such a quantity, and would use if it had it.
type Usage struct{ Used, Wanted float64 }

// SetTeamQuota sets this gateway's quota of a team's budget, in megabytes.
func (g *Gateway) SetTeamQuota(team string, quota Quota) {
	g.enter(func(now float64) {
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.SetAllocation(now, team, quota.Limit, quota.Leased))
		}
	})
}

// TeamUsage returns the usage of a team's budget, in megabytes.
func (g *Gateway) TeamUsage(team string) (usage Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fairShare != nil {
		usage.Used, usage.Wanted = g.fairShare.Usage(team)
	}
	return usage
}

// SetEngineQuota sets this gateway's quota of all engines, a fraction of 1.
func (g *Gateway) SetEngineQuota(quota Quota) {
	g.enter(func(now float64) { g.controller.SetCapacityShare(now, quota.Limit) })
}

// EngineUsage returns the usage of the engines, as a fraction of the memory of all.
func (g *Gateway) EngineUsage() (usage Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usage.Used, usage.Wanted = g.controller.MemoryUse()
	return usage
}

// SetRetryQuota sets this gateway's quota of the fleet's retries.
func (g *Gateway) SetRetryQuota(quota Quota) {
	g.enter(func(now float64) { g.controller.SetRetryBudget(now, quota.Limit) })
}

// RetryUsage returns the usage of the fleet's retries.
func (g *Gateway) RetryUsage() (usage Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usage.Used, usage.Wanted = g.controller.RetryUse(g.now())
	return usage
}
