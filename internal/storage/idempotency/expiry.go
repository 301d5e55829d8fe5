package idempotency

import (
	"container/heap"
	"math"
)

// expiryHeap orders records by expiry time. It implements heap.Interface.
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

// Expire drops the records of keys that no client may repeat any more. It returns the earliest time at which another record
// may expire, or infinity if there are none.
func (x *Index) Expire(now float64) (next float64) {
	x.advance(now)
	x.expire(now)
	if len(x.byExpiry) == 0 {
		return math.Inf(1)
	}
	return x.byExpiry[0].ExpiresAt
}

// expire drops the records of keys that no client may repeat any more, except those with a request in flight, however long
// that takes. If the clock goes back, records expire later by that time.
func (x *Index) expire(now float64) {
	x.dropExpired(now, func(record *Record) bool { return record.InFlight })
	if x.uncertainUntil > 0 && now >= x.uncertainUntil {
		x.uncertainUntil = 0
	}
}

// expireReplayed drops records, during a replay, that had expired by the time of the latest log record; otherwise a long log
// would need memory for all of its keys. Requests with an attempt that had not ended stay, however old they are.
func (x *Index) expireReplayed() {
	x.dropExpired(x.latest, func(record *Record) bool {
		return record.Outcome == Pending && !record.allEnded()
	})
}

// dropExpired drops the records that have expired by now. Those for which stays returns true are retained for another
// retention time.
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
	// maxEvictionScan bounds the cost of makeRoom per request: the number of records examined, from the front of the expiry
	// heap, until one is evicted.
	maxEvictionScan = 64
	// newRecordSize is the size of a record with its first attempt in memory, in bytes, without its key.
	newRecordSize = recordOverhead + attemptOverhead
)

// makeRoom reports whether one more record may be stored. To make room, it evicts what can be lost without harm: records of
// idempotent requests that are not in flight, and the rows of other requests, which the client can query again.
func (x *Index) makeRoom(key string) bool {
	full := func() bool {
		return len(x.byKey) >= x.limits.MaxRecords || x.size+newRecordSize+2*len(key) > x.limits.MaxBytes
	}
	for i := 0; i < min(maxEvictionScan, len(x.byExpiry)) && full(); i++ {
		record := x.byExpiry[i]
		switch {
		case record.InFlight:
		case record.Idempotency == Idempotent:
			x.logChange(kindRemoved, record, nil)
			x.remove(record)
			i = -1 // the heap has changed: start again from its front
		case len(record.Rows) > 0:
			x.size -= len(record.Rows)
			record.Rows, record.RowsComplete = nil, false
		}
	}
	return !full()
}
