package msgpackrpc

import (
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// evictionRank orders connections by how little their clients lose if the server closes them. Connections of the highest
// rank are evicted first.
type evictionRank int

const (
	rankInUse      evictionRank = iota // has requests, is new or was used recently; never evicted
	rankMidMessage                     // stopped in the middle of a message
	rankIdle
	rankSilent // never sent a complete message
)

// mayAccept reports whether one more connection may be accepted. From Limits.ClientConnsSoftLimit on, each new connection
// evicts an existing one, unless all are in use. A client that already holds its maximum number of connections opens no new
// one, and the server cannot observe this. So connections that stay open after a single request have to be closed.
func (s *Server) mayAccept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.Limits.ClientConnsSoftLimit {
		return true
	}
	now := time.Now()
	grace := s.idleGrace()
	victim := s.victim(now, grace)
	if victim == nil || !victim.evict(now, grace) { // it received a request in the meantime
		return len(s.conns) < s.Limits.MaxClientConns
	}
	delete(s.conns, victim)
	return true
}

// idleGrace returns how long a connection must be idle before it can be evicted. The time decreases as the number of
// connections grows from the soft to the hard limit. s.mu must be held.
func (s *Server) idleGrace() time.Duration {
	over := float64(len(s.conns) - s.Limits.ClientConnsSoftLimit)
	fullness := min(over/float64(s.Limits.ClientConnsHardLimit-s.Limits.ClientConnsSoftLimit), 1)
	return limits.Duration(s.Limits.NewClientGrace*fullness + s.Limits.IdleClientGrace*(1-fullness))
}

// victim returns the connection to evict: the least recently used one of the highest rank, or nil if all connections are in
// use. s.mu must be held.
func (s *Server) victim(now time.Time, grace time.Duration) *conn {
	var victim *conn
	highest, oldest := rankInUse, time.Time{}
	for c := range s.conns {
		rank, lastUsed := c.evictionRank(now, grace)
		if rank > highest || rank > rankInUse && rank == highest && lastUsed.Before(oldest) {
			victim, highest, oldest = c, rank, lastUsed
		}
	}
	return victim
}

// evictionRank returns the connection's rank and when it was last used.
func (c *conn) evictionRank(now time.Time, grace time.Duration) (rank evictionRank, lastUsed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idleFor := now.Sub(c.lastUsed)
	isNew := !c.sentMessage && idleFor < limits.Duration(c.server.Limits.NewClientGrace)
	switch {
	case !c.inFlight.empty(), isNew:
		rank = rankInUse
	case !c.sentMessage:
		rank = rankSilent
	case idleFor < grace:
		rank = rankInUse
	case !c.midMessage:
		rank = rankIdle
	default:
		rank = rankMidMessage
	}
	return rank, c.lastUsed
}

// evict closes the connection unless it is in use, and reports whether it did. A request that is read after that is not
// accepted: the client sees that the connection is closed and sends the request again.
func (c *conn) evict(now time.Time, grace time.Duration) bool {
	if rank, _ := c.evictionRank(now, grace); rank == rankInUse {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.inFlight.empty()
	if c.closed {
		c.peer.Close()
	}
	return c.closed
}
