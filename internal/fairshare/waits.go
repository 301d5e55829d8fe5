package fairshare

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Estimate is how long a job will wait, in seconds from when it is told.
type Estimate struct {
	Start               float64 // until it is dispatched
	Completion          float64 // until it is done
	StartLow, StartHigh float64 // between which Dispatch lies, four times in five
	valid               bool
}

// estimator measures the pace of work and how earlier estimates turned out.
type estimator struct {
	completed       window  // work ended
	backloggedSince float64 // jobs have waited without a break since, infinity while none does
	cores           float64 // of the engines, as told
	workPerCore     float64 // work that a core gets done in a second
	slowdown        []float64
	errors          []errorSample // by type and length
}

// errorSample are the logarithms of actual over estimated waits of one type and length, the latest few.
type errorSample struct {
	logRatios         []float64
	next              int
	stale             bool // the quantiles are
	low, middle, high float64
}

// waitBounds part waits into those of one kind of error: of a moment, of a queue, of a long one. Four times as long each.
var waitBounds = []float64{0.2, 0.8, 3.2, 12.8}

// errorsFor finds the ratios of a type's waits of an estimated length. Those who ask get a finer estimate, with errors of
// its own.
func (w *estimator) errorsFor(kind int, asks bool, estimated float64) *errorSample {
	at, _ := slices.BinarySearch(waitBounds, estimated)
	if kind *= 2; asks {
		kind++
	}
	return &w.errors[kind*(len(waitBounds)+1)+at]
}

const maxLogRatios = 64 // ratios a type; enough for a quantile of a tenth, few enough to follow a change within a minute

func newEstimator(types int) estimator {
	w := estimator{completed: newWindow(0.25, 20), backloggedSince: math.Inf(1), workPerCore: 0.8, slowdown: make([]float64, types), // a fifth is lost to gaps
		errors: make([]errorSample, 2*types*(len(waitBounds)+1))}
	for k := range w.slowdown {
		w.slowdown[k] = 1.2
	}
	return w
}

// SetCapacity tells how many cores the engines in use have. What was measured with others is scaled at once: when half
// of them go, waits double before the pace shows it.
func (s *Scheduler) SetCapacity(now, cores float64) []Decision {
	s.begin(now)
	w := &s.estimator
	if w.cores > 0 && cores > 0 {
		w.completed.scale(cores / w.cores)
	}
	w.cores = cores
	s.admitEligible()
	s.reportChangedWaits()
	return s.decisions
}

func (w *estimator) setBacklogged(now float64, any bool) {
	if !any {
		w.backloggedSince = math.Inf(1)
	} else if math.IsInf(w.backloggedSince, 1) {
		w.backloggedSince = now
	}
}

func (w *estimator) workCompleted(now, work float64) { w.completed.add(now, work) }

// recordRun learns how long jobs of a type take, over their bare work.
func (w *estimator) recordRun(kind int, took, work float64) {
	w.slowdown[kind] += 0.05 * (min(took/work, 10) - w.slowdown[kind])
}

// rate is the work done in a second while jobs wait: as measured for at least a second, else by the cores.
func (w *estimator) rate(now float64) float64 {
	span := min(now-w.backloggedSince, 3) // long enough for some tens of jobs, short enough to see a change
	if span >= 1 {
		if measured := w.completed.sum(now, int(span/w.completed.width)) / (math.Floor(span/w.completed.width) * w.completed.width); measured > 0 {
			if w.cores > 0 {
				w.workPerCore += 0.02 * (measured/w.cores - w.workPerCore)
			}
			return measured
		}
	}
	return max(w.cores*w.workPerCore, 0.1)
}

// recordWait learns from a job that was told or could have been: how long it waited against the first estimate.
func (w *estimator) recordWait(kind int, asks bool, estimated, actual float64, made bool) {
	if !made {
		return
	}
	const hair = 0.05 // under 50 ms nobody waits
	r, v := w.errorsFor(kind, asks, estimated), math.Log((actual+hair)/(estimated+hair))
	if r.stale = true; len(r.logRatios) < maxLogRatios {
		r.logRatios = append(r.logRatios, v)
		return
	}
	r.logRatios[r.next] = v
	r.next = (r.next + 1) % maxLogRatios
}

// significant tells whether enough of them are there to turn jobs away by them.
func (r *errorSample) significant() bool { return len(r.logRatios) >= 8 }

// quantiles gives the quantiles of a tenth, a half and nine tenths.
func (r *errorSample) quantiles() (low, middle, high float64) {
	if !r.significant() {
		return 0.5, 1, 2
	}
	if r.stale {
		sorted := slices.Sorted(slices.Values(r.logRatios))
		at := func(q float64) float64 {
			return math.Exp(min(max(sorted[int(q*float64(len(sorted)-1)+0.5)], -1.5), 1.5))
		}
		r.low, r.middle, r.high, r.stale = at(0.1), at(0.5), at(0.9), false
	}
	return r.low, r.middle, r.high
}

// runTime is how long the job will take once it is dispatched.
func (s *Scheduler) runTime(j *request) float64 { return j.work * s.estimator.slowdown[j.class] }

// share is the team's part of the whole while those that have jobs waiting now have them.
func (n *team) share() float64 {
	part := 1.0
	for p := n; p.parent != nil; p = p.parent {
		part *= weight(p) / max(p.parent.activeWeight, weight(p))
	}
	return part
}

// estimate tells how long a job at its place in the order will wait, as if the tags alone ordered: until its team has
// been given the work ahead of it, every other one gets its part meanwhile, or all that it has.
func (s *Scheduler) estimate(j *request) Estimate {
	n := j.team
	ahead, own, rate := max(j.workAheadTag-n.admittedWork, 0), n.share(), s.estimator.rate(s.now)
	// Meanwhile more comes for the others; how much depends on how long it takes.
	wait := 0.0
	for range 3 {
		sum := ahead
		if j.wantsEstimate && len(s.active) <= 64 {
			for _, o := range s.active {
				if o != n {
					sum += min(o.queuedWork+o.arrived.sum(s.now, 12)/6*wait, (ahead+j.work/2)*o.share()/own)
				}
			}
		} else {
			sum = min(s.root.queuedWork+s.root.arrived.sum(s.now, 12)/6*wait, (ahead+j.work/2)/own)
		}
		wait = (s.undispatchedWork + sum + j.work/2) / rate
	}
	e := Estimate{Start: wait, valid: true}
	if s.blockingTeam(j) != nil { // its own budget keeps it: its own pace counts
		if pace := n.completed.sum(s.now, 12) / 6; pace > 0 {
			e.Start = max(e.Start, (ahead+j.work/2)/pace)
		}
	}
	return e
}

// correct turns an estimate into what is told: moved by the median of how earlier ones turned out, with an interval.
func (s *Scheduler) correct(j *request) Estimate {
	return s.corrected(j, j.rawEstimate)
}

func (s *Scheduler) corrected(j *request, e Estimate) Estimate {
	low, middle, high := s.estimator.errorsFor(j.class, j.wantsEstimate, e.Start).quantiles()
	e.StartLow, e.StartHigh = e.Start*low, e.Start*high
	e.Start *= middle
	e.Completion = e.Start + s.runTime(j)
	return e
}

// reportChangedWaits tells those who asked and whose wait has moved by a part of it, and 50 ms at least. A few are looked at each
// time, so that thousands cost no more.
func (s *Scheduler) reportChangedWaits() {
	for range min(len(s.subscribers), 50) {
		j := s.subscribers[0]
		s.subscribers[0] = nil
		s.subscribers = s.subscribers[1:]
		if !j.queued || s.requests[j.id] != j {
			continue
		}
		s.subscribers = append(s.subscribers, j)
		before, told := j.reportedEstimate, s.corrected(j, s.estimate(j))
		left := before.Start - (s.now - before.at(j))
		if moved := math.Abs(told.Start - left); moved > max(s.options.MinEstimateChange*max(left, 0), 0.05) {
			j.reportedEstimate, j.reportedAt = told, s.now
			s.decisions = append(s.decisions, Decision{Action: ReportWait, Request: j.id, Estimate: told})
		}
	}
}

func (Estimate) at(j *request) float64 { return max(j.reportedAt, j.arrivedAt) }

// retryAfter is when such a job would be taken, spread by a fifth either way so that those told do not come at once.
func (s *Scheduler) retryAfter(j *request) float64 {
	if s.options.MaxRetryAfter == 0 {
		return 0
	}
	mark := j.workAheadTag
	if !j.queued {
		j.workAheadTag = j.team.admittedWork + j.team.queuedWork
	}
	wait := s.estimate(j).Start
	j.workAheadTag = mark
	h := fnv.New32a()
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], j.id)
	h.Write(b[:])
	spread := 0.8 + 0.4*float64(h.Sum32())/math.MaxUint32
	return min(max(wait, 0.05)*spread, s.options.MaxRetryAfter)
}

// window sums a measure over the latest stretch of time in fixed buckets that are used again.
type window struct {
	width   float64
	buckets []float64
	last    int64
}

func newWindow(width float64, n int) window { return window{width: width, buckets: make([]float64, n)} }

// advance clears what is past. A clock that has gone back adds to the latest bucket.
func (r *window) advance(now float64) {
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

func (r *window) add(now, v float64) {
	r.advance(now)
	r.buckets[r.last%int64(len(r.buckets))] += v
}

func (r *window) scale(by float64) {
	for i := range r.buckets {
		r.buckets[i] *= by
	}
}

// sum adds the n latest whole buckets, without the running one.
func (r *window) sum(now float64, n int) (sum float64) {
	r.advance(now)
	size := int64(len(r.buckets))
	for i := int64(1); i <= min(int64(n), size-1); i++ {
		sum += r.buckets[((r.last-i)%size+size)%size]
	}
	return sum
}
