package consensus

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// HandleLeaseRequest takes a controller's ask. Its answer comes with an output.
func (c *Core) HandleLeaseRequest(now float64, a LeaseRequest) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.updateLeadership(now)
	if !c.leading {
		c.respond(a, LeaseResponse{Status: StatusNotLeader, Leader: c.Leader()})
		return nil
	}
	latest, known := c.machine.LatestIncarnation[a.Controller.Name]
	h := c.machine.Controllers[a.Controller]
	switch {
	case a.Generation == c.machine.Generation && a.ConfigDigest != ConfigDigest(slices.Collect(maps.Values(c.machine.Quantities)), c.machine.Tasks()):
		c.respond(a, LeaseResponse{Status: StatusGenerationMismatch})
		return nil
	case h != nil && h.Replaced:
		c.respond(a, LeaseResponse{Status: StatusReplaced})
		return nil
	case h == nil && known && a.Controller.Incarnation <= latest:
		c.respond(a, LeaseResponse{Status: StatusStaleIncarnation, Incarnation: latest})
		return nil
	case h == nil && a.Leaving:
		c.respond(a, LeaseResponse{Status: StatusGranted})
		return nil
	case h == nil:
		if len(c.machine.Controllers) >= 2*max(c.config.MaxControllers, 1) {
			c.respond(a, LeaseResponse{Status: StatusFleetFull})
			return nil
		}
		c.lastRequestAt[a.Controller] = now
		c.enqueue(state.Command{Op: state.OpJoin, Controller: a.Controller, MaxControllers: c.config.MaxControllers})
		c.proposeBatch(now)
		c.respond(a, LeaseResponse{Status: StatusRetry})
		return nil
	case c.expiring[a.Controller]:
		c.respond(a, LeaseResponse{Status: StatusRetry})
		return nil
	case a.Leaving:
		c.beginExpiry(a.Controller)
		c.proposeBatch(now)
		c.respond(a, LeaseResponse{Status: StatusGranted})
		return nil
	}
	gap := now - c.lastRequestAt[a.Controller]
	c.lastRequestAt[a.Controller] = now
	if a.Generation > c.machine.Generation && len(a.Quantities)+len(a.Tasks) > 0 {
		c.enqueue(state.Command{Op: state.OpConfigure, Generation: a.Generation, Quantities: a.Quantities, Tasks: a.Tasks, ScheduledJobs: a.ScheduledJobs})
	}
	c.recordWorkReport(a)
	told := map[string]Demand{}
	for _, d := range a.Demands {
		d.recentPeak = max(d.Used, d.Wanted, c.demands[a.Controller][d.Quantity].recentPeak*math.Exp2(-gap/c.config.Timing.TTL))
		told[d.Quantity] = d
		if hold := h.Allocations[d.Quantity]; d.Revision > 0 && d.Revision == hold.Revision && hold.Committed > max(hold.Amount, d.Used) {
			c.enqueue(state.Command{Op: state.OpSettle, Controller: a.Controller, Subject: d.Quantity, Number: d.Revision, Amount: d.Used})
		}
	}
	c.demands[a.Controller] = told
	c.unconfirmed = append(c.unconfirmed, a)
	return nil
}

// respond keeps an answer for the next output.
func (c *Core) respond(a LeaseRequest, with LeaseResponse) {
	with.To, with.Number, with.Generation = a.Controller, a.Number, c.machine.Generation
	c.responses = append(c.responses, with)
}

// pendingRead is a read that a quorum is asked to confirm, with the asks that wait for it.
type pendingRead struct {
	requests    []LeaseRequest
	requestedAt float64
}

// requestRead asks a quorum to confirm that this voter leads, for all asks that came since the last time.
func (c *Core) requestRead(now float64) {
	for id, r := range c.pendingReads { // what no quorum confirms is of no use to those who asked
		if now > r.requestedAt+c.config.Timing.TTL {
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

// answerRead answers the asks of a read that a quorum has confirmed.
func (c *Core) answerRead(id uint64) {
	r := c.pendingReads[id]
	delete(c.pendingReads, id)
	for _, a := range r.requests {
		h := c.machine.Controllers[a.Controller]
		if h == nil || h.Replaced || c.expiring[a.Controller] || c.revocationPending(a.Controller) {
			c.respond(a, LeaseResponse{Status: StatusRetry})
			continue
		}
		answer := LeaseResponse{Status: StatusGranted, Index: h.Index, LiveControllers: c.machine.LiveControllers(), IndexCount: c.machine.IndexCount(), Leader: c.config.ID}
		for _, name := range slices.Sorted(maps.Keys(h.Allocations)) {
			hold := h.Allocations[name]
			answer.Grants = append(answer.Grants, lease.Grant{Quantity: name, Amount: hold.Amount, Revision: hold.Revision, Unsettled: hold.Committed > hold.Amount})
		}
		c.addSharedWork(a, &answer)
		c.respond(a, answer)
	}
}
