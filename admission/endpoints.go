package admission

import (
	"cmp"
	"slices"
)

// UpdateEndpoints handles a message on the endpoint list.
func (c *Controller) UpdateEndpoints(now float64, mode ListMode, endpoints []Endpoint) {
	c.now, c.firstListAt = now, min(c.firstListAt, now)
	c.endpoints.beginUpdate(mode)
	for _, entry := range endpoints {
		c.updateEndpoint(entry)
	}
	c.endpoints.endUpdate(now)
	c.applyRules()
}

// updateEndpoint applies one entry. A new start of the engine's process resets what was held against it.
func (c *Controller) updateEndpoint(entry Endpoint) {
	e := c.endpoints.engine(entry.ID, windowBucket(c.settings.SlowStartBudgetWindow))
	if entry.StartedAt > e.startedAt {
		e.startedAt = entry.StartedAt
		e.reset(c.now)
		e.slowStartRank = e.slowStartRankOf(c.settings.GatewayIndex, c.settings.GatewayCount, 0)
	}
	e.zone, e.cell = entry.Zone, entry.Cell
	e.machineType = min(entry.MachineType, len(c.settings.MachineTypes)-1)
	e.listedMachineType = entry.MachineType
	e.ready, e.listed = entry.Ready, true
	e.weight = entry.Weight
}

// reset clears what was held against the engine's previous process.
func (e *engine) reset(now float64) {
	e.lastAnswerAt = now
	e.slowdown = 1
	e.slowStartSlot, e.slowStartSlotWork = 0, 0
	e.suspected, e.ejectionLength = false, 0
	e.overloadedUntil = 0
	e.shareFactor = minShareFactor
}

const (
	watchRetryPause = 1 // minimum seconds between two requests for the endpoint list
	maxWatchJitter  = 1 // maximum random delay added to it, in seconds, so that gateways do not all ask at the same time
)

// needsEndpointWatch reports whether the endpoint list has to be requested.
func (c *Controller) needsEndpointWatch() bool {
	return c.isUnwatched() && c.now >= c.nextWatchAt
}

// isUnwatched reports whether changes to the endpoint list are sent only on request and are not being received.
func (c *Controller) isUnwatched() bool { return c.settings.EndpointsOnRequest && !c.endpoints.watched }

// watchEndpoints requests the endpoint list.
func (c *Controller) watchEndpoints() {
	c.nextWatchAt = c.now + watchRetryPause + maxWatchJitter*c.random.next()
	c.actions.WatchEndpoints()
}

// endpointList holds the engines of the endpoint list.
type endpointList struct {
	engines        map[uint32]*engine   // by ID, until endUpdate forgets them
	ready          []*engine            // engines that accept requests, in order of ID
	watched        bool                 // changes arrive without being requested
	weightSums     []float64            // running sums of the relative weights of ready engines, nil if all are equal
	affinityOrders map[uint32][]*engine // by tables, until the list changes
}

// beginUpdate starts the handling of a message.
func (l *endpointList) beginUpdate(mode ListMode) {
	l.watched = mode == Delta || mode == Snapshot
	if mode == Snapshot || mode == CachedSnapshot {
		for _, e := range l.engines {
			e.listed = false
		}
	}
}

// engine returns the engine of an entry. It adds a new one if the ID is unknown.
func (l *endpointList) engine(id uint32, workBucket float64) *engine {
	e := l.engines[id]
	if e == nil {
		e = newEngine(id, workBucket)
		l.engines[id] = e
	}
	return e
}

// endUpdate ends the handling of a message. An engine that accepts no requests is forgotten once nothing is in flight there and
// nothing that was sent to it counts against its slow start budget any more.
func (l *endpointList) endUpdate(now float64) {
	l.ready, l.affinityOrders = l.ready[:0], map[uint32][]*engine{}
	for id, e := range l.engines {
		switch {
		case e.listed && e.ready:
			l.ready = append(l.ready, e)
		case len(e.inFlight) == 0 && e.recentWork.sum(now, windowBuckets+1) == 0:
			delete(l.engines, id)
		}
	}
	slices.SortFunc(l.ready, func(x, y *engine) int { return cmp.Compare(x.id, y.id) })
	l.computeWeights()
}

// computeWeights sets the relative weights of the ready engines.
func (l *endpointList) computeWeights() {
	largest, sum := 0.0, 0.0
	for _, e := range l.ready {
		largest = max(largest, e.weight)
	}
	l.weightSums = l.weightSums[:0]
	for _, e := range l.ready {
		e.relativeWeight = e.weight / largest
		sum += e.relativeWeight
		l.weightSums = append(l.weightSums, sum)
	}
	if sum == float64(len(l.ready)) {
		l.weightSums = nil
	}
}

// pickByWeight maps a random number in [0, 1) to the index of a ready engine, by weight. The caller adds offset to the result,
// modulo the number of ready engines. With unequal weights, the offset is subtracted here so that it has no effect.
func (l *endpointList) pickByWeight(chance float64, offset int) int {
	n := len(l.ready)
	if l.weightSums == nil {
		return int(chance * float64(n))
	}
	i, _ := slices.BinarySearch(l.weightSums, chance*l.weightSums[n-1])
	return min(i, n-1) + n - offset%n
}
