// Package resp speaks RESP with one engine process: its connections, the dispatches on them, the pages of
// their results, and probes.
package resp

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/limits"
)

// Engine is one process of an engine: another start is another Engine, also at the same address.
type Engine struct {
	Address   string
	Settings  *deployment.Settings
	Limits    limits.Limits
	Pool      *bufferpool.Pool
	Log       zerolog.Logger
	Group     *errgroup.Group // owns the goroutines
	Context   context.Context // of its connections
	ConnSlots chan struct{}   // one for each connection to any engine
	IdlePool  *IdlePool       // bounds those without a job, nil for no bound
	OnClosed  func()          // the last connection has ended after Stop

	// Dial opens a connection, nil for the usual way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// OnLoadReport takes a load report that came with an answer, nil where nobody asks.
	OnLoadReport func(deployment.Load)

	draining   atomic.Bool
	lastAnswer atomic.Int64 // the latest answer on any connection, in Unix nanoseconds
	mu         sync.Mutex
	conns      []*conn
}

// Attempt is one dispatch on its way to an engine and there.
type Attempt struct {
	Work, Memory float64 // as the answer told, 0 where it did not

	conn             *conn
	requestID, class string
	statement        *bufferpool.Chain
	deadline         time.Time
	sendBefore       time.Time // its first byte goes by then or never; zero for no such time
	grant            float64
	priority         int
	fencingToken     string
	idempotencyKey   string
	onProgress       func(topic int, amount float64)
	overdueAt        time.Time // overdue from then on

	// Guarded by the connection.
	state        attemptState
	status       admission.Status
	steps        chan struct{} // the dispatch has ended, then the pages are there
	cancelSent   chan struct{} // closed once a give-up is on its way
	pages        []*bufferpool.Chain
	missingPages int
	resultSize   int
}

type attemptState int

const (
	attemptQueued attemptState = iota // for its first byte to go
	attemptSent
	attemptPaged // page 0 is there
	attemptEnded
)

// StartAttempt dispatches a job that will run for so many seconds, 0 where that is not known. The statement is held until it
// is written. fence goes along where engines take one, and the idempotency key that the client gave; "" for none. news
// takes notes of progress on the dispatch: 1 the share done, 2 memory that it lacks in MB, 3 that it waits. Its first byte
// goes by the time by or never, which is zero where that does not matter.
func (e *Engine) StartAttempt(ref, class string, statement *bufferpool.Chain, until, by time.Time, grant float64,
	priority int, run float64, fence, idempotency string, news func(topic int, amount float64)) *Attempt {
	const over = 2 // times the estimated run: engines are shared, and estimates lie that far off
	k := &Attempt{requestID: ref, class: class, statement: statement, deadline: until, sendBefore: by, grant: grant, priority: priority, fencingToken: fence,
		idempotencyKey: idempotency, onProgress: news, cancelSent: make(chan struct{}),
		overdueAt: time.Now().Add(limits.Duration(over * run)), steps: make(chan struct{}, 2), status: admission.ConnectFailed}
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := e.pick(ref); c != nil; c = e.pick(ref) { // one that closes meanwhile is not picked again
		if c.start(k) {
			return k
		}
	}
	k.state = attemptEnded
	if e.draining.Load() || len(e.ConnSlots) == cap(e.ConnSlots) { // not the engine's fault
		k.status = admission.NotStarted
	}
	k.steps <- struct{}{}
	return k
}

// pick finds the connection for a dispatch of the job: of those that are up that with the fewest, or a new one while there
// are few and each has its fill. What ends a connection then ends little else; yet each costs the engine a handshake, and
// one that comes up late keeps a dispatch waiting that others would carry. nil where none may be had.
func (e *Engine) pick(ref string) *conn {
	if e.draining.Load() {
		return nil
	}
	var best *conn
	least, raised := 0, false
	for _, c := range e.conns {
		if open, up, ok := c.accepts(ref); ok && (best == nil || up && !raised || up == raised && open < least) {
			best, least, raised = c, open, up
		}
	}
	if best != nil && (least == 0 || raised && least < e.Limits.AttemptsPerConn || len(e.conns) >= e.Limits.ConnsPerEngine || len(e.ConnSlots) > cap(e.ConnSlots)/2) {
		return best
	}
	if c := e.open(); c != nil && !raised {
		return c
	}
	return best // the new one is for the next
}

// open opens a connection, nil where there is no descriptor left for it.
func (e *Engine) open() *conn {
	select {
	case e.ConnSlots <- struct{}{}:
	default:
		for _, c := range e.conns {
			c.closeIfIdle()
		}
		e.Log.Warn().Str("engine", e.Address).Msg("no descriptor left for an engine")
		return nil
	}
	c := newConn(e)
	e.conns = append(e.conns, c)
	e.Group.Go(func() error {
		defer func() { <-e.ConnSlots }()
		c.run(e.Context)
		e.mu.Lock()
		e.conns = slices.DeleteFunc(e.conns, func(o *conn) bool { return o == c })
		empty := len(e.conns) == 0 && e.draining.Load()
		e.mu.Unlock()
		if empty && e.OnClosed != nil {
			e.OnClosed()
		}
		return nil
	})
	return c
}

// openKeepalive asks on a new connection for a sign of life.
func (e *Engine) openKeepalive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.open(); c != nil {
		c.pollLoad(func(deployment.Load, bool) {})
	}
}

// PollLoad asks for a load report; told gets it once, or false.
func (e *Engine) PollLoad(told func(load deployment.Load, ok bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := e.pick(""); c != nil; c = e.pick("") {
		if c.pollLoad(told) {
			return
		}
	}
	e.Group.Go(func() error { told(deployment.Untold, false); return nil })
}

// Drain lets nothing new go out. What is out may end, but not where the process is gone: its machine may have left
// the connections open. What has not gone yet has never run.
func (e *Engine) Drain(gone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining.Store(true)
	for _, c := range e.conns {
		c.drain(gone)
	}
}

// Resume takes back a Stop of a process that is not gone.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining.Store(false)
}

// Empty tells whether no connection is left.
func (e *Engine) Empty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns) == 0
}

// CloseIdle closes connections with nothing open on them.
func (e *Engine) CloseIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.closeIfIdle()
	}
}

// Wait waits for the next step of the dispatch: its end or, where the result has further pages, page 0 and then
// the end. At the end of ctx it is given up; ran then tells whether its first byte may have gone.
func (k *Attempt) Wait(ctx context.Context) (status admission.Status, whole, ran bool) {
	select {
	case <-k.steps:
	case <-ctx.Done():
		if gaveUp, ran := k.conn.cancelAttempt(k); gaveUp {
			return admission.Cancelled, true, ran
		}
		<-k.steps // it had ended already
	}
	k.conn.lock()
	defer k.conn.unlock()
	return k.status, k.state == attemptEnded, true
}

// WaitCancelSent waits until the give-up of a dispatch that Wait told as called off is on its way, or its connection has ended, which
// gives it up as well.
func (k *Attempt) WaitCancelSent() { <-k.cancelSent }

// FetchPages asks for all further pages.
func (k *Attempt) FetchPages() { k.conn.fetchPages(k) }

// Withhold keeps the dispatch from going out if nothing of it has gone yet.
func (k *Attempt) Withhold() { k.conn.withhold(k) }

// SetPriority changes the priority of a dispatch that is out.
func (k *Attempt) SetPriority(priority int) { k.conn.setPriority(k, priority) }

// TakeResult hands over the result of a dispatch that is done.
func (k *Attempt) TakeResult() *bufferpool.Chain {
	rows := k.pages[0]
	for _, p := range k.pages[1:] {
		rows.Join(p)
	}
	k.pages = nil
	return rows
}

// Release lets the pages go that were not handed over.
func (k *Attempt) Release() {
	k.conn.lock()
	defer k.conn.unlock()
	for _, p := range k.pages {
		p.Free()
	}
	k.pages = nil
}
