package consensus

import "copperrock.example/copperrock/internal/fleet/state"

// expireControllers expires controllers that have been silent for so long that nothing of theirs can be leased or running
// any more, by any clock within the drift bound.
func (c *Core) expireControllers(now float64) {
	longest := c.config.Timing.Linger
	for _, quantity := range c.machine.Quantities {
		longest = max(longest, quantity.Window)
	}
	for _, controller := range c.machine.SortedControllers() {
		id := controller.ControllerID
		if _, heard := c.lastRequestAt[id]; !heard {
			c.lastRequestAt[id] = c.priorLeaseBound
		}
		if now > c.lastRequestAt[id]+c.config.Timing.ExpiryBound()+longest*(1+c.config.Timing.MaxDrift) {
			c.beginExpiry(id)
		}
	}
	c.forgetExpired(now)
}

// forgetExpired drops what is remembered of controllers that are members no more.
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
			c.work.forget(id)
		}
	}
}

// beginExpiry proposes to expire a controller. From here on it is granted nothing: a response that crossed the command
// would renew the lease on something that is another's a moment later.
func (c *Core) beginExpiry(id state.ControllerID) {
	c.expiring[id] = true
	c.enqueue(state.Expire{Controller: id}.Command())
}
