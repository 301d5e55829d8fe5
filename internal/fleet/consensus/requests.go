package consensus

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// pendingRead is a ReadIndex request that a quorum has yet to confirm, with the lease requests that wait for it.
type pendingRead struct {
	requests    []LeaseRequest
	requestedAt float64
}

// HandleLeaseRequest handles a controller's request. A later Ready contains the response.
func (c *Core) HandleLeaseRequest(now float64, request LeaseRequest) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.updateLeadership(now)
	if !c.leading {
		c.respond(request, LeaseResponse{Status: StatusNotLeader, Leader: c.Leader()})
		return nil
	}
	if response, done := c.checkMembership(now, request); done {
		c.respond(request, response)
		return nil
	}
	sinceLast := now - c.lastRequestAt[request.Controller]
	c.lastRequestAt[request.Controller] = now
	if request.Generation > c.machine.Generation && len(request.Quantities)+len(request.Tasks) > 0 {
		c.enqueue(state.Configure{Generation: request.Generation, Quantities: request.Quantities, Tasks: request.Tasks, ScheduledJobs: request.ScheduledJobs}.Command())
	}
	c.recordWorkReport(request)
	c.recordDemands(sinceLast, request)
	c.unconfirmed = append(c.unconfirmed, request)
	return nil
}

// checkMembership returns the response to a request that can't be granted leases, for example because its controller is yet
// to join, has been replaced or is leaving. done is false if the request may be granted leases.
func (c *Core) checkMembership(now float64, request LeaseRequest) (response LeaseResponse, done bool) {
	id := request.Controller
	latest, exists := c.machine.LatestIncarnation[id.Name]
	controller := c.machine.Controllers[id]
	switch {
	case request.Generation == c.machine.Generation && request.ConfigDigest != c.configDigest():
		return LeaseResponse{Status: StatusGenerationMismatch}, true
	case controller != nil && controller.Replaced:
		return LeaseResponse{Status: StatusReplaced}, true
	case controller == nil && exists && id.Incarnation <= latest:
		return LeaseResponse{Status: StatusStaleIncarnation, Incarnation: latest}, true
	case controller == nil && request.Leaving:
		return LeaseResponse{Status: StatusGranted}, true
	case controller == nil && len(c.machine.Controllers) >= 2*max(c.config.MaxControllers, 1):
		return LeaseResponse{Status: StatusFleetFull}, true
	case controller == nil:
		c.lastRequestAt[id] = now
		c.enqueue(state.Join{Controller: id, MaxControllers: c.config.MaxControllers}.Command())
		c.proposeBatch(now)
		return LeaseResponse{Status: StatusRetry}, true
	case c.expiring[id]:
		return LeaseResponse{Status: StatusRetry}, true
	case request.Leaving:
		c.beginExpiry(id)
		c.proposeBatch(now)
		return LeaseResponse{Status: StatusGranted}, true
	}
	return LeaseResponse{}, false
}

// configDigest returns the digest of the fleet's current configuration.
func (c *Core) configDigest() uint64 {
	return ConfigDigest(slices.Collect(maps.Values(c.machine.Quantities)), c.machine.Tasks())
}

// recordDemands replaces a controller's reports about quantities, and settles the lowered allocations that it already
// applies. sinceLast is the time in seconds since its previous request.
func (c *Core) recordDemands(sinceLast float64, request LeaseRequest) {
	id := request.Controller
	allocations := c.machine.Controllers[id].Allocations
	demands := map[string]Demand{}
	for _, demand := range request.Demands {
		decayed := c.demands[id][demand.Quantity].recentPeak * math.Exp2(-sinceLast/c.config.Timing.TTL)
		demand.recentPeak = max(demand.Used, demand.Wanted, decayed)
		demands[demand.Quantity] = demand
		current := allocations[demand.Quantity]
		if demand.Revision > 0 && demand.Revision == current.Revision && current.Committed > max(current.Amount, demand.Used) {
			c.enqueue(state.Settle{Controller: id, Quantity: demand.Quantity, Revision: demand.Revision, Used: demand.Used}.Command())
		}
	}
	c.demands[id] = demands
}

// respond queues a response for the next Ready.
func (c *Core) respond(request LeaseRequest, response LeaseResponse) {
	response.To, response.Number, response.Generation = request.Controller, request.Number, c.machine.Generation
	c.responses = append(c.responses, response)
}

// requestRead asks a quorum to confirm that this voter leads, on behalf of all requests received since the last call.
func (c *Core) requestRead(now float64) {
	for id, read := range c.pendingReads { // after a TTL, the controllers have sent newer requests
		if now > read.requestedAt+c.config.Timing.TTL {
			delete(c.pendingReads, id)
		}
	}
	if len(c.unconfirmed) == 0 {
		return
	}
	c.lastReadID++
	c.pendingReads[c.lastReadID] = pendingRead{c.unconfirmed, now}
	c.unconfirmed = nil
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.lastReadID))
}

// answerRead answers the requests that waited for a read, which a quorum has confirmed.
func (c *Core) answerRead(id uint64) {
	read := c.pendingReads[id]
	delete(c.pendingReads, id)
	for _, request := range read.requests {
		controller := c.machine.Controllers[request.Controller]
		if controller == nil || controller.Replaced || c.expiring[request.Controller] || c.revocationPending(request.Controller) {
			c.respond(request, LeaseResponse{Status: StatusRetry})
			continue
		}
		c.respond(request, c.grant(request, controller))
	}
}

// grant returns the response that renews a controller's leases on everything it holds.
func (c *Core) grant(request LeaseRequest, controller *state.Controller) LeaseResponse {
	response := LeaseResponse{
		Status:          StatusGranted,
		Index:           controller.Index,
		LiveControllers: c.machine.LiveControllers(),
		IndexCount:      c.machine.IndexCount(),
		Leader:          c.config.ID,
	}
	for _, name := range slices.Sorted(maps.Keys(controller.Allocations)) {
		current := controller.Allocations[name]
		response.Grants = append(response.Grants, lease.Grant{Quantity: name, Amount: current.Amount, Revision: current.Revision, Unsettled: current.Committed > current.Amount})
	}
	c.addSharedWork(request, &response)
	return response
}
