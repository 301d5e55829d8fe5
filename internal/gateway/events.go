package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// now is the Unix clock in seconds; it never goes back.
func (g *Gateway) now() float64 { return g.startUnix + time.Since(g.startTime).Seconds() }

// timeOf is the time of a reading of that clock.
func (g *Gateway) timeOf(now float64) time.Time {
	return g.startTime.Add(limits.Duration(now - g.startUnix))
}

// enter makes one event of the controller or the fair-share scheduler, under the lock. A panic in it is a defect of that
// event alone: it is logged, and the gateway goes on.
func (g *Gateway) enter(event func(now float64)) {
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

// deferEvent has Run make an event that a callback of the controller causes: the controller cannot be entered again
// from within. The lock is held.
func (g *Gateway) deferEvent(event func(now float64)) {
	select {
	case g.deferredEvents <- event:
	default:
		g.log.Error().Msg("event dropped: too many are queued for the admission controller")
	}
}

// Run keeps the timers of the controller and of the fair-share scheduler until ctx ends.
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
			g.enter(func(now float64) { g.controller.WakeUp(now) })
		case event := <-g.deferredEvents:
			g.enter(event)
		case <-g.fairShareTimer.C:
			g.enter(g.tickFairShare)
		}
	}
}

// wasPaused reports whether the timer is late by so much that the process cannot have run. Timers are due then before
// anything that came meanwhile has been read, such as engines that drain and clients that have left; what the controller
// has queued must not go out on what it knew before. So the event waits for a moment in which that is read.
func (g *Gateway) wasPaused() bool {
	g.mu.Lock()
	by := g.now() - g.wakeDue
	g.mu.Unlock()
	if by <= g.limits.PauseThreshold {
		return false
	}
	g.log.Warn().Float64("by", by).Msg("the process was paused")
	return true
}
