package consensus

import (
	"copperrock.example/copperrock/internal/fleet/state"
)

// expireControllers gives up holders that have been silent for so long that nothing of theirs can hold or run any more.
func (c *Core) expireControllers(now float64) {
	longest := c.config.Timing.Linger
	for _, q := range c.machine.Quantities {
		longest = max(longest, q.Window)
	}
	for _, holder := range c.machine.SortedControllers() {
		h := holder.ControllerID
		if _, heard := c.lastRequestAt[h]; !heard {
			c.lastRequestAt[h] = c.priorLeaseBound
		}
		if now > c.lastRequestAt[h]+c.config.Timing.ExpiryBound()+longest*(1+c.config.Timing.MaxDrift) {
			c.beginExpiry(h)
		}
	}
	for h := range c.expiring {
		if c.machine.Controllers[h] == nil {
			delete(c.expiring, h)
		}
	}
	for h := range c.lastRequestAt {
		if c.machine.Controllers[h] == nil && now > c.lastRequestAt[h]+c.config.Timing.ExpiryBound() {
			delete(c.lastRequestAt, h)
			delete(c.demands, h)
			c.work.forget(h)
		}
	}
}

// beginExpiry gives a holder up. From here on it is answered nothing: an answer that crossed the command would renew the lease
// of a part that is another's a moment later.
func (c *Core) beginExpiry(h state.ControllerID) {
	c.expiring[h] = true
	c.enqueue(state.Command{Op: state.OpExpire, Controller: h})
}
