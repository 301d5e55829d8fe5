package resp

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/limits"
)

// Engine is one process of an engine: another start is another Engine, also at the same address. Its exported fields are set
// before the first call; its methods may be called from any goroutine.
type Engine struct {
	Address   string
	Settings  *deployment.Settings
	Limits    limits.Limits
	Pool      *bufferpool.Pool
	Log       zerolog.Logger
	Group     *errgroup.Group // owns the goroutines
	Context   context.Context // of its connections
	ConnSlots chan struct{}   // holds an element for each connection to any engine
	IdlePool  *IdlePool       // bounds idle connections, nil for no bound
	OnClosed  func()          // the last connection has ended after Drain

	// Dial opens a connection, nil for a plain TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// OnLoadReport takes a load report that came with an answer, nil where nobody wants it.
	OnLoadReport func(deployment.Load)

	draining   atomic.Bool
	lastAnswer atomic.Int64 // on any connection, in Unix nanoseconds
	mu         sync.Mutex   // guards conns
	conns      []*conn
}

// StartAttempt starts an attempt of a request. It always returns one; where no connection can be had it has ended.
func (e *Engine) StartAttempt(o AttemptOptions) *Attempt {
	a := newAttempt(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := e.pick(o.RequestID); c != nil; c = e.pick(o.RequestID) { // one that has closed since is not picked again
		if c.start(a) {
			return a
		}
	}
	a.state = attemptEnded
	if e.draining.Load() || len(e.ConnSlots) == cap(e.ConnSlots) { // the engine is not at fault
		a.status = admission.NotStarted
	}
	a.steps <- struct{}{}
	return a
}

// pick finds a connection for an attempt of a request: of those that are up the one with the fewest attempts, or a new one
// while there are few and each has its fill, nil where none may be had. So the end of a connection ends few attempts, and
// the engine pays for few handshakes; a new connection that is slow to come up keeps none waiting that others would carry.
func (e *Engine) pick(requestID string) *conn {
	if e.draining.Load() {
		return nil
	}
	best := e.leastLoaded(requestID)
	if best.conn != nil && !e.wantsAnother(best) {
		return best.conn
	}
	if c := e.open(); c != nil && !best.up {
		return c
	}
	return best.conn // the new one is for the next attempt
}

// candidate is a connection that an attempt may go to, as it was looked at.
type candidate struct {
	conn     *conn // nil for none
	attempts int   // on it
	up       bool
}

// leastLoaded finds the connection with the fewest attempts, one that is up before one that is not.
func (e *Engine) leastLoaded(requestID string) candidate {
	var best candidate
	for _, c := range e.conns {
		attempts, up, ok := c.accepts(requestID)
		better := best.conn == nil || up && !best.up || up == best.up && attempts < best.attempts
		if ok && better {
			best = candidate{c, attempts, up}
		}
	}
	return best
}

// wantsAnother reports whether a connection is to be opened beside the least loaded one.
func (e *Engine) wantsAnother(best candidate) bool {
	hasRoom := best.attempts == 0 || best.up && best.attempts < e.Limits.AttemptsPerConn
	full := len(e.conns) >= e.Limits.ConnsPerEngine || len(e.ConnSlots) > cap(e.ConnSlots)/2
	return !hasRoom && !full
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
		e.remove(c)
		return nil
	})
	return c
}

// remove takes out a connection that has ended.
func (e *Engine) remove(c *conn) {
	e.mu.Lock()
	e.conns = slices.DeleteFunc(e.conns, func(other *conn) bool { return other == c })
	closed := len(e.conns) == 0 && e.draining.Load()
	e.mu.Unlock()
	if closed && e.OnClosed != nil {
		e.OnClosed()
	}
}

// openKeepalive polls on a new connection, to see whether the engine answers there.
func (e *Engine) openKeepalive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.open(); c != nil {
		c.pollLoad(func(deployment.Load, bool) {})
	}
}

// PollLoad asks for a load report. answer is called once, with false where none came in time.
func (e *Engine) PollLoad(answer func(load deployment.Load, ok bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := e.pick(""); c != nil; c = e.pick("") {
		if c.pollLoad(answer) {
			return
		}
	}
	e.Group.Go(func() error { answer(deployment.NoLoad, false); return nil })
}

// Drain lets nothing new be sent. What is in flight may end, but not where the process is gone: its machine may have left
// the connections open. Attempts that were not sent have not run.
func (e *Engine) Drain(gone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining.Store(true)
	for _, c := range e.conns {
		c.drain(gone)
	}
}

// Resume takes back a Drain of a process that is not gone.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining.Store(false)
}

// Empty reports whether no connection is left.
func (e *Engine) Empty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns) == 0
}
