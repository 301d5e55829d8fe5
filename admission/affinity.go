package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	preferredCount  = 2   // number of engines that keep a request's tables cached
	cachedWorkShare = 0.6 // fraction of a request's work that remains where its tables are cached
)

// preferredEngines returns the engines that keep the request's tables cached: the first ones of this gateway's zone in a hash
// order that is the same at every gateway. Requests that write tables have none, since they lock the tables.
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

// writeSeparationFilter returns a function that reports whether an engine keeps the request apart from writes to its tables.
// Requests that write tables or are blocked by writes avoid engines where this gateway writes the same tables. If a class is
// blocked by writes, its requests use the near half of the affinity order and those that write use the far half.
func (c *Controller) writeSeparationFilter(r *request) func(*engine) bool {
	order := c.endpoints.affinityOrder(r.tables)
	isNear := func(e *engine) bool { return 2*slices.Index(order, e) < len(order) }
	switch {
	case r.class.WritesTables:
		writersUseFarHalf := slices.ContainsFunc(c.classes, func(class *classState) bool { return class.BlockedByWrites })
		return func(e *engine) bool { return !e.isWriting(r.tables) && (!writersUseFarHalf || !isNear(e)) }
	case r.class.BlockedByWrites:
		return func(e *engine) bool { return isNear(e) && !e.isWriting(r.tables) }
	default:
		return func(*engine) bool { return true }
	}
}

// maxAffinityEntries bounds the cached affinity orders, in engines over all orders: clients choose the tables.
const maxAffinityEntries = 1 << 20

// affinityOrder returns the ready engines in the hash order for the tables. An order that is cached no longer is computed anew.
func (l *endpointList) affinityOrder(tables uint32) []*engine {
	if l.affinityOrders[tables] == nil && len(l.ready) > 0 {
		if (len(l.affinityOrders)+1)*len(l.ready) > maxAffinityEntries {
			clear(l.affinityOrders)
		}
		order := slices.Clone(l.ready)
		slices.SortFunc(order, func(x, y *engine) int { return x.compareAffinity(y, tables) })
		l.affinityOrders[tables] = order
	}
	return l.affinityOrders[tables]
}

// affinityHash returns the hash that orders the engines for the tables. It is the same at every gateway.
func (e *engine) affinityHash(tables uint32) uint64 { return mix(uint64(tables)<<32 | uint64(e.id)) }

// compareAffinity compares two engines in the order for the tables. With unequal weights, each engine comes first for a part of
// all tables that is proportional to its weight: among exponentially distributed draws, the probability of being the smallest
// is proportional to the rate.
func (e *engine) compareAffinity(other *engine, tables uint32) int {
	x, y := e.affinityHash(tables), other.affinityHash(tables)
	if e.relativeWeight == other.relativeWeight {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(exponentialDraw(x, e.relativeWeight), exponentialDraw(y, other.relativeWeight))
}

// exponentialDraw converts a hash into an exponentially distributed number of the given rate.
func exponentialDraw(hash uint64, rate float64) float64 { return -math.Log1p(-unitFloat(hash)) / rate }
