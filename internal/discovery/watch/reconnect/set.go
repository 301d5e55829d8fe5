// Package reconnect decides when a client opens another connection to the server that it follows, and which connections it
// closes.
//
// Silence doesn't tell a connection that is dead from one whose data is late. So a silent connection stays open, and another one
// is opened beside it. As soon as a line arrives on one of them, the connections opened before it are closed: the newer one carries
// everything that they still could. A connection that stays silent is closed in the end, but while nothing arrives at all, the
// ones that remain are given twice as long each time. Thus the delay of the server's data may be of any length, and as long as
// nothing arrives, there is always a connection that was opened a short time ago. Where the server closes older connections for a
// newer one, the time to the next one is doubled as well.
//
// The package does no I/O and reads no clock. Times are in seconds, counted from any fixed point. A Set is not safe for concurrent
// use.
package reconnect

import (
	"math"
	"slices"
)

// backoffFactor is the factor by which a timeout grows when a connection is closed while no lines arrive.
const backoffFactor = 2

// Options are the bounds of a Set. Times are in seconds.
type Options struct {
	IdleTimeout float64 // silence of all connections after which another one is opened, at first
	DialTimeout float64 // time after which another connection is opened beside one that is not established yet
	RetryDelay  float64 // time from the end of a connection to the next one, unless lines arrive on others
	ConnTimeout float64 // silence of a connection after which it is closed, at first
	MaxConns    int     // maximum number of connections, at least 2
}

// ID identifies a connection of a Set. IDs start at 1 and are not used again.
type ID int

// Decision says what the client must do.
type Decision struct {
	Close []ID // connections to close; they are no longer in the set
	Open  ID   // connection to open, 0 for none
	Lost  bool // whether Open replaces connections on which nothing arrives any more
}

// Set contains the connections of one client to one server, from the decision to open them until they end or are given up.
type Set struct {
	options     Options
	conns       []conn // in the order in which they were opened
	lastID      ID
	openAt      float64 // when another connection is opened unless something arrives
	connTimeout float64 // silence of a connection after which it is closed
	idleTimeout float64 // silence of all connections after which another one is opened
	extendedFor ID      // newest connection when idleTimeout was extended, 0 for none
}

type conn struct {
	id       ID
	hasLine  bool    // whether a line has arrived
	lineAt   float64 // when the last line arrived, or if there was none, when the connection was opened
	activeAt float64 // when anything was last noticed of the server: that the connection was established, or data
}

// New returns a set without connections, which opens the first one at the next Tick.
func New(options Options) *Set {
	return &Set{options: options, openAt: math.Inf(-1), connTimeout: options.ConnTimeout, idleTimeout: options.IdleTimeout}
}

// Tick decides what is due at the time now. It must be called at NextTick, and may be called at other times.
func (s *Set) Tick(now float64) Decision {
	decision := Decision{Close: s.closeSilent(now)}
	if now < s.openAt {
		return decision
	}
	decision.Lost = s.lastID > 0
	if len(s.conns) == s.options.MaxConns { // older connections are nearer to data that is late
		newest := len(s.conns) - 1
		decision.Close = append(decision.Close, s.conns[newest].id)
		s.conns = s.conns[:newest]
	}
	s.lastID++
	s.conns = append(s.conns, conn{id: s.lastID, lineAt: now, activeAt: now})
	s.openAt = now + s.options.DialTimeout
	decision.Open = s.lastID
	return decision
}

// NextTick returns the time at which Tick must be called, unless another method is called first.
func (s *Set) NextTick() float64 {
	next := s.openAt
	for _, c := range s.conns {
		next = min(next, c.activeAt+s.connTimeout)
	}
	return next
}

// Established records that a connection has been established.
func (s *Set) Established(id ID, now float64) {
	if c := s.find(id); c != nil {
		c.activeAt = now
		s.postpone(now)
	}
}

// DataReceived records that some data has arrived on a connection, perhaps a part of a line. A long line takes its time, so no other
// connection is opened meanwhile, unless the line takes too long.
func (s *Set) DataReceived(id ID, now float64) {
	if c := s.find(id); c != nil {
		c.activeAt = now
		if now < c.lineAt+s.options.ConnTimeout {
			s.postpone(now)
		}
	}
}

// LineReceived records that a valid line has arrived on a connection. It returns the older connections, which must be closed.
func (s *Set) LineReceived(id ID, now float64) (older []ID) {
	c := s.find(id)
	if c == nil {
		return nil
	}
	c.hasLine, c.lineAt, c.activeAt = true, now, now
	s.connTimeout, s.idleTimeout, s.extendedFor = s.options.ConnTimeout, s.options.IdleTimeout, 0
	s.postpone(now)
	for s.conns[0].id != id {
		older = append(older, s.conns[0].id)
		s.conns = s.conns[1:]
	}
	return older
}

// Ended records that a connection has failed, or was closed by the server. It reports whether nothing arrives any more on other
// connections.
func (s *Set) Ended(id ID, now float64) (lost bool) {
	if s.find(id) == nil {
		return false
	}
	isNewest := id == s.lastID
	s.conns = slices.DeleteFunc(s.conns, func(c conn) bool { return c.id == id })
	switch {
	case s.isAlive(now):
		return false
	case isNewest || len(s.conns) == 0:
		s.openAt = min(s.openAt, now+s.options.RetryDelay)
	default:
		s.extendIdleTimeout()
	}
	return true
}

// Silence returns for how long no line has arrived on a connection.
func (s *Set) Silence(id ID, now float64) float64 {
	if c := s.find(id); c != nil {
		return now - c.lineAt
	}
	return 0
}

// closeSilent removes the connections that have been silent for too long. The others are given longer, since a server whose
// data is later than that would never be received otherwise.
func (s *Set) closeSilent(now float64) (closed []ID) {
	for _, c := range s.conns {
		if now >= c.activeAt+s.connTimeout {
			closed = append(closed, c.id)
		}
	}
	if len(closed) > 0 {
		s.connTimeout *= backoffFactor
		s.conns = slices.DeleteFunc(s.conns, func(c conn) bool { return slices.Contains(closed, c.id) })
	}
	return closed
}

// extendIdleTimeout gives the newest connection longer, once, before another one is opened. It is called when the server has closed
// an older one: it may accept only one connection of each client, and would close the newest one for another.
func (s *Set) extendIdleTimeout() {
	newest := s.conns[len(s.conns)-1]
	if s.extendedFor == newest.id {
		return
	}
	s.extendedFor = newest.id
	s.idleTimeout = min(s.idleTimeout*backoffFactor, s.connTimeout)
	s.openAt = max(s.openAt, newest.activeAt+s.idleTimeout)
}

// postpone makes the set wait for the idle timeout before it opens another connection.
func (s *Set) postpone(now float64) {
	s.openAt = now + s.idleTimeout
}

// isAlive reports whether a line has arrived within the idle timeout on a connection that is still open.
func (s *Set) isAlive(now float64) bool {
	return slices.ContainsFunc(s.conns, func(c conn) bool { return c.hasLine && now < c.lineAt+s.options.IdleTimeout })
}

// find returns the connection with the given ID, or nil if it is not in the set.
func (s *Set) find(id ID) *conn {
	for i := range s.conns {
		if s.conns[i].id == id {
			return &s.conns[i]
		}
	}
	return nil
}
