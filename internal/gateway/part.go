package gateway

// Quota is what this gateway may use now of a quantity that a fleet divides.
type Quota struct {
	Limit  float64
	Leased bool // it may grow: the fleet is reached
}

// Usage is what it uses of one, and would use if it had it.
type Usage struct{ Used, Wanted float64 }

// SetTeamQuota takes this gateway's part of a team's budget, in MB.
func (g *Gateway) SetTeamQuota(team string, s Quota) {
	g.enter(func(now float64) {
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.SetAllocation(now, team, s.Limit, s.Leased))
		}
	})
}

// TeamUsage tells of a team's budget, in MB.
func (g *Gateway) TeamUsage(team string) (u Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fairShare != nil {
		u.Used, u.Wanted = g.fairShare.Usage(team)
	}
	return u
}

// SetEngineQuota takes this gateway's part of all engines, from 0 to 1.
func (g *Gateway) SetEngineQuota(s Quota) {
	g.enter(func(now float64) { g.controller.SetCapacityShare(now, s.Limit) })
}

// EngineUsage tells of the engines, as a part of the memory of all.
func (g *Gateway) EngineUsage() (u Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.Used, u.Wanted = g.controller.MemoryUse()
	return u
}
