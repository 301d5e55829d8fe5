package admission

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

type request struct {
	id                             uint32
	class                          *classState
	key                            *orderedKey
	arrivedAt, deadline            float64
	estimatedWork, estimatedMemory float64 // estimates as told, 0 where none
	work                           float64 // estimated work, corrected
	tables                         uint32
	priorityWeight                 float64 // billed, less what passes its tenant's share
	ended, streaming               bool
	attempts                       []*attempt
	inFlight                       int
	candidates                     []*engine // compared for it
	polled                         *engine   // the latest probed for it
	polls                          int
	preemptedFor                   *request // goes first
}

// firstThatMayHaveRun is the earliest dispatch that may have run.
func (j *request) firstThatMayHaveRun() *attempt {
	for _, d := range j.attempts {
		if d.inFlight || d.mayHaveRun {
			return d
		}
	}
	return nil
}

type attempt struct {
	request                               *request
	engine                                *engine
	number                                int
	startedAt, expectedDuration           float64 // run: the time expected
	memory, work                          float64
	progress                              float64 // done, as last told
	inFlight, mayHaveRun, cancelRequested bool
	hadReportedRoom                       bool // the engine was read with room
}

// book counts the dispatch with its job, engine, class and key.
func (d *attempt) book() {
	j, e := d.request, d.engine
	d.number, d.work, d.inFlight = len(j.attempts), j.work, true
	j.attempts = append(j.attempts, d)
	j.inFlight++
	if j.key != nil {
		j.key.inFlight++
	}
	e.inFlight = append(e.inFlight, d)
	e.grantedMemory += d.memory
	e.pendingWork += d.work
	j.class.grantedMemory += d.memory
	j.class.inFlight++
}

// release takes the dispatch out again. A tally with nothing left is set to zero: rounding leaves traces.
func (d *attempt) release() {
	j, e := d.request, d.engine
	d.inFlight = false
	j.inFlight--
	if j.key != nil {
		j.key.inFlight--
	}
	e.inFlight = remove(e.inFlight, d)
	e.grantedMemory -= d.memory
	e.pendingWork -= d.work
	if len(e.inFlight) == 0 {
		e.grantedMemory, e.pendingWork = 0, 0
	}
	j.class.grantedMemory -= d.memory
	if j.class.inFlight--; j.class.inFlight == 0 {
		j.class.grantedMemory = 0
	}
}

type engine struct {
	id                                    uint32
	zone, machineType, cell               int
	listedMachineType                     int // as told; kind is one whose size is known
	ready, listed                         bool
	startedAt                             float64 // its latest start, as told
	shareFactor                           float64 // of its share, 1 without room left by others
	weight, relativeWeight                float64 // as told; over the most in the fleet, so 1 where all are alike
	grantedMemory, pendingWork            float64 // own open grants and own open work
	inFlight                              []*attempt
	lastAnswerAt                          float64 // last answer
	slowStartRank                         int     // this gateway's among those that share a cold budget
	slowStartSlot                         uint64  // for which that holds
	slowStartSlotWork                     float64 // own, sent in it
	slowdown                              float64 // run time over the class's
	overloadedUntil                       float64
	ejectedUntil, ejectionLength          float64
	suspected                             bool
	trialsPassed                          int     // trials passed since
	reportedMemory, reportedCPU           float64 // shares of the memory granted and of the cores in use, as read
	memorySinceReport, threadsSinceReport float64 // own memory and threads sent since then
	reportedAt, polledAt                  float64
	recentWork                            slidingWindow
	answers                               answerCounts
}

// isWriting tells whether a load of this gateway holds the data set there.
func (e *engine) isWriting(tables uint32) bool {
	return slices.ContainsFunc(e.inFlight, func(d *attempt) bool {
		return d.request.class.WritesTables && d.request.tables == tables
	})
}

// affinityHash orders the engines for a data set, the same at every gateway.
func (e *engine) affinityHash(tables uint32) uint64 { return mix(uint64(tables)<<32 | uint64(e.id)) }

// compareAffinity orders two engines for a data set. Of unequal ones each comes first for its part of the sets: the least
// of exponential draws falls to each as its rate.
func (e *engine) compareAffinity(o *engine, tables uint32) int {
	x, y := e.affinityHash(tables), o.affinityHash(tables)
	if e.relativeWeight == o.relativeWeight {
		return cmp.Compare(x, y)
	}
	draw := func(rank uint64, part float64) float64 { return -math.Log1p(-float64(rank>>11)/(1<<53)) / part }
	return cmp.Compare(draw(x, e.relativeWeight), draw(y, o.relativeWeight))
}

// queueTime is the engine's own estimated work, with so much more, over what its part gets done.
func (e *engine) queueTime(more float64) float64 {
	return (e.pendingWork + more) * e.slowdown / e.relativeWeight
}

// slowStartRankOf is the gateway's place, from 0, in the hash's order of all gateways for this engine in a slot.
func (e *engine) slowStartRankOf(index, gateways int, slot uint64) (turn int) {
	if index < 0 { // it has no place: no part of any size
		return 1 << 10
	}
	rank := func(i int) uint64 { return mix(e.affinityHash(uint32(i)) ^ slot) }
	own := rank(index)
	for i := range gateways {
		if i != index && rank(i) < own {
			turn++
		}
	}
	return turn
}

// endpointList is the list of engines as last told; fleet holds those that are ready, by id.
type endpointList struct {
	engines        map[uint32]*engine
	ready          []*engine
	watched        bool
	weightSums     []float64            // the sums of the parts up to each of the fleet, nil where all are alike
	affinityOrders map[uint32][]*engine // for each data set asked for, until the roster changes
}

func (r *endpointList) begin(mode ListMode) {
	r.watched = mode == Delta || mode == Snapshot
	if mode == Snapshot || mode == CachedSnapshot {
		for _, e := range r.engines {
			e.listed = false
		}
	}
}

func (r *endpointList) engine(id uint32, bucket float64) *engine {
	e := r.engines[id]
	if e == nil {
		e = &engine{id: id, slowdown: 1, weight: 1, relativeWeight: 1, shareFactor: 1, reportedAt: math.Inf(-1), polledAt: math.Inf(-1)}
		e.answers, e.recentWork = newAnswerCounts(), newSlidingWindow(bucket, 11)
		r.engines[id] = e
	}
	return e
}

// end closes a message. An engine that takes nothing is forgotten once nothing of it is open and nothing that it
// was sent counts against a cold start any more.
func (r *endpointList) end(now float64) {
	r.ready, r.affinityOrders = r.ready[:0], map[uint32][]*engine{}
	for id, e := range r.engines {
		switch {
		case e.listed && e.ready:
			r.ready = append(r.ready, e)
		case len(e.inFlight) == 0 && e.recentWork.sum(now, 11) == 0:
			delete(r.engines, id)
		}
	}
	slices.SortFunc(r.ready, func(x, y *engine) int { return cmp.Compare(x.id, y.id) })
	most, sum := 0.0, 0.0
	for _, e := range r.ready {
		most = max(most, e.weight)
	}
	r.weightSums = r.weightSums[:0]
	for _, e := range r.ready {
		e.relativeWeight = e.weight / most
		sum += e.relativeWeight
		r.weightSums = append(r.weightSums, sum)
	}
	if sum == float64(len(r.ready)) {
		r.weightSums = nil
	}
}

// pickByWeight turns chance from 0 to 1 into a place in the fleet, by the parts; i is what the caller adds to it.
func (r *endpointList) pickByWeight(chance float64, i int) int {
	n := len(r.ready)
	if r.weightSums == nil {
		return int(chance * float64(n))
	}
	at, _ := slices.BinarySearch(r.weightSums, chance*r.weightSums[n-1])
	return min(at, n-1) + n - i%n
}

// affinityOrder gives the fleet in the hash's order for the data set.
func (r *endpointList) affinityOrder(tables uint32) []*engine {
	if r.affinityOrders[tables] == nil && len(r.ready) > 0 {
		ranked := slices.Clone(r.ready)
		slices.SortFunc(ranked, func(x, y *engine) int { return x.compareAffinity(y, tables) })
		r.affinityOrders[tables] = ranked
	}
	return r.affinityOrders[tables]
}

type classState struct {
	*Class
	queue                                            []*request
	grantedMemory                                    float64
	inFlight                                         int
	estimatedWork, neededWork, neededMemory, answers float64       // decayed sums over the answers
	estimatedAnswers, logRatios, squaredLogRatios    float64       // the same of memory needed over told, as logarithms
	slowdown, meanWork                               float64       // run time over bare work; mean work
	completedWork                                    slidingWindow // work done
	unplacedAt                                       float64       // when its first held job last fitted nowhere
}

type tenant struct {
	rate, tokens, refilledAt float64
}

// take counts a job against the tenant's share; bursts are not cut, for two seconds of it may come at once.
func (t *tenant) take(now float64) bool {
	t.tokens = min(t.tokens+(now-t.refilledAt)*t.rate, max(2*t.rate, 2))
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// orderedKey holds the jobs of one key in the order in which they were taken.
type orderedKey struct {
	requests     []*request
	inFlight     int
	blockedUntil float64
}

// objectiveTime is the clock time up to which an answer earns the whole billed value.
func (j *request) objectiveTime() float64 {
	return min(j.arrivedAt+j.class.LatencyObjective+j.class.ObjectiveStretch*j.work/j.class.Threads, j.deadline)
}

// expectedDuration is the learned run time of a job of the class.
func (c *classState) expectedDuration(j *request) float64 { return j.work / c.Threads * c.slowdown }

// margin is what a grant is over the estimate: the usual need over it, as answers told, and 0.8 of the spread
// more, where eight needs in ten lie. More wastes room, less spills. Estimates lie too high or too low by
// class; until answers tell, two fifths either way are believed, as by five answers.
func (c *classState) margin() float64 {
	const prior, spread = 5, 0.4
	n := prior + c.estimatedAnswers
	mean := c.logRatios / n
	return math.Exp(mean + 0.8*math.Sqrt((c.squaredLogRatios+prior*spread*spread)/n-mean*mean))
}

// waitForKey is how long the jobs before it with its key will take.
func (j *request) waitForKey(now float64) (sum float64) {
	if j.key == nil {
		return 0
	}
	for _, o := range j.key.requests[:slices.Index(j.key.requests, j)] {
		sum += o.class.expectedDuration(o)
		if o.inFlight > 0 {
			sum -= min(now-o.attempts[0].startedAt, o.class.expectedDuration(o))
		}
	}
	return sum
}

// overdueAnswers is how many answers the jobs held should have brought since the last one: each counts the time it
// has been out in the silence over its expected run.
func (e *engine) overdueAnswers(now float64) float64 {
	sum := 0.0
	for _, d := range e.inFlight {
		sum += (now - max(e.lastAnswerAt, d.startedAt)) / d.expectedDuration
	}
	return sum
}

// orderedKeys holds the lines of keys with a job, and for a while others.
type orderedKeys struct {
	byKey     map[uint64]*orderedKey
	sweepSize int // lines, until those with nothing in them are forgotten
}

// join puts the job at the end of its key's line.
func (l *orderedKeys) join(now float64, key uint64, j *request) {
	if len(l.byKey) >= l.sweepSize {
		maps.DeleteFunc(l.byKey, func(_ uint64, k *orderedKey) bool {
			return len(k.requests) == 0 && k.inFlight == 0 && now >= k.blockedUntil
		})
		l.sweepSize = 2*len(l.byKey) + 64 // so that looking through them costs little a job
	}
	if l.byKey[key] == nil {
		l.byKey[key] = &orderedKey{}
	}
	j.key = l.byKey[key]
	j.key.requests = append(j.key.requests, j)
}

// nextRequest is the first held job that does not wait for its key.
func (c *classState) nextRequest(now float64) *request {
	if at := slices.IndexFunc(c.queue, func(j *request) bool { return j.isNextOfItsKey(now) }); at >= 0 {
		return c.queue[at]
	}
	return nil
}

// randomSource draws chance from a seed and a counter.
type randomSource struct {
	seed, counter uint64
}

func (d *randomSource) next() float64 {
	h := fnv.New64a()
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:], d.seed)
	binary.BigEndian.PutUint64(buf[8:], d.counter)
	d.counter++
	h.Write(buf[:])
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix spreads a hash over all bits; FNV alone leaves the high ones alike for near counters.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// slidingWindow sums a measure over the latest stretch of time in fixed buckets that are used again.
type slidingWindow struct {
	width   float64
	buckets []float64
	last    int64
}

func newSlidingWindow(width float64, n int) slidingWindow {
	return slidingWindow{width: width, buckets: make([]float64, n)}
}

func (r *slidingWindow) advance(now float64) {
	at := int64(now / r.width)
	if at-r.last >= int64(len(r.buckets)) {
		clear(r.buckets)
		r.last = at
	}
	for r.last < at {
		r.last++
		r.buckets[r.last%int64(len(r.buckets))] = 0
	}
}

func (r *slidingWindow) add(now, v float64) {
	r.advance(now)
	r.buckets[r.last%int64(len(r.buckets))] += v
}

// raiseTo keeps the largest value of each bucket.
func (r *slidingWindow) raiseTo(now, v float64) {
	r.advance(now)
	at := r.last % int64(len(r.buckets))
	r.buckets[at] = max(r.buckets[at], v)
}

// sum adds the n latest buckets, the running one included.
func (r *slidingWindow) sum(now float64, n int) float64 {
	r.advance(now)
	s, size := 0.0, int64(len(r.buckets))
	for i := range int64(n) {
		s += r.buckets[(r.last-i%size+size)%size]
	}
	return s
}

// maxRate is the fullest bucket, as a rate.
func (r *slidingWindow) maxRate() float64 { return slices.Max(r.buckets) / r.width }

// answerCounts counts good and bad answers by the second.
type answerCounts struct {
	ok, failed slidingWindow
}

func newAnswerCounts() answerCounts {
	return answerCounts{newSlidingWindow(1, 5), newSlidingWindow(1, 5)}
}

func (r *answerCounts) add(now, ok, bad float64) {
	r.ok.add(now, ok)
	r.failed.add(now, bad)
}

// failureShare is the share of the bad ones over the latest seconds.
func (r *answerCounts) failureShare(now float64, seconds int) float64 {
	bad := r.failed.sum(now, seconds)
	return bad / max(bad+r.ok.sum(now, seconds), 1)
}

// deadlineHeap orders jobs by the time their clients give up.
type deadlineHeap []*request

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, k int) bool { return h[i].deadline < h[k].deadline }
func (h deadlineHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(*request)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// earliest is the open job with the earliest time, nil without one.
func (h *deadlineHeap) earliest() *request {
	for len(*h) > 0 && ((*h)[0].ended || (*h)[0].streaming) {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

var _ heap.Interface = (*deadlineHeap)(nil)

func remove[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
