package admission

import (
	"cmp"
	"slices"
)

// UpdateEndpoints takes a message on the endpoint list.
func (c *Controller) UpdateEndpoints(now float64, mode ListMode, endpoints []Endpoint) {
	c.now, c.firstListAt = now, min(c.firstListAt, now)
	c.endpoints.begin(mode)
	for _, entry := range endpoints {
		c.updateEndpoint(entry)
	}
	c.endpoints.end(now)
	c.applyRules()
}

// updateEndpoint takes in one entry. A new start of the engine's process resets what was held against it.
func (c *Controller) updateEndpoint(entry Endpoint) {
	e := c.endpoints.engine(entry.ID, windowBucket(c.settings.SlowStartBudgetWindow))
	if entry.StartedAt > e.startedAt {
		e.startedAt = entry.StartedAt
		e.restarted(c.now)
		e.slowStartRank = e.slowStartRankOf(c.settings.GatewayIndex, c.settings.GatewayCount, 0)
	}
	e.zone, e.cell = entry.Zone, entry.Cell
	e.machineType = min(entry.MachineType, len(c.settings.MachineTypes)-1)
	e.listedMachineType = entry.MachineType
	e.ready, e.listed = entry.Ready, true
	e.weight = entry.Weight
}

// restarted resets what was held against the engine's last process.
func (e *engine) restarted(now float64) {
	e.lastAnswerAt = now
	e.slowdown = 1
	e.slowStartSlot, e.slowStartSlotWork = 0, 0
	e.suspected, e.ejectionLength = false, 0
	e.overloadedUntil = 0
	e.shareFactor = shareFactorAtRest
}

const (
	watchRetryPause = 1 // seconds at least between two requests for the endpoint list
	maxWatchJitter  = 1 // seconds that are added at random, so that not all gateways ask at once
)

// needsEndpointWatch tells whether the endpoint list has to be asked for.
func (c *Controller) needsEndpointWatch() bool {
	return c.isUnwatched() && c.now >= c.nextWatchAt
}

// isUnwatched tells whether changes of the endpoint list come only once they were asked for, and have not been told yet.
func (c *Controller) isUnwatched() bool { return c.settings.EndpointsOnRequest && !c.endpoints.watched }

// watchEndpoints asks for the endpoint list.
func (c *Controller) watchEndpoints() {
	c.nextWatchAt = c.now + watchRetryPause + maxWatchJitter*c.random.next()
	c.actions.WatchEndpoints()
}

// endpointList holds the engines by their entries.
type endpointList struct {
	engines        map[uint32]*engine   // by id, until nothing of them counts any more
	ready          []*engine            // those that take requests, by id
	watched        bool                 // changes are told without being asked for
	weightSums     []float64            // sums of the relative weights up to each ready engine, nil where all are alike
	affinityOrders map[uint32][]*engine // by tables, until the list changes
}

// begin opens a message.
func (l *endpointList) begin(mode ListMode) {
	l.watched = mode == Delta || mode == Snapshot
	if mode == Snapshot || mode == CachedSnapshot {
		for _, e := range l.engines {
			e.listed = false
		}
	}
}

// engine returns the engine of an entry, a new one where it is not known.
func (l *endpointList) engine(id uint32, workBucket float64) *engine {
	e := l.engines[id]
	if e == nil {
		e = newEngine(id, workBucket)
		l.engines[id] = e
	}
	return e
}

// end closes a message. An engine that takes nothing is forgotten once nothing is in flight there and nothing that it was
// sent counts against its slow start any more.
func (l *endpointList) end(now float64) {
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
	l.weigh()
}

// weigh sets the relative weights of the ready engines.
func (l *endpointList) weigh() {
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

// pickByWeight turns a random number from 0 to 1 into an index of a ready engine, by their weights. The caller adds offset
// to it, modulo the number of ready engines; for unequal weights that is taken off here.
func (l *endpointList) pickByWeight(chance float64, offset int) int {
	n := len(l.ready)
	if l.weightSums == nil {
		return int(chance * float64(n))
	}
	i, _ := slices.BinarySearch(l.weightSums, chance*l.weightSums[n-1])
	return min(i, n-1) + n - offset%n
}
