package requestlog

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/wal"
)

// measuring skips a test unless MEASURE is set. The tests of this file measure the figures in docs/results.md on the disk of
// this machine: make measure-store.
func measuring(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE=1")
	}
}

// Measures how much time a record adds to an attempt, compared with a plain sync of the disk.
func TestMeasureAttempts(t *testing.T) {
	measuring(t)
	raw := measureRawSyncs(t)
	t.Logf("raw sync of the disk: p50 %.3f ms, p99 %.3f ms", raw[150], raw[297])
	for _, rate := range []int{300, 3000} {
		for _, idempotent := range []idempotency.Idempotency{idempotency.NonIdempotent, idempotency.Idempotent} {
			measureAttempts(t, rate, idempotent)
		}
	}
}

// milliseconds returns the time since a moment in milliseconds.
func milliseconds(since time.Time) float64 { return time.Since(since).Seconds() * 1e3 }

// measureRawSyncs measures 300 syncs and returns their durations in milliseconds, sorted.
func measureRawSyncs(t *testing.T) (took []float64) {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "raw"))
	if err != nil {
		t.Fatal(err)
	}
	for range 300 {
		if _, err := file.Write(make([]byte, 200)); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := file.Sync(); err != nil {
			t.Fatal(err)
		}
		took = append(took, milliseconds(began))
	}
	slices.Sort(took)
	return took
}

// measureAttempts sends requests at the given rate per second for five seconds.
func measureAttempts(t *testing.T, rate int, idempotent idempotency.Idempotency) {
	t.Helper()
	o := options()
	o.Folder, o.SyncTimeout, o.SegmentMB, o.MaxKeys, o.MemoryMB, o.Retention = t.TempDir(), 5, 32, 1e6, 256, 60
	s, err := Open(o, nil, MachineClock(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	var mu sync.Mutex // guards took
	var took []float64
	var requests sync.WaitGroup
	began := time.Now()
	for n := range 5 * rate {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		requests.Go(func() {
			request := s.Admit(fmt.Sprint("key-of-a-job-", n), idempotent, 60, true).Request
			at := time.Now()
			number, err := request.StartAttempt("engine-01", 0, 0, 5*time.Second)
			spent := milliseconds(at)
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			took = append(took, spent)
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			request.EndAttempt(number, true)
			request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: make([]byte, 200), RowsComplete: true})
		})
	}
	requests.Wait()
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	slices.Sort(took)
	t.Logf("%d requests/s, needs a record %v: added p50 %.3f ms, p99 %.3f ms, max %.1f ms; %d bytes per request on disk", rate, idempotent.NeedsRecord(),
		took[len(took)/2], took[len(took)*99/100], took[len(took)-1], s.wal.SegmentSize()/int64(5*rate))
}

// Measures how long opening a store with many records takes, and how much memory they use.
func TestMeasureRecovery(t *testing.T) {
	measuring(t)
	for _, records := range []int{10_000, 1_000_000} {
		for _, window := range []float64{60, 1e6} { // nearly all records expired, or all retained
			o := options()
			o.Folder, o.MaxKeys, o.MemoryMB, o.Retention, o.SegmentMB, o.BackgroundMBPerSecond = t.TempDir(), 1e6, 4096, window, 1e5, 1e4
			s, err := Open(o, nil, MachineClock(), zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			requests := records / 4
			fillStore(s, requests, window)
			closeStore(t, s)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			s, err = Open(o, nil, MachineClock(), zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			took := time.Since(began).Seconds()
			runtime.GC()
			runtime.ReadMemStats(&after)
			keys, size, _ := s.Usage()
			t.Logf("%d records of %d requests, window %.0f s: %.3f s, %.0f MB read; %d keys retained, estimated %.1f MB, heap %.1f MB", records, requests, window, took,
				float64(s.replayed.Bytes)/(1<<20), keys, float64(size)/(1<<20), float64(after.HeapAlloc-before.HeapAlloc)/(1<<20))
			closeStore(t, s)
		}
	}
}

// fillStore writes the records of a number of requests, 300 per second of the store's time.
func fillStore(s *Store, requests int, window float64) {
	index := idempotency.New(idempotency.Limits{Retention: window, MaxRecords: 1e7, MaxBytes: 1 << 40})
	start := s.now()
	for n := range requests {
		at := start + float64(n)/300
		_, record := index.Admit(at, fmt.Sprint("key-of-a-job-", n), idempotency.NonIdempotent, 60, true)
		index.EndAttempt(at, record, index.StartAttempt(at, record, "engine-01", 0, 0), true)
		index.Finish(at, record, idempotency.Succeeded, make([]byte, 100), true)
		if n%1000 == 999 || n == requests-1 {
			s.mu.Lock()
			s.enqueue(index.DrainLog(), waiter{})
			s.mu.Unlock()
			s.commit(true)
		}
	}
}

// closeStore closes a store on which Run was not called.
func closeStore(t *testing.T, s *Store) {
	t.Helper()
	if err := errors.Join(s.wal.Close(), s.dir.Close()); err != nil {
		t.Fatal(err)
	}
}

// Measures how many records per second the log takes, with one sync per batch.
func TestMeasureRecords(t *testing.T) {
	measuring(t)
	o := options()
	o.Folder, o.SegmentMB = t.TempDir(), 1e5
	s, err := Open(o, nil, MachineClock(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	record := wal.AppendRecord(nil, kindLearned, binary.BigEndian.AppendUint64(make([]byte, 0, 100), 0))
	for _, batch := range []int{1, 100, 10_000} {
		var records []byte
		for range batch {
			records = append(records, record...)
		}
		began, n := time.Now(), 0
		for time.Since(began) < time.Second {
			if err := s.wal.Append(records, true); err != nil {
				t.Fatal(err)
			}
			n += batch
		}
		t.Logf("batches of %d: %.0f records/s", batch, float64(n)/time.Since(began).Seconds())
	}
}

// Measures memory and disk use over an hour of requests, 300 per second, on a simulated clock.
func TestMeasureHour(t *testing.T) {
	measuring(t)
	o := options()
	o.Folder, o.Retention, o.MemoryMB, o.MaxKeys, o.SegmentMB, o.BackgroundMBPerSecond, o.SyncTimeout = t.TempDir(), 120, 64, 1e6, 32, 1000, 5
	c := &clock{bootID: "one", now: 1000}
	s, err := Open(o, nil, c.clock(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	began := time.Now()
	for n := range 3600 * 300 {
		admission := s.Admit(fmt.Sprint("key-of-a-job-", n), idempotency.Idempotent, 60, true)
		number, _ := admission.Request.StartAttempt("engine-01", 0, 0, time.Second)
		admission.Request.EndAttempt(number, true)
		admission.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: make([]byte, 100), RowsComplete: true})
		c.advance(1.0 / 300)
		if n%1000 == 0 { // 1000 requests stand for three seconds: let the writer catch up
			for s.PendingBytes() > 1<<20 {
				time.Sleep(time.Millisecond)
			}
		}
		if n%(900*300) == 900*300-1 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			disk := int64(0)
			names, _ := os.ReadDir(o.Folder)
			for _, name := range names {
				if info, err := name.Info(); err == nil {
					disk += info.Size()
				}
			}
			keys, size, _ := s.Usage()
			t.Logf("%d minutes: %d keys, estimated %.1f MB, heap %.1f MB, %.1f MB in %d files; %.0f s of real time", (n+1)/300/60, keys, float64(size)/(1<<20),
				float64(m.HeapAlloc)/(1<<20), float64(disk)/(1<<20), len(names), time.Since(began).Seconds())
		}
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
