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

// Handler serves requests. Serve returns when the request has ended; it answers at most once. The statement stays the
// caller's.
type Handler interface {
	Ready() bool
	Serve(ctx context.Context, request *gateway.Request, responder gateway.Responder)
}

// Server accepts connections as far as the limits let it. Its fields are set before Run.
type Server struct {
	Handler Handler
	Limits  limits.Limits
	Pool    *bufferpool.Pool
	Log     zerolog.Logger
	Fields  FieldNames

	// RetryAfter is what clients are told whose request is over one of the server's own limits: seconds, 0 where they
	// heed no advice.
	RetryAfter float64

	pacer     *pacer       // of overloading connections' messages; set by Run
	busyConns atomic.Int64 // connections with open requests

	mu           sync.Mutex
	conns        map[*conn]struct{} // but for those that were evicted
	shuttingDown bool
}

// Run serves until the listener is closed, then until the last connection has ended. When ctx ends, connections are
// closed as they are.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.conns = map[*conn]struct{}{}
	s.pacer = newPacer(&s.Limits)
	s.mu.Unlock()
	var group errgroup.Group
	for {
		for !s.mayAccept() {
			select {
			case <-ctx.Done():
				return errors.Join(ctx.Err(), group.Wait())
			case <-time.After(limits.Duration(s.Limits.AcceptRetryInterval)):
			}
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

// BeginShutdown takes no more requests: those that still come are rejected. A connection closes once what is open on it
// is answered; until then its client may still cancel.
func (s *Server) BeginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	for c := range s.conns {
		c.beginShutdown()
	}
}

// register makes a connection of an accepted one.
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
