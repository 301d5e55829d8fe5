package requestlog

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// testTimeout bounds the waits of a test that hangs; no result depends on it.
const testTimeout = 10 * time.Second

// clock is a clock that the test sets.
type clock struct {
	mu     sync.Mutex
	bootID string
	now    float64
}

func (c *clock) clock() Clock {
	return Clock{BootID: c.bootID, Now: func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.now
	}}
}

func (c *clock) advance(by float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += by
}

// options returns options with small bounds and short intervals.
func options() Options {
	o := DefaultOptions()
	o.Owner, o.Folder = "c0", "somewhere"
	o.Retention, o.SyncTimeout, o.RetryInterval, o.SyncInterval = 60, 5, 0.005, 0.01
	o.SegmentMB = 0.002
	return o
}

// process is a store with its writer goroutine, as one process of a controller runs it.
type process struct {
	*Store
	cancel context.CancelFunc
	done   chan error
	log    *bytes.Buffer // read only after stop
}

// newProcess opens a store without calling Run on it yet.
func newProcess(options Options, disk *crashfs.Dir, clock Clock) (*process, error) {
	log := &bytes.Buffer{}
	s, err := Open(options, disk, clock, zerolog.New(zerolog.SyncWriter(log)))
	return &process{Store: s, done: make(chan error, 1), log: log}, err
}

func openProcess(t testing.TB, options Options, disk *crashfs.Dir, clock Clock) *process {
	t.Helper()
	p, err := newProcess(options, disk, clock)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func startProcess(t testing.TB, options Options, disk *crashfs.Dir, clock Clock) *process {
	t.Helper()
	p := openProcess(t, options, disk, clock)
	p.run()
	return p
}

// run starts the writer goroutine, which runs until stop.
func (p *process) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.done <- p.Run(ctx) }()
}

func (p *process) stop() {
	p.cancel()
	if err := <-p.done; !errors.Is(err, context.Canceled) {
		panic(err)
	}
}

// awaitWrites waits until the writer has taken all pending records, so that the next records go into a frame of their own.
func (p *process) awaitWrites(t testing.TB) {
	t.Helper()
	waitUntil(t, "all records are written", func() bool { return p.PendingBytes() == 0 })
}

// send runs a request to success, with its key as rows. It returns the error that prevented the attempt.
func (p *process) send(t testing.TB, key string, idempotent idempotency.Idempotency) error {
	t.Helper()
	admission := p.Admit(key, idempotent, 60, false)
	if admission.Request == nil {
		t.Fatalf("%s: got decision %d, want an admitted request", key, admission.Decision)
	}
	number, err := admission.Request.StartAttempt("e1", 0, 0, testTimeout)
	if err != nil {
		admission.Request.Finish(Answer{})
		return err
	}
	admission.Request.EndAttempt(number, true)
	admission.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: []byte(key), RowsComplete: true})
	return nil
}

// decide returns the decision on a non-idempotent request.
func (p *process) decide(key string, first bool) idempotency.Decision {
	return p.Admit(key, idempotency.NonIdempotent, 60, first).Decision
}

// waitUntil polls until condition returns true, and fails the test after testTimeout.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: ", what)
		}
	}
}
