package gateway

import "copperrock.example/copperrock/internal/discovery"

// overrides holds operators' overrides, which take precedence over the endpoint list and the budgets. Gateway.mu guards it.
type overrides struct {
	draining   map[string]bool    // engines to drain, by name
	teamLimits map[string]float64 // limits by team, in megabytes
}

// DrainEngine drains an engine whatever the endpoint list says, or revokes that override.
func (g *Gateway) DrainEngine(name string, drain bool) {
	if entry, listed := g.overrideDraining(name, drain); listed {
		g.UpdateEndpoints(discovery.Delta, []discovery.Endpoint{entry})
	}
}

// overrideDraining records or removes the override, and returns the engine's entry in the endpoint list.
func (g *Gateway) overrideDraining(name string, drain bool) (entry discovery.Endpoint, listed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.overrides.draining == nil {
		g.overrides.draining = map[string]bool{}
	}
	if drain {
		g.overrides.draining[name] = true
	} else {
		delete(g.overrides.draining, name)
	}
	e := g.endpoints[name]
	if e == nil {
		return discovery.Endpoint{}, false
	}
	return e.entry, true
}

// OverrideBudget replaces the limit of a team's budget, in megabytes, while active is set, and revokes that override
// otherwise.
func (g *Gateway) OverrideBudget(team string, limit float64, active bool) {
	g.runEvent(func(now float64) {
		if g.fairShare == nil {
			return
		}
		if g.overrides.teamLimits == nil {
			g.overrides.teamLimits = map[string]float64{}
		}
		if active {
			g.overrides.teamLimits[team] = limit
		} else {
			delete(g.overrides.teamLimits, team)
		}
		g.carryOut(now, g.fairShare.OverrideLimit(now, team, limit, active))
	})
}

// applyTeamLimits applies the overridden limits again after the budgets have been replaced. The lock is held.
func (g *Gateway) applyTeamLimits(now float64) {
	for team, limit := range g.overrides.teamLimits {
		g.carryOut(now, g.fairShare.OverrideLimit(now, team, limit, true))
	}
}
