package msgpackrpc

import (
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// evictionRank orders connections by how little their clients lose when the server closes them; the highest goes first.
type evictionRank int

const (
	rankInUse      evictionRank = iota // has requests, is new or was used lately
	rankMidMessage                     // stopped within a message
	rankIdle
	rankSilent // never sent a complete message
)

// mayAccept reports whether one more connection may be accepted. Beyond Limits.ClientConnsSoftLimit an old one is
// evicted for each that comes: clients that hold as many connections as they may open no new one, which no server can
// see, so those that ask once and stay have to go.
func (s *Server) mayAccept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.Limits.ClientConnsSoftLimit {
		return true
	}
	now := time.Now()
	patience := s.patience()
	victim := s.victim(now, patience)
	if victim == nil || !victim.evict(now, patience) { // a request has come on it meanwhile
		return len(s.conns) < s.Limits.MaxClientConns
	}
	delete(s.conns, victim)
	return true
}

// patience is how long a connection may be idle before it can be evicted: the shorter the more there are. The lock is
// held.
func (s *Server) patience() time.Duration {
	over := float64(len(s.conns) - s.Limits.ClientConnsSoftLimit)
	fullness := min(over/float64(s.Limits.ClientConnsHardLimit-s.Limits.ClientConnsSoftLimit), 1)
	return limits.Duration(s.Limits.NewClientGrace*fullness + s.Limits.IdleClientGrace*(1-fullness))
}

// victim is the connection to evict: of those of the highest rank the one that was used the longest ago; nil where all
// are kept. The lock is held.
func (s *Server) victim(now time.Time, patience time.Duration) *conn {
	var victim *conn
	highest, oldest := rankInUse, time.Time{}
	for c := range s.conns {
		rank, lastUsed := c.evictionRank(now, patience)
		if rank > highest || rank > rankInUse && rank == highest && lastUsed.Before(oldest) {
			victim, highest, oldest = c, rank, lastUsed
		}
	}
	return victim
}

// evictionRank ranks a connection, and tells when it was used last.
func (c *conn) evictionRank(now time.Time, patience time.Duration) (rank evictionRank, lastUsed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idleFor := now.Sub(c.lastUsed)
	isNew := !c.sentMessage && idleFor < limits.Duration(c.server.Limits.NewClientGrace)
	switch {
	case !c.inFlight.settled(), isNew:
		rank = rankInUse
	case !c.sentMessage:
		rank = rankSilent
	case idleFor < patience:
		rank = rankInUse
	case !c.midMessage:
		rank = rankIdle
	default:
		rank = rankMidMessage
	}
	return rank, c.lastUsed
}

// evict closes the connection if it may still go. A request that is read from then on is not taken: its client sees the
// connection closed and sends it again.
func (c *conn) evict(now time.Time, patience time.Duration) bool {
	if rank, _ := c.evictionRank(now, patience); rank == rankInUse {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = c.inFlight.settled()
	if c.evicted {
		c.peer.Close()
	}
	return c.evicted
}
