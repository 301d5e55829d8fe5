package msgpackrpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/limits"
)

// Handler serves requests. Ready reports whether it accepts them. Serve answers at most once and returns when the request has
// ended. The request's statement remains owned by the caller.
type Handler interface {
	Ready() bool
	Serve(ctx context.Context, request *gateway.Request, responder gateway.Responder)
}

// Server accepts connections from clients within the limits. Its exported fields must be set before Run.
type Server struct {
	Handler Handler
	Limits  limits.Limits
	Pool    *bufferpool.Pool
	Log     zerolog.Logger
	Fields  FieldNames

	// RetryAfter is the retry-after time, in seconds, sent to clients whose requests exceed one of the server's own limits or
	// arrive while it is shutting down. It is 0 if clients are to receive none.
	RetryAfter float64

	pacer     *pacer       // limits the rate of messages from overloading connections; set by Run
	busyConns atomic.Int64 // number of connections with open requests

	mu           sync.Mutex
	conns        map[*conn]struct{} // open connections, except those that were evicted or whose clients have gone
	shuttingDown bool
}

// Run accepts and serves connections until the listener is closed, and then waits until the last connection has ended. When
// ctx is done, connections are closed immediately.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.conns = map[*conn]struct{}{}
	s.pacer = newPacer(&s.Limits)
	s.mu.Unlock()
	var group errgroup.Group
	for {
		if err := s.awaitCapacity(ctx); err != nil {
			return errors.Join(err, group.Wait())
		}
		peer, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return group.Wait()
		}
		if err != nil {
			s.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(limits.Duration(s.Limits.AcceptRetryInterval))
			continue
		}
		c := s.register(peer)
		group.Go(func() error {
			c.serve(ctx)
			return nil
		})
	}
}

// awaitCapacity waits until one more connection may be accepted or ctx is done.
func (s *Server) awaitCapacity(ctx context.Context) error {
	for waited := false; !s.mayAccept(); waited = true {
		if !waited {
			s.Log.Warn().Int("limit", s.Limits.MaxClientConns).Int64("busy", s.busyConns.Load()).Msg("no connection accepted")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(limits.Duration(s.Limits.AcceptRetryInterval)):
		}
	}
	return nil
}

// BeginShutdown rejects all further requests. Each connection is closed once its open requests have been answered; until then
// its client can still cancel them.
func (s *Server) BeginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	for c := range s.conns {
		c.beginShutdown()
	}
}

// register adds an accepted connection to the server's connections.
func (s *Server) register(peer net.Conn) *conn {
	c := newConn(s, peer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.shuttingDown {
		c.beginShutdown()
	}
	return c
}

// forget removes a connection that has ended.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
