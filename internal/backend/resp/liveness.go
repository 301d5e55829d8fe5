package resp

import (
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// livenessChecks is how many times in the time to a keep-alive a connection is looked at while one is unanswered.
const livenessChecks = 4

// checkLiveness is the timer's function. It closes a connection that has been idle for long. While attempts are in flight it
// finds out whether a silence is the connection's alone: after a while it sends a keep-alive, and where that is not answered
// while the engine answers on other connections, the connection is closed.
func (c *conn) checkLiveness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() && !c.closed {
		if left := c.idleTimeLeft(); left > 0 { // the last attempt has just ended
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

// checkSilence takes the next step of a check, and returns when to look again; false where the connection was closed.
// Attempts of long requests are silent by nature: each answered keep-alive doubles the time to the next.
func (c *conn) checkSilence(now time.Time) (next time.Duration, keep bool) {
	pollInterval := limits.Duration(c.Limits.KeepaliveAfter / livenessChecks)
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
	case !c.keepaliveElsewhere && now.Sub(c.keepaliveSentAt) > limits.Duration(c.Limits.KeepaliveAfter):
		c.keepaliveElsewhere = true
		c.Group.Go(func() error { c.openKeepalive(); return nil })
	}
	return pollInterval, true
}

func (c *conn) sendKeepalive(now time.Time) {
	c.keepaliveSentAt, c.keepaliveElsewhere, c.answeredElsewhereAt = now, false, time.Time{}
	c.enqueue(outgoing{words: []string{commandKeepalive, keepaliveTag}})
}

// keepaliveDue is when a keep-alive is to be sent: after a silence, but not before an attempt is overdue. Up to there
// silence tells nothing, and a keep-alive has its price at the engine.
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

// firstOverdue is when the first of the attempts is overdue.
func (c *conn) firstOverdue() time.Time {
	var first time.Time
	for _, a := range c.attempts {
		if first.IsZero() || a.overdueAt.Before(first) {
			first = a.overdueAt
		}
	}
	return first
}
