package fairshare

import "slices"

// Both windows of a team look back over six seconds and are read by halves.
const (
	teamWindowWidth   = 0.5 // seconds
	teamWindowBuckets = 13  // twelve complete ones and the running one
	teamWindowSpan    = 6   // seconds that the complete ones cover
)

// team is a leaf with queues of its own, or a team of teams above it. The Scheduler owns it from the configuration that
// names it until it is retired and empty.
type team struct {
	Budget
	parent          *team
	children        int
	depth           int     // of the root: 0
	retired         bool    // no longer configured
	configuredLimit float64 // Limit without an override

	allocation     float64 // of a fleet-wide budget: memory that may be used here now
	fleetReachable bool    // the allocation may still grow

	memoryInUse     float64 // of running requests, here and below
	running, queued int     // requests, here and below
	queuedWork      float64 // of leaves and the root
	admittedWork    float64 // since the start, of leaves
	completed       window  // work completed
	arrived         window  // work arrived

	startTag, finishTag float64 // of start-time fair queueing, among its siblings
	virtualTime         float64 // of its children
	unservedSince       float64 // its latest admission, or the start of its wait
	activeWeight        float64 // of its children with queued requests

	queues []classQueue
}

// classQueue is a team's requests of one class in order of arrival; of a team of teams, the eligible teams below it.
type classQueue struct {
	requests []*request // from head on
	head     int
	count    int // here and below

	eligible      indexedHeap[*team] // children with requests that may be admitted
	eligibleIndex int                // in the parent's eligible, -1 for not there
	starvingIndex int                // in Scheduler.starving, -1 for not there
	blocked       bool               // its first request found no capacity; reset when some is freed
	recheckAt     float64            // the starvation rule passes over it until then
}

// push puts a request at its place by age.
func (q *classQueue) push(r *request) {
	at := len(q.requests)
	for at > q.head && byAge(r, q.requests[at-1]) < 0 {
		at--
	}
	q.requests = slices.Insert(q.requests, at, r)
}

// remove takes out a request, usually the first.
func (q *classQueue) remove(r *request) {
	const compactAfter = 32 // entries before head, so that compaction costs little a request
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

// newTeam makes a team below another.
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

// queuedRequests are the team's own of a class, oldest first.
func (t *team) queuedRequests(class int) []*request {
	return t.queues[class].requests[t.queues[class].head:]
}

// hasCapacity reports whether the team, or team of teams, may have the request running now.
func (t *team) hasCapacity(r *request) bool {
	return t.hasMemory(r.memory) && (t.MaxRunning == 0 || t.running < t.MaxRunning)
}

// hasMemory reports whether the team, or team of teams, may have so much more memory in use now, in MB.
func (t *team) hasMemory(memory float64) bool {
	memory += t.memoryInUse
	return (t.Limit == 0 || memory <= t.Limit) && (!t.FleetWide || memory <= t.allocation)
}

func (t *team) withinGuarantee() bool { return t.memoryInUse < t.Guaranteed }

// isWithin reports whether the team is another one or below it.
func (t *team) isWithin(above *team) bool {
	for ; t != nil; t = t.parent {
		if t == above {
			return true
		}
	}
	return false
}

// tagWeight is what tags count with; a team of weight 0 goes behind all others by the order itself.
func (t *team) tagWeight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// share is the team's part of the whole while the teams that have requests queued now have them.
func (t *team) share() float64 {
	share := 1.0
	for ; t.parent != nil; t = t.parent {
		share *= t.tagWeight() / max(t.parent.activeWeight, t.tagWeight())
	}
	return share
}

// completedRate is the work of the team that was completed in a second of late.
func (t *team) completedRate(now float64) float64 {
	return t.completed.sum(now, teamWindowBuckets-1) / teamWindowSpan
}

// arrivedRate is the work of the team that arrived in a second of late.
func (t *team) arrivedRate(now float64) float64 {
	return t.arrived.sum(now, teamWindowBuckets-1) / teamWindowSpan
}
