package gateway

// Share is what this gateway may use now of a quantity that a fleet divides.
type Share struct {
	Limit float64
	Open  bool // it may grow: the fleet is reached
}

// Use is what it uses of one, and would use if it had it.
type Use struct{ Used, Wanted float64 }

// TeamPart takes this gateway's part of a team's budget, in MB.
func (g *Gateway) TeamPart(team string, s Share) {
	g.enter(func(now float64) {
		if g.stage != nil {
			g.carry(now, g.stage.SetAllocation(now, team, s.Limit, s.Open))
		}
	})
}

// TeamUse tells of a team's budget, in MB.
func (g *Gateway) TeamUse(team string) (u Use) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stage != nil {
		u.Used, u.Wanted = g.stage.Usage(team)
	}
	return u
}

// EnginesPart takes this gateway's part of all engines, from 0 to 1.
func (g *Gateway) EnginesPart(s Share) {
	g.enter(func(now float64) { g.brain.SetCapacityShare(now, s.Limit) })
}

// EnginesUse tells of the engines, as a part of the memory of all.
func (g *Gateway) EnginesUse() (u Use) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.Used, u.Wanted = g.brain.MemoryUse()
	return u
}
