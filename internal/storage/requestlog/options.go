package requestlog

import (
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// Description describes the settings section of the store.
const Description = "state that survives a crash: outstanding requests by idempotency key, retry limits and learned state; see docs/operators/store.md"

// Options are the operator's settings of the store. Times are in seconds.
type Options struct {
	Folder                string  // directory of the files; empty for no store
	Owner                 string  // name of the controller that owns the store
	Retention             float64 // how long clients may repeat a key
	MaxKeys               int     // maximum number of keys
	MemoryMB              float64 // maximum memory for the keys
	SegmentMB             float64 // segment size above which the log is compacted
	MaxRowsKB             float64 // maximum size of the rows stored with an answer
	SyncTimeout           float64 // longest wait for a record to be on disk
	OnUnavailable         string  // rejectUnrecorded or sendUnrecorded: what to do if the record of an attempt can't be written
	OnRepeat              string  // joinRepeat or rejectRepeat: handling of a request whose key is in progress
	SyncInterval          float64 // interval between syncs of records that no request waits for
	RetryInterval         float64 // interval between attempts to write to a failed disk
	LearnedInterval       float64 // interval between records of the learned state, 0 for none
	LearnedHalfLife       float64 // half-life of restored learned state
	BackgroundMBPerSecond float64 // maximum write rate of maintenance tasks
	Required              bool    // requests are rejected if the store can't be used
}

// The values of OnUnavailable and OnRepeat.
const (
	rejectUnrecorded = "throttle"
	sendUnrecorded   = "send"
	joinRepeat       = "join"
	rejectRepeat     = "refuse"
)

// DefaultOptions returns the options of an empty settings section.
func DefaultOptions() (o Options) {
	if err := schema.Read("", []byte("{}"), schema.DefaultBounds, o.Declare); err != nil {
		panic(err) // can't happen: no setting is required
	}
	return o
}

func (o *Options) indexLimits() idempotency.Limits {
	return idempotency.Limits{Retention: o.Retention, MaxRecords: o.MaxKeys, MaxBytes: int(o.MemoryMB * (1 << 20))}
}

// Enabled reports whether a store is configured.
func (o *Options) Enabled() bool { return o != nil && o.Folder != "" }

// Declare declares the settings of the section.
func (o *Options) Declare(s *schema.Object) {
	seconds := func(target *float64, name, text string, fallback, low, high float64) {
		s.Seconds(target, name, text, schema.Default(fallback), schema.Between(low, high))
	}
	size := func(target *float64, name, text, unit string, fallback, low, high float64) {
		s.Number(target, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit(unit))
	}
	s.String(&o.Folder, "folder", "directory of the store, on a disk that outlives the process; used by one controller only. Without it there is no store")
	seconds(&o.Retention, "window", "how long clients may repeat an idempotency key: a key is kept this long after its last use", 120, 1, 86400)
	schema.Integer(s, &o.MaxKeys, "keys", "maximum number of keys that are kept", schema.Default(100000), schema.Between(10, 10_000_000))
	size(&o.MemoryMB, "memory_mb", "maximum memory for the keys", "MB", 16, 0.1, 100000)
	size(&o.SegmentMB, "file_mb", "file size above which the store is compacted", "MB", 32, 0.01, 100000)
	size(&o.MaxRowsKB, "answers_kb", "maximum size of the rows kept with an answer; larger results are not kept", "KB", 16, 0, 4096)
	seconds(&o.SyncTimeout, "wait", "longest wait for the record of an attempt to be on disk before the attempt is sent", 0.1, 0.001, 60)
	s.String(&o.OnUnavailable, "without", "what happens to an attempt whose record can't be written in time: its request is rejected (throttle), or it is sent without the record (send)", schema.Default(rejectUnrecorded), schema.OneOf(rejectUnrecorded, sendUnrecorded))
	s.String(&o.OnRepeat, "repeat", "what happens to a request whose key is in progress on this controller: it joins the earlier request and gets its answer (join), or it is rejected (refuse)", schema.Default(joinRepeat), schema.OneOf(joinRepeat, rejectRepeat))
	seconds(&o.SyncInterval, "sync", "interval between syncs of records that no request waits for", 0.25, 0.001, 60)
	seconds(&o.RetryInterval, "retry", "interval between checks whether a failed disk accepts writes again", 1, 0.01, 3600)
	seconds(&o.LearnedInterval, "learned", "interval between records of the learned state; 0 for none", 10, 0, 3600)
	seconds(&o.LearnedHalfLife, "fade", "half-life with which restored learned state decays to the initial estimates", 600, 1, 1e6)
	size(&o.BackgroundMBPerSecond, "rate_mb", "maximum rate at which background work writes", "MB/s", 8, 0.01, 10000)
	s.Bool(&o.Required, "needed", "whether the controller rejects all requests while the store can't be used; otherwise it runs without a store, and reports that", schema.Default(false))
}
