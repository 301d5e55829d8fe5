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
	id          uint32 // the controller's ID of the endpoint
	firstListed uint64 // number of the list update that listed it first
	entry       discovery.Endpoint
	machineType int
	ready       bool // accepts requests
	terminated  bool
	superseded  bool // another endpoint has taken over its address, so its process has gone
	delisted    bool // no longer listed; kept until its connections have ended

	address     string
	incarnation float64      // start time of the engine, in Unix seconds
	engine      *resp.Engine // nil until the endpoint has first been ready

	load     deployment.Load // latest load report to this gateway
	loadTime float64         // time of that report, 0 for none
}

// UpdateEndpoints applies an update from discovery. The whole update is one event of the controller, so the controller
// never acts on part of it, and an engine that drains receives nothing new from that moment.
func (g *Gateway) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	listMode := admission.Snapshot
	if mode == discovery.Delta {
		listMode = admission.Delta
	}
	g.runEvent(func(now float64) {
		updates := make([]admission.Endpoint, 0, len(engines))
		listed := make(map[string]bool, len(engines))
		for _, entry := range engines {
			listed[entry.Name] = true
		}
		g.listUpdates++
		g.releaseGone(mode, engines, listed)
		for _, entry := range engines {
			updates = append(updates, g.updateEndpoint(entry)...)
		}
		for name, e := range g.endpoints {
			g.dropEndpoint(name, e, mode, listMode == admission.Snapshot && !listed[name])
		}
		g.controller.UpdateEndpoints(now, listMode, updates)
		g.updateIdleConnLimit()
		g.restoreLearnedState(now)
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.SetCapacity(now, g.coreShare()))
		}
	})
}

// updateEndpoint applies one entry of an update and returns the corresponding updates for the controller. An entry with
// the same address and start time as before is the same incarnation. If either differs, it is a new incarnation, and the
// old one is drained. The process of another endpoint whose address the entry takes over has gone. The lock is held.
func (g *Gateway) updateEndpoint(entry discovery.Endpoint) (updates []admission.Endpoint) {
	e := g.endpoints[entry.Name]
	if e == nil {
		e = &endpoint{id: g.endpointID(entry.Name), firstListed: g.listUpdates}
		g.endpoints[entry.Name], g.endpointsByID[e.id] = e, e
	}
	restarted := e.address != entry.Address || e.incarnation != entry.StartedAt
	if entry.Address != e.entry.Address {
		g.addressHolders.release(e, e.entry.Address)
	}
	e.terminated = entry.State == discovery.Terminated
	if !e.terminated {
		superseded := g.addressHolders.claim(e, entry)
		e.superseded = superseded == e
		if superseded != nil && superseded != e {
			updates = append(updates, g.supersede(superseded, entry.Name))
		}
	}
	e.entry = entry
	e.ready = entry.Available() && !e.superseded && !g.overrides.draining[entry.Name]
	e.delisted = false
	if !e.ready || restarted {
		e.stop(e.terminated || e.superseded)
	}
	switch {
	case e.ready && (restarted || e.engine == nil):
		e.address, e.incarnation = entry.Address, entry.StartedAt
		e.engine = g.newEngine(e)
	case e.ready:
		e.engine.Resume()
	}
	e.machineType = nameIndex(g.settings.MachineTypes, entry.Kind)
	return append(updates, g.admissionEndpoint(e))
}

// admissionEndpoint returns an endpoint as the controller knows it. The lock is held.
func (g *Gateway) admissionEndpoint(e *endpoint) admission.Endpoint {
	return admission.Endpoint{
		ID:          e.id,
		Zone:        nameIndex(g.settings.Zones, e.entry.Zone),
		MachineType: e.machineType,
		Cell:        e.entry.Cell,
		Ready:       e.ready,
		Weight:      e.entry.Weight,
		StartedAt:   e.entry.StartedAt,
	}
}

// supersede stops an endpoint whose address the process of another one has taken over, and returns the update for the controller.
// It stays known until it is no longer listed. The lock is held.
func (g *Gateway) supersede(e *endpoint, by string) admission.Endpoint {
	g.log.Warn().Str("engine", e.entry.Name).Str("address", e.entry.Address).Str("by", by).Msg("engine's address taken over")
	e.superseded, e.ready = true, false
	e.stop(true)
	return g.admissionEndpoint(e)
}

// newEngine returns the owner of the connections to an endpoint's new incarnation.
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
		g.runEvent(func(now float64) {
			if e.engine == engine {
				g.reportLoad(now, e, load)
			}
		})
	}
	engine.OnClosed = func() {
		g.runEvent(func(float64) {
			if e.delisted && e.engine == engine {
				g.forgetEndpoint(name, e)
			}
		})
	}
	return engine
}

// dropEndpoint stops an endpoint that is terminated or no longer listed, and forgets it. If it may drain, it is forgotten
// once its connections have ended. The lock is held.
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

// stop prevents new attempts at the engine. If terminated is set, it also ends the open ones.
func (e *endpoint) stop(terminated bool) {
	if e.engine != nil {
		e.engine.Drain(terminated)
	}
}

// forgetEndpoint removes an endpoint. A later entry of the same name is a new endpoint. The lock is held.
func (g *Gateway) forgetEndpoint(name string, e *endpoint) {
	if g.endpoints[name] == e {
		g.addressHolders.release(e, e.entry.Address)
		delete(g.endpoints, name)
		delete(g.endpointsByID, e.id)
	}
}

// updateIdleConnLimit sets how many idle connections this gateway may keep, from the number of ready engines and of
// gateways. The lock is held.
func (g *Gateway) updateIdleConnLimit() {
	ready := 0
	for _, e := range g.endpoints {
		if e.ready {
			ready++
		}
	}
	g.idleConns.SetLimit(idlepool.Quota(g.settings.IdleConnsPerEngine, ready, g.membership.index, g.membership.count))
}

// coreShare returns this gateway's share of the cores of all ready engines. The lock is held.
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

// ReadyEndpoints returns the names of the engines that accept requests, sorted.
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

// EndpointCount returns the number of known endpoints, including those that are draining.
func (g *Gateway) EndpointCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.endpoints)
}

// endpointID derives an engine's ID from its name alone, so that all gateways use the same ID. On a collision within this
// gateway it takes the next free one. The lock is held.
func (g *Gateway) endpointID(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := hash.Sum32()
	for g.endpointsByID[id] != nil {
		id++
	}
	return id
}

// nameIndex returns the index of a name in a list, or the length of the list if it is not found. A name may also be the
// index itself, in decimal.
func nameIndex(names []string, name string) int {
	if i := slices.Index(names, deployment.EscapeName(name)); i >= 0 {
		return i
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(names) {
		return i
	}
	return len(names)
}
