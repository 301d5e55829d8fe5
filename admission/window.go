package admission

import (
	"cmp"
	"slices"
)

// slidingWindow sums a quantity over the latest period of time, in a ring of buckets of fixed width.
type slidingWindow struct {
	width   float64 // width of a bucket in seconds
	buckets []float64
	current int64 // number of the current bucket, counted from time 0
}

// windowBuckets is the number of buckets into which a window from the settings is divided. Sums that are compared with a limit
// over the window cover one bucket more, which errs on the safe side by a tenth of the window.
const windowBuckets = 10

// windowBucket returns the bucket width for a window from the settings, in seconds. A window of 0 is taken as one second.
func windowBucket(window float64) float64 { return cmp.Or(window, 1) / windowBuckets }

func newSlidingWindow(width float64, buckets int) slidingWindow {
	return slidingWindow{width: width, buckets: make([]float64, buckets)}
}

// advance clears the buckets that have expired.
func (w *slidingWindow) advance(now float64) {
	latest, size := int64(now/w.width), int64(len(w.buckets))
	if latest-w.current >= size {
		clear(w.buckets)
		w.current = latest
	}
	for w.current < latest {
		w.current++
		w.buckets[w.current%size] = 0
	}
}

func (w *slidingWindow) add(now, value float64) {
	w.advance(now)
	w.buckets[w.current%int64(len(w.buckets))] += value
}

// raiseTo raises the current bucket to the value if it is lower.
func (w *slidingWindow) raiseTo(now, value float64) {
	w.advance(now)
	i := w.current % int64(len(w.buckets))
	w.buckets[i] = max(w.buckets[i], value)
}

// sum returns the sum of the latest n buckets, including the current one.
func (w *slidingWindow) sum(now float64, n int) float64 {
	w.advance(now)
	sum, size := 0.0, int64(len(w.buckets))
	for i := range int64(n) {
		sum += w.buckets[(w.current-i%size+size)%size]
	}
	return sum
}

// maxBucket returns the value of the fullest bucket as of the latest update.
func (w *slidingWindow) maxBucket() float64 { return slices.Max(w.buckets) }

// maxRate returns the value of the fullest bucket as a rate per second.
func (w *slidingWindow) maxRate() float64 { return w.maxBucket() / w.width }

// remove removes the first x from the list.
func remove[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
