package fairshare

// window sums a measure over the latest stretch of time, in buckets of fixed width that are used again.
type window struct {
	width   float64 // of a bucket, in seconds
	buckets []float64
	last    int64 // number of the running bucket since time 0
}

func newWindow(width float64, buckets int) window {
	return window{width: width, buckets: make([]float64, buckets)}
}

// advance clears the buckets that have passed. A clock that has gone back adds to the running bucket.
func (w *window) advance(now float64) {
	current := int64(now / w.width)
	if current-w.last >= int64(len(w.buckets)) {
		clear(w.buckets)
		w.last = current
	}
	for w.last < current {
		w.last++
		w.buckets[w.last%int64(len(w.buckets))] = 0
	}
}

func (w *window) add(now, v float64) {
	w.advance(now)
	w.buckets[w.last%int64(len(w.buckets))] += v
}

func (w *window) scale(by float64) {
	for i := range w.buckets {
		w.buckets[i] *= by
	}
}

// sum adds the n latest complete buckets, without the running one.
func (w *window) sum(now float64, n int) float64 {
	w.advance(now)
	size := int64(len(w.buckets))
	sum := 0.0
	for i := int64(1); i <= min(int64(n), size-1); i++ {
		sum += w.buckets[((w.last-i)%size+size)%size]
	}
	return sum
}
