package reconnect

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// options are those of the program, see package limits.
var options = Options{IdleTimeout: 2, DialTimeout: 1, RetryDelay: 0.1, ConnTimeout: 16, MaxConns: 4}

// heartbeat is the interval, in seconds, at which the server sends a line on each connection.
const heartbeat = 1.0

// simulatedServer is a server, with the network between, in virtual time. Its lines are late by a constant delay from lateFrom
// on, and never arrive on connections opened before deadUntil.
type simulatedServer struct {
	delay     float64 // seconds
	lateFrom  float64
	lateUntil float64
	dialTime  float64 // time for a connection to be established
	deadUntil float64 // nothing sent at lateFrom or later arrives on connections opened before this time
	exclusive bool    // whether the server closes the older connections when another one is established
	closeTime float64 // time until the client notices that

	now    float64
	set    *Set
	conns  map[ID]*simulatedConn
	opened []float64 // when connections were opened, in order
}

type simulatedConn struct {
	openedAt      float64
	establishedAt float64
	sent          int       // lines sent
	arrivals      []float64 // when the lines on their way arrive
	sentAt        []float64 // when they were sent
	newestLine    float64   // when the newest line that has arrived was sent
	closedAt      float64   // when the server closes the connection
	established   bool
}

func newSimulatedServer() *simulatedServer {
	return &simulatedServer{set: New(options), conns: map[ID]*simulatedConn{}, lateFrom: math.Inf(1), lateUntil: math.Inf(1), deadUntil: math.Inf(-1)}
}

// step moves time on by a hundredth of a second.
func (s *simulatedServer) step(t *rapid.T) {
	s.now += 0.01
	for id, c := range s.conns {
		s.send(c)
		s.receive(id, c)
	}
	if s.now < s.set.NextTick() {
		return
	}
	decision := s.set.Tick(s.now)
	s.close(decision.Close)
	if decision.Open != 0 {
		s.conns[decision.Open] = &simulatedConn{openedAt: s.now, establishedAt: s.now + s.dialTime, closedAt: math.Inf(1)}
		s.opened = append(s.opened, s.now)
	}
	if len(s.conns) > options.MaxConns {
		t.Fatalf("at %.2f: %d connections, want at most %d", s.now, len(s.conns), options.MaxConns)
	}
}

// send sends the heartbeat that is due on a connection, the first one as soon as it is established.
func (s *simulatedServer) send(c *simulatedConn) {
	if s.now < c.establishedAt+heartbeat*float64(c.sent) || s.now >= c.closedAt {
		return
	}
	c.sent++
	arrival := s.now
	if s.now >= s.lateFrom {
		if c.openedAt < s.deadUntil {
			return
		}
		if s.now < s.lateUntil {
			arrival += s.delay
		}
	}
	if n := len(c.arrivals); n > 0 { // in order
		arrival = max(arrival, c.arrivals[n-1])
	}
	c.arrivals, c.sentAt = append(c.arrivals, arrival), append(c.sentAt, s.now)
}

// receive passes what has arrived on a connection to the set.
func (s *simulatedServer) receive(id ID, c *simulatedConn) {
	if !c.established && s.now >= c.establishedAt {
		c.established = true
		s.set.Established(id, s.now)
		s.closeOlder(id)
	}
	if s.now >= c.closedAt+s.closeTime && len(c.arrivals) == 0 {
		delete(s.conns, id)
		s.set.Ended(id, s.now)
		return
	}
	for len(c.arrivals) > 0 && c.arrivals[0] <= s.now {
		c.newestLine = c.sentAt[0]
		c.arrivals, c.sentAt = c.arrivals[1:], c.sentAt[1:]
		s.close(s.set.LineReceived(id, s.now))
	}
}

// closeOlder closes the connections before the given one, if the server accepts only one from each client.
func (s *simulatedServer) closeOlder(newest ID) {
	for id, c := range s.conns {
		if s.exclusive && id < newest {
			c.closedAt = min(c.closedAt, s.now)
		}
	}
}

func (s *simulatedServer) close(ids []ID) {
	for _, id := range ids {
		delete(s.conns, id)
	}
}

// knownUntil returns the time up to which the client knows all that the server has sent.
func (s *simulatedServer) knownUntil() float64 {
	known := math.Inf(-1)
	for _, c := range s.conns {
		known = max(known, c.newestLine)
	}
	return known
}

// runUntil moves time on until the client knows all that the server sent before the given time. It fails the test if that is
// later than the limit.
func (s *simulatedServer) runUntil(t *rapid.T, sentAt, limit float64) {
	for s.knownUntil() < sentAt {
		if s.now > limit {
			t.Fatalf("at %.2f: lines sent until %.2f are not known, only those until %.2f", s.now, sentAt, s.knownUntil())
		}
		s.step(t)
	}
}

// Guards against a server whose lines are late never being heard, because each connection is given up before its first line
// arrives. What is late by less than the timeout of a connection is heard as soon as it arrives; if the lines on the earlier connections are
// lost, as soon as it arrives on the connection that replaces them.
func TestLateServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulatedServer()
		s.runUntil(t, 3, 10)
		s.lateFrom = s.now
		s.delay = rapid.Float64Range(0, options.ConnTimeout-heartbeat-options.IdleTimeout).Draw(t, "delay")
		replacedAt := s.lateFrom
		if rapid.Bool().Draw(t, "first connection is dead") {
			s.deadUntil = s.lateFrom
			replacedAt += options.IdleTimeout
		}
		sentAt := s.lateFrom + rapid.Float64Range(0, 30).Draw(t, "sent")
		// A line is sent on each connection at most a heartbeat later, and a step is a hundredth of a second.
		s.runUntil(t, sentAt, max(sentAt, replacedAt)+heartbeat+s.delay+0.1)
	})
}

// Guards against delays that no connection lives long enough for: whatever the delay, and whichever connections are dead, the
// server is heard in the end. The timeout doubles until it exceeds the delay, which takes less than four times the delay.
func TestServerIsHeardAtAnyDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulatedServer()
		s.dialTime = rapid.Float64Range(0, 4).Draw(t, "dial time")
		s.lateFrom = rapid.Float64Range(0, 4).Draw(t, "late from")
		s.delay = rapid.Float64Range(0, 200).Draw(t, "delay")
		s.deadUntil = s.lateFrom + rapid.Float64Range(-10, 20).Draw(t, "dead for")
		s.runUntil(t, s.lateFrom+20, s.lateFrom+20+6*(s.delay+options.ConnTimeout+s.dialTime))
	})
}

// Guards against a server that is reachable again being noticed late: as long as nothing is heard, connections are opened as often as
// if silent ones were closed, and once one of them is heard, no other is left.
func TestFreshConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulatedServer()
		s.runUntil(t, 3, 10)
		s.lateFrom, s.delay = s.now, math.Inf(1)
		silence := rapid.Float64Range(options.IdleTimeout, 100).Draw(t, "silence")
		s.deadUntil = s.lateFrom + silence
		s.lateUntil = s.deadUntil
		for s.now < s.deadUntil {
			s.step(t)
		}
		for i := 2; i < len(s.opened); i++ { // the first one is from the start
			if gap := s.opened[i] - s.opened[i-1]; gap > options.IdleTimeout+0.1 {
				t.Fatalf("no connection was opened for %.2f s, want one every %.2f s", gap, options.IdleTimeout)
			}
		}
		s.runUntil(t, s.deadUntil, s.deadUntil+options.IdleTimeout+0.1)
		opened := len(s.opened)
		for end := s.now + 30; s.now < end; {
			s.step(t)
		}
		if len(s.conns) != 1 || len(s.opened) != opened {
			t.Fatalf("%d connections are open and %d were opened since the server is heard, want 1 and 0", len(s.conns), len(s.opened)-opened)
		}
	})
}

// Guards against a server that closes a client's older connection for a newer one being asked again and again: another connection
// is opened after the idle timeout at the soonest, and ever later until the server's lines arrive on one.
func TestExclusiveServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulatedServer()
		s.exclusive = true
		s.runUntil(t, 3, 10)
		s.lateFrom = s.now
		s.delay = rapid.Float64Range(0, options.ConnTimeout-heartbeat).Draw(t, "delay")
		s.closeTime = rapid.Float64Range(0, s.delay).Draw(t, "close time")
		s.deadUntil = s.lateFrom + rapid.Float64Range(0, 4).Draw(t, "dead for")
		s.runUntil(t, s.lateFrom+20, s.lateFrom+20+6*(s.delay+options.ConnTimeout))
		for i := 1; i < len(s.opened); i++ {
			if gap := s.opened[i] - s.opened[i-1]; gap < options.IdleTimeout {
				t.Fatalf("a connection was opened %.2f s after the one before it, want %.2f s at least", gap, options.IdleTimeout)
			}
		}
	})
}

// A connection that fails is replaced after the retry delay, unless a line has just arrived on another one.
func TestEnded(t *testing.T) {
	set := New(options)
	first := set.Tick(0).Open
	if lost := set.Ended(first, 0.5); !lost || set.NextTick() != 0.6 {
		t.Errorf("after the end of the only connection: lost %v, next at %v, want true, 0.6", lost, set.NextTick())
	}
	second := set.Tick(0.6).Open
	set.Established(second, 0.7)
	set.LineReceived(second, 1)
	third := set.Tick(3).Open // beside the second one, which is silent
	set.LineReceived(second, 3.5)
	if lost := set.Ended(third, 3.6); lost || set.NextTick() != 5.5 {
		t.Errorf("after the end of a connection beside one that is heard: lost %v, next at %v, want false, 5.5", lost, set.NextTick())
	}
	if lost := set.Ended(third, 3.7); lost {
		t.Error("a connection ended twice")
	}
}

// While a long line arrives, no other connection is opened, but a line that never ends does not keep the set from trying others.
func TestLongLine(t *testing.T) {
	set := New(options)
	first := set.Tick(0).Open
	set.Established(first, 0)
	now := 0.0
	for ; set.NextTick() > now; now++ {
		set.DataReceived(first, now)
	}
	if latest := options.ConnTimeout + options.IdleTimeout; now < options.ConnTimeout || now > latest {
		t.Errorf("another connection is opened after %v s of a line without an end, want %v to %v", now, options.ConnTimeout, latest)
	}
	if second := set.Tick(now); second.Open == 0 || len(second.Close) > 0 {
		t.Errorf("Tick = %+v, want a connection beside the first one", second)
	}
}
