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

// Engine is the client of one engine process. A restarted process is a different Engine, even at the same address. The
// exported fields must be set before the first call. The methods may be called from any goroutine.
type Engine struct {
	Address   string
	Settings  *deployment.Settings
	Limits    limits.Limits
	Pool      *bufferpool.Pool
	Log       zerolog.Logger
	Group     *errgroup.Group // runs the goroutines
	Context   context.Context // ends the connections when it is done
	ConnSlots chan struct{}   // contains an element for each connection to any engine; its capacity limits them
	IdlePool  *IdlePool       // limits idle connections, nil for no limit
	OnClosed  func()          // called when the last connection has ended after Drain, may be nil

	// Dial opens a connection. If nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// OnLoadReport is called for each load report contained in an answer other than that to a load poll. It may be nil.
	OnLoadReport func(deployment.Load)

	draining   atomic.Bool
	lastAnswer atomic.Int64 // time of the last answer on any connection, in Unix nanoseconds
	mu         sync.Mutex   // guards conns
	conns      []*conn
}

// StartAttempt starts an attempt of a request. It always returns an attempt, which has already ended if there is no connection
// for it.
func (e *Engine) StartAttempt(o AttemptOptions) *Attempt {
	a := newAttempt(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := e.pick(o.RequestID); c != nil; c = e.pick(o.RequestID) { // a connection that has just closed is not picked again
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

// pick returns a connection for an attempt of a request, or nil if there is none. It prefers the established connection with
// the fewest attempts. A further connection is opened while there are few and each has Limits.AttemptsPerConn attempts. This
// limits both the number of attempts that end with a connection and the number of handshakes that the engine has to perform.
// An attempt waits for a new connection only if no established one accepts it.
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
	return best.conn // the new connection is for later attempts
}

// candidate is a connection that accepts an attempt, with its state when it was examined.
type candidate struct {
	conn     *conn // nil if no connection accepts the attempt
	attempts int   // number of attempts on the connection
	up       bool  // the connection is established
}

// leastLoaded returns the connection with the fewest attempts that accepts the request. Established connections take
// precedence over others.
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

// wantsAnother reports whether a connection should be opened in addition to the least loaded one.
func (e *Engine) wantsAnother(best candidate) bool {
	hasRoom := best.attempts == 0 || best.up && best.attempts < e.Limits.AttemptsPerConn
	full := len(e.conns) >= e.Limits.ConnsPerEngine || len(e.ConnSlots) > cap(e.ConnSlots)/2
	return !hasRoom && !full
}

// open opens a connection. If no file descriptor is left for it, open closes this engine's idle connections and returns nil.
func (e *Engine) open() *conn {
	select {
	case e.ConnSlots <- struct{}{}:
	default:
		for _, c := range e.conns {
			c.closeIfIdle()
		}
		e.Log.Warn().Str("engine", e.Address).Msg("no file descriptor left for an engine connection")
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

// remove removes a connection that has ended, and calls OnClosed if it was the last one of a draining engine.
func (e *Engine) remove(c *conn) {
	e.mu.Lock()
	e.conns = slices.DeleteFunc(e.conns, func(other *conn) bool { return other == c })
	closed := len(e.conns) == 0 && e.draining.Load()
	e.mu.Unlock()
	if closed && e.OnClosed != nil {
		e.OnClosed()
	}
}

// openKeepalive sends a load poll on a new connection to find out whether the engine answers there.
func (e *Engine) openKeepalive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.open(); c != nil {
		c.pollLoad(func(deployment.Load, bool) {})
	}
}

// PollLoad requests a load report. answer is called once, with ok false if no report arrived in time.
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

// Drain prevents new attempts and load polls. Attempts that have not been sent end as admission.NotStarted. Attempts that have
// been sent continue, unless the process has terminated: then all connections are closed, because the machine may have left
// them open.
func (e *Engine) Drain(terminated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining.Store(true)
	for _, c := range e.conns {
		c.drain(terminated)
	}
}

// Resume revokes a Drain of a process that has not terminated.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining.Store(false)
}

// Empty reports whether the engine has no connections.
func (e *Engine) Empty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns) == 0
}
