package idempotency

import (
	"container/heap"
	"maps"
	"slices"
)

// Limits bounds what an Index stores.
type Limits struct {
	Retention  float64 // seconds within which a key may be repeated: its record is stored this long after its latest use
	MaxRecords int
	MaxBytes   int // in memory
}

// Index holds the records of all keys. It owns its records.
type Index struct {
	limits         Limits
	byKey          map[string]*Record
	byExpiry       expiryHeap // the same records, by expiry time
	size           int        // of all records in memory, in bytes
	uncertainUntil float64    // until then an unknown key may be one that was lost; 0 if none was
	latest         float64    // latest time passed in, over all processes
	rebootedAt     float64    // time of the last reboot: the ages of attempts before it are unknown
	pendingLog     []byte     // log records since the last DrainLog
}

// New returns an empty index.
func New(limits Limits) *Index {
	return &Index{limits: limits, byKey: map[string]*Record{}}
}

// Len returns the number of records.
func (x *Index) Len() int { return len(x.byKey) }

// Size returns the approximate size of all records in memory, in bytes.
func (x *Index) Size() int { return x.size }

// Keys returns all keys, sorted, for a snapshot that is written in steps.
func (x *Index) Keys() []string { return slices.Sorted(maps.Keys(x.byKey)) }

// LatestTime returns the latest time passed in, over all processes.
func (x *Index) LatestTime() float64 { return x.latest }

// RecordsLost notes that log records were lost: until the retention time has passed, an unknown key may be one of them.
func (x *Index) RecordsLost(now float64) { x.uncertainUntil = max(now, x.latest) + x.limits.Retention }

// UncertainUntil returns the time until which an unknown key may be one whose records were lost, or 0 if none were.
func (x *Index) UncertainUntil() float64 { return x.uncertainUntil }

// Resume notes that a process continues with the replayed state. All records, also those of requests that may have run, are
// stored for another retention time, however long the controller was down, because the clients may have waited for it.
// rebooted reports whether the machine was rebooted since the last process.
func (x *Index) Resume(now float64, rebooted bool) {
	x.advance(now)
	x.beginRun(now)
	x.logResumed(now, rebooted)
	x.makeRoom("") // replay has restored rows that an earlier process had evicted
	if rebooted {
		x.rebootedAt = now
	}
}

// beginRun notes that no request of an earlier process is in flight any more, and extends the retention of all records.
func (x *Index) beginRun(now float64) {
	for _, record := range x.byKey {
		record.InFlight = false
		record.ExpiresAt = max(record.ExpiresAt, now+x.limits.Retention)
	}
	heap.Init(&x.byExpiry)
}

// advance updates the latest time.
func (x *Index) advance(now float64) { x.latest = max(x.latest, now) }

func (x *Index) contains(record *Record) bool { return x.byKey[record.Key] == record }

func (x *Index) insert(record *Record, now float64) {
	x.byKey[record.Key] = record
	record.ExpiresAt = max(now, x.latest) + x.limits.Retention
	heap.Push(&x.byExpiry, record)
	x.size += record.memorySize()
}

// extend restarts the retention time of a record.
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

// resize applies a change to a stored record and updates the size of the index.
func (x *Index) resize(record *Record, change func()) {
	x.size -= record.memorySize()
	change()
	x.size += record.memorySize()
}
