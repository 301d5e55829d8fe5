package gateway

import "copperrock.example/copperrock/internal/discovery"

// overrides are operators' orders, which hold whatever the endpoint list and the budgets say. Gateway.mu guards them.
type overrides struct {
	draining   map[string]bool    // engines
	teamLimits map[string]float64 // in megabytes
}

// DrainEngine has an engine take nothing new whatever the endpoint list says, or takes that back.
func (g *Gateway) DrainEngine(name string, drain bool) {
	if entry, listed := g.overrideDraining(name, drain); listed {
		g.UpdateEndpoints(discovery.Delta, []discovery.Endpoint{entry})
	}
}

// overrideDraining keeps the order, and returns the engine's entry in the list.
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

// OverrideBudget sets a team's limit in megabytes whatever its budget says, or takes that back.
func (g *Gateway) OverrideBudget(team string, limit float64, holds bool) {
	g.enter(func(now float64) {
		if g.fairShare == nil {
			return
		}
		if g.overrides.teamLimits == nil {
			g.overrides.teamLimits = map[string]float64{}
		}
		if holds {
			g.overrides.teamLimits[team] = limit
		} else {
			delete(g.overrides.teamLimits, team)
		}
		g.carryOut(now, g.fairShare.OverrideLimit(now, team, limit, holds))
	})
}

// applyTeamLimits puts the ordered limits over budgets that were configured anew. The lock is held.
func (g *Gateway) applyTeamLimits(now float64) {
	for team, limit := range g.overrides.teamLimits {
		g.carryOut(now, g.fairShare.OverrideLimit(now, team, limit, true))
	}
}
