package requestlog

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/maintenance"
	"copperrock.example/copperrock/internal/storage/vfs"
	"copperrock.example/copperrock/internal/storage/wal"
)

// Store is an open store. It owns its directory until Run returns.
type Store struct {
	// SnapshotLearned returns the current learned state, or nil if there is none. It is set before Run and called on Run's
	// goroutine.
	SnapshotLearned func() []byte

	options  Options
	log      zerolog.Logger
	clock    Clock
	offset   float64 // store's time minus Clock.Now, in seconds
	replayed wal.ReplayResult
	dir      vfs.Dir
	rebooted bool // the machine was rebooted since the last process ended

	mu             sync.Mutex // guards the fields down to lastSlowCommit
	index          *idempotency.Index
	retries        []float64                             // times of recent retries, oldest first
	learned        []byte                                // latest learned state, preceded by its time
	pending        []byte                                // records to be written
	waiting        []waiter                              // waiters for the pending records
	dropped        bool                                  // records were dropped: a full snapshot has to be written
	joined         map[*idempotency.Record][]chan Answer // joined requests, by the record in progress
	unavailable    bool                                  // the disk rejects writes
	lastSlowCommit time.Time                             // time of the last slow commit

	wake chan struct{} // buffered; signals that records are pending or were dropped

	// The fields below belong to the goroutine that calls Open, and then to that of Run.
	wal       *wal.Log
	scheduler *maintenance.Scheduler
	snapshot  *snapshotProgress // nil if none is in progress
	lastSync  time.Time
	unsynced  bool // records were written after the last sync
}

// Open opens and replays the store of a controller. If dir is nil, it opens options.Folder.
func Open(options Options, dir vfs.Dir, clock Clock, log zerolog.Logger) (*Store, error) {
	if dir != nil {
		return open(options, dir, clock, log)
	}
	dir, err := vfs.Open(options.Folder, false)
	if err != nil {
		return nil, err
	}
	s, err := open(options, dir, clock, log)
	if err != nil {
		_ = dir.Close() // the lock is released at the latest when the process exits
	}
	return s, err
}

func open(options Options, dir vfs.Dir, clock Clock, log zerolog.Logger) (*Store, error) {
	s := &Store{
		options: options, log: log, clock: clock, dir: dir,
		index:  idempotency.New(options.indexLimits()),
		joined: map[*idempotency.Record][]chan Answer{},
		wake:   make(chan struct{}, 1),
	}
	if err := s.replay(); err != nil {
		return nil, err
	}
	s.scheduler = newScheduler(s.now(), options)
	s.enqueue(s.appendRun(s.index.DrainLog()), waiter{})
	if len(s.replayed.Damaged) > 0 || s.wal.Err() != nil { // before any record is written
		s.repair()
	}
	s.unavailable = s.wal.Err() != nil
	return s, nil
}

// replay reads the files and continues the store's time from the last process.
func (s *Store) replay() error {
	var last runRecord
	var err error
	s.wal, s.replayed, err = wal.Open(s.dir, wal.Identity{Name: s.options.Owner}, func(kind byte, body []byte) error {
		return s.replayRecord(kind, body, &last)
	})
	if err != nil {
		return err
	}
	s.resumeTime(last)
	s.index.Resume(s.now(), s.rebooted && last.bootID != "")
	if len(s.replayed.Damaged) > 0 {
		s.index.RecordsLost(s.now())
	}
	return nil
}

// resumeTime sets the store's time, which continues across processes. No time is taken to have passed over a reboot.
func (s *Store) resumeTime(last runRecord) {
	latest := s.index.LatestTime()
	for _, at := range s.retries {
		latest = max(latest, at)
	}
	now := s.clock.Now()
	s.rebooted = last.bootID != s.clock.BootID
	switch {
	case !s.rebooted:
		s.offset = last.offset
	case last.bootID != "":
		s.offset = latest - now
	}
	if s.now() < latest { // impossible with a correct clock; treated as if no time had passed
		s.offset = latest - now
	}
}

// now returns the store's time in seconds.
func (s *Store) now() float64 { return s.clock.Now() + s.offset }

// Replayed returns what Open found, and whether the machine was rebooted since the last process.
func (s *Store) Replayed() (result wal.ReplayResult, rebooted bool) { return s.replayed, s.rebooted }

// Usage returns the number of keys, their size in memory in bytes, and for how many more seconds a key without a record may
// be one whose record was lost.
func (s *Store) Usage() (keys, size int, uncertain float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Len(), s.index.Size(), max(s.index.UncertainUntil()-s.now(), 0)
}

// MaxRowBytes returns the maximum size of the rows stored with an answer.
func (s *Store) MaxRowBytes() int { return int(s.options.MaxRowsKB * 1024) }

// PendingBytes returns the size of the records that are not written yet.
func (s *Store) PendingBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// Unavailable reports whether the disk rejects writes.
func (s *Store) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}
