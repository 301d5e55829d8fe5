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

// Store is an open store. It owns its directory until Run ends.
type Store struct {
	// SnapshotLearned gives what was learned, nil for nothing; it is called by Run's goroutine. Set before Run.
	SnapshotLearned func() []byte

	options  Options
	log      zerolog.Logger
	clock    Clock
	offset   float64 // of the store's time over the clock's
	replayed wal.ReplayResult
	dir      vfs.Dir
	rebooted bool // the machine was rebooted since the last process ended

	mu             sync.Mutex // guards the fields down to lastSlowCommit
	index          *idempotency.Index
	retries        []float64 // when retries were sent of late
	learned        []byte    // when, and what was learned
	pending        []byte    // records that wait to be written
	waiting        []waiter  // who waits for them
	dropped        bool      // records were dropped: a snapshot of all has to be written
	joined         map[*idempotency.Record][]chan Answer
	unavailable    bool      // the disk takes no records
	lastSlowCommit time.Time // when a commit last took long

	wake chan struct{} // holds one: records wait, or have been dropped

	// What follows belongs to the goroutine that calls Open and then to Run's.
	wal       *wal.Log
	scheduler *maintenance.Scheduler
	snapshot  *snapshotProgress // nil while none is written
	lastSync  time.Time
	unsynced  bool // records were written since
}

// Open opens the store of a controller and replays it. dir is nil for that of the options.
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
		_ = dir.Close() // the lock goes with the process at the latest
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

// replay reads the files, and takes up the store's time where the last process left it.
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

// resumeTime sets the store's time, which goes on over processes. Over a start of the machine no time is taken to have
// passed.
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
	if s.now() < latest { // which the clock rules out; then no time has passed
		s.offset = latest - now
	}
}

// now is the store's time, in seconds.
func (s *Store) now() float64 { return s.clock.Now() + s.offset }

// Replayed reports what the opening found, and whether the machine was rebooted since the last process ended.
func (s *Store) Replayed() (result wal.ReplayResult, rebooted bool) { return s.replayed, s.rebooted }

// Usage reports what is stored: keys, bytes in memory, and for how many seconds more what is not known may be lost.
func (s *Store) Usage() (keys, size int, uncertain float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Len(), s.index.Size(), max(s.index.UncertainUntil()-s.now(), 0)
}

// MaxRowBytes is how many bytes of rows are stored with an answer.
func (s *Store) MaxRowBytes() int { return int(s.options.MaxRowsKB * 1024) }

// PendingBytes is how many bytes wait to be written.
func (s *Store) PendingBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// Unavailable reports whether the disk takes no records now.
func (s *Store) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}
