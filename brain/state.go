package brain

import "container/heap"

type job struct {
	id                  uint32
	class               *class
	tenant              *tenant
	line                *keyLine
	taken, giveUp       float64
	told, toldMemory    float64 // estimates as told, 0 where none
	work                float64 // estimated work, corrected
	tables              uint32
	over, ended, begun  bool
	dispatches          []*dispatch
	out                 int
	mayRan              *dispatch // the first dispatch that may have run
	queued, again, late bool
}

type dispatch struct {
	job              *job
	engine           *engine
	number           int
	sent, due        float64
	grant, work      float64
	out, moved, slow bool
}

type engine struct {
	id                    uint32
	zone, kind, cell      int
	ready, listed         bool
	up                    float64 // its latest start, as told or seen
	tally, work           float64 // own open grants and own open work
	live                  []*dispatch
	heard, gap            float64 // last answer, mean gap between answers
	strain                float64 // run time over SLA time
	slow, scale           float64 // run time over its best; part of the share in force
	fullUntil             float64
	restUntil, restLength float64
	doubted, trial        bool
	ok, bad               ring
	sentWork              ring
	util, memory, waiting float64 // as last reported, -1 if never
	reported, probed      float64
	probing               bool
}

type class struct {
	*Class
	index                       int
	queue                       []*job
	tally                       float64
	told, work, jobs            float64 // decayed sums of answers: work as told, as needed
	toldMemory, memory, answers float64
	slow, base                  float64 // run time over bare work: now, at its best
	mean                        float64
}

type tenant struct {
	rate, tokens, at float64
}

type keyLine struct {
	jobs      []*job
	out       int
	restUntil float64
}

// ring sums a measure over the latest stretch of time in fixed buckets that
// are used again.
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

// sum adds the n latest buckets, the running one included.
func (r *ring) sum(now float64, n int) float64 {
	r.turn(now)
	s := 0.0
	for i := range int64(min(n, len(r.buckets))) {
		s += r.buckets[(r.last-i+int64(len(r.buckets))*2)%int64(len(r.buckets))]
	}
	return s
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

var _ heap.Interface = (*byGiveUp)(nil)

func remove[T comparable](list []T, x T) []T {
	for i, y := range list {
		if x == y {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
