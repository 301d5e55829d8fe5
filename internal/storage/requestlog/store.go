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
	Start string         // of the machine
	Now   func() float64 // seconds since then
}

// Machine is the machine's own, which also counts while the machine sleeps.
func Machine() Clock {
	start, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	c := Clock{Start: strings.TrimSpace(string(start)), Now: func() float64 {
		var t unix.Timespec
		unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
		return float64(t.Sec) + float64(t.Nsec)/1e9
	}}
	if err != nil { // then each start of the program is taken for one of the machine, which is stricter
		c.Start = fmt.Sprint("unknown ", time.Now().UnixNano())
	}
	return c
}

// The records beside the past's.
const (
	lifeKind    = idempotency.LastKind + 3 + iota // a life begins: the machine's start, its clock, the store's
	furtherKind                                   // a further dispatch went: when
	learnedKind                                   // what was learned: when, and its bytes
)

// Store is an open store.
type Store struct {
	options Options
	log     zerolog.Logger
	clock   Clock
	offset  float64 // of the store's time over the clock's
	found   wal.Found
	folder  vfs.Folder
	machine bool // it was started since the last life

	mu      sync.Mutex // past and what waits to be written
	past    *idempotency.Past
	further []float64 // further dispatches of late
	pending []byte
	waiting []waiter
	behind  bool // records were dropped: all has to be written anew
	joined  map[*idempotency.Entry][]chan Final
	learned []byte
	down    bool
	slow    time.Time // when a commit last took long

	wake    chan struct{}
	journal *wal.Journal // the disk goroutine's, as all that follows
	plan    *maintenance.Plan
	whole   *writing
	synced  time.Time
	dirty   bool

	// Learn gives what was learned, nil for nothing; it is called by the disk's goroutine. Set before Run.
	Learn func() []byte
}

// Final is a final answer, for those who joined a job.
type Final struct {
	Outcome  idempotency.Outcome
	Rows     []byte
	Whole    bool
	Why      string
	ComeBack float64
}

// window of further dispatches that is kept; settings may ask for less.
const furtherWindow = 3600

// mostPending bounds what waits to be written; beyond it the disk is taken for stuck.
const mostPending = 8 << 20

// Open opens the store of a controller and replays it. folder is nil for that of the options.
func Open(o Options, folder vfs.Folder, clock Clock, log zerolog.Logger) (s *Store, err error) {
	s = &Store{options: o, log: log, clock: clock, joined: map[*idempotency.Entry][]chan Final{}, wake: make(chan struct{}, 1),
		past: idempotency.New(idempotency.Rules{Window: o.Window, Most: o.Most, Room: int(o.Room * (1 << 20))})}
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
	s.folder = folder
	last := life{}
	s.journal, s.found, err = wal.Open(folder, wal.Identity{Name: o.Self}, func(kind byte, body []byte) error {
		return s.replay(kind, body, &last)
	})
	if err != nil {
		return nil, err
	}
	latest := s.past.Latest()
	for _, at := range s.further {
		latest = max(latest, at)
	}
	now := clock.Now()
	if s.machine = last.start != clock.Start; !s.machine {
		s.offset = last.offset
	} else if last.start != "" { // no time is taken to have passed
		s.offset = latest - now
	}
	if s.now() < latest { // which the clock rules out; then no time has passed
		s.offset = latest - now
	}
	s.past.Resumed(s.now(), s.machine && last.start != "")
	if len(s.found.Damaged) > 0 {
		s.past.Lost(s.now())
	}
	s.plan = maintenance.New(s.now(), maintenance.Kind{Name: mend, Urgent: true}, maintenance.Kind{Name: anew, Rank: 1, CPU: 0.25, Bytes: o.Rate * (1 << 20)},
		maintenance.Kind{Name: expire, Rank: 2, Every: 1, CPU: 0.1}, maintenance.Kind{Name: learn, Rank: 3, Every: o.Learned, CPU: 0.1})
	s.put(wal.Record(s.past.Written(), lifeKind, life{clock.Start, s.offset}.bytes()), nil)
	if len(s.found.Damaged) > 0 || s.journal.Down() != nil { // before any record is written
		for more := true; more; {
			if _, more, err = s.step(mend); err != nil {
				s.plan.Want(s.now(), mend)
			}
		}
		err = nil
	}
	s.down = s.journal.Down() != nil
	return s, nil
}

// now is the store's time, in seconds: it goes on over lives.
func (s *Store) now() float64 { return s.clock.Now() + s.offset }

// Found tells what the opening found, and whether the machine was started since the last life.
func (s *Store) Found() (f wal.Found, machine bool) { return s.found, s.machine }

// Keys, Size and Gap tell what is kept: keys, bytes in memory, and for how many seconds more what is not known may be lost.
func (s *Store) Keys() (keys, size int, gap float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.past.Len(), s.past.Size(), max(s.past.Gap()-s.now(), 0)
}

// MostRows is how many bytes of rows are kept with an answer.
func (s *Store) MostRows() int { return int(s.options.Answers * 1024) }

// Behind is how many bytes wait to be written.
func (s *Store) Behind() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// Down tells whether the disk takes no records now.
func (s *Store) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// life is the record that opens one.
type life struct {
	start  string
	offset float64
}

func (l life) bytes() []byte {
	return append(binary.BigEndian.AppendUint64(nil, math.Float64bits(l.offset)), l.start...)
}

// replay takes a record.
func (s *Store) replay(kind byte, body []byte, last *life) error {
	switch {
	case idempotency.Mine(kind):
		return s.past.Replay(kind, body)
	case kind == lifeKind && len(body) >= 8:
		*last = life{string(body[8:]), math.Float64frombits(binary.BigEndian.Uint64(body))}
	case kind == furtherKind && len(body) == 8:
		if at := math.Float64frombits(binary.BigEndian.Uint64(body)); !math.IsNaN(at) {
			s.further = append(s.further, at)
		}
	case kind == learnedKind && len(body) >= 8:
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

// put adds records to what waits to be written, with the lock held. done, where it is not nil, hears once they are on the
// disk.
func (s *Store) put(records []byte, done chan<- error) { s.add(records, waiter{done, true}) }

// add is put for one who may not need the sync.
func (s *Store) add(records []byte, w waiter) {
	done := w.done
	if done != nil && (s.down || s.behind) {
		done <- wal.ErrDown
		done = nil
	}
	switch {
	case s.down || s.behind: // all is written anew from memory once the disk is back
	case len(s.pending)+len(records) > mostPending:
		s.behind = true
		for _, w := range s.waiting {
			w.done <- wal.ErrDown
		}
		if done != nil {
			done <- wal.ErrDown
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

// Ticket is one job of this life under a key.
type Ticket struct {
	s      *Store
	entry  *idempotency.Entry
	effect idempotency.Effect
	over   bool
}

// Taken is what a job may do. Ticket is there with Fresh and Again, and nil where nothing is kept of it.
type Taken struct {
	Verdict idempotency.Verdict
	Ticket  *Ticket
	Before  []idempotency.Dispatch // with Again: At is how many seconds ago
	Final   Final                  // with Answered
	Joined  <-chan Final           // with Joined, where those who repeat join: the answer, once there is one
}

// Take decides on a job that comes under a key. first tells that its client says it is its first try; within is for how
// many seconds after its first dispatch a keyed one may go again.
func (s *Store) Take(key string, effect idempotency.Effect, within float64, first bool) (t Taken) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, e := s.past.Take(s.now(), key, effect, within, first)
	t.Verdict = v
	switch v {
	case idempotency.Fresh, idempotency.Again:
		if e == nil {
			break
		}
		t.Ticket = &Ticket{s: s, entry: e, effect: e.Effect}
		for _, d := range e.Dispatches {
			d.At = s.now() - d.At
			t.Before = append(t.Before, d)
		}
	case idempotency.Answered:
		t.Final = Final{Outcome: e.Outcome, Rows: e.Answer, Whole: e.Whole}
	case idempotency.Joined:
		if s.options.Repeat == "join" {
			answer := make(chan Final, 1)
			s.joined[e] = append(s.joined[e], answer)
			t.Joined = answer
		}
	}
	s.put(s.past.Written(), nil)
	return t
}

// ErrUnrecorded tells that a dispatch may not go: the record of it could not be had.
var ErrUnrecorded = errors.New("the dispatch could not be put on record")

// Sends puts a dispatch on record, and gives its number among all of the key. Where the job's effect needs that it waits
// until the record is on the disk, for so long at most. After an error nothing may go; it has been recorded as not gone.
func (t *Ticket) Sends(engine string, zone, cell int, longest time.Duration) (number int, err error) {
	s := t.s
	var done chan error
	if idempotency.Needs(t.effect) {
		done = make(chan error, 1)
	}
	s.mu.Lock()
	number = s.past.Sends(s.now(), t.entry, engine, zone, cell)
	s.put(s.past.Written(), done)
	s.mu.Unlock()
	if done == nil {
		return number, nil
	}
	wait := time.NewTimer(min(longest, time.Duration(s.options.Wait*float64(time.Second))))
	defer wait.Stop()
	select {
	case err = <-done:
	case <-wait.C:
		err = errors.New("not on the disk in time")
	}
	if err == nil {
		return number, nil
	}
	if s.options.Without == "send" {
		s.log.Warn().Err(err).Str("engine", engine).Msg("a dispatch goes without its record: after a crash it could go again")
		return number, nil
	}
	t.Ends(number, false)
	return number, errors.Join(ErrUnrecorded, err)
}

// Ends tells that a dispatch is over, and whether it ran or may have.
func (t *Ticket) Ends(number int, ran bool) {
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past.Ends(s.now(), t.entry, number, ran)
	s.put(s.past.Written(), nil)
}

// answerWait bounds how long an answer waits to be written. It comes in some tens of microseconds where the disk is not
// stuck, and then the answer is not held back for it.
const answerWait = 20 * time.Millisecond

// Answer tells the job's final answer, to the store and to all who joined; only the first counts. An outcome of Open is
// one that binds nobody. One that binds is written when it returns, though not on the disk yet: it outlives the process,
// and where the machine crashes the job may have run.
func (t *Ticket) Answer(f Final) {
	s := t.s
	var written chan error
	s.mu.Lock()
	if t.over {
		s.mu.Unlock()
		return
	}
	t.over = true
	defer func() {
		s.mu.Unlock()
		if written != nil {
			Written(written)
		}
	}()
	s.past.Answer(s.now(), t.entry, f.Outcome, f.Rows, f.Whole)
	for _, answer := range s.joined[t.entry] {
		answer <- f // each has room for one
	}
	delete(s.joined, t.entry)
	if f.Outcome != idempotency.Open && idempotency.Needs(t.effect) {
		written = make(chan error, 1)
		s.add(s.past.Written(), waiter{written, false})
		return
	}
	s.put(s.past.Written(), nil)
}

// Joins is how many wait for another's answer.
func (s *Store) Joins() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, all := range s.joined {
		n += len(all)
	}
	return n
}

// ---- limits and what was learned

// Further tells that a further dispatch is about to go. What it gives hears once that is written; a dispatch that waits for
// it counts against its window also where the process is killed a moment later.
func (s *Store) Further() <-chan error {
	written := make(chan error, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for len(s.further) > 0 && s.further[0] < now-furtherWindow {
		s.further = s.further[1:]
	}
	s.further = append(s.further, now)
	s.add(wal.Record(nil, furtherKind, binary.BigEndian.AppendUint64(nil, math.Float64bits(now))), waiter{written, false})
	return written
}

// Written waits for that, as long as an answer would.
func Written(written <-chan error) {
	late := time.NewTimer(answerWait)
	defer late.Stop()
	select {
	case <-written:
	case <-late.C:
	}
}

// FurtherWithin is how many further dispatches lives before sent in the last seconds. Where the last one did not end in
// order on this machine's run, or records were lost, it is not known.
func (s *Store) FurtherWithin(seconds float64) (n int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.further {
		if at > s.now()-seconds {
			n++
		}
	}
	return n, s.past.Gap() == 0 && (s.found.Clean || !s.machine)
}

// Learned is what a life before had learned, and how many seconds ago; nil for nothing.
func (s *Store) Learned() (text []byte, age float64) {
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
	mend   = "mend"   // all written anew, since the disk had failed
	anew   = "anew"   // all written anew, since the file has grown
	expire = "expire" // what no client may repeat any more
	learn  = "learned"
)

// Run writes until ctx ends, and then what is left.
func (s *Store) Run(ctx context.Context) error {
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			s.plan.Stop(s.now(), s.now()+0.2)
			s.commit(true)
			err := s.journal.End()
			s.folder.Close()
			if err != nil {
				s.log.Warn().Err(err).Msg("the store did not end in order")
			}
			return ctx.Err()
		case <-s.wake:
		case <-again.C:
		}
		s.commit(false)
		again.Reset(s.work())
	}
}

// commit writes what waits, and syncs it where somebody waits for that, or the last sync is long ago.
func (s *Store) commit(last bool) {
	s.mu.Lock()
	records, waiting := s.pending, s.waiting
	s.pending, s.waiting = nil, nil
	s.mu.Unlock()
	s.dirty = s.dirty || len(records) > 0
	every := time.Duration(s.options.Sync * float64(time.Second))
	sync := slices.ContainsFunc(waiting, func(w waiter) bool { return w.sync }) || s.dirty && (last || time.Since(s.synced) >= every)
	if len(records) == 0 && !sync {
		return
	}
	began := time.Now()
	err := s.journal.Write(records, sync)
	took := time.Since(began)
	if sync {
		s.synced, s.dirty = time.Now(), false
	}
	for _, w := range waiting {
		w.done <- err
	}
	s.mu.Lock()
	if took > time.Duration(s.options.Wait*float64(time.Second))/2 {
		s.slow = time.Now()
	}
	fell := err != nil && !s.down
	s.down = err != nil
	s.mu.Unlock()
	if fell {
		s.log.Error().Err(err).Str("without", s.options.Without).Msg("the store's disk does not take records")
		s.plan.Want(s.now()+s.options.Retry, mend)
	}
}

// work does a step of background work, where one may go, and tells when to look again.
func (s *Store) work() time.Duration {
	now := s.now()
	s.mu.Lock()
	late := len(s.waiting) > 0 || time.Since(s.slow) < time.Second
	behind, down := s.behind, s.down
	s.mu.Unlock()
	if behind || down {
		s.plan.Want(now, mend)
	} else if s.journal.Size() > int64(s.options.File*(1<<20)) {
		s.plan.Want(now, anew)
	}
	name, at := s.plan.Next(now, late)
	if name == "" {
		wait := at - now
		if s.dirty {
			wait = min(wait, s.options.Sync)
		}
		return time.Duration(min(max(wait, 0.001), 1) * float64(time.Second))
	}
	began := time.Now()
	bytes, more, err := s.step(name)
	s.plan.Did(s.now(), time.Since(began).Seconds(), float64(bytes), more)
	if err != nil {
		s.log.Debug().Err(err).Str("work", name).Msg("background work of the store failed")
		return time.Duration(s.options.Retry * float64(time.Second))
	}
	return 0
}

// writing is a whole that is being written.
type writing struct {
	to   *wal.Whole
	keys []string
	mend bool
}

// step does one step of a kind of work.
func (s *Store) step(name string) (bytes int, more bool, err error) {
	switch name {
	case expire:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.past.Expire(s.now())
		return 0, false, nil
	case learn:
		if s.Learn == nil || s.options.Learned == 0 {
			return 0, false, nil
		}
		text := s.Learn()
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(text) > 0 && len(text) < wal.MostRecord-8 {
			s.learned = append(binary.BigEndian.AppendUint64(nil, math.Float64bits(s.now())), text...)
			s.put(wal.Record(nil, learnedKind, s.learned), nil)
		}
		return len(text), false, nil
	}
	return s.writeAnew(name == mend)
}

// writeAnew writes all that is kept, some keys a step. Mending goes first and takes over what had been begun.
func (s *Store) writeAnew(mending bool) (bytes int, more bool, err error) {
	fail := func(err error) (int, bool, error) {
		if s.whole != nil {
			s.whole.to.Abandon()
			s.whole = nil
		}
		return bytes, false, err
	}
	if s.whole != nil && mending && !s.whole.mend {
		fail(nil)
	}
	if s.whole == nil {
		// What was pending goes into the file before, or is in memory, from where all is written.
		s.mu.Lock()
		to, err := s.journal.Begin()
		if err != nil {
			s.mu.Unlock()
			return fail(err)
		}
		s.whole = &writing{to: to, keys: s.past.Keys(), mend: mending}
		head := wal.Record(nil, lifeKind, life{s.clock.Start, s.offset}.bytes())
		head = s.past.Begins(head)
		for _, at := range s.further {
			head = wal.Record(head, furtherKind, binary.BigEndian.AppendUint64(nil, math.Float64bits(at)))
		}
		if len(s.learned) > 0 {
			head = wal.Record(head, learnedKind, s.learned)
		}
		if mending { // from here on records go to the new file
			s.behind, s.pending = false, nil
			s.down = false
		}
		s.mu.Unlock()
		bytes = len(head)
		if err := to.Put(head); err != nil {
			return s.mendFailed(fail, err)
		}
		return bytes, true, nil
	}
	const some = 128 // keys a step: a few tens of KB, and well under a millisecond of the lock
	w := s.whole
	var records []byte
	s.mu.Lock()
	n := min(some, len(w.keys))
	for _, key := range w.keys[:n] {
		records = s.past.Whole(records, key)
	}
	s.mu.Unlock()
	w.keys = w.keys[n:]
	bytes = len(records)
	if err := w.to.Put(records); err != nil {
		return s.mendFailed(fail, err)
	}
	if len(w.keys) > 0 {
		return bytes, true, nil
	}
	s.whole = nil
	if err := w.to.End(); err != nil {
		return s.mendFailed(fail, err)
	}
	if w.mend {
		s.log.Info().Int64("bytes", w.to.Size()).Msg("the store's disk takes records again; all was written anew")
	} else {
		s.log.Debug().Int64("bytes", w.to.Size()).Msg("the store was written anew")
	}
	return bytes, false, nil
}

// mendFailed lets a whole go. Where one was to mend, the records since went to a file that stands alone, so the disk
// counts as down again.
func (s *Store) mendFailed(fail func(error) (int, bool, error), err error) (int, bool, error) {
	s.mu.Lock()
	if s.whole == nil || s.whole.mend {
		s.down, s.behind = true, true
	}
	s.mu.Unlock()
	return fail(err)
}
