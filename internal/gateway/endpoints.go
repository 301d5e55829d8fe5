package gateway

import (
	"hash/fnv"
	"slices"
	"strconv"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/backend/idlepool"
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/discovery"
)

// endpoint is an engine's entry in the endpoint list, with its current or latest incarnation. Gateway.mu guards it.
type endpoint struct {
	id          uint32 // under which the controller knows it
	entry       discovery.Endpoint
	machineType int
	ready       bool // takes requests
	terminated  bool
	delisted    bool // out of the list, until its connections have ended

	address     string
	incarnation float64      // when it started, seconds of the Unix clock
	engine      *resp.Engine // nil until it was ready once

	load     deployment.Load // its latest report to this gateway
	loadTime float64         // when; 0 for never
}

// UpdateEndpoints takes a message of discovery in one event of the controller, which so never acts on half of one: an
// engine that drains gets nothing more at once.
func (g *Gateway) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	listMode := admission.Snapshot
	if mode == discovery.Delta {
		listMode = admission.Delta
	}
	g.enter(func(now float64) {
		updates := make([]admission.Endpoint, 0, len(engines))
		listed := make(map[string]bool, len(engines))
		for _, entry := range engines {
			listed[entry.Name] = true
			updates = append(updates, g.updateEndpoint(entry))
		}
		for name, e := range g.endpoints {
			g.dropEndpoint(name, e, mode, listMode == admission.Snapshot && !listed[name])
		}
		g.controller.UpdateEndpoints(now, listMode, updates)
		g.boundIdleConns()
		g.restoreLearnedState(now)
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.SetCapacity(now, g.coreShare()))
		}
	})
}

// updateEndpoint takes in one entry. One that comes back as it was is the same incarnation; another start or address is
// a new one, and the old one drains. It returns what the controller is told. The lock is held.
func (g *Gateway) updateEndpoint(entry discovery.Endpoint) admission.Endpoint {
	e := g.endpoints[entry.Name]
	if e == nil {
		e = &endpoint{id: g.endpointID(entry.Name)}
		g.endpoints[entry.Name], g.endpointsByID[e.id] = e, e
	}
	restarted := e.address != entry.Address || e.incarnation != entry.StartedAt
	e.entry = entry
	e.ready = entry.Available() && !g.overrides.draining[entry.Name]
	e.terminated = entry.State == discovery.Terminated
	e.delisted = false
	if !e.ready || restarted {
		e.stop(e.terminated)
	}
	switch {
	case e.ready && (restarted || e.engine == nil):
		e.address, e.incarnation = entry.Address, entry.StartedAt
		e.engine = g.newEngine(e)
	case e.ready:
		e.engine.Resume()
	}
	e.machineType = nameIndex(g.settings.MachineTypes, entry.Kind)
	return admission.Endpoint{
		ID:          e.id,
		Zone:        nameIndex(g.settings.Zones, entry.Zone),
		MachineType: e.machineType,
		Cell:        entry.Cell,
		Ready:       e.ready,
		Weight:      entry.Weight,
		StartedAt:   entry.StartedAt,
	}
}

// newEngine makes the connections' owner for an endpoint's new incarnation.
func (g *Gateway) newEngine(e *endpoint) *resp.Engine {
	name := e.entry.Name
	engine := &resp.Engine{
		Address:   e.address,
		Settings:  g.settings,
		Limits:    g.limits,
		Pool:      g.pool,
		Log:       g.log,
		Group:     g.group,
		Context:   g.ctx,
		ConnSlots: g.engineConnSlots,
		IdlePool:  g.idleConns,
		Dial:      g.Dial,
	}
	engine.OnLoadReport = func(load deployment.Load) {
		g.enter(func(now float64) {
			if e.engine == engine {
				g.reportLoad(now, e, load)
			}
		})
	}
	engine.OnClosed = func() {
		g.enter(func(float64) {
			if e.delisted && e.engine == engine {
				g.forgetEndpoint(name, e)
			}
		})
	}
	return engine
}

// dropEndpoint stops and forgets an endpoint that is terminated or no longer listed. One that drains is forgotten once
// its connections have ended. The lock is held.
func (g *Gateway) dropEndpoint(name string, e *endpoint, mode discovery.UpdateMode, unlisted bool) {
	switch {
	case e.terminated || unlisted && mode == discovery.Snapshot:
		e.stop(true)
		g.forgetEndpoint(name, e)
	case unlisted:
		e.ready, e.delisted = false, true
		e.stop(false)
		if e.engine == nil || e.engine.Empty() {
			g.forgetEndpoint(name, e)
		}
	}
}

// stop lets nothing new go to the engine; terminated also ends what is open.
func (e *endpoint) stop(terminated bool) {
	if e.engine != nil {
		e.engine.Drain(terminated)
	}
}

// forgetEndpoint removes an endpoint; what comes under its name later is new. The lock is held.
func (g *Gateway) forgetEndpoint(name string, e *endpoint) {
	if g.endpoints[name] == e {
		delete(g.endpoints, name)
		delete(g.endpointsByID, e.id)
	}
}

// boundIdleConns sets how many idle connections this gateway may keep, by the engines and gateways there are. The lock
// is held.
func (g *Gateway) boundIdleConns() {
	ready := 0
	for _, e := range g.endpoints {
		if e.ready {
			ready++
		}
	}
	g.idleConns.SetLimit(idlepool.Quota(g.settings.IdleConnsPerEngine, ready, g.membership.index, g.membership.count))
}

// coreShare is this gateway's share of the cores of all ready engines. The lock is held.
func (g *Gateway) coreShare() float64 {
	types := g.settings.Admission.MachineTypes
	cores := 0.0
	for _, e := range g.endpoints {
		if e.ready {
			cores += types[min(e.machineType, len(types)-1)].Cores
		}
	}
	return cores / float64(max(g.settings.Admission.GatewayCount, 1))
}

// ReadyEndpoints lists the engines that take requests, by name.
func (g *Gateway) ReadyEndpoints() (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, e := range g.endpoints {
		if e.ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// EndpointCount returns the number of endpoints that are not forgotten, those that drain included.
func (g *Gateway) EndpointCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.endpoints)
}

// endpointID numbers an engine by its name alone, so that all gateways number it alike. The lock is held.
func (g *Gateway) endpointID(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := hash.Sum32()
	for g.endpointsByID[id] != nil {
		id++
	}
	return id
}

// nameIndex finds a name in a list, past its end where it is not there; names may also be given as numbers.
func nameIndex(names []string, name string) int {
	if i := slices.Index(names, deployment.EscapeName(name)); i >= 0 {
		return i
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(names) {
		return i
	}
	return len(names)
}
