package requestlog

import (
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// Description says what the section of the settings is.
const Description = "what outlives a crash: outstanding requests under their idempotency keys, retry limits, learned state; docs/operators/store.md"

// Options are the operator's settings of the store. Times are in seconds.
type Options struct {
	Folder                string  // of the files; without it there is no store
	Owner                 string  // the controller whose store it is
	Retention             float64 // in which clients may repeat a key
	MaxKeys               int
	MemoryMB              float64 // that keys may take
	SegmentMB             float64 // after which the log is compacted
	MaxRowsKB             float64 // of rows that are stored with an answer
	SyncTimeout           float64 // for a record to be on the disk
	OnUnavailable         string  // rejectUnrecorded or sendUnrecorded: an attempt that needs a record which can't be had
	OnRepeat              string  // joinRepeat or rejectRepeat: a request whose key is in progress
	SyncInterval          float64 // between syncs of what nobody waits for
	RetryInterval         float64 // between looks whether a disk that failed is back
	LearnedInterval       float64 // between records of what was learned, 0 for none
	LearnedHalfLife       float64 // in which that fades
	BackgroundMBPerSecond float64 // that background work may write
	Required              bool    // without the store no request is taken
}

// The values of OnUnavailable and OnRepeat.
const (
	rejectUnrecorded = "throttle"
	sendUnrecorded   = "send"
	joinRepeat       = "join"
	rejectRepeat     = "refuse"
)

// DefaultOptions are the options as settings without a word on them have them.
func DefaultOptions() (o Options) {
	if err := schema.Read("", []byte("{}"), schema.DefaultBounds, o.Declare); err != nil {
		panic(err) // nothing in it is required
	}
	return o
}

func (o *Options) indexLimits() idempotency.Limits {
	return idempotency.Limits{Retention: o.Retention, MaxRecords: o.MaxKeys, MaxBytes: int(o.MemoryMB * (1 << 20))}
}

// Enabled reports whether there is a store.
func (o *Options) Enabled() bool { return o != nil && o.Folder != "" }

// Declare declares the section.
func (o *Options) Declare(s *schema.Object) {
	seconds := func(to *float64, name, text string, fallback, low, high float64) {
		s.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
	}
	size := func(to *float64, name, text, unit string, fallback, low, high float64) {
		s.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit(unit))
	}
	s.String(&o.Folder, "folder", "on a disk that outlives the process; one controller's alone. Without it there is no store")
	seconds(&o.Retention, "window", "in which clients may repeat an idempotency key: it is kept as long after its last use", 120, 1, 86400)
	schema.Integer(s, &o.MaxKeys, "keys", "that are kept at most", schema.Default(100000), schema.Between(10, 10_000_000))
	size(&o.MemoryMB, "memory_mb", "that they may take", "MB", 16, 0.1, 100000)
	size(&o.SegmentMB, "file_mb", "after which a file is compacted", "MB", 32, 0.01, 100000)
	size(&o.MaxRowsKB, "answers_kb", "of rows kept with an answer; larger ones are not", "KB", 16, 0, 4096)
	seconds(&o.SyncTimeout, "wait", "for a record to be on the disk before an attempt is sent", 0.1, 0.001, 60)
	s.String(&o.OnUnavailable, "without", "what becomes of an attempt whose record can't be had in time: its request is rejected (throttle), or it is sent all the same (send)", schema.Default(rejectUnrecorded), schema.OneOf(rejectUnrecorded, sendUnrecorded))
	s.String(&o.OnRepeat, "repeat", "a request whose key is in progress here: it joins that one and has its answer (join), or is rejected (refuse)", schema.Default(joinRepeat), schema.OneOf(joinRepeat, rejectRepeat))
	seconds(&o.SyncInterval, "sync", "between syncs of records that nobody waits for", 0.25, 0.001, 60)
	seconds(&o.RetryInterval, "retry", "between looks whether a disk that failed takes records again", 1, 0.01, 3600)
	seconds(&o.LearnedInterval, "learned", "between records of what was learned; 0 for none", 10, 0, 3600)
	seconds(&o.LearnedHalfLife, "fade", "in which half of what was learned fades to the initial estimates", 600, 1, 1e6)
	size(&o.BackgroundMBPerSecond, "rate_mb", "a second that background work may write", "MB/s", 8, 0.01, 10000)
	s.Bool(&o.Required, "needed", "without the store the controller takes no request; else it serves as if there were none, and says so", schema.Default(false))
}
