package fairshare

import (
	"math"
	"slices"
)

const (
	completedWindowWidth   = 0.25 // seconds
	completedWindowBuckets = 20

	// Bounds of the time over which the rate of work is measured, in seconds: long enough for some tens of requests, short
	// enough to follow a change.
	minMeasuredSpan = 1
	maxMeasuredSpan = 3

	initialSlowdown    = 1.2
	initialWorkPerCore = 0.8 // work that a core completes per second
	minRate            = 0.1 // lower bound of the rate derived from the cores, in work per second
	slowdownSmoothing  = 0.05
	perCoreSmoothing   = 0.02
	maxSlowdownSample  = 10

	// Number of samples per class and length of wait: enough for a 10% quantile, few enough to follow a change.
	maxSamples = 64
	minSamples = 8 // minimum number of samples for their quantiles to be used

	negligibleWait = 0.05 // seconds
	maxLogRatio    = 1.5  // bound on the absolute value of a quantile's logarithm
)

// waitBounds divides estimated waits, in seconds, into ranges whose estimates have similar errors: momentary waits, waits in
// a short queue, and waits in a long one.
var waitBounds = []float64{0.2, 0.8, 3.2, 12.8}

// estimator measures the rate of completed work and the errors of earlier estimates.
type estimator struct {
	completed       window        // completed work
	backloggedSince float64       // start of the current backlog, infinity if no request is queued
	cores           float64       // number of cores of the engines in use
	workPerCore     float64       // work that a core completes per second while requests are queued
	slowdown        []float64     // run time divided by work, by class
	errors          []errorSample // errors by class, whether the client wants an estimate, and range of the wait
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

// setCores sets the number of cores and scales the measured work accordingly. When half of the cores are lost, waits double
// at once, before the measured rate could show it.
func (e *estimator) setCores(cores float64) {
	if e.cores > 0 && cores > 0 {
		e.completed.scale(cores / e.cores)
	}
	e.cores = cores
}

// setBacklogged records whether requests are queued.
func (e *estimator) setBacklogged(now float64, queued bool) {
	if !queued {
		e.backloggedSince = math.Inf(1)
	} else if math.IsInf(e.backloggedSince, 1) {
		e.backloggedSince = now
	}
}

func (e *estimator) workCompleted(now, work float64) { e.completed.add(now, work) }

// recordRun updates the slowdown of a class with a completed request.
func (e *estimator) recordRun(class int, elapsed, work float64) {
	e.slowdown[class] += slowdownSmoothing * (min(elapsed/work, maxSlowdownSample) - e.slowdown[class])
}

// rate returns the work that is completed per second while requests are queued. It is measured if requests have been queued
// for long enough, and derived from the number of cores otherwise.
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

// errorsFor returns the errors of a class's estimates in the range of the given estimated wait. Requests whose clients want
// an estimate get a more detailed one, whose errors are recorded separately.
func (e *estimator) errorsFor(class int, wantsEstimate bool, estimated float64) *errorSample {
	waitRange, _ := slices.BinarySearch(waitBounds, estimated)
	group := 2 * class
	if wantsEstimate {
		group++
	}
	return &e.errors[group*(len(waitBounds)+1)+waitRange]
}

// recordWait records the actual wait of a request against its first estimate.
func (e *estimator) recordWait(r *request, actual float64) {
	if !r.rawEstimate.valid {
		return
	}
	estimated := r.rawEstimate.Start
	e.errorsFor(r.class, r.wantsEstimate, estimated).add(math.Log((actual + negligibleWait) / (estimated + negligibleWait)))
}

// errorSample holds the most recent logarithms of the ratio of actual to estimated waits, for one class and range.
type errorSample struct {
	logRatios         []float64
	next              int  // index of the value to overwrite next
	stale             bool // the quantiles have to be recomputed
	low, median, high float64
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

// significant reports whether there are enough samples to reject requests on the basis of an estimate.
func (s *errorSample) significant() bool { return len(s.logRatios) >= minSamples }

// quantiles returns the 10%, 50% and 90% quantiles of the ratio of actual to estimated waits.
func (s *errorSample) quantiles() (low, median, high float64) {
	if !s.significant() {
		return 0.5, 1, 2
	}
	if s.stale {
		sorted := slices.Sorted(slices.Values(s.logRatios))
		at := func(quantile float64) float64 {
			logRatio := sorted[int(quantile*float64(len(sorted)-1)+0.5)]
			return math.Exp(min(max(logRatio, -maxLogRatio), maxLogRatio))
		}
		s.low, s.median, s.high, s.stale = at(0.1), at(0.5), at(0.9), false
	}
	return s.low, s.median, s.high
}
