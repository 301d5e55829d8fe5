package fairshare

import (
	"math"
	"slices"
)

const (
	completedWindowWidth   = 0.25 // seconds
	completedWindowBuckets = 20

	// The pace is measured over at least the first and at most the second of these: long enough for some tens of requests,
	// short enough to see a change. Seconds.
	minMeasuredSpan = 1
	maxMeasuredSpan = 3

	initialSlowdown    = 1.2
	initialWorkPerCore = 0.8 // work that a core completes in a second
	minRate            = 0.1 // work a second, where nothing is known
	slowdownSmoothing  = 0.05
	perCoreSmoothing   = 0.02
	maxSlowdownSample  = 10

	maxSamples     = 64 // errors of estimates a class and length: enough for a quantile of a tenth, few enough to follow a change
	minSamples     = 8  // from which on they are trusted
	negligibleWait = 0.05
	maxLogRatio    = 1.5 // of a quantile, either way
)

// waitBounds part estimated waits, in seconds, into those of one kind of error: of a moment, of a queue, of a long one.
var waitBounds = []float64{0.2, 0.8, 3.2, 12.8}

// estimator measures the pace of work and how earlier estimates turned out.
type estimator struct {
	completed       window        // work
	backloggedSince float64       // requests have been queued without a break since, infinity while none is
	cores           float64       // of the engines in use
	workPerCore     float64       // completed in a second while requests are queued
	slowdown        []float64     // by class: run time over work
	errors          []errorSample // by class, whether the client wanted an estimate, and length
}

func newEstimator(classes int) estimator {
	e := estimator{
		completed:       newWindow(completedWindowWidth, completedWindowBuckets),
		backloggedSince: math.Inf(1),
		workPerCore:     initialWorkPerCore,
		slowdown:        make([]float64, classes),
		errors:          make([]errorSample, 2*classes*(len(waitBounds)+1)),
	}
	for class := range e.slowdown {
		e.slowdown[class] = initialSlowdown
	}
	return e
}

// setCores scales what was measured with another number of cores at once: when half of them go, waits double before the
// pace shows it.
func (e *estimator) setCores(cores float64) {
	if e.cores > 0 && cores > 0 {
		e.completed.scale(cores / e.cores)
	}
	e.cores = cores
}

func (e *estimator) setBacklogged(now float64, queued bool) {
	if !queued {
		e.backloggedSince = math.Inf(1)
	} else if math.IsInf(e.backloggedSince, 1) {
		e.backloggedSince = now
	}
}

func (e *estimator) workCompleted(now, work float64) { e.completed.add(now, work) }

// recordRun learns how long requests of a class run, over their work.
func (e *estimator) recordRun(class int, elapsed, work float64) {
	e.slowdown[class] += slowdownSmoothing * (min(elapsed/work, maxSlowdownSample) - e.slowdown[class])
}

// rate is the work completed in a second while requests are queued: as measured, else by the cores.
func (e *estimator) rate(now float64) float64 {
	span := min(now-e.backloggedSince, maxMeasuredSpan)
	if span < minMeasuredSpan {
		return e.rateByCores()
	}
	buckets := math.Floor(span / e.completed.width)
	measured := e.completed.sum(now, int(span/e.completed.width)) / (buckets * e.completed.width)
	if !(measured > 0) {
		return e.rateByCores()
	}
	if e.cores > 0 {
		e.workPerCore += perCoreSmoothing * (measured/e.cores - e.workPerCore)
	}
	return measured
}

func (e *estimator) rateByCores() float64 { return max(e.cores*e.workPerCore, minRate) }

// errorsFor finds the errors of a class's estimates of a length. Requests whose clients want an estimate get a finer one,
// with errors of its own.
func (e *estimator) errorsFor(class int, wantsEstimate bool, estimated float64) *errorSample {
	length, _ := slices.BinarySearch(waitBounds, estimated)
	group := 2 * class
	if wantsEstimate {
		group++
	}
	return &e.errors[group*(len(waitBounds)+1)+length]
}

// recordWait learns how long a request waited against its first estimate.
func (e *estimator) recordWait(r *request, actual float64) {
	if !r.rawEstimate.valid {
		return
	}
	estimated := r.rawEstimate.Start
	e.errorsFor(r.class, r.wantsEstimate, estimated).add(math.Log((actual + negligibleWait) / (estimated + negligibleWait)))
}

// errorSample holds the latest logarithms of actual over estimated waits of one class and length.
type errorSample struct {
	logRatios         []float64
	next              int  // the one to be overwritten
	stale             bool // the quantiles are to be computed anew
	low, middle, high float64
}

func (s *errorSample) add(logRatio float64) {
	s.stale = true
	if len(s.logRatios) < maxSamples {
		s.logRatios = append(s.logRatios, logRatio)
		return
	}
	s.logRatios[s.next] = logRatio
	s.next = (s.next + 1) % maxSamples
}

// significant reports whether there are enough of them to reject requests by.
func (s *errorSample) significant() bool { return len(s.logRatios) >= minSamples }

// quantiles returns the ratios of actual over estimated waits at a tenth, a half and nine tenths.
func (s *errorSample) quantiles() (low, middle, high float64) {
	if !s.significant() {
		return 0.5, 1, 2
	}
	if s.stale {
		sorted := slices.Sorted(slices.Values(s.logRatios))
		at := func(quantile float64) float64 {
			logRatio := sorted[int(quantile*float64(len(sorted)-1)+0.5)]
			return math.Exp(min(max(logRatio, -maxLogRatio), maxLogRatio))
		}
		s.low, s.middle, s.high, s.stale = at(0.1), at(0.5), at(0.9), false
	}
	return s.low, s.middle, s.high
}
