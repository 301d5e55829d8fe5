package admission

import (
	"cmp"
	"slices"
)

// slidingWindow sums a measure over the latest stretch of time in fixed buckets that are used again.
type slidingWindow struct {
	width   float64 // seconds of a bucket
	buckets []float64
	last    int64 // number of the running bucket, counted from time 0
}

// windowBuckets is how many buckets a window from the settings is divided into. What is compared with a limit over the
// window is summed over one bucket more, which errs on the safe side by a tenth of the window.
const windowBuckets = 10

// windowBucket is the bucket of a window from the settings, in seconds; a window of 0 is taken as one second.
func windowBucket(window float64) float64 { return cmp.Or(window, 1) / windowBuckets }

func newSlidingWindow(width float64, buckets int) slidingWindow {
	return slidingWindow{width: width, buckets: make([]float64, buckets)}
}

// advance empties the buckets that have passed.
func (w *slidingWindow) advance(now float64) {
	running, size := int64(now/w.width), int64(len(w.buckets))
	if running-w.last >= size {
		clear(w.buckets)
		w.last = running
	}
	for w.last < running {
		w.last++
		w.buckets[w.last%size] = 0
	}
}

func (w *slidingWindow) add(now, value float64) {
	w.advance(now)
	w.buckets[w.last%int64(len(w.buckets))] += value
}

// raiseTo keeps the largest value of each bucket.
func (w *slidingWindow) raiseTo(now, value float64) {
	w.advance(now)
	at := w.last % int64(len(w.buckets))
	w.buckets[at] = max(w.buckets[at], value)
}

// sum adds the n latest buckets, the running one included.
func (w *slidingWindow) sum(now float64, n int) float64 {
	w.advance(now)
	sum, size := 0.0, int64(len(w.buckets))
	for i := range int64(n) {
		sum += w.buckets[(w.last-i%size+size)%size]
	}
	return sum
}

// maxBucket is the fullest bucket.
func (w *slidingWindow) maxBucket() float64 { return slices.Max(w.buckets) }

// maxRate is the fullest bucket, as a rate a second.
func (w *slidingWindow) maxRate() float64 { return w.maxBucket() / w.width }

// remove takes the first x out of the list.
func remove[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
