package fairshare

import "slices"

// Both windows of a team cover six seconds in buckets of half a second.
const (
	teamWindowWidth   = 0.5 // seconds
	teamWindowBuckets = 13  // twelve complete buckets and the current one
	teamWindowSpan    = 6   // seconds covered by the complete buckets
)

// team is a node in the tree of teams: a leaf with queues of its own, or a parent of other teams. The Scheduler owns it from
// the configuration that names it until it is retired and empty.
type team struct {
	Budget
	parent          *team
	children        int
	depth           int     // distance from the root
	retired         bool    // no longer configured
	configuredLimit float64 // the limit in the budget, without an override

	allocation     float64 // memory that this gateway may use of a fleet-wide budget
	fleetReachable bool    // the fleet is reachable, so the allocation may still grow

	memoryInUse     float64 // memory of running requests, here and below
	running, queued int     // number of requests, here and below
	queuedWork      float64 // work of queued requests; only for leaves and the root
	admittedWork    float64 // work admitted since the start; only for leaves
	completed       window  // completed work
	arrived         window  // arrived work

	startTag, finishTag float64 // tags of start-time fair queueing among its siblings
	virtualTime         float64 // virtual time of its children
	unservedSince       float64 // time of the latest admission, or of the start of the wait if that is later
	activeWeight        float64 // sum of the weights of its children with queued requests

	queues []classQueue
}

// classQueue holds a leaf's queued requests of one class in order of arrival, or a parent's eligible children.
type classQueue struct {
	requests []*request // valid from head on
	head     int
	count    int // number of queued requests, here and below

	eligible      indexedHeap[*team] // children with requests that may be admitted
	eligibleIndex int                // index in the parent's eligible, -1 for none
	starvingIndex int                // index in Scheduler.starving, -1 for none
	blocked       bool               // its first request found no capacity; reset when capacity is freed
	recheckAt     float64            // time until which the starvation rule ignores the team
}

// push inserts a request in order of age.
func (q *classQueue) push(r *request) {
	at := len(q.requests)
	for at > q.head && byAge(r, q.requests[at-1]) < 0 {
		at--
	}
	q.requests = slices.Insert(q.requests, at, r)
}

// remove removes a request, which is usually the first.
func (q *classQueue) remove(r *request) {
	const compactAfter = 32 // entries before head, so that compaction costs little per request
	at := q.head + slices.Index(q.requests[q.head:], r)
	if at != q.head {
		q.requests = slices.Delete(q.requests, at, at+1)
		return
	}
	q.requests[q.head] = nil
	q.head++
	if q.head > compactAfter && 2*q.head > len(q.requests) {
		q.requests = slices.Clone(q.requests[q.head:])
		q.head = 0
	}
}

// newTeam returns a new team below parent.
func (s *Scheduler) newTeam(b Budget, parent *team) *team {
	t := &team{
		Budget:    b,
		parent:    parent,
		queues:    make([]classQueue, len(s.options.Classes)),
		completed: newWindow(teamWindowWidth, teamWindowBuckets),
		arrived:   newWindow(teamWindowWidth, teamWindowBuckets),
	}
	for class := range t.queues {
		q := &t.queues[class]
		q.eligible.heapOrder = s.eligibleOrders[class]
		q.eligibleIndex, q.starvingIndex = -1, -1
	}
	if parent != nil {
		t.depth = parent.depth + 1
		parent.children++
	}
	return t
}

// queuedRequests returns the team's own queued requests of a class, oldest first.
func (t *team) queuedRequests(class int) []*request {
	return t.queues[class].requests[t.queues[class].head:]
}

// hasCapacity reports whether the team's budget allows the request to run now.
func (t *team) hasCapacity(r *request) bool {
	return t.hasMemory(r.memory) && (t.MaxRunning == 0 || t.running < t.MaxRunning)
}

// hasMemory reports whether the team's budget allows that much more memory, in MB, to be in use now.
func (t *team) hasMemory(memory float64) bool {
	memory += t.memoryInUse
	return (t.Limit == 0 || memory <= t.Limit) && (!t.FleetWide || memory <= t.allocation)
}

func (t *team) withinGuarantee() bool { return t.memoryInUse < t.Guaranteed }

// isWithin reports whether the team is the given one or below it.
func (t *team) isWithin(ancestor *team) bool {
	for ; t != nil; t = t.parent {
		if t == ancestor {
			return true
		}
	}
	return false
}

// tagWeight returns the weight used for tags. It is 1 for a team of weight 0, which teamBefore puts behind all others.
func (t *team) tagWeight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// share returns the team's fraction of the total capacity while the present set of teams has queued requests.
func (t *team) share() float64 {
	share := 1.0
	for ; t.parent != nil; t = t.parent {
		share *= t.tagWeight() / max(t.parent.activeWeight, t.tagWeight())
	}
	return share
}

// completedRate returns the team's recently completed work per second.
func (t *team) completedRate(now float64) float64 {
	return t.completed.sum(now, teamWindowBuckets-1) / teamWindowSpan
}

// arrivedRate returns the team's recently arrived work per second.
func (t *team) arrivedRate(now float64) float64 {
	return t.arrived.sum(now, teamWindowBuckets-1) / teamWindowSpan
}
