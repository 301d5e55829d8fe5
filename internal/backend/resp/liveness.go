package resp

import (
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// checksPerKeepalive is the number of checks per Limits.KeepaliveAfter while a keep-alive is unanswered.
const checksPerKeepalive = 4

// checkLiveness is called by the connection's timer. It closes a connection whose idle timeout has expired. While attempts are
// in flight, it detects a broken connection: after a period of silence it sends a keep-alive, and if the engine does not answer
// it but answers on other connections, it closes the connection.
func (c *conn) checkLiveness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() && !c.closed {
		if left := c.idleTimeLeft(); left > 0 { // the timer fired while the last attempt ended
			c.timer.Reset(left)
		} else {
			c.close()
		}
	}
	if c.closed || len(c.attempts) == 0 || !c.Settings.LoadPolling {
		return
	}
	if next, keep := c.checkSilence(time.Now()); keep {
		c.timer.Reset(next)
	}
}

// checkSilence performs one step of the check and returns the time to the next one. keep is false if the connection was
// closed. Attempts of long requests are normally silent, so each answered keep-alive doubles the time to the next one.
func (c *conn) checkSilence(now time.Time) (next time.Duration, keep bool) {
	pollInterval := limits.Duration(c.Limits.KeepaliveAfter / checksPerKeepalive)
	if c.keepaliveSentAt.IsZero() {
		if due := c.keepaliveDue(); now.Before(due) {
			return due.Sub(now), true
		}
		c.sendKeepalive(now)
		return pollInterval, true
	}
	if c.lastAnswerAt.After(c.keepaliveSentAt) {
		c.keepaliveSentAt = time.Time{}
		c.keepaliveAfter = min(2*c.keepaliveAfter, limits.Duration(c.Limits.MaxKeepaliveAfter))
		return c.keepaliveAfter, true
	}
	if !c.answeredElsewhereAt.IsZero() {
		if now.Sub(c.answeredElsewhereAt) > limits.Duration(c.Limits.SilentConnTimeout) {
			c.Log.Info().Str("engine", c.Address).Int("dispatches", len(c.attempts)).Msg("engine connection is silent")
			c.close()
			return 0, false
		}
		return pollInterval, true
	}
	engineAnsweredAt := time.Unix(0, c.lastAnswer.Load())
	switch {
	case engineAnsweredAt.After(c.keepaliveSentAt):
		c.answeredElsewhereAt = now
	case !c.keepaliveOnNewConn && now.Sub(c.keepaliveSentAt) > limits.Duration(c.Limits.KeepaliveAfter):
		c.keepaliveOnNewConn = true
		c.Group.Go(func() error { c.openKeepalive(); return nil })
	}
	return pollInterval, true
}

func (c *conn) sendKeepalive(now time.Time) {
	c.keepaliveSentAt, c.keepaliveOnNewConn, c.answeredElsewhereAt = now, false, time.Time{}
	c.enqueue(outgoing{words: []string{commandKeepalive, keepaliveTag}})
}

// keepaliveDue returns the time at which a keep-alive is to be sent: after a period of silence, but not before an attempt is
// overdue. Until then silence is normal, and a keep-alive costs work at the engine.
func (c *conn) keepaliveDue() time.Time {
	silentSince := c.lastAnswerAt
	if c.lastAttemptAt.After(silentSince) {
		silentSince = c.lastAttemptAt
	}
	due := silentSince.Add(c.keepaliveAfter)
	if overdue := c.firstOverdue(); overdue.After(due) {
		return overdue
	}
	return due
}

// firstOverdue returns the earliest time at which one of the attempts is overdue.
func (c *conn) firstOverdue() time.Time {
	var first time.Time
	for _, a := range c.attempts {
		if first.IsZero() || a.overdueAt.Before(first) {
			first = a.overdueAt
		}
	}
	return first
}
