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

type job struct {
	id            uint32
	class         *class
	line          *keyLine
	taken, giveUp float64
	told, memory  float64 // estimates as told, 0 where none
	work          float64 // estimated work, corrected
	tables        uint32
	value         float64 // billed, less what passes its tenant's share
	ended, begun  bool
	dispatches    []*dispatch
	out           int
	draft         []*engine // compared for it
	asked         *engine   // the latest probed for it
	reads         int
	yields        *job // goes first
}

// first is the earliest dispatch that may have run.
func (j *job) first() *dispatch {
	for _, d := range j.dispatches {
		if d.out || d.ran {
			return d
		}
	}
	return nil
}

type dispatch struct {
	job             *job
	engine          *engine
	number          int
	sent, run       float64 // run: the time expected
	grant, work     float64
	share           float64 // done, as last told
	out, ran, moved bool
	roomy           bool // the engine was read with room
}

// book counts the dispatch with its job, engine, class and key.
func (d *dispatch) book() {
	j, e := d.job, d.engine
	d.number, d.work, d.out = len(j.dispatches), j.work, true
	j.dispatches = append(j.dispatches, d)
	j.out++
	if j.line != nil {
		j.line.out++
	}
	e.live = append(e.live, d)
	e.tally += d.grant
	e.work += d.work
	j.class.tally += d.grant
	j.class.out++
}

// unbook takes the dispatch out again. A tally with nothing left is set to zero: rounding leaves traces.
func (d *dispatch) unbook() {
	j, e := d.job, d.engine
	d.out = false
	j.out--
	if j.line != nil {
		j.line.out--
	}
	e.live = remove(e.live, d)
	e.tally -= d.grant
	e.work -= d.work
	if len(e.live) == 0 {
		e.tally, e.work = 0, 0
	}
	j.class.tally -= d.grant
	if j.class.out--; j.class.out == 0 {
		j.class.tally = 0
	}
}

type engine struct {
	id                    uint32
	zone, kind, cell      int
	listedKind            int // as told; kind is one whose size is known
	ready, listed         bool
	up                    float64 // its latest start, as told
	ease                  float64 // of its share, 1 without room left by others
	weight, part          float64 // as told; over the most in the fleet, so 1 where all are alike
	tally, work           float64 // own open grants and own open work
	live                  []*dispatch
	heard                 float64 // last answer
	turn                  int     // this gateway's among those that share a cold budget
	slot                  uint64  // for which that holds
	slotWork              float64 // own, sent in it
	slow                  float64 // run time over the class's
	fullUntil             float64
	restUntil, restLength float64
	doubted               bool
	passed                int     // trials passed since
	granted, cores        float64 // shares of the memory granted and of the cores in use, as read
	since, threads        float64 // own memory and threads sent since then
	readAt, asked         float64
	sentWork              ring
	record                record
}

// holds tells whether a load of this gateway holds the data set there.
func (e *engine) holds(tables uint32) bool {
	return slices.ContainsFunc(e.live, func(d *dispatch) bool {
		return d.job.class.WritesTables && d.job.tables == tables
	})
}

// rank orders the engines for a data set, the same at every gateway.
func (e *engine) rank(tables uint32) uint64 { return mix(uint64(tables)<<32 | uint64(e.id)) }

// compare orders two engines for a data set. Of unequal ones each comes first for its part of the sets: the least
// of exponential draws falls to each as its rate.
func (e *engine) compare(o *engine, tables uint32) int {
	x, y := e.rank(tables), o.rank(tables)
	if e.part == o.part {
		return cmp.Compare(x, y)
	}
	draw := func(rank uint64, part float64) float64 { return -math.Log1p(-float64(rank>>11)/(1<<53)) / part }
	return cmp.Compare(draw(x, e.part), draw(y, o.part))
}

// busy is the engine's own estimated work, with so much more, over what its part gets done.
func (e *engine) busy(more float64) float64 { return (e.work + more) * e.slow / e.part }

// turnOf is the gateway's place, from 0, in the hash's order of all gateways for this engine in a slot.
func (e *engine) turnOf(index, gateways int, slot uint64) (turn int) {
	if index < 0 { // it has no place: no part of any size
		return 1 << 10
	}
	rank := func(i int) uint64 { return mix(e.rank(uint32(i)) ^ slot) }
	own := rank(index)
	for i := range gateways {
		if i != index && rank(i) < own {
			turn++
		}
	}
	return turn
}

// roster is the list of engines as last told; fleet holds those that are ready, by id.
type roster struct {
	engines map[uint32]*engine
	fleet   []*engine
	watched bool
	parts   []float64            // the sums of the parts up to each of the fleet, nil where all are alike
	ranked  map[uint32][]*engine // for each data set asked for, until the roster changes
}

func (r *roster) begin(mode ListMode) {
	r.watched = mode == Delta || mode == Snapshot
	if mode == Snapshot || mode == CachedSnapshot {
		for _, e := range r.engines {
			e.listed = false
		}
	}
}

func (r *roster) entry(id uint32, bucket float64) *engine {
	e := r.engines[id]
	if e == nil {
		e = &engine{id: id, slow: 1, weight: 1, part: 1, ease: 1, readAt: math.Inf(-1), asked: math.Inf(-1)}
		e.record, e.sentWork = newRecord(), newRing(bucket, 11)
		r.engines[id] = e
	}
	return e
}

// end closes a message. An engine that takes nothing is forgotten once nothing of it is open and nothing that it
// was sent counts against a cold start any more.
func (r *roster) end(now float64) {
	r.fleet, r.ranked = r.fleet[:0], map[uint32][]*engine{}
	for id, e := range r.engines {
		switch {
		case e.listed && e.ready:
			r.fleet = append(r.fleet, e)
		case len(e.live) == 0 && e.sentWork.sum(now, 11) == 0:
			delete(r.engines, id)
		}
	}
	slices.SortFunc(r.fleet, func(x, y *engine) int { return cmp.Compare(x.id, y.id) })
	most, sum := 0.0, 0.0
	for _, e := range r.fleet {
		most = max(most, e.weight)
	}
	r.parts = r.parts[:0]
	for _, e := range r.fleet {
		e.part = e.weight / most
		sum += e.part
		r.parts = append(r.parts, sum)
	}
	if sum == float64(len(r.fleet)) {
		r.parts = nil
	}
}

// pick turns chance from 0 to 1 into a place in the fleet, by the parts; i is what the caller adds to it.
func (r *roster) pick(chance float64, i int) int {
	n := len(r.fleet)
	if r.parts == nil {
		return int(chance * float64(n))
	}
	at, _ := slices.BinarySearch(r.parts, chance*r.parts[n-1])
	return min(at, n-1) + n - i%n
}

// rank gives the fleet in the hash's order for the data set.
func (r *roster) rank(tables uint32) []*engine {
	if r.ranked[tables] == nil && len(r.fleet) > 0 {
		ranked := slices.Clone(r.fleet)
		slices.SortFunc(ranked, func(x, y *engine) int { return x.compare(y, tables) })
		r.ranked[tables] = ranked
	}
	return r.ranked[tables]
}

type class struct {
	*Class
	queue                       []*job
	tally                       float64
	out                         int
	told, work, memory, answers float64 // decayed sums over the answers
	rated, logs, squares        float64 // the same of memory needed over told, as logarithms
	slow, mean                  float64 // run time over bare work; mean work
	done                        ring    // work done
	tried                       float64 // when its first held job last fitted nowhere
}

type tenant struct {
	rate, tokens, at float64
}

// take counts a job against the tenant's share; bursts are not cut, for two seconds of it may come at once.
func (t *tenant) take(now float64) bool {
	t.tokens = min(t.tokens+(now-t.at)*t.rate, max(2*t.rate, 2))
	t.at = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// keyLine holds the jobs of one key in the order in which they were taken.
type keyLine struct {
	jobs      []*job
	out       int
	restUntil float64
}

// inTime is the clock time up to which an answer earns the whole billed value.
func (j *job) inTime() float64 {
	return min(j.taken+j.class.LatencyObjective+j.class.ObjectiveStretch*j.work/j.class.Threads, j.giveUp)
}

// run is the learned run time of a job of the class.
func (c *class) run(j *job) float64 { return j.work / c.Threads * c.slow }

// margin is what a grant is over the estimate: the usual need over it, as answers told, and 0.8 of the spread
// more, where eight needs in ten lie. More wastes room, less spills. Estimates lie too high or too low by
// class; until answers tell, two fifths either way are believed, as by five answers.
func (c *class) margin() float64 {
	const prior, spread = 5, 0.4
	n := prior + c.rated
	mean := c.logs / n
	return math.Exp(mean + 0.8*math.Sqrt((c.squares+prior*spread*spread)/n-mean*mean))
}

// wait is how long the jobs before it with its key will take.
func (j *job) wait(now float64) (sum float64) {
	if j.line == nil {
		return 0
	}
	for _, o := range j.line.jobs[:slices.Index(j.line.jobs, j)] {
		sum += o.class.run(o)
		if o.out > 0 {
			sum -= min(now-o.dispatches[0].sent, o.class.run(o))
		}
	}
	return sum
}

// overdue is how many answers the jobs held should have brought since the last one: each counts the time it
// has been out in the silence over its expected run.
func (e *engine) overdue(now float64) float64 {
	sum := 0.0
	for _, d := range e.live {
		sum += (now - max(e.heard, d.sent)) / d.run
	}
	return sum
}

// keyLines holds the lines of keys with a job, and for a while others.
type keyLines struct {
	of   map[uint64]*keyLine
	most int // lines, until those with nothing in them are forgotten
}

// join puts the job at the end of its key's line.
func (l *keyLines) join(now float64, key uint64, j *job) {
	if len(l.of) >= l.most {
		maps.DeleteFunc(l.of, func(_ uint64, k *keyLine) bool { return len(k.jobs) == 0 && k.out == 0 && now >= k.restUntil })
		l.most = 2*len(l.of) + 64 // so that looking through them costs little a job
	}
	if l.of[key] == nil {
		l.of[key] = &keyLine{}
	}
	j.line = l.of[key]
	j.line.jobs = append(j.line.jobs, j)
}

// next is the first held job that does not wait for its key.
func (c *class) next(now float64) *job {
	if at := slices.IndexFunc(c.queue, func(j *job) bool { return j.turn(now) }); at >= 0 {
		return c.queue[at]
	}
	return nil
}

// dice draws chance from a seed and a counter.
type dice struct {
	seed, counter uint64
}

func (d *dice) draw() float64 {
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

// ring sums a measure over the latest stretch of time in fixed buckets that are used again.
type ring struct {
	width   float64
	buckets []float64
	last    int64
}

func newRing(width float64, n int) ring {
	return ring{width: width, buckets: make([]float64, n)}
}

func (r *ring) turn(now float64) {
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

func (r *ring) add(now, v float64) {
	r.turn(now)
	r.buckets[r.last%int64(len(r.buckets))] += v
}

// raise keeps the largest value of each bucket.
func (r *ring) raise(now, v float64) {
	r.turn(now)
	at := r.last % int64(len(r.buckets))
	r.buckets[at] = max(r.buckets[at], v)
}

// sum adds the n latest buckets, the running one included.
func (r *ring) sum(now float64, n int) float64 {
	r.turn(now)
	s, size := 0.0, int64(len(r.buckets))
	for i := range int64(n) {
		s += r.buckets[(r.last-i%size+size)%size]
	}
	return s
}

// most is the fullest bucket, as a rate.
func (r *ring) most() float64 { return slices.Max(r.buckets) / r.width }

// record counts good and bad answers by the second.
type record struct {
	ok, failed ring
}

func newRecord() record { return record{newRing(1, 5), newRing(1, 5)} }

func (r *record) add(now, ok, bad float64) {
	r.ok.add(now, ok)
	r.failed.add(now, bad)
}

// bad is the share of the bad ones over the latest seconds.
func (r *record) bad(now float64, seconds int) float64 {
	bad := r.failed.sum(now, seconds)
	return bad / max(bad+r.ok.sum(now, seconds), 1)
}

// byGiveUp orders jobs by the time their clients give up.
type byGiveUp []*job

func (h byGiveUp) Len() int           { return len(h) }
func (h byGiveUp) Less(i, k int) bool { return h[i].giveUp < h[k].giveUp }
func (h byGiveUp) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *byGiveUp) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *byGiveUp) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// first is the open job with the earliest time, nil without one.
func (h *byGiveUp) first() *job {
	for len(*h) > 0 && ((*h)[0].ended || (*h)[0].begun) {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

var _ heap.Interface = (*byGiveUp)(nil)

func remove[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
