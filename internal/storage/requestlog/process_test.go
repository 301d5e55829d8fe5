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

// options are small and quick, for tests.
func options() Options {
	o := DefaultOptions()
	o.Owner, o.Folder = "c0", "somewhere"
	o.Retention, o.SyncTimeout, o.RetryInterval, o.SyncInterval = 60, 5, 0.005, 0.01
	o.SegmentMB = 0.002
	return o
}

// process is a store with the goroutine that writes, as one process of a controller has it.
type process struct {
	*Store
	end  context.CancelFunc
	done chan error
	log  *bytes.Buffer // to be read after stop
}

// newProcess makes the process of a store that Run is not called on yet.
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

// run has the store write until stop.
func (p *process) run() {
	ctx, end := context.WithCancel(context.Background())
	p.end = end
	go func() { p.done <- p.Run(ctx) }()
}

func (p *process) stop() {
	p.end()
	if err := <-p.done; !errors.Is(err, context.Canceled) {
		panic(err)
	}
}

// awaitWrites waits until all that was put is taken to be written: what comes then stands in a frame of its own.
func (p *process) awaitWrites(t testing.TB) {
	t.Helper()
	waitUntil(t, "all is written", func() bool { return p.PendingBytes() == 0 })
}

// send has a request succeed that may run, with its key as rows. The error says why it was not sent.
func (p *process) send(t testing.TB, key string, idempotent idempotency.Idempotency) error {
	t.Helper()
	admission := p.Admit(key, idempotent, 60, false)
	if admission.Request == nil {
		t.Fatalf("%s: decision %d", key, admission.Decision)
	}
	number, err := admission.Request.StartAttempt("e1", 0, 0, patience)
	if err != nil {
		admission.Request.Finish(Answer{})
		return err
	}
	admission.Request.EndAttempt(number, true)
	admission.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: []byte(key), RowsComplete: true})
	return nil
}

// decide tells how a non-idempotent request is decided on.
func (p *process) decide(key string, first bool) idempotency.Decision {
	return p.Admit(key, idempotency.NonIdempotent, 60, first).Decision
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
