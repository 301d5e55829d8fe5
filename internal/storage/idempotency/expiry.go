package idempotency

import (
	"container/heap"
	"math"
)

// expiryHeap has the records by the time at which they may be dropped, as container/heap wants it.
type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, k int) bool { return h[i].ExpiresAt < h[k].ExpiresAt }
func (h expiryHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

func (h *expiryHeap) Push(item any) {
	record := item.(*Record)
	record.heapIndex = len(*h)
	*h = append(*h, record)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	record := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	record.heapIndex = -1
	return record
}

// Expire drops what no client may repeat any more, and gives how soon there is more, infinity for nothing.
func (x *Index) Expire(now float64) (next float64) {
	x.advance(now)
	x.expire(now)
	if len(x.byExpiry) == 0 {
		return math.Inf(1)
	}
	return x.byExpiry[0].ExpiresAt
}

// expire drops what no client may repeat any more. A request that is in flight stays, however long it takes. Time that the
// clock went back by is waited for.
func (x *Index) expire(now float64) {
	x.dropExpired(now, func(record *Record) bool { return record.InFlight })
	if x.uncertainUntil > 0 && now >= x.uncertainUntil {
		x.uncertainUntil = 0
	}
}

// expireReplayed drops, while log records are replayed, what was over by the latest of them; otherwise a long log would
// need memory for all of its keys. Requests with an attempt that had not ended stay, however old.
func (x *Index) expireReplayed() {
	x.dropExpired(x.latest, func(record *Record) bool {
		return record.Outcome == Pending && !record.allEnded()
	})
}

// dropExpired drops the records that are over at a time; those that are to stay do so for the retention time more.
func (x *Index) dropExpired(now float64, stays func(*Record) bool) {
	for len(x.byExpiry) > 0 && x.byExpiry[0].ExpiresAt <= now {
		record := x.byExpiry[0]
		if stays(record) {
			record.ExpiresAt = now + x.limits.Retention
			heap.Fix(&x.byExpiry, record.heapIndex)
			continue
		}
		x.remove(record)
	}
}

const (
	// maxEvictionLooks bounds what one request may cost in makeRoom: so many records, the oldest first.
	maxEvictionLooks = 64
	// newRecordSize is what a record with its first attempt takes in memory, in bytes, beside its key.
	newRecordSize = recordOverhead + attemptOverhead
)

// makeRoom reports whether one more record may be kept. What has ended without harm gives way: idempotent requests, and
// rows, which may be asked of an engine again.
func (x *Index) makeRoom(key string) bool {
	full := func() bool {
		return len(x.byKey) >= x.limits.MaxRecords || x.size+newRecordSize+2*len(key) > x.limits.MaxBytes
	}
	for i := 0; i < min(maxEvictionLooks, len(x.byExpiry)) && full(); i++ {
		record := x.byExpiry[i]
		switch {
		case record.InFlight:
		case record.Idempotency == Idempotent:
			x.logChange(kindRemoved, record, nil)
			x.remove(record)
			i = -1 // the heap has changed: from its front again
		case len(record.Rows) > 0:
			x.size -= len(record.Rows)
			record.Rows, record.RowsComplete = nil, false
		}
	}
	return !full()
}
