package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// now returns the Unix time in seconds. It is based on the monotonic clock and never goes backwards.
func (g *Gateway) now() float64 { return g.startUnix + time.Since(g.startTime).Seconds() }

// timeOf converts a time returned by now to a time.Time.
func (g *Gateway) timeOf(now float64) time.Time {
	return g.startTime.Add(limits.Duration(now - g.startUnix))
}

// runEvent runs one event of the controller or the fair-share scheduler under the lock. A panic is treated as a fault of
// that event alone: it is logged, and the gateway keeps running.
func (g *Gateway) runEvent(event func(now float64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() {
		if p := recover(); p != nil {
			g.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("admission controller panicked")
		}
	}()
	now := g.now()
	event(now)
	if g.fairShare != nil {
		g.reportStarted(now)
	}
}

// deferEvent queues an event for Run. Callbacks of the controller use it for the events that they cause, since the
// controller must not be called from within a callback. The lock is held.
func (g *Gateway) deferEvent(event func(now float64)) {
	select {
	case g.deferredEvents <- event:
	default:
		g.log.Error().Msg("event dropped: too many are queued for the admission controller")
	}
}

// Run handles the timers of the controller and the fair-share scheduler, and deferred events, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	for paused := false; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.wakeTimer.C:
			if paused = !paused && g.wasPaused(); paused {
				g.wakeTimer.Reset(limits.Duration(g.limits.PauseSettleTime))
				continue
			}
			g.runEvent(func(now float64) { g.controller.WakeUp(now) })
		case event := <-g.deferredEvents:
			g.runEvent(event)
		case <-g.fairShareTimer.C:
			g.runEvent(g.tickFairShare)
		}
	}
}

// wasPaused reports whether the timer fired so late that the process must have been paused. After a pause, timers fire
// before anything that arrived in the meantime has been read, such as notices of draining engines or clients that have
// left. The controller must not dispatch queued requests on that outdated state, so Run delays the event for
// PauseSettleTime, in which the pending input is read.
func (g *Gateway) wasPaused() bool {
	g.mu.Lock()
	delay := g.now() - g.wakeDue
	g.mu.Unlock()
	if delay <= g.limits.PauseThreshold {
		return false
	}
	g.log.Warn().Float64("by", delay).Msg("the process was paused")
	return true
}
