package fairshare

// window sums amounts over the most recent period, in a ring of buckets of fixed width.
type window struct {
	width   float64 // width of a bucket, in seconds
	buckets []float64
	last    int64 // number of the current bucket, counted from time 0
}

func newWindow(width float64, buckets int) window {
	return window{width: width, buckets: make([]float64, buckets)}
}

// advance clears the buckets up to the one for the current time. If the clock has gone back, the latest bucket stays current.
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

func (w *window) add(now, amount float64) {
	w.advance(now)
	w.buckets[w.last%int64(len(w.buckets))] += amount
}

func (w *window) scale(factor float64) {
	for i := range w.buckets {
		w.buckets[i] *= factor
	}
}

// sum returns the sum of the n most recent complete buckets, without the current one.
func (w *window) sum(now float64, n int) float64 {
	w.advance(now)
	size := int64(len(w.buckets))
	sum := 0.0
	for i := int64(1); i <= min(int64(n), size-1); i++ {
		sum += w.buckets[((w.last-i)%size+size)%size]
	}
	return sum
}
