package consensus

import "copperrock.example/copperrock/internal/fleet/state"

// expireControllers expires the controllers that have sent no request for so long that they can no longer have a valid lease
// or a running request, by any clock within the drift bound.
func (c *Core) expireControllers(now float64) {
	longest := c.config.Timing.Linger
	for _, quantity := range c.machine.Quantities {
		longest = max(longest, quantity.Window)
	}
	for _, controller := range c.machine.SortedControllers() {
		id := controller.ControllerID
		if _, recorded := c.lastRequestAt[id]; !recorded {
			c.lastRequestAt[id] = c.priorLeaseBound
		}
		if now > c.lastRequestAt[id]+c.config.Timing.ExpiryBound()+longest*(1+c.config.Timing.MaxDrift) {
			c.beginExpiry(id)
		}
	}
	c.forgetExpired(now)
}

// forgetExpired drops what this leader has recorded of controllers that are no longer members.
func (c *Core) forgetExpired(now float64) {
	for id := range c.expiring {
		if c.machine.Controllers[id] == nil {
			delete(c.expiring, id)
		}
	}
	for id, at := range c.lastRequestAt {
		if c.machine.Controllers[id] == nil && now > at+c.config.Timing.ExpiryBound() {
			delete(c.lastRequestAt, id)
			delete(c.demands, id)
			c.work.removeController(id)
		}
	}
}

// beginExpiry proposes to expire a controller, which is granted nothing from this moment. A grant made before the command is
// applied would renew the lease on amounts that other controllers may get as soon as it is applied.
func (c *Core) beginExpiry(id state.ControllerID) {
	c.expiring[id] = true
	c.enqueue(state.Expire{Controller: id}.Command())
}
