package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	preferredCount  = 2   // engines that keep a request's tables cached
	cachedWorkShare = 0.6 // of a request's work that is left where its tables are cached
)

// preferredEngines are those that keep the request's tables cached: the first of this gateway's zone in an order by hash
// that is the same at every gateway. Requests that write tables have none, since they hold them.
func (c *Controller) preferredEngines(r *request) []*engine {
	if r.tables == 0 || r.class.WritesTables {
		return nil
	}
	var preferred []*engine
	for _, e := range c.endpoints.affinityOrder(r.tables) {
		if len(preferred) < preferredCount && e.zone == c.settings.Zone {
			preferred = append(preferred, e)
		}
	}
	return preferred
}

// separateFromWrites tells which engines keep the request apart from writes to its tables. Requests that write avoid engines
// where this gateway writes the same tables. Where classes are blocked by writes, those that write take the far half of the
// affinity order and those that are blocked the near one.
func (c *Controller) separateFromWrites(r *request) func(*engine) bool {
	order := c.endpoints.affinityOrder(r.tables)
	isNear := func(e *engine) bool { return 2*slices.Index(order, e) < len(order) }
	switch {
	case r.class.WritesTables:
		keepsFar := slices.ContainsFunc(c.classes, func(class *classState) bool { return class.BlockedByWrites })
		return func(e *engine) bool { return !e.isWriting(r.tables) && (!keepsFar || !isNear(e)) }
	case r.class.BlockedByWrites:
		return func(e *engine) bool { return isNear(e) && !e.isWriting(r.tables) }
	default:
		return func(*engine) bool { return true }
	}
}

// affinityOrder returns the ready engines in the hash's order for the tables.
func (l *endpointList) affinityOrder(tables uint32) []*engine {
	if l.affinityOrders[tables] == nil && len(l.ready) > 0 {
		order := slices.Clone(l.ready)
		slices.SortFunc(order, func(x, y *engine) int { return x.compareAffinity(y, tables) })
		l.affinityOrders[tables] = order
	}
	return l.affinityOrders[tables]
}

// affinityHash orders the engines for some tables, the same at every gateway.
func (e *engine) affinityHash(tables uint32) uint64 { return mix(uint64(tables)<<32 | uint64(e.id)) }

// compareAffinity orders two engines for some tables. Of unequal ones each comes first for its part of the tables by weight:
// the least of exponential draws falls to each as its rate.
func (e *engine) compareAffinity(other *engine, tables uint32) int {
	x, y := e.affinityHash(tables), other.affinityHash(tables)
	if e.relativeWeight == other.relativeWeight {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(exponentialDraw(x, e.relativeWeight), exponentialDraw(y, other.relativeWeight))
}

// exponentialDraw turns a hash into an exponentially distributed number of the given rate.
func exponentialDraw(hash uint64, rate float64) float64 { return -math.Log1p(-unitFloat(hash)) / rate }
