package msgpackrpc

import (
	"context"
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// overload records whether a connection overloads the server: whether its client keeps sending messages that are no acceptable
// requests, such as requests beyond the connection's limits, or keeps cancelling its requests. It is a leaky bucket of excess
// messages. conn.mu guards it.
type overload struct {
	level          float64   // excess messages, less those drained at the allowed rate
	levelAt        time.Time // time for which level was computed
	activeUntil    time.Time // time until which the connection counts as overloading
	pauseDoublings int       // number of times that the pause between two messages is doubled
	unpausedReads  int       // number of messages with a backlog that were read without a pause
}

// countExcess counts an excess message or a request that its client has cancelled. allowed is the number of them allowed per
// second, and also the number allowed at once.
func (o *overload) countExcess(now time.Time, allowed int, lim *limits.Limits) {
	rate := float64(allowed)
	o.level = max(o.level-rate*now.Sub(o.levelAt).Seconds(), 0) + 1
	o.levelAt = now
	if o.level > rate {
		o.level = 0
		o.activeUntil = now.Add(limits.Duration(lim.OverloadHold))
	}
}

// recordRead records that a message of the overloading connection was read. paused is whether the reader has paused after it,
// and backlog whether the client had already sent more.
func (o *overload) recordRead(now time.Time, paused, backlog bool, lim *limits.Limits) {
	switch {
	case !backlog:
		o.pauseDoublings = 0
	case paused:
		o.pauseDoublings = min(o.pauseDoublings+1, maxPauseDoublings)
	default:
		o.unpausedReads++
		if o.unpausedReads%readsPerHalving == 0 {
			o.pauseDoublings = max(o.pauseDoublings-1, 0)
		}
	}
	if backlog {
		o.activeUntil = now.Add(limits.Duration(lim.OverloadHold))
	}
}

// active reports whether the connection counts as overloading at the given time.
func (o *overload) active(now time.Time) bool { return now.Before(o.activeUntil) }

// Bounds on the pause of an overloading connection's reader between two messages.
const (
	firstPause        = 16 * time.Millisecond
	maxPauseDoublings = 6 // up to about one second
	readsPerHalving   = 8 // messages read without a pause after which the pause is halved
)

// pause returns how long the reader pauses. The pause doubles each time the client has sent more than was read, and halves
// while the pacer allows messages without one.
func (o *overload) pause() time.Duration { return firstPause << o.pauseDoublings }

// pace pauses the reader of an overloading connection after a message if the messages of all such connections together exceed
// the pacer's rate. What the client sends in the meantime stays in the kernel's socket buffers. backlog is whether more has
// already arrived: as long as that is so, the connection continues to count as overloading and each pause is longer.
// pace returns an error if the connection ends meanwhile.
func (c *conn) pace(ctx context.Context, backlog bool) error {
	c.mu.Lock()
	now := time.Now()
	paced, pause := c.overload.active(now) && !c.shuttingDown, c.overload.pause()
	c.mu.Unlock()
	if !paced {
		return nil
	}
	mustPause := !c.server.pacer.allow(now)
	if mustPause {
		if err := c.sleep(ctx, now.Add(pause)); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overload.recordRead(time.Now(), mustPause, backlog, &c.server.Limits)
	return nil
}

// sleep waits until the given time and reports to the pacer how late the wait ended. It returns an error if the client
// disconnects or ctx is done first.
func (c *conn) sleep(ctx context.Context, until time.Time) error {
	for {
		step := min(time.Until(until), presenceInterval)
		stepEnd := time.Now().Add(step)
		timer := time.NewTimer(step)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
			c.server.pacer.recordLag(time.Since(stepEnd))
		}
		if err := c.checkPresence(); err != nil {
			return err
		}
		if !time.Now().Before(until) {
			return nil
		}
	}
}

// countExcess counts an excess message or a cancelled request.
func (c *conn) countExcess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	lim := &c.server.Limits
	c.overload.countExcess(time.Now(), c.equalShare(lim.Excess, lim.MinExcessPerConn, lim.ExcessPerConn), lim)
}

// maxInFlight returns the maximum number of open requests on the connection: its equal share of the total, within bounds.
func (c *conn) maxInFlight() int {
	lim := &c.server.Limits
	return c.equalShare(lim.MaxRequests, lim.MinRequestsPerConn, lim.MaxRequestsPerConn)
}

// equalShare divides total equally among the connections with open requests and returns one share, limited to the range from
// lower to upper.
func (c *conn) equalShare(total, lower, upper int) int {
	share := total / max(int(c.server.busyConns.Load()), 1)
	return min(max(share, lower), upper)
}
