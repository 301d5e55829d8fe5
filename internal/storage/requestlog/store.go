// Package requestlog has outstanding work, limits and what was learned outlive the controller. What may be done for a job that
// comes under a key is decided by internal/storage/idempotency, how the files look by internal/storage/wal, when background work
// goes by internal/storage/maintenance; this package owns the goroutine that writes, many records with one sync.
//
// A disk that is slow or fails delays nothing that needs no record. What needs one waits for a bounded time, and is then
// throttled or sent all the same, as the settings say. After a failed write or sync nothing is written to that file again:
// all that is kept is written anew, from memory, once the disk takes it.
package requestlog

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/maintenance"
	"copperrock.example/copperrock/internal/storage/vfs"
	"copperrock.example/copperrock/internal/storage/wal"
)

// Clock is a clock that does not go back while the machine runs: its starts have names.
type Clock struct {
	BootID string         // of the machine
	Now    func() float64 // seconds since then
}

// MachineClock is the machine's own, which also counts while the machine sleeps.
func MachineClock() Clock {
	start, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	c := Clock{BootID: strings.TrimSpace(string(start)), Now: func() float64 {
		var t unix.Timespec
		unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
		return float64(t.Sec) + float64(t.Nsec)/1e9
	}}
	if err != nil { // then each start of the program is taken for one of the machine, which is stricter
		c.BootID = fmt.Sprint("unknown ", time.Now().UnixNano())
	}
	return c
}

// The records beside the past's.
const (
	kindRun     = idempotency.NextKind + iota // a life begins: the machine's start, its clock, the store's
	kindRetry                                 // a further dispatch went: when
	kindLearned                               // what was learned: when, and its bytes
)

// Store is an open store.
type Store struct {
	options  Options
	log      zerolog.Logger
	clock    Clock
	offset   float64 // of the store's time over the clock's
	replayed wal.ReplayResult
	dir      vfs.Dir
	rebooted bool // it was started since the last life

	mu             sync.Mutex // past and what waits to be written
	index          *idempotency.Index
	retries        []float64 // further dispatches of late
	pending        []byte
	waiting        []waiter
	dropped        bool // records were dropped: all has to be written anew
	joined         map[*idempotency.Record][]chan Answer
	learned        []byte
	unavailable    bool
	lastSlowCommit time.Time // when a commit last took long

	wake      chan struct{}
	wal       *wal.Log // the disk goroutine's, as all that follows
	scheduler *maintenance.Scheduler
	snapshot  *snapshotProgress
	lastSync  time.Time
	unsynced  bool

	// SnapshotLearned gives what was learned, nil for nothing; it is called by the disk's goroutine. Set before Run.
	SnapshotLearned func() []byte
}

// Answer is a final answer, for those who joined a job.
type Answer struct {
	Outcome      idempotency.Outcome
	Rows         []byte
	RowsComplete bool
	Reason       string
	RetryAfter   float64
}

// window of further dispatches that is kept; settings may ask for less.
const retryRetention = 3600

// maxPending bounds what waits to be written; beyond it the disk is taken for stuck.
const maxPending = 8 << 20

// Open opens the store of a controller and replays it. folder is nil for that of the options.
func Open(o Options, folder vfs.Dir, clock Clock, log zerolog.Logger) (s *Store, err error) {
	s = &Store{options: o, log: log, clock: clock, joined: map[*idempotency.Record][]chan Answer{}, wake: make(chan struct{}, 1),
		index: idempotency.New(idempotency.Limits{Retention: o.Retention, MaxRecords: o.MaxKeys, MaxBytes: int(o.MemoryMB * (1 << 20))})}
	if folder == nil {
		if folder, err = vfs.Open(o.Folder, false); err != nil {
			return nil, err
		}
		defer func() {
			if err != nil {
				folder.Close()
			}
		}()
	}
	s.dir = folder
	last := runRecord{}
	s.wal, s.replayed, err = wal.Open(folder, wal.Identity{Name: o.Owner}, func(kind byte, body []byte) error {
		return s.replay(kind, body, &last)
	})
	if err != nil {
		return nil, err
	}
	latest := s.index.LatestTime()
	for _, at := range s.retries {
		latest = max(latest, at)
	}
	now := clock.Now()
	if s.rebooted = last.bootID != clock.BootID; !s.rebooted {
		s.offset = last.offset
	} else if last.bootID != "" { // no time is taken to have passed
		s.offset = latest - now
	}
	if s.now() < latest { // which the clock rules out; then no time has passed
		s.offset = latest - now
	}
	s.index.Resume(s.now(), s.rebooted && last.bootID != "")
	if len(s.replayed.Damaged) > 0 {
		s.index.RecordsLost(s.now())
	}
	s.scheduler = maintenance.New(s.now(), maintenance.Task{Name: taskRepair, Urgent: true}, maintenance.Task{Name: taskCompact, Priority: 1, CPUShare: 0.25, BytesPerSecond: o.BackgroundMBPerSecond * (1 << 20)},
		maintenance.Task{Name: taskExpire, Priority: 2, Interval: 1, CPUShare: 0.1}, maintenance.Task{Name: taskLearned, Priority: 3, Interval: o.LearnedInterval, CPUShare: 0.1})
	s.enqueue(wal.AppendRecord(s.index.DrainLog(), kindRun, runRecord{clock.BootID, s.offset}.bytes()), nil)
	if len(s.replayed.Damaged) > 0 || s.wal.Err() != nil { // before any record is written
		for more := true; more; {
			if _, more, err = s.maintenanceStep(taskRepair); err != nil {
				s.scheduler.Request(s.now(), taskRepair)
			}
		}
		err = nil
	}
	s.unavailable = s.wal.Err() != nil
	return s, nil
}

// now is the store's time, in seconds: it goes on over lives.
func (s *Store) now() float64 { return s.clock.Now() + s.offset }

// Replayed tells what the opening found, and whether the machine was started since the last life.
func (s *Store) Replayed() (f wal.ReplayResult, machine bool) { return s.replayed, s.rebooted }

// Usage, Size and Gap tell what is kept: keys, bytes in memory, and for how many seconds more what is not known may be lost.
func (s *Store) Usage() (keys, size int, gap float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Len(), s.index.Size(), max(s.index.UncertainUntil()-s.now(), 0)
}

// MaxRowBytes is how many bytes of rows are kept with an answer.
func (s *Store) MaxRowBytes() int { return int(s.options.MaxRowsKB * 1024) }

// PendingBytes is how many bytes wait to be written.
func (s *Store) PendingBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// Unavailable tells whether the disk takes no records now.
func (s *Store) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

// runRecord is the record that opens one.
type runRecord struct {
	bootID string
	offset float64
}

func (l runRecord) bytes() []byte {
	return append(binary.BigEndian.AppendUint64(nil, math.Float64bits(l.offset)), l.bootID...)
}

// replay takes a record.
func (s *Store) replay(kind byte, body []byte, last *runRecord) error {
	switch {
	case idempotency.OwnsKind(kind):
		return s.index.Replay(kind, body)
	case kind == kindRun && len(body) >= 8:
		*last = runRecord{string(body[8:]), math.Float64frombits(binary.BigEndian.Uint64(body))}
	case kind == kindRetry && len(body) == 8:
		if at := math.Float64frombits(binary.BigEndian.Uint64(body)); !math.IsNaN(at) {
			s.retries = append(s.retries, at)
		}
	case kind == kindLearned && len(body) >= 8:
		s.learned = append([]byte(nil), body...)
	default:
		return fmt.Errorf("a record of kind %d that can't be read", kind)
	}
	return nil
}

// waiter hears once what was put is written, and with sync is on the disk, or why not.
type waiter struct {
	done chan<- error
	sync bool
}

// enqueue adds records to what waits to be written, with the lock held. done, where it is not nil, hears once they are on the
// disk.
func (s *Store) enqueue(records []byte, done chan<- error) {
	s.enqueueWithWaiter(records, waiter{done, true})
}

// enqueueWithWaiter is put for one who may not need the sync.
func (s *Store) enqueueWithWaiter(records []byte, w waiter) {
	done := w.done
	if done != nil && (s.unavailable || s.dropped) {
		done <- wal.ErrUnavailable
		done = nil
	}
	switch {
	case s.unavailable || s.dropped: // all is written anew from memory once the disk is back
	case len(s.pending)+len(records) > maxPending:
		s.dropped = true
		for _, w := range s.waiting {
			w.done <- wal.ErrUnavailable
		}
		if done != nil {
			done <- wal.ErrUnavailable
		}
		s.pending, s.waiting = nil, nil
	default:
		s.pending = append(s.pending, records...)
		if done != nil {
			s.waiting = append(s.waiting, w)
		}
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ---- jobs

// Request is one job of this life under a key.
type Request struct {
	store       *Store
	record      *idempotency.Record
	idempotency idempotency.Idempotency
	finished    bool
}

// Admission is what a job may do. Ticket is there with Fresh and Again, and nil where nothing is kept of it.
type Admission struct {
	Decision idempotency.Decision
	Request  *Request
	Prior    []idempotency.Attempt // with Again: At is how many seconds ago
	Answer   Answer                // with Answered
	Joined   <-chan Answer         // with Joined, where those who repeat join: the answer, once there is one
}

// Admit decides on a job that comes under a key. first tells that its client says it is its first try; within is for how
// many seconds after its first dispatch a keyed one may go again.
func (s *Store) Admit(key string, effect idempotency.Idempotency, within float64, first bool) (t Admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, e := s.index.Admit(s.now(), key, effect, within, first)
	t.Decision = v
	switch v {
	case idempotency.Proceed, idempotency.Retry:
		if e == nil {
			break
		}
		t.Request = &Request{store: s, record: e, idempotency: e.Idempotency}
		for _, d := range e.Attempts {
			d.StartedAt = s.now() - d.StartedAt
			t.Prior = append(t.Prior, d)
		}
	case idempotency.Answered:
		t.Answer = Answer{Outcome: e.Outcome, Rows: e.Rows, RowsComplete: e.RowsComplete}
	case idempotency.InProgress:
		if s.options.OnRepeat == "join" {
			answer := make(chan Answer, 1)
			s.joined[e] = append(s.joined[e], answer)
			t.Joined = answer
		}
	}
	s.enqueue(s.index.DrainLog(), nil)
	return t
}

// ErrNotRecorded tells that a dispatch may not go: the record of it could not be had.
var ErrNotRecorded = errors.New("the dispatch could not be put on record")

// StartAttempt puts a dispatch on record, and gives its number among all of the key. Where the job's effect needs that it waits
// until the record is on the disk, for so long at most. After an error nothing may go; it has been recorded as not gone.
func (t *Request) StartAttempt(engine string, zone, cell int, longest time.Duration) (number int, err error) {
	s := t.store
	var done chan error
	if t.idempotency.NeedsRecord() {
		done = make(chan error, 1)
	}
	s.mu.Lock()
	number = s.index.StartAttempt(s.now(), t.record, engine, zone, cell)
	s.enqueue(s.index.DrainLog(), done)
	s.mu.Unlock()
	if done == nil {
		return number, nil
	}
	wait := time.NewTimer(min(longest, time.Duration(s.options.SyncTimeout*float64(time.Second))))
	defer wait.Stop()
	select {
	case err = <-done:
	case <-wait.C:
		err = errors.New("not on the disk in time")
	}
	if err == nil {
		return number, nil
	}
	if s.options.OnUnavailable == "send" {
		s.log.Warn().Err(err).Str("engine", engine).Msg("a dispatch goes without its record: after a crash it could go again")
		return number, nil
	}
	t.EndAttempt(number, false)
	return number, errors.Join(ErrNotRecorded, err)
}

// EndAttempt tells that a dispatch is over, and whether it ran or may have.
func (t *Request) EndAttempt(number int, ran bool) {
	s := t.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.EndAttempt(s.now(), t.record, number, ran)
	s.enqueue(s.index.DrainLog(), nil)
}

// answerWait bounds how long an answer waits to be written. It comes in some tens of microseconds where the disk is not
// stuck, and then the answer is not held back for it.
const answerWait = 20 * time.Millisecond

// Finish tells the job's final answer, to the store and to all who joined; only the first counts. An outcome of Open is
// one that binds nobody. One that binds is written when it returns, though not on the disk yet: it outlives the process,
// and where the machine crashes the job may have run.
func (t *Request) Finish(f Answer) {
	s := t.store
	var written chan error
	s.mu.Lock()
	if t.finished {
		s.mu.Unlock()
		return
	}
	t.finished = true
	defer func() {
		s.mu.Unlock()
		if written != nil {
			AwaitWritten(written)
		}
	}()
	s.index.Finish(s.now(), t.record, f.Outcome, f.Rows, f.RowsComplete)
	for _, answer := range s.joined[t.record] {
		answer <- f // each has room for one
	}
	delete(s.joined, t.record)
	if f.Outcome != idempotency.Pending && t.idempotency.NeedsRecord() {
		written = make(chan error, 1)
		s.enqueueWithWaiter(s.index.DrainLog(), waiter{written, false})
		return
	}
	s.enqueue(s.index.DrainLog(), nil)
}

// JoinedRequests is how many wait for another's answer.
func (s *Store) JoinedRequests() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, all := range s.joined {
		n += len(all)
	}
	return n
}

// ---- limits and what was learned

// RecordRetry tells that a further dispatch is about to go. What it gives hears once that is written; a dispatch that waits for
// it counts against its window also where the process is killed a moment later.
func (s *Store) RecordRetry() <-chan error {
	written := make(chan error, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for len(s.retries) > 0 && s.retries[0] < now-retryRetention {
		s.retries = s.retries[1:]
	}
	s.retries = append(s.retries, now)
	s.enqueueWithWaiter(wal.AppendRecord(nil, kindRetry, binary.BigEndian.AppendUint64(nil, math.Float64bits(now))), waiter{written, false})
	return written
}

// AwaitWritten waits for that, as long as an answer would.
func AwaitWritten(written <-chan error) {
	late := time.NewTimer(answerWait)
	defer late.Stop()
	select {
	case <-written:
	case <-late.C:
	}
}

// RetriesWithin is how many further dispatches lives before sent in the last seconds. Where the last one did not end in
// order on this machine's run, or records were lost, it is not known.
func (s *Store) RetriesWithin(seconds float64) (n int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.retries {
		if at > s.now()-seconds {
			n++
		}
	}
	return n, s.index.UncertainUntil() == 0 && (s.replayed.CleanShutdown || !s.rebooted)
}

// LearnedState is what a life before had learned, and how many seconds ago; nil for nothing.
func (s *Store) LearnedState() (text []byte, age float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.learned) < 8 {
		return nil, 0
	}
	return s.learned[8:], max(s.now()-math.Float64frombits(binary.BigEndian.Uint64(s.learned)), 0)
}

// ---- the disk

// The kinds of background work.
const (
	taskRepair  = "mend"   // all written anew, since the disk had failed
	taskCompact = "anew"   // all written anew, since the file has grown
	taskExpire  = "expire" // what no client may repeat any more
	taskLearned = "learned"
)

// Run writes until ctx ends, and then what is left.
func (s *Store) Run(ctx context.Context) error {
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			s.scheduler.Stop(s.now(), s.now()+0.2)
			s.commit(true)
			err := s.wal.Close()
			s.dir.Close()
			if err != nil {
				s.log.Warn().Err(err).Msg("the store did not end in order")
			}
			return ctx.Err()
		case <-s.wake:
		case <-again.C:
		}
		s.commit(false)
		again.Reset(s.runMaintenance())
	}
}

// commit writes what waits, and syncs it where somebody waits for that, or the last sync is long ago.
func (s *Store) commit(last bool) {
	s.mu.Lock()
	records, waiting := s.pending, s.waiting
	s.pending, s.waiting = nil, nil
	s.mu.Unlock()
	s.unsynced = s.unsynced || len(records) > 0
	every := time.Duration(s.options.SyncInterval * float64(time.Second))
	sync := slices.ContainsFunc(waiting, func(w waiter) bool { return w.sync }) || s.unsynced && (last || time.Since(s.lastSync) >= every)
	if len(records) == 0 && !sync {
		return
	}
	began := time.Now()
	err := s.wal.Append(records, sync)
	took := time.Since(began)
	if sync {
		s.lastSync, s.unsynced = time.Now(), false
	}
	for _, w := range waiting {
		w.done <- err
	}
	s.mu.Lock()
	if took > time.Duration(s.options.SyncTimeout*float64(time.Second))/2 {
		s.lastSlowCommit = time.Now()
	}
	fell := err != nil && !s.unavailable
	s.unavailable = err != nil
	s.mu.Unlock()
	if fell {
		s.log.Error().Err(err).Str("without", s.options.OnUnavailable).Msg("the store's disk does not take records")
		s.scheduler.Request(s.now()+s.options.RetryInterval, taskRepair)
	}
}

// runMaintenance does a step of background work, where one may go, and tells when to look again.
func (s *Store) runMaintenance() time.Duration {
	now := s.now()
	s.mu.Lock()
	late := len(s.waiting) > 0 || time.Since(s.lastSlowCommit) < time.Second
	behind, down := s.dropped, s.unavailable
	s.mu.Unlock()
	if behind || down {
		s.scheduler.Request(now, taskRepair)
	} else if s.wal.SegmentSize() > int64(s.options.SegmentMB*(1<<20)) {
		s.scheduler.Request(now, taskCompact)
	}
	name, at := s.scheduler.Next(now, late)
	if name == "" {
		wait := at - now
		if s.unsynced {
			wait = min(wait, s.options.SyncInterval)
		}
		return time.Duration(min(max(wait, 0.001), 1) * float64(time.Second))
	}
	began := time.Now()
	bytes, more, err := s.maintenanceStep(name)
	s.scheduler.StepDone(s.now(), time.Since(began).Seconds(), float64(bytes), more)
	if err != nil {
		s.log.Debug().Err(err).Str("work", name).Msg("background work of the store failed")
		return time.Duration(s.options.RetryInterval * float64(time.Second))
	}
	return 0
}

// snapshotProgress is a whole that is being written.
type snapshotProgress struct {
	writer *wal.SnapshotWriter
	keys   []string
	repair bool
}

// maintenanceStep does one step of a kind of work.
func (s *Store) maintenanceStep(name string) (bytes int, more bool, err error) {
	switch name {
	case taskExpire:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.index.Expire(s.now())
		return 0, false, nil
	case taskLearned:
		if s.SnapshotLearned == nil || s.options.LearnedInterval == 0 {
			return 0, false, nil
		}
		text := s.SnapshotLearned()
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(text) > 0 && len(text) < wal.MaxRecordSize-8 {
			s.learned = append(binary.BigEndian.AppendUint64(nil, math.Float64bits(s.now())), text...)
			s.enqueue(wal.AppendRecord(nil, kindLearned, s.learned), nil)
		}
		return len(text), false, nil
	}
	return s.snapshotStep(name == taskRepair)
}

// snapshotStep writes all that is kept, some keys a step. Mending goes first and takes over what had been begun.
func (s *Store) snapshotStep(mending bool) (bytes int, more bool, err error) {
	fail := func(err error) (int, bool, error) {
		if s.snapshot != nil {
			s.snapshot.writer.Abort()
			s.snapshot = nil
		}
		return bytes, false, err
	}
	if s.snapshot != nil && mending && !s.snapshot.repair {
		fail(nil)
	}
	if s.snapshot == nil {
		// What was pending goes into the file before, or is in memory, from where all is written.
		s.mu.Lock()
		to, err := s.wal.BeginSnapshot()
		if err != nil {
			s.mu.Unlock()
			return fail(err)
		}
		s.snapshot = &snapshotProgress{writer: to, keys: s.index.Keys(), repair: mending}
		head := wal.AppendRecord(nil, kindRun, runRecord{s.clock.BootID, s.offset}.bytes())
		head = s.index.AppendSnapshotHeader(head)
		for _, at := range s.retries {
			head = wal.AppendRecord(head, kindRetry, binary.BigEndian.AppendUint64(nil, math.Float64bits(at)))
		}
		if len(s.learned) > 0 {
			head = wal.AppendRecord(head, kindLearned, s.learned)
		}
		if mending { // from here on records go to the new file
			s.dropped, s.pending = false, nil
			s.unavailable = false
		}
		s.mu.Unlock()
		bytes = len(head)
		if err := to.Append(head); err != nil {
			return s.snapshotFailed(fail, err)
		}
		return bytes, true, nil
	}
	const some = 128 // keys a step: a few tens of KB, and well under a millisecond of the lock
	w := s.snapshot
	var records []byte
	s.mu.Lock()
	n := min(some, len(w.keys))
	for _, key := range w.keys[:n] {
		records = s.index.AppendSnapshot(records, key)
	}
	s.mu.Unlock()
	w.keys = w.keys[n:]
	bytes = len(records)
	if err := w.writer.Append(records); err != nil {
		return s.snapshotFailed(fail, err)
	}
	if len(w.keys) > 0 {
		return bytes, true, nil
	}
	s.snapshot = nil
	if err := w.writer.Commit(); err != nil {
		return s.snapshotFailed(fail, err)
	}
	if w.repair {
		s.log.Info().Int64("bytes", w.writer.Size()).Msg("the store's disk takes records again; all was written anew")
	} else {
		s.log.Debug().Int64("bytes", w.writer.Size()).Msg("the store was written anew")
	}
	return bytes, false, nil
}

// snapshotFailed lets a whole go. Where one was to mend, the records since went to a file that stands alone, so the disk
// counts as down again.
func (s *Store) snapshotFailed(fail func(error) (int, bool, error), err error) (int, bool, error) {
	s.mu.Lock()
	if s.snapshot == nil || s.snapshot.repair {
		s.unavailable, s.dropped = true, true
	}
	s.mu.Unlock()
	return fail(err)
}
