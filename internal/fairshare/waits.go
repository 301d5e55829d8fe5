package fairshare

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Estimate is how long a job will wait, in seconds from when it is told.
type Estimate struct {
	Dispatch    float64 // until it is dispatched
	Done        float64 // until it is done
	Least, Most float64 // between which Dispatch lies, four times in five
	made        bool
}

// waits measures the pace of work and how earlier estimates turned out.
type waits struct {
	ended1 ring    // work ended
	busy   float64 // jobs have waited without a break since, infinity while none does
	cores  float64 // of the engines, as told
	worth  float64 // work that a core gets done in a second
	slow   []float64
	ratios []ratios // by type and length
}

// ratios are the logarithms of actual over estimated waits of one type and length, the latest few.
type ratios struct {
	all               []float64
	next              int
	stale             bool // the quantiles are
	low, middle, high float64
}

// lengths part waits into those of one kind of error: of a moment, of a queue, of a long one. Four times as long each.
var lengths = []float64{0.2, 0.8, 3.2, 12.8}

// of finds the ratios of a type's waits of an estimated length. Those who ask get a finer estimate, with errors of
// its own.
func (w *waits) of(kind int, asks bool, estimated float64) *ratios {
	at, _ := slices.BinarySearch(lengths, estimated)
	if kind *= 2; asks {
		kind++
	}
	return &w.ratios[kind*(len(lengths)+1)+at]
}

const kept = 64 // ratios a type; enough for a quantile of a tenth, few enough to follow a change within a minute

func newWaits(types int) waits {
	w := waits{ended1: newRing(0.25, 20), busy: math.Inf(1), worth: 0.8, slow: make([]float64, types), // a fifth is lost to gaps
		ratios: make([]ratios, 2*types*(len(lengths)+1))}
	for k := range w.slow {
		w.slow[k] = 1.2
	}
	return w
}

// Capacity tells how many cores the engines in use have. What was measured with others is scaled at once: when half
// of them go, waits double before the pace shows it.
func (s *Stage) Capacity(now, cores float64) []Decision {
	s.begin(now)
	w := &s.waits
	if w.cores > 0 && cores > 0 {
		w.ended1.scale(cores / w.cores)
	}
	w.cores = cores
	s.settle()
	s.retell()
	return s.out
}

func (w *waits) backlog(now float64, any bool) {
	if !any {
		w.busy = math.Inf(1)
	} else if math.IsInf(w.busy, 1) {
		w.busy = now
	}
}

func (w *waits) ended(now, work float64) { w.ended1.add(now, work) }

// ran learns how long jobs of a type take, over their bare work.
func (w *waits) ran(kind int, took, work float64) {
	w.slow[kind] += 0.05 * (min(took/work, 10) - w.slow[kind])
}

// rate is the work done in a second while jobs wait: as measured for at least a second, else by the cores.
func (w *waits) rate(now float64) float64 {
	span := min(now-w.busy, 3) // long enough for some tens of jobs, short enough to see a change
	if span >= 1 {
		if measured := w.ended1.sum(now, int(span/w.ended1.width)) / (math.Floor(span/w.ended1.width) * w.ended1.width); measured > 0 {
			if w.cores > 0 {
				w.worth += 0.02 * (measured/w.cores - w.worth)
			}
			return measured
		}
	}
	return max(w.cores*w.worth, 0.1)
}

// met learns from a job that was told or could have been: how long it waited against the first estimate.
func (w *waits) met(kind int, asks bool, estimated, actual float64, made bool) {
	if !made {
		return
	}
	const hair = 0.05 // under 50 ms nobody waits
	r, v := w.of(kind, asks, estimated), math.Log((actual+hair)/(estimated+hair))
	if r.stale = true; len(r.all) < kept {
		r.all = append(r.all, v)
		return
	}
	r.all[r.next] = v
	r.next = (r.next + 1) % kept
}

// knows tells whether enough of them are there to turn jobs away by them.
func (r *ratios) knows() bool { return len(r.all) >= 8 }

// spread gives the quantiles of a tenth, a half and nine tenths.
func (r *ratios) spread() (low, middle, high float64) {
	if !r.knows() {
		return 0.5, 1, 2
	}
	if r.stale {
		sorted := slices.Sorted(slices.Values(r.all))
		at := func(q float64) float64 {
			return math.Exp(min(max(sorted[int(q*float64(len(sorted)-1)+0.5)], -1.5), 1.5))
		}
		r.low, r.middle, r.high, r.stale = at(0.1), at(0.5), at(0.9), false
	}
	return r.low, r.middle, r.high
}

// run is how long the job will take once it is dispatched.
func (s *Stage) run(j *job) float64 { return j.work * s.waits.slow[j.kind] }

// share is the team's part of the whole while those that have jobs waiting now have them.
func (n *node) share() float64 {
	part := 1.0
	for p := n; p.parent != nil; p = p.parent {
		part *= weight(p) / max(p.parent.weights, weight(p))
	}
	return part
}

// estimate tells how long a job at its place in the order will wait, as if the tags alone ordered: until its team has
// been given the work ahead of it, every other one gets its part meanwhile, or all that it has.
func (s *Stage) estimate(j *job) Estimate {
	n := j.team
	ahead, own, rate := max(j.mark-n.passed, 0), n.share(), s.waits.rate(s.now)
	// Meanwhile more comes for the others; how much depends on how long it takes.
	wait := 0.0
	for range 3 {
		sum := ahead
		if j.asks && len(s.active) <= 64 {
			for _, o := range s.active {
				if o != n {
					sum += min(o.work+o.coming.sum(s.now, 12)/6*wait, (ahead+j.work/2)*o.share()/own)
				}
			}
		} else {
			sum = min(s.root.work+s.root.coming.sum(s.now, 12)/6*wait, (ahead+j.work/2)/own)
		}
		wait = (s.held + sum + j.work/2) / rate
	}
	e := Estimate{Dispatch: wait, made: true}
	if s.fits(j) != nil { // its own budget keeps it: its own pace counts
		if pace := n.pace.sum(s.now, 12) / 6; pace > 0 {
			e.Dispatch = max(e.Dispatch, (ahead+j.work/2)/pace)
		}
	}
	return e
}

// correct turns an estimate into what is told: moved by the median of how earlier ones turned out, with an interval.
func (s *Stage) correct(j *job) Estimate {
	return s.corrected(j, j.raw)
}

func (s *Stage) corrected(j *job, e Estimate) Estimate {
	low, middle, high := s.waits.of(j.kind, j.asks, e.Dispatch).spread()
	e.Least, e.Most = e.Dispatch*low, e.Dispatch*high
	e.Dispatch *= middle
	e.Done = e.Dispatch + s.run(j)
	return e
}

// retell tells those who asked and whose wait has moved by a part of it, and 50 ms at least. A few are looked at each
// time, so that thousands cost no more.
func (s *Stage) retell() {
	for range min(len(s.askers), 50) {
		j := s.askers[0]
		s.askers[0] = nil
		s.askers = s.askers[1:]
		if !j.waits || s.jobs[j.id] != j {
			continue
		}
		s.askers = append(s.askers, j)
		before, told := j.told, s.corrected(j, s.estimate(j))
		left := before.Dispatch - (s.now - before.at(j))
		if moved := math.Abs(told.Dispatch - left); moved > max(s.rules.Retell*max(left, 0), 0.05) {
			j.told, j.toldAt = told, s.now
			s.out = append(s.out, Decision{Do: Tell, Job: j.id, Wait: told})
		}
	}
}

func (Estimate) at(j *job) float64 { return max(j.toldAt, j.taken) }

// comeBack is when such a job would be taken, spread by a fifth either way so that those told do not come at once.
func (s *Stage) comeBack(j *job) float64 {
	if s.rules.ComeBack == 0 {
		return 0
	}
	mark := j.mark
	if !j.waits {
		j.mark = j.team.passed + j.team.work
	}
	wait := s.estimate(j).Dispatch
	j.mark = mark
	h := fnv.New32a()
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], j.id)
	h.Write(b[:])
	spread := 0.8 + 0.4*float64(h.Sum32())/math.MaxUint32
	return min(max(wait, 0.05)*spread, s.rules.ComeBack)
}

// ring sums a measure over the latest stretch of time in fixed buckets that are used again.
type ring struct {
	width   float64
	buckets []float64
	last    int64
}

func newRing(width float64, n int) ring { return ring{width: width, buckets: make([]float64, n)} }

// turn clears what is past. A clock that has gone back adds to the latest bucket.
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

func (r *ring) scale(by float64) {
	for i := range r.buckets {
		r.buckets[i] *= by
	}
}

// sum adds the n latest whole buckets, without the running one.
func (r *ring) sum(now float64, n int) (sum float64) {
	r.turn(now)
	size := int64(len(r.buckets))
	for i := int64(1); i <= min(int64(n), size-1); i++ {
		sum += r.buckets[((r.last-i)%size+size)%size]
	}
	return sum
}
