package msgpackrpc

import (
	"context"
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// overload tells whether a connection overloads the server: whether its client goes on sending over the connection's
// limits, or cancels what it asks for. conn.mu guards it.
type overload struct {
	level     float64   // excess messages, less those that are allowed
	countedAt time.Time // when level was counted
	until     time.Time // the connection overloads the server until then
	doubled   int       // how often the pause between two messages was doubled
}

// exceeded counts a request over the connection's limit, or one that its client has cancelled. So many are allowed in a
// second, and at once.
func (o *overload) exceeded(now time.Time, limit int, lim *limits.Limits) {
	allowed := float64(limit)
	o.level = max(o.level-allowed*now.Sub(o.countedAt).Seconds(), 0) + 1
	o.countedAt = now
	if o.level > allowed {
		o.level = 0
		o.until = now.Add(limits.Duration(lim.OverloadHold))
	}
}

// paced tells that a message of the overloading connection was read, whether its reader has waited, and whether the client
// had sent more by then.
func (o *overload) paced(now time.Time, waited, backlog bool, lim *limits.Limits) {
	switch {
	case !backlog:
		o.doubled = 0
	case waited:
		o.doubled = min(o.doubled+1, maxPauseDouble)
	}
	if backlog {
		o.until = now.Add(limits.Duration(lim.OverloadHold))
	}
}

// active reports whether the connection overloads the server now.
func (o *overload) active(now time.Time) bool { return now.Before(o.until) }

// Bounds on how long the reader of an overloading connection waits between two messages.
const (
	firstPause     = 16 * time.Millisecond
	maxPauseDouble = 6 // times that the pause is doubled, to a second
)

// pause is how long the reader waits: twice as long each time that the client had more to send than was read.
func (o *overload) pause() time.Duration { return firstPause << o.doubled }

// pace has the reader of an overloading connection wait after a message, where more is read of all such connections than
// the server wants to. What the client sends meanwhile stays with the system. backlog says that more has come already: a
// client that goes on in that way stays an overloading one, and waits longer each time.
func (c *conn) pace(ctx context.Context, backlog bool) {
	c.mu.Lock()
	now := time.Now()
	paced, pause := c.overload.active(now) && !c.shuttingDown, c.overload.pause()
	c.mu.Unlock()
	if !paced {
		return
	}
	waits := !c.server.pacer.take(now)
	if waits && !c.sleep(ctx, now.Add(pause)) {
		return // the connection ends
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overload.paced(time.Now(), waits, backlog, &c.server.Limits)
}

// sleep waits until a time. It is false where ctx ends before.
func (c *conn) sleep(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		c.server.pacer.recordLag(time.Since(until))
		return true
	}
}

// exceeded counts a message over the connection's limits. The lock is held.
func (c *conn) exceeded() {
	lim := &c.server.Limits
	c.overload.exceeded(time.Now(), c.evenPart(lim.Excess, lim.MinExcessPerConn, lim.ExcessPerConn), lim)
}

// maxInFlight is how many requests the connection may have open: its even part of all, within bounds.
func (c *conn) maxInFlight() int {
	lim := &c.server.Limits
	return c.evenPart(lim.MaxRequests, lim.MinRequestsPerConn, lim.MaxRequestsPerConn)
}

// evenPart is the part of a total that one of the connections with open requests has, between least and most.
func (c *conn) evenPart(total, least, most int) int {
	part := total / max(int(c.server.busyConns.Load()), 1)
	return min(max(part, least), most)
}
