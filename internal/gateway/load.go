package gateway

import (
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/config/deployment"
)

// reportLoad passes an engine's load report to the controller and keeps it for the fleet. The lock is held.
func (g *Gateway) reportLoad(now float64, e *endpoint, load deployment.Load) {
	e.load, e.loadTime = load, now
	g.controller.LoadReported(now, e.id, load.Report())
}

// PollEndpointLoad asks an engine for its load on behalf of the fleet. answer may be called on any goroutine; ok is false
// if no report was received.
func (g *Gateway) PollEndpointLoad(name string, answer func(load deployment.Load, ok bool)) {
	engine := g.readyEngine(name)
	if engine == nil {
		answer(deployment.NoLoad, false)
		return
	}
	engine.PollLoad(answer)
}

// readyEngine returns the engine of that name if it accepts requests, nil otherwise.
func (g *Gateway) readyEngine(name string) *resp.Engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.endpoints[name]; e != nil && e.ready {
		return e.engine
	}
	return nil
}

// LastLoadReport returns the latest load report that this gateway itself received from an engine, and its age in seconds.
// ok is false if there is none.
func (g *Gateway) LastLoadReport(name string) (load deployment.Load, age float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[name]
	if e == nil || e.loadTime == 0 {
		return deployment.NoLoad, 0, false
	}
	return e.load, g.now() - e.loadTime, true
}

// ObserveLoadReport passes a load report to the controller that this or another gateway requested age seconds ago.
func (g *Gateway) ObserveLoadReport(name string, age float64, load deployment.Load) {
	g.runEvent(func(now float64) {
		if e := g.endpoints[name]; e != nil && e.ready {
			g.controller.PeerLoadReported(now, age, e.id, load.Report())
		}
	})
}
