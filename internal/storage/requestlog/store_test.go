package requestlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// patience ends a test that hangs; no verdict rests on it.
const patience = 10 * time.Second

// clock is one that a test sets.
type clock struct {
	mu    sync.Mutex
	start string
	at    float64
}

func (c *clock) clock() Clock {
	return Clock{BootID: c.start, Now: func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.at
	}}
}

func (c *clock) pass(by float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at += by
}

// life is one life of a store.
type process struct {
	*Store
	end  context.CancelFunc
	done chan error
	log  *bytes.Buffer
}

// lockedBuffer guards a log that is read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  *bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func options() Options {
	o := DefaultOptions()
	o.Owner, o.Folder, o.Retention, o.SyncTimeout, o.RetryInterval, o.SegmentMB, o.SyncInterval = "c0", "somewhere", 60, 5, 0.005, 0.002, 0.01
	return o
}

// openProcess opens a store that Run is not called on yet.
func openProcess(t testing.TB, o Options, d *crashfs.Dir, c Clock) *process {
	t.Helper()
	log := &bytes.Buffer{}
	s, err := Open(o, d, c, zerolog.New(&lockedBuffer{b: log}))
	if err != nil {
		t.Fatal(err)
	}
	return &process{Store: s, done: make(chan error, 1), log: log}
}

func startProcess(t testing.TB, o Options, d *crashfs.Dir, c Clock) *process {
	t.Helper()
	l := openProcess(t, o, d, c)
	l.run()
	return l
}

// run has the store write until stop.
func (l *process) run() {
	ctx, end := context.WithCancel(context.Background())
	l.end = end
	go func() { l.done <- l.Run(ctx) }()
}

// awaitWrites waits until all that was put is written: what comes then stands in a frame of its own.
func (l *process) awaitWrites(t testing.TB) {
	t.Helper()
	waitUntil(t, "all is written", func() bool { return l.PendingBytes() == 0 })
}

func (l *process) stop() {
	l.end()
	if err := <-l.done; !errors.Is(err, context.Canceled) {
		panic(err)
	}
}

// waitUntil waits for a state.
func waitUntil(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: ", what)
		}
	}
}

// The machine crashes at an operation of the disk, for each of the first hundred in turn, while jobs are taken, sent and
// answered; then their clients come again to another life. No run-once job has two effects, one that was answered done has
// no further one, and all come to an end.
func TestCrashUnderRequests(t *testing.T) {
	for at := 1; at <= 100; at++ {
		disk := crashfs.New(uint64(at))
		c := &clock{start: "one", at: 100}
		effects, answered := map[string]int{}, map[string]idempotency.Outcome{}
		work := func(l *process, life int, stop func() bool) {
			for n := range 14 {
				if stop() {
					return
				}
				key := fmt.Sprint("k", n)
				taken := l.Admit(key, idempotency.NonIdempotent, 60, false)
				switch taken.Decision {
				case idempotency.Answered, idempotency.MayHaveRun:
					if was := answered[key]; was == idempotency.Succeeded && taken.Answer.Outcome == idempotency.Failed {
						t.Fatalf("crash at %d: %s was done and is now %v", at, key, taken.Answer.Outcome)
					}
					continue
				case idempotency.Proceed:
				default:
					t.Fatalf("crash at %d, life %d: %s gets %d", at, life, key, taken.Decision)
				}
				number, err := taken.Request.StartAttempt("e1", 0, 0, patience)
				if err != nil { // it never went
					taken.Request.Finish(Answer{})
					continue
				}
				effects[key]++
				if n%3 != 0 { // else its end is not heard
					taken.Request.EndAttempt(number, true)
					taken.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: []byte(key), RowsComplete: true})
					answered[key] = idempotency.Succeeded
				}
				c.pass(0.01)
			}
		}
		disk.CrashAtOperation = at
		crashed := func() bool { _, err := disk.List(); return errors.Is(err, crashfs.ErrCrashed) }
		if s, err := Open(options(), disk, c.clock(), zerolog.Nop()); err == nil {
			l := &process{Store: s, done: make(chan error, 1)}
			l.run()
			work(l, 1, crashed)
			l.stop()
		}
		disk.Crash()
		disk.Restart()
		c.start = "two"
		l := startProcess(t, options(), disk, c.clock())
		work(l, 2, func() bool { return false })
		l.stop()
		for key, n := range effects {
			if n > 1 {
				t.Fatalf("crash at %d: %s had %d effects", at, key, n)
			}
		}
	}
}

// What the disk may do while jobs come: fail each way and come back, take long, stand still. Jobs that need no record go
// on, those that need one are refused in bounded time, and all is there after the next crash.
func TestDiskFaults(t *testing.T) {
	for _, fault := range []string{"full", "sync", "read only", "slow"} {
		disk, c := crashfs.New(1), &clock{start: "one", at: 100}
		o := options()
		o.SyncTimeout = 0.05
		store := startProcess(t, o, disk, c.clock())
		send := func(key string, effect idempotency.Idempotency) error {
			taken := store.Admit(key, effect, 60, false)
			if taken.Request == nil {
				t.Fatalf("%s: %s gets %d", fault, key, taken.Decision)
			}
			number, err := taken.Request.StartAttempt("e1", 0, 0, patience)
			if err != nil {
				taken.Request.Finish(Answer{})
				return err
			}
			taken.Request.EndAttempt(number, true)
			taken.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: []byte(key), RowsComplete: true})
			return nil
		}
		if err := send("before", idempotency.NonIdempotent); err != nil {
			t.Fatal(fault, err)
		}
		release := make(chan bool)
		if fault == "slow" {
			disk.Configure(func(disk *crashfs.Dir) { disk.BeforeSync = func() { <-release } })
		} else {
			disk.Configure(func(disk *crashfs.Dir) { disk.Fault = fault })
		}
		began := time.Now()
		if err := send("meanwhile", idempotency.NonIdempotent); !errors.Is(err, ErrNotRecorded) {
			t.Errorf("%s: a run-once job goes: %v", fault, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: refused after %v", fault, took)
		}
		for i := range 200 { // more than waits to be written at once
			if err := send(fmt.Sprint("light", i), idempotency.Idempotent); err != nil {
				t.Errorf("%s: a restartable job does not go: %v", fault, err)
			}
		}
		disk.Configure(func(disk *crashfs.Dir) { disk.Fault, disk.BeforeSync = "", nil })
		close(release)
		waitUntil(t, fault+": records are taken again", func() bool { return send("again", idempotency.NonIdempotent) == nil })
		store.stop()
		disk.Crash()
		disk.Restart()
		c.start = "two"
		store = startProcess(t, options(), disk, c.clock())
		for _, key := range []string{"before", "again"} {
			if taken := store.Admit(key, idempotency.NonIdempotent, 60, false); taken.Decision != idempotency.Answered || string(taken.Answer.Rows) != key {
				t.Errorf("%s: %s after the crash: %+v", fault, key, taken)
			}
		}
		if taken := store.Admit("meanwhile", idempotency.NonIdempotent, 60, false); taken.Decision != idempotency.Proceed {
			t.Errorf("%s: what never went is %d", fault, taken.Decision)
		}
		store.stop()
	}
}

// A job whose record can't be had goes all the same where the settings say so, with a word on it.
func TestSentUnrecorded(t *testing.T) {
	disk, c := crashfs.New(1), &clock{start: "one", at: 100}
	o := options()
	o.OnUnavailable = "send"
	store := startProcess(t, o, disk, c.clock())
	disk.Configure(func(disk *crashfs.Dir) { disk.Fault = "sync" })
	if _, err := store.Admit("k", idempotency.NonIdempotent, 60, false).Request.StartAttempt("e1", 0, 0, patience); err != nil {
		t.Error(err)
	}
	store.stop()
	if !strings.Contains(store.log.String(), "without its record") {
		t.Error(store.log.String())
	}
}

// Two clients come with one key at once: the second has the first one's answer, or is put off.
func TestConcurrentRepeats(t *testing.T) {
	for _, repeat := range []string{"join", "refuse"} {
		disk, c := crashfs.New(1), &clock{start: "one", at: 100}
		o := options()
		o.OnRepeat = repeat
		store := startProcess(t, o, disk, c.clock())
		first, second := store.Admit("k", idempotency.NonIdempotent, 60, true), store.Admit("k", idempotency.NonIdempotent, 60, false)
		if second.Decision != idempotency.InProgress || (second.Joined != nil) != (repeat == "join") {
			t.Errorf("%s: %+v", repeat, second)
		}
		number, err := first.Request.StartAttempt("e1", 0, 0, patience)
		if err != nil {
			t.Fatal(err)
		}
		first.Request.EndAttempt(number, true)
		first.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: []byte("rows"), RowsComplete: true})
		if repeat == "join" {
			if f := <-second.Joined; f.Outcome != idempotency.Succeeded || string(f.Rows) != "rows" {
				t.Errorf("%+v", f)
			}
		}
		if store.JoinedRequests() != 0 {
			t.Error("somebody is still waited for")
		}
		store.stop()
	}
}

// What a life finds, as a trace: clocks, limits, what was learned, a copy of another's, damage.
func TestRestarts(t *testing.T) {
	var all []string
	disk, c := crashfs.New(1), &clock{start: "one", at: 1000}
	say := func(what string, store *process) {
		found, machine := store.Replayed()
		n, known := store.RetriesWithin(10)
		text, age := store.LearnedState()
		keys, _, gap := store.Usage()
		all = append(all, fmt.Sprintf("%s: records %v, clean %v, damaged %d, machine started %v; %d keys, gap %.0f s; further %d, known %v; learned %q %.0f s ago",
			what, found.Records > 0, found.CleanShutdown, len(found.Damaged), machine, keys, gap, n, known, text, age))
	}
	store := openProcess(t, options(), disk, c.clock())
	say("new", store)
	store.RecordRetry()
	store.RecordRetry()
	store.SnapshotLearned = func() []byte { return []byte("figures") }
	if _, _, err := store.maintenanceStep(taskLearned); err != nil {
		t.Fatal(err)
	}
	request := store.Admit("k", idempotency.NonIdempotent, 60, false).Request
	store.run()
	store.awaitWrites(t)
	if _, err := request.StartAttempt("e1", 0, 0, patience); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "it has learned", func() bool { text, _ := store.LearnedState(); return len(text) > 0 })
	store.stop()
	c.pass(5)
	store = startProcess(t, options(), disk, c.clock())
	say("five seconds later", store)
	c.pass(20)
	n, _ := store.RetriesWithin(10)
	all = append(all, fmt.Sprintf("twenty more: further %d", n))
	// The clock goes back an hour over a start of the machine: for what is kept no time has passed.
	store.stop()
	c = &clock{start: "two", at: 10}
	store = openProcess(t, options(), disk, c.clock())
	say("the machine was started, its clock begins anew", store)
	c.pass(59)
	all = append(all, fmt.Sprintf("59 s later the key is verdict %d", store.Admit("k", idempotency.NonIdempotent, 60, false).Decision))
	store.run()
	store.stop()
	// Killed: nothing of its end is there.
	store = openProcess(t, options(), disk, c.clock())
	written := store.RecordRetry()
	store.run()
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	disk.Crash()
	store.stop()
	disk.Resume()
	store = startProcess(t, options(), disk, c.clock())
	say("killed", store)
	store.stop()
	names, _ := disk.List()
	for _, name := range names {
		if strings.HasSuffix(name, ".log") {
			disk.FlipBit(name, disk.Size(name)/2)
		}
	}
	store = startProcess(t, options(), disk, c.clock())
	say("its file is damaged in the middle", store)
	all = append(all, fmt.Sprintf("a key that is not known is verdict %d, on its client's word that it is the first %d", store.Admit("x", idempotency.NonIdempotent, 60, false).Decision,
		store.Admit("x", idempotency.NonIdempotent, 60, true).Decision))
	store.stop()
	store = startProcess(t, options(), disk, c.clock())
	say("and the next life", store)
	store.stop()
	o := options()
	o.Owner = "c1"
	_, err := Open(o, disk, c.clock(), zerolog.Nop())
	all = append(all, fmt.Sprint("opened by another controller: ", err))
	for i, line := range all {
		all[i] = strings.ReplaceAll(line, "0000000000000", "0")
	}
	testutil.Check(t, all)
}

// Files stay small while jobs come for long, and memory holds what the window does.
func TestBounded(t *testing.T) {
	disk, c := crashfs.New(1), &clock{start: "one", at: 100}
	o := options()
	o.Retention, o.SegmentMB, o.BackgroundMBPerSecond = 1, 0.05, 1000
	store := startProcess(t, o, disk, c.clock())
	most := 0
	for i := range 4000 {
		taken := store.Admit(fmt.Sprint("k", i), idempotency.Idempotency(i%3), 60, false)
		number, err := taken.Request.StartAttempt("e1", 0, 0, patience)
		if err != nil {
			t.Fatal(err)
		}
		taken.Request.EndAttempt(number, true)
		taken.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: []byte("rows"), RowsComplete: true})
		c.pass(0.01)
		if i%100 == 0 {
			size := 0
			names, _ := disk.List()
			for _, name := range names {
				if n := disk.Size(name); n > 0 {
					size += n
				}
			}
			most = max(most, size)
			if keys, bytes, _ := store.Usage(); keys > 250 || bytes > 200000 {
				t.Fatalf("%d keys, %d bytes are kept", keys, bytes)
			}
		}
	}
	store.stop()
	if most > 500_000 {
		t.Errorf("%d bytes in files", most)
	}
	var entry map[string]any
	for _, line := range strings.Split(strings.TrimSpace(store.log.String()), "\n") {
		if line != "" && json.Unmarshal([]byte(line), &entry) != nil {
			t.Errorf("log: %s", line)
		}
	}
}
