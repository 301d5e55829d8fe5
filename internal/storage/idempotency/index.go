package idempotency

import (
	"container/heap"
	"maps"
	"slices"
)

// Limits bound what an Index stores.
type Limits struct {
	Retention  float64 // seconds in which a key may come again: stored as long after its latest attempt, answer or repeat
	MaxRecords int
	MaxBytes   int
}

// Index is everything that is stored, by key. It owns its records.
type Index struct {
	limits         Limits
	byKey          map[string]*Record
	byExpiry       expiryHeap // the same records
	size           int        // of all records in memory, in bytes
	uncertainUntil float64    // until then a key that is not known may be one that was lost; 0 where nothing was
	latest         float64    // the latest time passed in, over all processes
	rebootedAt     float64    // how long ago earlier attempts were is not known: the machine was started in between
	pendingLog     []byte     // log records since the last DrainLog
}

// New makes an empty index.
func New(limits Limits) *Index {
	return &Index{limits: limits, byKey: map[string]*Record{}}
}

// Len is the number of records.
func (x *Index) Len() int { return len(x.byKey) }

// Size is about how many bytes of memory they take.
func (x *Index) Size() int { return x.size }

// Keys lists all keys, sorted, for a snapshot that is written step by step.
func (x *Index) Keys() []string { return slices.Sorted(maps.Keys(x.byKey)) }

// LatestTime is the latest time that was passed in, over all processes.
func (x *Index) LatestTime() float64 { return x.latest }

// RecordsLost notes that log records were lost: until the retention time has passed, a key that is not known may have been
// one of them.
func (x *Index) RecordsLost(now float64) { x.uncertainUntil = max(now, x.latest) + x.limits.Retention }

// UncertainUntil reports until when that holds, 0 where nothing was lost.
func (x *Index) UncertainUntil() float64 { return x.uncertainUntil }

// Resume notes that a process begins on what was replayed. What may have run is stored for the retention time from now
// on, however long the controller was down: its client may have waited for it. rebooted says that the machine was started
// since.
func (x *Index) Resume(now float64, rebooted bool) {
	x.advance(now)
	x.beginRun(now)
	x.logResumed(now, rebooted)
	x.makeRoom("") // rows that an earlier process had dropped are back
	if rebooted {
		x.rebootedAt = now
	}
}

// beginRun notes that no request of an earlier process is in flight any more.
func (x *Index) beginRun(now float64) {
	for _, record := range x.byKey {
		record.InFlight = false
		record.ExpiresAt = max(record.ExpiresAt, now+x.limits.Retention)
	}
	heap.Init(&x.byExpiry)
}

// advance takes the time.
func (x *Index) advance(now float64) { x.latest = max(x.latest, now) }

func (x *Index) contains(record *Record) bool { return x.byKey[record.Key] == record }

func (x *Index) insert(record *Record, now float64) {
	x.byKey[record.Key] = record
	record.ExpiresAt = max(now, x.latest) + x.limits.Retention
	heap.Push(&x.byExpiry, record)
	x.size += record.memorySize()
}

// extend has a record stay for the retention time from now on.
func (x *Index) extend(record *Record) {
	if x.contains(record) {
		record.ExpiresAt = x.latest + x.limits.Retention
		heap.Fix(&x.byExpiry, record.heapIndex)
	}
}

func (x *Index) remove(record *Record) {
	if !x.contains(record) {
		return
	}
	delete(x.byKey, record.Key)
	heap.Remove(&x.byExpiry, record.heapIndex)
	x.size -= record.memorySize()
}

// resize changes a record that is stored and counts what it takes then.
func (x *Index) resize(record *Record, change func()) {
	x.size -= record.memorySize()
	change()
	x.size += record.memorySize()
}
