package gateway

import (
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/config/deployment"
)

// reportLoad hands an engine's load report to the controller and keeps it for the fleet. The lock is held.
func (g *Gateway) reportLoad(now float64, e *endpoint, load deployment.Load) {
	e.load, e.loadTime = load, now
	g.controller.LoadReported(now, e.id, load.Report())
}

// PollEndpointLoad asks an engine for its load on behalf of the fleet. answer may be called from any goroutine, ok is
// false where no report came.
func (g *Gateway) PollEndpointLoad(name string, answer func(load deployment.Load, ok bool)) {
	engine := g.readyEngine(name)
	if engine == nil {
		answer(deployment.NoLoad, false)
		return
	}
	engine.PollLoad(answer)
}

// readyEngine finds an engine that takes requests, nil where there is none of that name.
func (g *Gateway) readyEngine(name string) *resp.Engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.endpoints[name]; e != nil && e.ready {
		return e.engine
	}
	return nil
}

// LastLoadReport returns the latest load report of an engine to this gateway's own controller, and its age in seconds;
// ok is false where there was none.
func (g *Gateway) LastLoadReport(name string) (load deployment.Load, age float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[name]
	if e == nil || e.loadTime == 0 {
		return deployment.NoLoad, 0, false
	}
	return e.load, g.now() - e.loadTime, true
}

// ObserveLoadReport takes a load report that was asked for so many seconds ago, here or by another gateway.
func (g *Gateway) ObserveLoadReport(name string, age float64, load deployment.Load) {
	g.enter(func(now float64) {
		if e := g.endpoints[name]; e != nil && e.ready {
			g.controller.PeerLoadReported(now, age, e.id, load.Report())
		}
	})
}
